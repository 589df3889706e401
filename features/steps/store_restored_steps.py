"""Steps for a store that comes back from a copy, and the gateways that use it."""

import asyncio
from unittest import mock

from behave import given, then, when
from gateway_steps import run, stored_config_version
from gateway_support import build_config, build_route
from platform_steps import TABLE
from returns.result import Failure

from bilberryshed.gateway._peers import GATEWAY_TABLE

FOLLOW_TIME = 1.6  # seconds in which a gateway reads the newest version of each table
AWAY_TIME = 0.3  # seconds for which the store is away
APPLY_TIMEOUT = 3.0  # seconds in which a gateway must apply a change


def add_versions(store, count):
    """Give out versions to rows of a table that no gateway uses."""
    for number in range(count):
        store.put("unrelated", f"{number}", {"n": number})


def put_added_route(store, version):
    """Write a config that has a route ``/added/``."""
    routes = build_config()["routeTable"]
    added = build_route("added", "/added/", "desk")
    store.put("op", "config", build_config(version, routeTable=[*routes, added]))


@given("a copy of the store, and {count:d} more versions that the gateway has read")
def given_copy_and_versions(context, count):
    store = context.harness.store
    context.copy = store.copy()
    add_versions(store, count)
    context.read_version = store.version
    run(context, asyncio.sleep(FOLLOW_TIME))


@given('a copy of the store, and a route "/added/" after it')
def given_copy_and_route(context):
    store = context.harness.store
    context.copy = store.copy()
    put_added_route(store, stored_config_version(context) + 3)
    run(context, wait_for_status(context.harness, "/added/x", 200))


@given("a copy of the store, after which plain server {number:d} is {state}")
def given_copy_and_state(context, number, state):
    harness, id_ = context.harness, f"i-desk-{number}"
    context.copy = harness.store.copy()
    if state == "draining":
        harness.register(id_, "desk", state="draining", sequence=2)
    else:
        harness.store.remove("servers", id_)
    run(context, asyncio.sleep(FOLLOW_TIME))
    context.executed_before = len(harness.backends[id_].executed)


@when(
    "the store is away, comes back from the copy, and counts past these versions after a {change}"
)
def when_restored_after(context, change):
    async def restore():
        harness, store = context.harness, context.harness.store
        store.fault = "busy"
        await asyncio.sleep(AWAY_TIME)
        store.restore(context.copy)
        if change == "new route":
            put_added_route(store, stored_config_version(context) + 3)
        elif change == "start of a drain":
            harness.register("i-desk-1", "desk", state="draining", sequence=2)
        elif change == "removal of a plain server":
            store.remove("servers", "i-desk-1")
        else:
            await harness.add_backend("i-desk-3", "desk")
        assert store.version < context.read_version, "the change has a version that was read before"
        add_versions(store, 2 * context.read_version)
        store.fault = "ok"

    run(context, restore())


@when("the store comes back from the copy and nothing is written again for {seconds:d} s")
def when_restored_without_rewrites(context, seconds):
    context.harness.store.restore(context.copy, rewritten=())
    run(context, asyncio.sleep(seconds))


@when("the store comes back from the copy and plain server {number:d} registers again")
def when_restored_and_registered(context, number):
    context.harness.store.restore(context.copy, rewritten=())
    context.harness.register(f"i-desk-{number}", "desk", sequence=3)
    run(context, asyncio.sleep(FOLLOW_TIME))


async def wait_for_status(harness, path, status):
    """Repeat a request until it has a status.

    :raises AssertionError: if it has not within ``APPLY_TIMEOUT``
    """
    deadline = asyncio.get_running_loop().time() + APPLY_TIMEOUT
    while True:
        response = await harness.call(path, method="GET")
        if response.status == status:
            return
        assert asyncio.get_running_loop().time() < deadline, response
        await asyncio.sleep(0.05)


@then("within 3 s the gateway applies the {change}")
def then_applied(context, change):
    harness = context.harness
    views = harness.gateways["gate-1"].context.backends.views
    conditions = {
        "start of a drain": lambda: views["i-desk-1"].is_leaving,
        "removal of a plain server": lambda: "i-desk-1" not in views,
        "registration of a server": lambda: "i-desk-3" in views,
    }
    if change == "new route":
        run(context, wait_for_status(harness, "/added/x", 200))
    else:
        run(context, harness.wait_until(conditions[change], APPLY_TIMEOUT))


@then('requests to "{path}" are still served')
def then_still_served(context, path):
    responses = [run(context, context.harness.call(path, method="GET")) for _ in range(5)]
    assert [response.status for response in responses] == [200] * 5, responses


def count_executed(context, number, requests):
    """Send requests, and return how many of them a plain server executed."""
    harness = context.harness
    backend = harness.backends[f"i-desk-{number}"]
    before = len(backend.executed)
    for _ in range(requests):
        assert run(context, harness.call("/look/x", method="GET")).status == 200
    return len(backend.executed) - before


@then("plain server {number:d} gets none of {requests:d} requests")
def then_no_work(context, number, requests):
    assert count_executed(context, number, requests) == 0


@then("plain server {number:d} gets some of {requests:d} requests")
def then_some_work(context, number, requests):
    assert count_executed(context, number, requests) > 0


@when("the store is restored from a copy while the second page is read")
def when_restored_between_pages(context):
    store, client = context.row_store, context.client
    pages = []
    read_page = client._page

    async def page_then_restore(*args):
        page = await read_page(*args)
        pages.append(page)
        if len(pages) == 1:
            store.restore(store.copy())
        return page

    context.scan_result = run_with_pages(context, client, page_then_restore)


def run_with_pages(context, client, read_page):
    """Scan with a replaced method that reads one page."""
    with mock.patch.object(type(client), "_page", lambda self, *args: read_page(*args)):
        return run(context, client.scan(TABLE, "", "", 10_000))


@then("the scan fails, and the next one returns {count:d} rows")
def then_scan_failed(context, count):
    assert isinstance(context.scan_result, Failure), "rows of both epochs were returned"
    assert len(run(context, context.client.scan(TABLE, "", "", 10_000)).unwrap()) == count


@given('a copy of the store, after which the gateway "{name}" is added')
def given_copy_and_gateway(context, name):
    context.copy = context.harness.store.copy()
    run(context, context.harness.add_gateway(name))


@when('the gateway "{name}" is added')
def when_gateway_added(context, name):
    run(context, context.harness.add_gateway(name))


@then('within {seconds:d} s "{name}" is linked to "{peer}"')
def then_linked(context, seconds, name, peer):
    links = context.harness.gateways[name].context.peer_links
    run(context, context.harness.wait_until(lambda: peer in links, float(seconds)))


@when("the store comes back from the copy, and {seconds:d} s pass")
def when_restored_and_passed(context, seconds):
    context.harness.store.restore(context.copy)
    run(context, asyncio.sleep(seconds))


@when("the second gateway is stopped as planned")
def when_second_gateway_stopped(context):
    harness = context.harness
    harness.stop_events["gate-2"].set()
    run(context, harness.tasks["gate-2"])


@then("the store has {count:d} entries of gateways, and the first gateway knows of {known:d}")
def then_entries_of_gateways(context, count, known):
    found = run(
        context,
        context.harness.gateways["gate-1"].context.ports.tables.scan(GATEWAY_TABLE, "", "", 10),
    )
    assert len(found.unwrap()) == count, found
    assert context.harness.gateways["gate-1"].context.gateway_count() == known
