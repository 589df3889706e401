"""Steps for the gateway program, run as a process of its own."""

import asyncio
import os
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path
from tempfile import mkdtemp

from behave import given, then, when
from gateway_support import free_port

from bilberryshed.state import Address

BIN = Path(sys.executable).parent
START_TIMEOUT = 8.0  # seconds until the process must serve its first request


def run(context, coroutine):
    """Run a coroutine on the scenario's event loop."""
    return context.loop.run_until_complete(coroutine)


def build_settings(context):
    """Return the sections of a settings file with newly chosen ports."""
    ports = {name: f"127.0.0.1:{free_port()}" for name in ("listen", "ready", "link", "metrics")}
    return {
        "vm": {
            "name": "gate-1",
            "zone": "quay",
            "listen": ports["listen"],
            "ready_listen": ports["ready"],
            "link_listen": ports["link"],
            "metrics_listen": ports["metrics"],
        },
        "store": {"store": f"127.0.0.1:{context.harness.store_port}"},
        "stop": {"drain_time": "5"},
    }


def write_settings(sections):
    """Write a settings file; return its path."""
    lines = []
    for name, keys in sections.items():
        lines += [f"[{name}]", *(f"{key} = {value}" for key, value in keys.items()), ""]
    path = Path(mkdtemp()) / "gateway.ini"
    path.write_text("\n".join(lines))
    return path


def start_gateway(path):
    """Start a gateway process with standard output and standard error in pipes."""
    command = [BIN / "bilberryshed-gateway", str(path)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE)


class _GatewayProcess:
    """Represents a gateway process in the harness, which only needs its listen address."""

    def __init__(self, listen):
        self.settings = type("Settings", (), {"listen": Address.parse(listen)})()


@given("a gateway process")
def given_process(context):
    run(context, context.harness.close_gateways())
    context.sections = build_settings(context)
    context.process = start_gateway(write_settings(context.sections))
    context.add_cleanup(stop_process, context)
    context.harness.gateways["gate-1"] = _GatewayProcess(context.sections["vm"]["listen"])
    run(context, wait_ready(context))


async def wait_ready(context):
    """Wait until a request through the gateway returns 200.

    The backend servers' records of executed requests are then cleared.

    :raises AssertionError: with the exit code, if the process is not ready in time
    """
    deadline = time.monotonic() + START_TIMEOUT
    while time.monotonic() < deadline:
        try:
            if (await context.harness.call("/look/ready", method="GET")).status == 200:
                for backend in context.harness.backends.values():
                    backend.executed.clear()
                return
        except OSError:
            pass
        await asyncio.sleep(0.05)
    raise AssertionError(context.process.poll())


def stop_process(context):
    """Kill the process that this scenario started, if it still runs, and close its pipes."""
    if context.process.poll() is None:
        context.process.kill()
        context.process.wait()
    context.process.stdout.close()
    context.process.stderr.close()


def read_log(context):
    """Return the lines of the process's log; blocks until the process has ended."""
    if not hasattr(context, "log"):
        context.log = context.process.stdout.read().decode().splitlines()
    return context.log


@given("the log is not read")
def given_log_unread(context):
    os.set_blocking(context.process.stdout.fileno(), False)


@when("the process is sent SIGTERM")
def when_sigterm(context):
    context.process.send_signal(signal.SIGTERM)

    async def wait():
        while context.process.poll() is None:
            await asyncio.sleep(0.05)

    run(context, asyncio.wait_for(wait(), 10))


@then("it ends with code {code:d}")
def then_code(context, code):
    assert context.process.wait(10) == code, context.process.stderr.read()


@then("its log has a line of key=value pairs for each of: {events}")
def then_log_events(context, events):
    lines = read_log(context)
    for event in events.split(", "):
        assert any(f" event={event} " in line for line in lines), event
    assert all("timestamp=" in line and "level=" in line for line in lines), lines[:5]


@then("every request line of the log has the request's id")
def then_request_ids(context):
    for line in read_log(context):
        if " event=request " in line or " event=refused " in line:
            assert " request=0" in line, line


@then(
    "the metrics page counts {ok_count:d} responses with status 200 and "
    "{unauthorized_count:d} with status 401"
)
def then_metrics(context, ok_count, unauthorized_count):
    url = f"http://{context.sections['vm']['metrics_listen']}/metrics"
    text = urllib.request.urlopen(url, timeout=3).read().decode()
    # The request that waits for readiness returned 200 too.
    assert f'reason="answer",status="200"}} {ok_count + 1}.0' in text, text
    assert f'reason="key",status="401"}} {unauthorized_count}.0' in text, text
    assert "bilberryshed_route_table_version 1.0" in text


@then("each of them took less than {seconds:f} s")
def then_durations(context, seconds):
    assert max(context.durations) < seconds, max(context.durations)


@then("the log that is read afterwards reports suppressed or lost lines, or has all {count:d}")
def then_suppression_logged(context, count):
    stop_and_read_log(context)
    refused = [line for line in context.log if " event=refused " in line and "status=404" in line]
    left_out = [line for line in context.log if " event=lines_left_out " in line]
    assert len(refused) == count or left_out, len(refused)


def stop_and_read_log(context):
    """Send SIGTERM to the process and read its log until it ends."""
    os.set_blocking(context.process.stdout.fileno(), True)
    context.process.send_signal(signal.SIGTERM)
    context.log = context.process.stdout.read().decode().splitlines()
    context.process.wait(10)


@when("a gateway is started with {fault}")
def when_started(context, fault):
    stop_process(context)
    sections = context.sections
    if fault == "no zone":
        del sections["vm"]["zone"]
    elif fault == "a port of 99999":
        sections["vm"]["listen"] = "127.0.0.1:99999"
    elif fault == "an unknown key":
        sections["vm"]["colour"] = "red"
    else:
        sections["vm"]["listen"] = f"127.0.0.1:{context.harness.store_port}"
    context.process = start_gateway(write_settings(sections))


@then("standard error contains {expected}")
def then_stderr(context, expected):
    text = context.process.stderr.read().decode()
    assert expected.lower() in text.lower(), text


def explain(context, id_):
    """Return the output of ``bilberryshed-report explain`` for a request.

    :param id_: id of the request, looked up in the log of this scenario's processes
    """
    path = Path(mkdtemp()) / "gate-1.log"
    path.write_text("\n".join(read_log(context)))
    command = [BIN / "bilberryshed-report", "explain", id_, str(path)]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=20, check=False)
    assert completed.returncode == 0, completed.stderr
    return completed.stdout


@then("the report explains that request: {first}, then {second}")
def then_explained(context, first, second):
    context.trace = explain(context, f"{context.harness.next_id:016x}")
    assert 0 <= context.trace.index(first) < context.trace.index(f" {second} "), context.trace


@then("the report shows that it was sent {times:d} times, the second time after {events:d} events")
def then_dispatch_count(context, times, events):
    sent = [line for line in context.trace.splitlines() if " sent " in line]
    assert len(sent) == times and f"events={events}" in sent[1], context.trace


@then("the report of that request contains {text}")
def then_report_of_request(context, text):
    context.trace = explain(context, f"{context.harness.next_id:016x}")
    assert text in context.trace, context.trace


@then("the report contains {first}, {second} and {third}")
def then_report_contains(context, first, second, third):
    for text in (first, second, third):
        assert text in context.trace, context.trace


@when("a caller streams {path}, the process is killed, and it restarts")
def when_killed(context, path):
    async def stream_and_kill():
        context.killed_request = context.harness.request_id()
        call = asyncio.ensure_future(context.harness.call(path, id=context.killed_request))
        await asyncio.sleep(0.5)
        context.process.kill()
        await asyncio.gather(call, return_exceptions=True)

    run(context, stream_and_kill())
    log_before_kill = context.process.stdout.read().decode().splitlines()
    context.process = start_gateway(context.process.args[1])
    run(context, wait_ready(context))
    context.previous_log = log_before_kill


@then("the report shows where the interrupted request was sent, and that its outcome is unknown")
def then_outcome_unknown(context):
    context.log = context.previous_log + read_log(context)
    trace = explain(context, context.killed_request)
    assert " sent " in trace and "server=i-model" in trace, trace
    assert "no line tells how the request ended" in trace, trace


@when("the retry slack in the settings changes to {slack} and the process is sent SIGHUP")
def when_settings_reloaded(context, slack):
    context.sections["retries"] = {"retry_slack": slack}
    Path(context.process.args[1]).write_text(write_settings(context.sections).read_text())
    context.process.send_signal(signal.SIGHUP)
    time.sleep(0.3)
