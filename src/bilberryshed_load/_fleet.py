"""Starts, monitors and stops the processes of a fleet on this machine."""

import json
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from bilberryshed_load._plans import HOST, Deployment, FleetPlan, ProcessPlan, plan_fleet
from bilberryshed_load._tools import submit_sheet

START_TIMEOUT = 20.0  # seconds for a process to respond on a path
POLL_INTERVAL = 0.05  # seconds between reads of a state that is waited for


class FleetError(Exception):
    """Raised if a process does not start or stop within its time limit."""


class Fleet:
    """The processes of one plan.

    :param plan: processes to start; their logs are written next to their settings
    """

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self) -> None:
        """Start all processes and wait until they respond.

        :raises FleetError: if one does not respond within the limit
        """
        for process in self.plan.processes:
            self.start_process(process)
        for process in self.plan.processes:
            if process.program != "bilberryshed-standin":
                self.wait_for(process, "/live")

    def start_process(self, process: ProcessPlan) -> None:
        """Start one process."""
        program = Path(sys.executable).parent / process.program
        log = (self.plan.directory / f"{process.name}.log").open("ab")
        with log:
            self.running[process.name] = subprocess.Popen(
                [program, str(process.settings)], stdout=log, stderr=log
            )
        if process.program == "bilberryshed-standin":
            self.wait_for(process, "/vms")

    def wait_for(self, process: ProcessPlan, path: str) -> None:
        """Wait until a process responds to a path with 200.

        :raises FleetError: if it does not within ``START_TIMEOUT``, or has exited
        """
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            if self.running[process.name].poll() is not None:
                break
            try:
                with urllib.request.urlopen(f"http://{HOST}:{process.port}{path}", timeout=1):
                    return
            except OSError:
                time.sleep(POLL_INTERVAL)
        raise FleetError(f"{process.name}: no response on {path}; see its log in the run directory")

    def wait_ready(self) -> None:
        """Wait until every router is ready and linked to every agent.

        :raises FleetError: if that takes longer than ``START_TIMEOUT``
        """
        for process in self._processes_of("bilberryshed-router"):
            self.wait_for(process, "/ready")
        agents = len(self._processes_of("bilberryshed-agent"))
        deadline = time.monotonic() + START_TIMEOUT
        for process in self._processes_of("bilberryshed-router"):
            while len(self.status(process.name)["agents"]) < agents:
                if time.monotonic() > deadline:
                    raise FleetError(f"{process.name} is not linked to all {agents} agents")
                time.sleep(POLL_INTERVAL)

    def status(self, name: str) -> dict[str, Any]:
        """Return the status page of a process."""
        url = f"http://{HOST}:{self.plan.process(name).port}/status"
        with urllib.request.urlopen(url, timeout=2) as response:
            status: dict[str, Any] = json.load(response)
        return status

    def counters(self) -> dict[str, int]:
        """Return the call counters of the platform stand-in."""
        with urllib.request.urlopen(f"http://{self.plan.platform}/counters") as response:
            counters: dict[str, int] = json.load(response)
        return counters

    def post_to_platform(self, path: str, body: dict[str, Any]) -> None:
        """Post JSON to the platform stand-in."""
        url = f"http://{self.plan.platform}{path}"
        urllib.request.urlopen(url, json.dumps(body).encode(), timeout=2).close()

    def memory_kb(self, name: str) -> float:
        """Return the resident memory of a process, in kB."""
        status = Path(f"/proc/{self.running[name].pid}/status").read_text(encoding="ascii")
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return float(line.split()[1])

    def statuses(self, program: str) -> list[dict[str, Any]]:
        """Return the status pages of all running processes of a program."""
        return [self.status(p.name) for p in self._processes_of(program) if self.is_running(p.name)]

    def is_running(self, name: str) -> bool:
        """Whether a process is running."""
        return name in self.running and self.running[name].poll() is None

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its exit."""
        self.running[name].kill()
        self.running[name].wait()

    def set_suspended(self, name: str, suspended: bool) -> None:
        """Suspend a process with SIGSTOP, or resume it with SIGCONT."""
        self.running[name].send_signal(signal.SIGSTOP if suspended else signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Stop a process gracefully with SIGTERM, without waiting."""
        self.running[name].terminate()

    def wait(self, name: str, limit: float) -> int:
        """Wait for a process to exit.

        :returns: its exit code
        :raises FleetError: if it does not exit within ``limit`` seconds
        """
        try:
            return self.running[name].wait(limit)
        except subprocess.TimeoutExpired as error:
            raise FleetError(f"{name} did not stop within {limit} s") from error

    def wait_until_delivered(self, limit: float) -> bool:
        """Wait until no process has running requests or undelivered records.

        :returns: whether this state was reached within ``limit`` seconds
        """
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            routers = self.statuses("bilberryshed-router")
            agents = self.statuses("bilberryshed-agent")
            undelivered = sum(s["unbilled"] + s["running"] for s in routers)
            undelivered += sum(s["journal"] + s["running"] for s in agents)
            if undelivered == 0:
                return True
            time.sleep(POLL_INTERVAL)
        return False

    def stop(self, limit: float = 30.0) -> list[str]:
        """Stop routers, then agents, gracefully; the stand-ins keep running.

        :param limit: seconds for one process to exit
        :returns: names of processes with a non-zero exit code, which did not finish their work
        """
        failed: list[str] = []
        for program in ("bilberryshed-router", "bilberryshed-agent"):
            names = [p.name for p in self._processes_of(program) if self.is_running(p.name)]
            for name in names:
                self.terminate(name)
            failed += [name for name in names if self.wait(name, limit) != 0]
        return failed

    def close(self) -> None:
        """Kill every process that is still running."""
        for process in self.running.values():
            if process.poll() is None:
                process.kill()
                process.wait()

    def _processes_of(self, program: str) -> list[ProcessPlan]:
        return [p for p in self.plan.processes if p.program == program]


@contextmanager
def running_fleet(deployment: Deployment, etc: Path) -> Iterator[Fleet]:
    """Run a fleet with its sample sheet in force for the duration of a block.

    :param etc: directory of the sample sheets
    """
    with tempfile.TemporaryDirectory(prefix="bilberryshed-") as directory:
        fleet = Fleet(plan_fleet(deployment, Path(directory)))
        try:
            fleet.start()
            submit_sheet(fleet.plan.platform, etc / deployment.sheet, 0)
            fleet.wait_ready()
            yield fleet
        finally:
            fleet.close()
