"""Processes of a fleet on one machine, and their settings."""

import configparser
import itertools
import os
import socket
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 10_000, 32_000
PORT_STRIDE = 997  # ports between the first candidates of processes with consecutive process ids


@dataclass(slots=True, frozen=True)
class EnginePlan:
    """Model engines of one kind.

    :param models: loaded model versions, separated by spaces
    :param step: seconds to generate one token
    """

    count: int
    models: str
    step: float = 0.01


@dataclass(slots=True, frozen=True)
class Deployment:
    """One user's deployment.

    :param sheet: file name of its sample sheet
    :param service: plain service that is served by ``service_backends`` backend servers
    :param status_service: plain service that is served by one further backend server
    """

    name: str
    sheet: str
    zones: tuple[str, ...]
    engines: tuple[EnginePlan, ...]
    service: str
    status_service: str
    service_backends: int


DEPLOYMENTS = {
    "cairnbrae": Deployment(
        "cairnbrae",
        "cairnbrae.csv",
        ("inverness", "aviemore", "wick"),
        (EnginePlan(3, "brae-large@3 brae-small@5"), EnginePlan(3, "brae-small@5")),
        "booking",
        "accounts",
        3,
    ),
    "mandali": Deployment(
        "mandali",
        "mandali.csv",
        ("bhavnagar", "rajkot", "junagadh"),
        (EnginePlan(4, "prakash-large@2 prakash-small@4"), EnginePlan(5, "prakash-small@4")),
        "visits",
        "status",
        3,
    ),
}


@dataclass(slots=True, frozen=True)
class ProcessPlan:
    """One process.

    :param port: port of its status page
    """

    program: str
    name: str
    zone: str
    settings: Path
    port: int


@dataclass(slots=True)
class FleetPlan:
    """All processes of a fleet.

    :param backends: port of each backend server by name
    """

    directory: Path
    platform_port: int
    processes: list[ProcessPlan] = field(default_factory=list)
    backends: dict[str, int] = field(default_factory=dict)

    @property
    def platform(self) -> str:
        """Address of the platform stand-in."""
        return f"{HOST}:{self.platform_port}"

    @property
    def router_urls(self) -> list[str]:
        """Base URLs of all routers."""
        routers = (p for p in self.processes if p.program == "bilberryshed-router")
        return [f"http://{HOST}:{process.port}" for process in routers]

    def process(self, name: str) -> ProcessPlan:
        """Return the process with a name."""
        return next(process for process in self.processes if process.name == name)


def plan_fleet(
    deployment: Deployment,
    directory: Path,
    routers_per_zone: int = 1,
    overrides: dict[str, dict[str, str]] | None = None,
) -> FleetPlan:
    """Write the settings of all processes of a fleet and return its plan.

    :param directory: directory for the settings
    :param overrides: additional router settings by section and key
    """
    planner = _FleetPlanner(deployment, directory, overrides or {})
    planner.add_backends()
    planner.add_routers(routers_per_zone)
    return planner.write_standin_settings()


class _FleetPlanner:
    """Builds a plan; the settings of the stand-ins grow with each added process."""

    def __init__(
        self, deployment: Deployment, directory: Path, overrides: dict[str, dict[str, str]]
    ) -> None:
        self.deployment = deployment
        self.overrides = overrides
        self.plan = FleetPlan(directory, free_port())
        self.standins: dict[str, dict[str, str]] = {"platform": {"listen": self.plan.platform}}

    def add_backends(self) -> None:
        """Add engines and plain services, each with its agent."""
        number = 0
        for engine_plan in self.deployment.engines:
            for _ in range(engine_plan.count):
                number += 1
                options = {"models": engine_plan.models, "step": str(engine_plan.step)}
                self._add_backend(f"e{number}", "engine", "", options)
        for index in range(self.deployment.service_backends):
            self._add_backend(f"s{index + 1}", "service", self.deployment.service, {})
        self._add_backend("t1", "service", self.deployment.status_service, {})

    def add_routers(self, per_zone: int) -> None:
        """Add routers to each zone."""
        for zone in self.deployment.zones:
            for index in range(per_zone):
                self._add_router(f"r-{zone}-{index + 1}", zone)

    def write_standin_settings(self) -> FleetPlan:
        """Write the settings of the stand-ins and return the complete plan."""
        path = _write_settings(self.plan.directory, "standins", self.standins)
        process = ProcessPlan("bilberryshed-standin", "standins", "", path, self.plan.platform_port)
        self.plan.processes.insert(0, process)
        return self.plan

    def _add_backend(self, name: str, kind: str, service: str, options: dict[str, str]) -> None:
        zones = self.deployment.zones
        zone = zones[len(self.plan.backends) % len(zones)]
        port, link, status = free_port(), free_port(), free_port()
        self.plan.backends[name] = port
        self.standins[f"{kind} {name}"] = {"listen": f"{HOST}:{port}", **options}
        settings = {
            "vm": {
                "name": f"a-{name}",
                "zone": zone,
                "link_listen": f"{HOST}:{link}",
                "status_listen": f"{HOST}:{status}",
            },
            "backend": {"backend": f"{HOST}:{port}", "kind": kind, "service": service},
            "platform": {"platform": self.plan.platform},
        }
        self._add_process("bilberryshed-agent", "agent", settings, link, status)

    def _add_router(self, name: str, zone: str) -> None:
        port, link = free_port(), free_port()
        settings = {
            "vm": {
                "name": name,
                "zone": zone,
                "listen": f"{HOST}:{port}",
                "link_listen": f"{HOST}:{link}",
            },
            "platform": {"platform": self.plan.platform},
        }
        for section, values in self.overrides.items():
            settings.setdefault(section, {}).update(values)
        self._add_process("bilberryshed-router", "router", settings, link, port)

    def _add_process(
        self, program: str, role: str, settings: dict[str, dict[str, str]], link: int, port: int
    ) -> None:
        name, zone = settings["vm"]["name"], settings["vm"]["zone"]
        path = _write_settings(self.plan.directory, name, settings)
        self.plan.processes.append(ProcessPlan(program, name, zone, path, port))
        self.standins[f"vm {name}"] = {"role": role, "zone": zone, "link": f"{HOST}:{link}"}


def _write_settings(directory: Path, name: str, settings: dict[str, dict[str, str]]) -> Path:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(settings)
    path = directory / f"{name}.ini"
    with path.open("w", encoding="utf-8") as file:
        parser.write(file)
    return path


def _candidate_ports() -> Iterator[int]:
    """Yield candidate ports; the first depends on the process id, so that parallel runs differ."""
    count = LAST_PORT - FIRST_PORT + 1
    for step in itertools.count(os.getpid() * PORT_STRIDE):
        yield FIRST_PORT + step % count


_ports = _candidate_ports()


def free_port() -> int:
    """Return a TCP port without a listener that was not returned recently.

    It lies below the system's ephemeral port range: otherwise, an outgoing connection could occupy
    the port before the program listens on it.
    """
    for port in _ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port
    raise AssertionError("candidate ports are unlimited")
