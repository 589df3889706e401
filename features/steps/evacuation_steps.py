"""Steps for zones that are evacuated."""

import asyncio
import re
from dataclasses import replace
from unittest import mock

from behave import given, then, when
from gateway_steps import run
from returns.result import Failure

from bilberryshed.coordination.places import Evacuations, TableStamp, evacuated_zone
from bilberryshed.state import StoreError
from bilberryshed.transport import ConnectionPool

READ_TIME = 1.0  # seconds in which a gateway reads a changed entry
REQUEST_INTERVAL = 0.02  # seconds
STEP = re.compile(r"(\S+) (snapshot|rows|notice) (\d+)\.(\d+) (\S+)")


def gateway(context, name="gate-1"):
    return context.harness.gateways[name].context


@when("news of evacuations come in: {events}")
def when_events(context, events):
    context.evacuations = Evacuations()
    for event in events.split("; "):
        at, kind, epoch, version, text = STEP.fullmatch(event).groups()
        apply_event(
            context.evacuations, float(at), kind, TableStamp(int(epoch), int(version)), text
        )


def apply_event(evacuations, now, kind, stamp, text):
    """Apply a read of the store or a notice of a peer."""
    names = set() if text == "none" else set(text.split(","))
    missing = frozenset(name.strip("()") for name in names if name.startswith("("))
    ordered = frozenset(name for name in names if name[0] not in "(-")
    if kind == "snapshot":
        evacuations.on_snapshot(now, stamp, ordered)
    elif kind == "rows":
        evacuations.on_changes(now, stamp, {n.lstrip("-"): n in ordered for n in names})
    else:
        evacuations.on_notice(now, stamp, ordered, missing)


@then("the zones that it takes as evacuated are: {zones}")
def then_zones(context, zones):
    assert ",".join(sorted(context.evacuations.zones)) == zones.replace("none", ""), zones


@then("the key names the zone {zone}")
def then_key_names(context, zone):
    key = context.active_outline["key"].replace("\\x00", "\x00")
    expected = {"invalid": "", "none": None}.get(zone, zone)
    assert evacuated_zone(key, "evacuate/") == expected


# Gateways -----------------------------------------------------------------------------------


@given('plain server {number:d} is in zone "{zone}"')
def given_zone(context, number, zone):
    id_ = f"i-desk-{number}"
    context.harness.register(id_, "desk", zone=zone, sequence=2)
    pools = [g.context.backends for g in context.harness.gateways.values()]
    for pool in pools:
        pool.zone = ""  # plain requests prefer the own zone, and then the first of equal servers
    moved = lambda: all(pool.views[id_].server.zone == zone for pool in pools)  # noqa: E731
    run(context, context.harness.wait_until(moved))


@given('the zone "{zone}" is evacuated')
@when('the zone "{zone}" is evacuated')
def when_evacuated(context, zone):
    context.harness.store.put("op", f"evacuate/{zone}", {})
    known = lambda: zone in gateway(context).backends.evacuated  # noqa: E731
    run(context, context.harness.wait_until(known, READ_TIME))
    gauge = f'bilberryshed_evacuated_zone{{zone="{zone}"}} 1.0'
    assert gauge in run(context, rendered_metrics(context))


async def rendered_metrics(context):
    return context.harness.gateways["gate-1"].metrics.render().decode()


@when('the evacuation of "{zone}" ends')
def when_ended(context, zone):
    context.harness.store.remove("op", f"evacuate/{zone}")


@when(
    "requests reach both gateways for {seconds:g} s, and after {delay:g} s the zone "
    '"{zone}" is evacuated'
)
def when_requests(context, seconds, delay, zone):
    async def order():
        await asyncio.sleep(delay)
        context.ordered_at = asyncio.get_running_loop().time()
        context.harness.store.put("op", f"evacuate/{zone}", {})

    async def send_all():
        ordering, tasks = asyncio.ensure_future(order()), []
        for number in range(int(seconds / REQUEST_INTERVAL)):
            call = context.harness.call("/look/x", f"gate-{number % 2 + 1}", "GET")
            tasks.append(asyncio.ensure_future(call))
            await asyncio.sleep(REQUEST_INTERVAL)
        context.responses = await asyncio.gather(*tasks)
        await ordering

    run(context, send_all())


@then("plain server {number:d} got requests before, and none later than {limit:g} s after that")
def then_none_later(context, number, limit):
    arrivals = [r.at - context.ordered_at for r in received(context, number)]
    assert arrivals and arrivals[0] < 0, arrivals[:1]
    assert max(arrivals) < limit, max(arrivals)


def received(context, number):
    return context.harness.backends[f"i-desk-{number}"].received


@then("all requests were served")
def then_served(context):
    assert {response.status for response in context.responses} == {200}


@then("plain server {number:d} gets requests again within {limit:g} s")
def then_requests_again(context, number, limit):
    async def send_until_received():
        before, loop = len(received(context, number)), asyncio.get_running_loop()
        until = loop.time() + limit
        while len(received(context, number)) == before:
            assert loop.time() < until
            await asyncio.gather(*(context.harness.call("/look/x", method="GET") for _ in range(4)))

    run(context, send_until_received())


@when('a request waits for a connection while the zone "{zone}" is evacuated')
def when_waits(context, zone):
    opened = ConnectionPool.open

    async def open_late(pool, key, address, timeout):
        connection = await opened(pool, key, address, timeout)
        context.harness.store.put("op", f"evacuate/{zone}", {})
        known = lambda: zone in gateway(context).backends.evacuated  # noqa: E731
        await context.harness.wait_until(known, READ_TIME)
        return connection

    with mock.patch.object(ConnectionPool, "open", open_late):
        context.response = run(context, context.harness.call("/look/x", method="GET"))


@then('it was refused with 503, not run, with cause "{cause}", and no server got it')
def then_refused(context, cause):
    assert context.response.status == 503 and b"not run" in context.response.body
    responses = context.harness.gateways["gate-1"].metrics.responses
    assert responses.labels(503, cause)._value.get() == 1
    assert not context.harness.backends["i-desk-1"].received


@then("a request is refused with 503 and Retry-After within {limit:g} s")
def then_refused_at_once(context, limit):
    started_at = context.loop.time()
    response = run(context, context.harness.call("/look/x", method="GET"))
    assert context.loop.time() - started_at < limit
    assert response.status == 503 and float(response.headers["retry-after"]) <= 1.0, response


@when('the store turns gateway "{name}" away')
def when_turned_away(context, name):
    class AwayFeed:
        async def snapshot(self, table):
            return Failure(StoreError(False, "turned away"))

        async def changes(self, table, after, wait):
            return Failure(StoreError(False, "turned away"))

    follower = context.harness.gateways[name].route_table_updater.follower
    follower.context.ports = replace(follower.context.ports, feed=AwayFeed())
    run(context, asyncio.sleep(READ_TIME))
    assert not follower.store_up


@then('"{name}" takes "{zone}" as {state:w} within {limit:g} s')
def then_takes(context, name, zone, state, limit):
    expected = state == "evacuated"
    found = lambda: (zone in gateway(context, name).backends.evacuated) == expected  # noqa: E731
    run(context, context.harness.wait_until(found, limit))
