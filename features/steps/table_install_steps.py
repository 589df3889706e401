"""Steps for the install of large route tables."""

import asyncio
import json
import re
import subprocess
import sys
import time
from pathlib import Path

import structlog
from behave import given, then, when
from gateway_program_steps import (
    _GatewayProcess,
    build_settings,
    run,
    wait_ready,
    write_settings,
)
from gateway_support import CUSTOMER, build_config, build_route
from returns.result import Failure

from bilberryshed.coordination import trace_tokens
from bilberryshed.gateway._table_install import compress_table, decompress_table

PROGRAM = Path(__file__).parents[1] / "measured_gateway.py"
SETTLE_TIME = 1.5  # seconds for periodic work with the new customers, which is measured as well
ODD_NAME = 'two words = "quoted" \\ é'


@given("a gateway process whose turns are measured")
def given_measured_process(context):
    run(context, context.harness.close_gateways())
    context.sections = build_settings(context)
    path = write_settings(context.sections)
    context.turns_path, context.log_path = path.with_name("turns"), path.with_name("log")
    with context.turns_path.open("w") as turns, context.log_path.open("w") as log:
        command = [sys.executable, str(PROGRAM), str(path)]
        context.process = subprocess.Popen(command, stdout=log, stderr=turns)
    context.add_cleanup(end_process, context.process)
    context.harness.gateways["gate-1"] = _GatewayProcess(context.sections["vm"]["listen"])
    run(context, wait_ready(context))


def end_process(process):
    """Kill a process if it still runs."""
    if process.poll() is None:
        process.kill()
        process.wait()


def large_config(version, routes, customers):
    """Return an encoded config; all customers but the first one differ in each version."""
    others = [build_route(f"more-{n}", f"/more/{n}/", "desk") for n in range(routes)]
    new = build_route("newest", f"/version-{version}/", "desk")
    tenants = [
        {"name": f"customer-{n}", "apiKeys": [f"k-{n}"], "priority": 1, "prepaid": 1000 + version}
        for n in range(customers - 1)
    ]
    odd = {"name": ODD_NAME, "apiKeys": ["k-odd"], "prepaid": 1000 + version}
    config = build_config(version)
    config["routeTable"] += [*others, new]
    config["tenants"] += [*tenants, odd]
    return json.dumps(config).encode()


@when(
    "the operator writes {count:d} configs with {routes:d} routes and {customers:d} changed "
    "customers within {seconds:g} s"
)
def when_configs(context, count, routes, customers, seconds):
    configs = [large_config(10 + n, routes, customers) for n in range(count)]
    context.version, context.customers = 10 + count - 1, customers
    context.statuses = []

    async def write():
        for config in configs:
            context.harness.store.put("op", "config", config)
            await asyncio.sleep(seconds / count)

    async def call_until_written(writer):
        while not writer.done():
            response = await context.harness.call("/look/1", method="GET")
            context.statuses.append(response.status)
            await asyncio.sleep(0.01)

    async def both():
        writer = asyncio.ensure_future(write())
        await asyncio.gather(writer, call_until_written(writer))

    context.written_at = time.monotonic()
    run(context, both())


@then(
    "the last config is in force within {seconds:g} s, and every request meanwhile has got "
    "status {status:d}"
)
def then_in_force(context, seconds, status):
    async def wait():
        path, found = f"/version-{context.version}/1", 0
        while found != 200:
            found = (await context.harness.call(path, method="GET")).status
            await asyncio.sleep(0.02)

    run(context, asyncio.wait_for(wait(), seconds))
    run(context, asyncio.sleep(SETTLE_TIME))
    assert context.statuses and set(context.statuses) == {status}, context.statuses


@then("no turn of the event loop has taken over {limit:g} ms")
def then_turns(context, limit):
    lines = [line.split() for line in context.turns_path.read_text().splitlines()]
    lengths = [float(ms) for at, ms in lines if float(at) >= context.written_at]
    longest = sorted(lengths, reverse=True)[:5]
    print("longest turns:", longest)
    assert not longest or longest[0] <= limit, longest


@then("the log has a line with the time of each install, and versions that never go back")
def then_log(context):
    context.process.terminate()
    assert context.process.wait(10) == 0, context.turns_path.read_text()
    context.log = context.log_path.read_text().splitlines()
    lines = [line for line in context.log if " event=route_table " in line]
    versions = [int(re.search(r" version=(\d+)", line)[1]) for line in lines]
    assert versions == sorted(set(versions)) and versions[-1] == context.version, versions
    assert all(re.search(r" ms=[\d.]+", line) for line in lines), lines


@then("the report knows the total of each customer")
def then_report(context):
    report = trace_tokens({"gate-1.log": "\n".join(context.log)})
    totals = {trace.customer: trace.total for trace in report.traces}
    expected = {f"customer-{n}": 1000 + context.version for n in range(context.customers - 1)}
    expected |= {ODD_NAME: 1000 + context.version, CUSTOMER: 1_000_000}
    assert totals == expected, (len(totals), len(expected), report.unreadable)


# In this process ----------------------------------------------------------------------------


def small_config(text):
    """Return an encoded config.

    :param text: its version, none if it states none, then "faulty" if it has a fault
    """
    number = re.match(r"\d*", text)[0]
    config = build_config(int(number) if number else None)
    if "faulty" in text:
        del config["routeTable"][0]["host"]
    return json.dumps(config).encode()


async def install(context, batches):
    """Install configs, each batch once the one before is being decoded; record the log."""
    installer = context.harness.gateways["gate-1"].route_table_updater.installer
    with structlog.testing.capture_logs() as context.events:
        for texts in batches:
            for text in texts:
                installer.install(small_config(text), f"peer of {text.split()[0]}")
            await asyncio.sleep(0)
        await context.harness.wait_until(lambda: not installer.busy)


@when("configs of the versions {texts} arrive at once")
def when_arrive(context, texts):
    run(context, install(context, [texts.split(", ")]))


@when("a config of version {first} is being installed, and the versions {texts} arrive")
def when_arrive_later(context, first, texts):
    run(context, install(context, [[first], texts.split(", ")]))


@then(
    "the versions {installed} have been installed, {skipped} skipped, and {unreadable} reported "
    "as unreadable"
)
def then_installed(context, installed, skipped, unreadable):
    def found(event, field):
        return [str(e[field]) for e in context.events if e["event"] == event]

    def expected(texts):
        return [] if texts == "no" else texts.split(", ")

    assert found("route_table", "version") == expected(installed), context.events
    assert found("route_table_skipped", "version") == expected(skipped), context.events
    sources = found("route_table_unreadable", "source")
    names = ["faulty" if text == "no version" else text for text in expected(unreadable)]
    assert sources == [f"peer of {name}" for name in names], context.events
    findings = found("route_table_unreadable", "finding")
    assert all("routeTable[0].host" in finding for finding in findings), findings


def run_steps(steps):
    """Run the steps of a computation to the end; return its result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


@given("a table of {size:d} bytes as a peer sends it, {case}")
def given_table(context, size, case):
    context.whole = (b"0123456789abcdef" * (size // 16 + 1))[:size]
    context.sent = run_steps(compress_table(context.whole))
    if case == "cut off":
        context.sent = context.sent[:-10]
    elif case == "overwritten":
        middle = len(context.sent) // 2
        context.sent = context.sent[:middle] + b"\xff" * 20 + context.sent[middle + 20 :]


@then("it is received as {result}")
def then_received(context, result):
    received = run_steps(decompress_table(context.sent))
    if result == "sent":
        assert received.unwrap() == context.whole
    else:
        assert isinstance(received, Failure), received
