"""Steps for the gateway as a program."""

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
START_TIME = 8.0  # seconds


def run(context, coroutine):
    """Run a coroutine on the scenario's loop."""
    return context.loop.run_until_complete(coroutine)


def settings(context):
    """Return the sections of a settings file."""
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
        "store": {"store": f"127.0.0.1:{context.rig.store_port}"},
        "stop": {"drain_time": "5"},
    }


def write(sections):
    """Write a settings file; return its path."""
    lines = []
    for name, keys in sections.items():
        lines += [f"[{name}]", *(f"{key} = {value}" for key, value in keys.items()), ""]
    path = Path(mkdtemp()) / "gateway.ini"
    path.write_text("\n".join(lines))
    return path


def start(path):
    """Start a gateway process whose output goes to a pipe."""
    command = [BIN / "bilberryshed-gateway", str(path)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE)


class _Process:
    """Takes the place of a gateway in the rig: only its settings are known."""

    def __init__(self, listen):
        self.settings = type("Settings", (), {"listen": Address.parse(listen)})()


@given("a gateway process")
def given_process(context):
    run(context, context.rig.close_gateways())
    context.sections = settings(context)
    context.process = start(write(context.sections))
    context.add_cleanup(stop_process, context)
    context.rig.gateways["gate-1"] = _Process(context.sections["vm"]["listen"])
    run(context, wait_ready(context))


async def wait_ready(context):
    """Wait until the process answers its readiness probe and knows its backend servers."""
    end = time.monotonic() + START_TIME
    while time.monotonic() < end:
        try:
            if (await context.rig.call("/look/ready", method="GET")).status == 200:
                for backend in context.rig.backends.values():
                    backend.ran.clear()
                return
        except OSError:
            pass
        await asyncio.sleep(0.05)
    raise AssertionError(context.process.poll())


def stop_process(context):
    """End the process that this scenario started."""
    if context.process.poll() is None:
        context.process.kill()
        context.process.wait()
    context.process.stdout.close()
    context.process.stderr.close()


def read_log(context):
    """Return the lines of the process's log; it has ended or is ended now."""
    if not hasattr(context, "log"):
        context.log = context.process.stdout.read().decode().splitlines()
    return context.log


@given("nobody reads the log")
def given_no_reader(context):
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


@then("its log has one line of key=value pairs for each of: {events}")
def then_lines(context, events):
    lines = read_log(context)
    for event in events.split(", "):
        assert any(f" event={event} " in line for line in lines), event
    assert all("timestamp=" in line and "level=" in line for line in lines), lines[:5]


@then("every line of a request names its id")
def then_ids(context):
    for line in read_log(context):
        if " event=request " in line or " event=refused " in line:
            assert " request=0" in line, line


@then("the metrics page counts {good:d} answers with status 200 and {bad:d} with status 401")
def then_metrics(context, good, bad):
    url = f"http://{context.sections['vm']['metrics_listen']}/metrics"
    text = urllib.request.urlopen(url, timeout=3).read().decode()
    # The probe of the start-up was answered with 200 too.
    assert f'reason="answer",status="200"}} {good + 1}.0' in text, text
    assert f'reason="key",status="401"}} {bad}.0' in text, text
    assert "bilberryshed_route_table_version 1.0" in text


@then("each of them took less than {seconds:f} s")
def then_each(context, seconds):
    assert max(context.times) < seconds, max(context.times)


@then("the log that is read afterwards tells what was left out or lost, or holds all {count:d}")
def then_told(context, count):
    when_sigterm_with_reader(context)
    refused = [line for line in context.log if " event=refused " in line and "status=404" in line]
    left_out = [line for line in context.log if " event=lines_left_out " in line]
    assert len(refused) == count or left_out, len(refused)


def when_sigterm_with_reader(context):
    """Stop the process while its log is read."""
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
        sections["vm"]["listen"] = f"127.0.0.1:{context.rig.store_port}"
    context.process = start(write(sections))


@then("standard error names {place}")
def then_named(context, place):
    text = context.process.stderr.read().decode()
    assert place.lower() in text.lower(), text


def explain(context, id_):
    """Return what the report tells of a request, from the log of this scenario's processes."""
    path = Path(mkdtemp()) / "gate-1.log"
    path.write_text("\n".join(read_log(context)))
    command = [BIN / "bilberryshed-report", "explain", id_, str(path)]
    found = subprocess.run(command, capture_output=True, text=True, timeout=20, check=False)
    assert found.returncode == 0, found.stderr
    return found.stdout


@then("the report explains that request: {first}, then {second}")
def then_explained(context, first, second):
    context.story = explain(context, f"{context.rig.next_id:016x}")
    assert 0 <= context.story.index(first) < context.story.index(f" {second} "), context.story


@then("the report tells that it was sent {times:d} times, the second time after {events:d} events")
def then_sent_again(context, times, events):
    sent = [line for line in context.story.splitlines() if " sent " in line]
    assert len(sent) == times and f"events={events}" in sent[1], context.story


@when("a caller streams {path}, the process is killed, and it starts again")
def when_killed(context, path):
    async def stream_and_kill():
        context.killed = context.rig.request_id()
        call = asyncio.ensure_future(context.rig.call(path, id=context.killed))
        await asyncio.sleep(0.5)
        context.process.kill()
        await asyncio.gather(call, return_exceptions=True)

    run(context, stream_and_kill())
    before = context.process.stdout.read().decode().splitlines()
    context.process = start(context.process.args[1])
    run(context, wait_ready(context))
    context.earlier_log = before


@then("the report tells where the killed request was sent, and that its end is not known")
def then_unknown_end(context):
    context.log = context.earlier_log + read_log(context)
    story = explain(context, context.killed)
    assert " sent " in story and "server=i-model" in story, story
    assert "no line tells how the request ended" in story, story


@when("the settings change to a retry slack of {slack} before a hangup")
def when_hangup(context, slack):
    context.sections["retries"] = {"retry_slack": slack}
    Path(context.process.args[1]).write_text(write(context.sections).read_text())
    context.process.send_signal(signal.SIGHUP)
    time.sleep(0.3)
