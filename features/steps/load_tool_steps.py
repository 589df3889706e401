"""Steps for the load tool's ports and the test scripts."""

import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from bilberryshed_load import free_port
from bilberryshed_load._simulated_time import run_in_simulated_time

EPHEMERAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


@when("{count:d} ports are chosen for listeners")
def when_ports(context, count):
    context.ports = [free_port() for _ in range(count)]


@then("none lies in the system's ephemeral port range")
def then_no_ephemeral_port(context):
    first, last = (int(port) for port in EPHEMERAL_PORT_RANGE.read_text().split())
    assert not [port for port in context.ports if first <= port <= last], context.ports


@then("no two are the same")
def then_distinct(context):
    assert len(set(context.ports)) == len(context.ports)


@when("{count:d} ports are chosen while the next candidate port is in use")
def when_ports_occupied(context, count):
    with socket.socket() as listener:
        context.occupied = free_port() + 1
        listener.bind(("127.0.0.1", context.occupied))
        listener.listen()
        context.ports = [free_port() for _ in range(count)]


@then("the occupied port is not among them")
def then_not_occupied(context):
    assert context.occupied not in context.ports, context.ports


@when('a test report with a failed step "{step}" and the message "{message}" is counted')
def when_counted(context, step, message):
    passed_scenario = {"type": "scenario", "status": "passed", "steps": []}
    result = {"status": "error", "error_message": [message]}
    failed_scenario = {
        "type": "scenario",
        "status": "failed",
        "name": "A fleet",
        "location": "features/x.feature:7",
        "steps": [{"name": step, "result": result}],
    }
    context.expected = ("features/x.feature:7", step, message)
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "report.json"
        path.write_text(json.dumps([{"elements": [passed_scenario, failed_scenario]}]))
        command = [sys.executable, "scripts/count_results.py", str(path)]
        context.output = subprocess.run(command, capture_output=True, text=True).stdout


@then("the output names features/x.feature:7, the step and the message")
def then_output(context):
    assert all(text in context.output for text in context.expected), context.output


@then('the last output line is "{line}"')
def then_last_line(context, line):
    assert context.output.splitlines()[-1] == line, context.output


@given("{count:d} open files")
def given_open_files(context, count):
    descriptors = [os.open(os.devnull, os.O_RDONLY) for _ in range(count)]
    context.add_cleanup(lambda: [os.close(descriptor) for descriptor in descriptors])


@then("a sleep of {seconds:d} s in simulated time ends {elapsed:d} s later")
def then_sleeps(context, seconds, elapsed):
    async def sleep():
        loop = asyncio.get_running_loop()
        start = loop.time()
        await asyncio.sleep(seconds)
        return loop.time() - start

    assert abs(run_in_simulated_time(sleep()) - elapsed) < 1e-6
