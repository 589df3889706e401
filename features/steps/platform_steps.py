"""Steps for the adapter of the users' platform."""

import asyncio
import json
import re
from pathlib import Path

from behave import given, then, when
from gateway_support import build_config, free_port
from returns.result import Failure
from support import call_server_that_stops

from bilberryshed.coordination import BackendRegistry, RouteIndex
from bilberryshed.platform._config import decode_table as decode_steps
from bilberryshed.platform._store import PlatformStore
from bilberryshed.state import Address, BackendServer, Put, Row, RowRef
from bilberryshed_standins import RowStore, serve_row_store

PRODUCT_ROOT = Path(__file__).parents[2] / "src" / "bilberryshed"
PLATFORM_NAMES = (
    r"x-(attempt-id|deadline-ms|key|tenant|target-instance|not-executed|response-signature)"
    r"|x-(token-usage|prompt-prefix|model-name|request-priority|kv-replica|pin-ms)"
    r"|kv-from|kv-fetch|rows-(tx|get|feed|parts)|blob-put"
)
PLATFORM_FIELDS = (
    r"\b(routeTable|pathPrefix|trafficSplit|apiKeys|maxAttempts|targetLatencyMs|timeoutMs"
    r"|rowVersion|tableName|hasMore|serverTimeMs|nodeName)\b"
)
TABLE = "things"


def run(context, coroutine):
    """Run a coroutine on the scenario's event loop."""
    return context.loop.run_until_complete(coroutine)


@then("no header, path or field of the platform is used outside its adapter")
def then_no_names(context):
    found = []
    for path in sorted(PRODUCT_ROOT.rglob("*.py")):
        if PRODUCT_ROOT / "platform" in path.parents:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if re.search(PLATFORM_NAMES, line, re.IGNORECASE) or re.search(PLATFORM_FIELDS, line):
                found.append(f"{path.relative_to(PRODUCT_ROOT)}:{number}: {line.strip()}")
    assert not found, "\n".join(found)


def decode_table(data):
    """Run all steps in which a config is decoded; return the result."""
    steps = decode_steps(data)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


# Configs ------------------------------------------------------------------------------------


def invalid_config(fault):
    """Return an encoded config with a fault."""
    value = build_config()
    first_route = value["routeTable"][0]
    if fault == "invalid JSON":
        return b"{"
    if fault == "a list":
        return b"[]"
    if fault == "no version":
        del value["version"]
    elif fault == "a string as version":
        value["version"] = "7"
    elif fault == "a string as route":
        value["routeTable"][0] = "r"
    elif fault == "a route without a host":
        del first_route["host"]
    elif fault == "an unknown kind":
        first_route["kind"] = "batch"
    elif fault == "a negative timeout":
        first_route["timeoutMs"] = -1
    elif fault == "a service that is missing":
        first_route["service"] = "nowhere"
    elif fault == "a string as total":
        value["tenants"][0]["prepaid"] = "many"
    return json.dumps(value).encode()


@when("a config with {fault} is decoded")
def when_decoded(context, fault):
    context.decoded = decode_table(invalid_config(fault))


@then("the finding names {location}")
def then_finding(context, location):
    assert isinstance(context.decoded, Failure), context.decoded
    assert location in str(context.decoded.failure()), context.decoded.failure()


@when("the example config is decoded")
def when_example(context):
    value = build_config()
    split = [{"service": "model", "weight": 90}, {"service": "desk", "weight": 10}]
    value["routeTable"][0]["trafficSplit"] = split
    context.route_table = decode_table(json.dumps(value).encode()).unwrap()


@then("a split of 90 to 10 sends traffic to both services in that proportion")
def then_split(context):
    index = RouteIndex(context.route_table)
    route = context.route_table.routes[0]
    drawn = [index.service(route, draw / 1000) for draw in range(1000)]
    assert drawn.count("model") == 900 and drawn.count("desk") == 100


@then("the stream is resumable and has 4 tokens per event")
def then_stream(context):
    assert context.route_table.routes[0].retryable and not context.route_table.routes[1].retryable
    assert context.route_table.services["model"].tokens_per_event == 4


# Store --------------------------------------------------------------------------------------


def start_store(context):
    """Start a stand-in for the store and create a client of it."""

    async def start():
        context.row_store = RowStore()
        server, port = serve_row_store(context.row_store)
        context.add_cleanup(server.stop)
        return PlatformStore(Address("127.0.0.1", port), 0.4)

    context.client = run(context, start())


@given('a store with the row "{key}" set to {value:d}')
def given_row(context, key, value):
    start_store(context)
    context.row_store.put(TABLE, key, {"n": value})


@given("a store with {count:d} rows")
def given_rows(context, count):
    start_store(context)
    for number in range(count):
        context.row_store.put(TABLE, f"{number:05d}", {"n": number})


@given("the store is {fault:w}")
def given_fault(context, fault):
    if fault == "gone":
        context.client = PlatformStore(Address("127.0.0.1", free_port()), 0.4)
    else:
        context.row_store.fault = fault


@when('the row "{key}" is written with {value:d}')
def when_written(context, key, value):
    version = context.row_store.current_version((TABLE, key))
    put = Put(RowRef(TABLE, key), version, {"n": value})
    context.written = run(context, context.client.write((put,)))


@when('the response to a {call:w} stops after "{text}" of its head')
def when_head_stops(context, call, text):
    ref = RowRef(TABLE, "a")

    def send(address):
        store = PlatformStore(address, 2.0)
        return store.read((ref,)) if call == "read" else store.write((Put(ref, 1, {"n": 2}),))

    context.written = run(context, call_server_that_stops(text, send))


@then("the call has failed, and {expected} ambiguous")
def then_ambiguity(context, expected):
    assert isinstance(context.written, Failure), context.written
    assert context.written.failure().ambiguous == (expected == "is"), context.written


@when('the row "{key}" is written with {value:d} and an outdated version')
def when_written_old(context, key, value):
    put = Put(RowRef(TABLE, key), 0, {"n": value})
    context.written = run(context, context.client.write((put,)))


@then("the write is {reported}")
def then_written(context, reported):
    if isinstance(context.written, Failure):
        found = "unconfirmed" if context.written.failure().ambiguous else "not committed"
    else:
        found = "committed" if context.written.unwrap() else "rejected"
    assert found == reported, context.written


@then('after {seconds:d} s the row "{key}" is {value:d}')
def then_value(context, seconds, key, value):
    run(context, asyncio.sleep(seconds))
    assert context.row_store.value(TABLE, key) == {"n": value}


@then("a scan returns {count:d} rows in order")
def then_scan(context, count):
    rows = run(context, context.client.scan(TABLE, "", "", 10_000)).unwrap()
    assert [row.value["n"] for row in rows] == list(range(count))
    assert all(isinstance(row, Row) for row in rows)


@then("a snapshot returns {count:d} rows")
def then_snapshot(context, count):
    assert len(run(context, context.client.snapshot(TABLE)).unwrap().rows) == count


# Entries ------------------------------------------------------------------------------------


@given("a backend server that is registered in the store")
def given_listed(context):
    context.registry = BackendRegistry()
    context.entry = BackendServer("i-1", "desk", "127.0.0.1:80", "quay", 6, False)
    context.registry.on_reachable(0.0)
    context.registry.put(0.0, context.entry)


@when("the store is unreachable for {seconds:d} s and the entry is missing {moment}")
def when_entry_missing(context, seconds, moment):
    registry = context.registry
    if moment == "before the outage":
        registry.remove(0.0, "i-1")
    registry.on_outage()
    registry.on_reachable(float(seconds))
    registry.retain_only(float(seconds), set())
    if moment == "after the outage until it reappears":
        registry.put(float(seconds), context.entry)
    context.recovered_at = float(seconds)


@then("after {seconds:d} s the backend server is {state}")
def then_registry_state(context, seconds, state):
    context.registry.expire(context.recovered_at + seconds)
    assert ("i-1" in context.registry.servers) == (state == "kept")
