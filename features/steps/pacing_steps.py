"""Steps for the pace of servers that have started or recovered."""

import asyncio
from dataclasses import replace
from functools import cache

from behave import given, then, when
from gateway_steps import run
from pacing_support import SEEDS, replay
from server_limit_steps import send_load

from bilberryshed.coordination import BackendDemand, BackendPool
from bilberryshed.coordination.pacing import Pacing
from bilberryshed.state import BackendServer

NOW = 10.0
PLAIN = BackendDemand("", 1)


@cache
def result(scenario, strategy):
    """Return the result of a replay; the scenarios of the feature share it."""
    return replay(scenario, strategy)


@when('the return "{scenario}" is replayed with {seeds:d} seeds')
def when_returned(context, scenario, seeds):
    assert seeds == len(SEEDS)
    context.scenario_name = scenario


@then("pacing takes at most half the time of the clock alone until the server carries its share")
def then_fast(context):
    own = result(context.scenario_name, "pacing")
    clock = result(context.scenario_name, "clock alone")
    assert own.seconds <= clock.seconds / 2, (own, clock)


@then("pacing has no more late answers than the constant rate")
def then_not_late(context):
    own = result(context.scenario_name, "pacing")
    constant = result(context.scenario_name, "constant rate")
    assert own.late <= constant.late, (own, constant)


@then("pacing has at most a half of the late answers of {strategy}")
def then_fewer_late(context, strategy):
    own, other = result(context.scenario_name, "pacing"), result(context.scenario_name, strategy)
    assert own.late <= other.late / 2, (own, other)


# Decisions ----------------------------------------------------------------------------------


@when("a gateway with pacing learns: {events}")
def when_pacing_events(context, events):
    context.pool = pool = BackendPool("quay")
    pool.pacing = Pacing("gate-1")
    entries = {}
    for event in events.split("; "):
        what, *ids = event.split()
        for id_ in ids:
            if what in ("refused", "failed"):
                record_trouble(pool, id_, what)
                continue
            entry = entries.get(id_, BackendServer(id_, "desk", id_, "quay", 8, False, 1, 1))
            entries[id_] = replace(entry, started_at_ms=2) if what == "restart" else entry
        pool.set_servers({} if what == "gone" else entries, NOW)


def record_trouble(pool, id_, what):
    """Record a refused connection, or as many failures as eject a server."""
    view = pool.views[id_]
    if what == "refused":
        pool.on_connection_refused(NOW, view)
    while what == "failed" and not view.ejected_until:
        pool.on_outcome(NOW, view, failed=True)


@then("it paces {paced}")
def then_paced(context, paced):
    assert " ".join(context.pool.pacing.paces) == paced.replace("none", ""), paced


def begin_requests(context, count):
    """Begin requests at one time, and return how many each server got."""
    for _ in range(count):
        view = context.pool.choose(NOW, "desk", PLAIN, frozenset())
        assert view is not None
        context.pool.begin(NOW, view, PLAIN)
    return {id_: view.running for id_, view in context.pool.views.items()}


@then("{count:d} requests that begin at once are all sent, and about as many to each server")
def then_all_sent(context, count):
    sent = begin_requests(context, count)
    assert sum(sent.values()) == count and max(sent.values()) - min(sent.values()) <= 2, sent


@then("of {count:d} requests that begin at once, {few:d} is sent to {server}")
def then_few(context, count, few, server):
    assert begin_requests(context, count)[server] == few


# Gateways -----------------------------------------------------------------------------------


@given("{count:d} gateways that pace")
def given_pacing_gateways(context, count):
    async def start():
        await context.harness.kill_gateway("gate-1")
        context.harness.pace = True
        for number in range(1, count + 1):
            await context.harness.add_gateway(f"gate-{number}")
        gateways = context.harness.gateways.values()
        await context.harness.wait_until(
            lambda: all(len(g.context.peer_links) == count - 1 for g in gateways)
        )

    run(context, start())


def paces(context):
    """Return the paces of all gateways."""
    pools = [gateway.context.backends for gateway in context.harness.gateways.values()]
    return [pace for pool in pools for pace in pool.pacing.paces]


@when(
    "plain server {number:d} restarts and {rate:d} plain requests a second reach {count:d} "
    "gateways for {seconds:d} s"
)
def when_restarted(context, number, rate, count, seconds):
    async def restart_and_send():
        context.restarted = context.harness.backends[f"i-desk-{number}"]
        for id_ in ("i-desk-1", "i-desk-2", "i-desk-3"):
            context.harness.backends[id_].script.extend(["slow 0.2"] * rate * seconds)
        context.harness.register(f"i-desk-{number}", "desk", born=7, sequence=2)
        await context.harness.wait_until(lambda: len(paces(context)) == count)
        context.began_at, context.seconds = asyncio.get_running_loop().time(), seconds
        names = sorted(context.harness.gateways)[:count]
        context.results = await send_load(context, rate, names, seconds, "/look/1")

    run(context, restart_and_send())


@then("all plain requests were served, and no gateway paces any more")
def then_served(context):
    assert all(response.status == 200 for response, _ in context.results)
    assert not paces(context)


@then(
    "plain server {number:d} got at most {most:d} in the first 0.3 s, and at least {least:d} in "
    "the last second"
)
def then_share(context, number, most, least):
    times = [request.at - context.began_at for request in context.restarted.received]
    first = sum(0.0 <= at < 0.3 for at in times)
    last = sum(at >= context.seconds - 1.0 for at in times)
    assert first <= most and last >= least, (first, last)
