"""Steps for gateways that were late, and judge other gateways."""

import asyncio
import time
from unittest import mock

from behave import then, when
from gateway_steps import run
from gateway_support import CUSTOMER
from late_peers_support import LateGatewaySimulation, run_late_gateway, run_late_hub

from bilberryshed.coordination import Origin
from bilberryshed.gateway._server_limits import ServerLimits
from bilberryshed.protocol import (
    LimitNotice,
    OriginRequest,
    PermitRequest,
    PermitResponse,
    PoolChange,
)
from bilberryshed.transport import Link

KEY = 77  # of a stream
SEND_ITERATIONS = 2  # iterations of the loop in which a question is sent


def run_all(context, first, last, run):
    """Run a case with several seeds."""
    context.simulations = [run_late_gateway(seed, run) for seed in range(first, last + 1)]


@when(
    "a gateway stands still while it reads the pools, and the store comes back from a copy without "
    "grants of a living one, seeds {first:d} to {last:d}"
)
def when_late_read(context, first, last):
    run_all(context, first, last, LateGatewaySimulation.run_restart)


@when(
    "a gateway stands still while its link to another one closes, and the store is restored just "
    "after that, seeds {first:d} to {last:d}"
)
def when_late_unlinked(context, first, last):
    run_all(context, first, last, LateGatewaySimulation.run_unlinked)


@then(
    "all tokens that are left can be granted within {limit:g} s of the return of the other gateway"
)
def then_granted(context, limit):
    times = [simulation.granted_after for simulation in context.simulations]
    assert all(time is not None and time <= limit for time in times), times


@then("the gateway does not take the other one for departed")
def then_not_departed(context):
    found = [simulation.taken_for_departed for simulation in context.simulations]
    assert not any(found), found


# Questions ----------------------------------------------------------------------------------


def server_of(gateway):
    """Return the entry of a backend server that a gateway knows."""
    return min(gateway.context.backends.views.values(), key=lambda view: view.server.id).server


async def ask_permit(asker, other):
    """Ask another gateway for a permit."""
    server = server_of(asker)
    request = PermitRequest("ask", LimitNotice(server.incarnation, None, 0.0))
    return (await asker.limits._ask_peer(server, other.settings.name, request)).granted


async def ask_loan(asker, other):
    """Ask another gateway for a loan."""
    link = asker.context.peer_links[other.settings.name]
    return await asker.funds.loans._borrow_from(link, CUSTOMER, 100) is not None


async def ask_pool_change(asker, other):
    """Ask another gateway to change a pool."""
    change = PoolChange(CUSTOMER, asker.context.boot, 1)
    return await asker.funds.pool_sync.requests._request(other.settings.name, [change])


async def ask_tokens(asker, other, recall):
    """Ask another gateway for tokens."""
    peers = {other.settings.name}
    return not (await asker.funds.peers._request(peers, CUSTOMER, 10, 10, recall)).pending


async def ask_origin(asker, other):
    """Ask another gateway as a hub for the origin of a stream that it knows."""
    other.streams.origins.learn(other.context.timers.now(), (KEY,), Origin("model", "v1"))
    question = lambda ask: OriginRequest(ask, KEY, ("model",))  # noqa: E731
    return await asker.streams.queries.ask_hubs(KEY, question)


async def ask_store(asker):
    """Ask the store for tokens, which has not been read for some time."""
    asker.funds.pool_sync.read_at = float("-inf")
    return await asker.funds.pool_sync.sync_with_timeout({CUSTOMER: 100_000})


QUESTIONS = {
    "a permit": ask_permit,
    "a loan": ask_loan,
    "a change of a pool": ask_pool_change,
    "tokens that the other one has left": lambda a, b: ask_tokens(a, b, recall=True),
    "tokens that the other one acquires": lambda a, b: ask_tokens(a, b, recall=False),
    "the origin of a stream at a hub": ask_origin,
    "a stream that nobody knows": lambda asker, other: asker.streams.queries.ask_all(KEY),
    "the backend servers in the store": lambda asker, other: asker.streams.refresh(),
    "tokens from the store": lambda asker, other: ask_store(asker),
    "a higher bound in the store": lambda asker, other: asker.recorder.raise_bounds({}),
}


async def acquire_permit(asker, other):
    """Acquire a permit to send a request to a backend server that names a limit."""
    server = server_of(asker)
    asker.limits.on_response(server, 50.0, asker.context.timers.now())
    only_other = lambda limits, now: {other.settings.name: "quay"}  # noqa: E731
    with mock.patch.object(ServerLimits, "_candidates", only_other):
        return await asker.limits.acquire(server)


def hold_up(context, seconds, question):
    """Hold the event loop up after the first gateway has asked, and return the answer."""

    async def ask():
        gateways = context.harness.gateways
        call = question(gateways["gate-1"], gateways["gate-2"])
        asking = asyncio.ensure_future(call)
        for _ in range(SEND_ITERATIONS):
            await asyncio.sleep(0)
        assert not asking.done(), "the answer came before the loop was held up"
        time.sleep(seconds)
        return await asking

    return run(context, ask())


@when("the event loop is held up for {seconds:g} s while the first gateway asks for {question}")
def when_held_up(context, seconds, question):
    context.answer = hold_up(context, seconds, QUESTIONS[question])


@when(
    "the event loop is held up for {seconds:g} s while the first gateway acquires a permit to send "
    "a request"
)
def when_permit_held_up(context, seconds):
    context.answer = hold_up(context, seconds, acquire_permit)


@then("it sends none, and asks again within {limit:g} s, as nobody is suspected")
def then_asks_again(context, limit):
    assert 0 < context.answer <= limit, context.answer
    limits = context.harness.gateways["gate-1"].limits
    assert not limits.permits and not limits.suspected_until, (
        limits.permits,
        limits.suspected_until,
    )


@then("it is answered")
def then_answered(context):
    assert context.answer, context.answer


@when("the first gateway asks for a permit, and the other one does not answer for {seconds:g} s")
def when_unanswered(context, seconds):
    async def ask():
        gateways = context.harness.gateways
        asker, other = gateways["gate-1"], gateways["gate-2"]
        send = Link.send

        def send_late(link, message):
            delay = seconds if isinstance(message, PermitResponse) else 0.0
            asyncio.get_running_loop().call_later(delay, send, link, message)

        with mock.patch.object(Link, "send", send_late):
            return await ask_permit(asker, other)

    context.answer = run(context, ask())


@then("it is not answered, and the other one is suspected")
def then_suspected(context):
    assert not context.answer, context.answer
    assert "gate-2" in context.harness.gateways["gate-1"].limits.suspected_until


# Loads --------------------------------------------------------------------------------------


@when("a hub stands still for {still:g} s, {age:g} s after a member reported its load")
def when_hub_stopped(context, still, age):
    context.members = run_late_hub(age, still)


@then("it has {counted} that load")
def then_load(context, counted):
    assert bool(context.members) == (counted == "kept"), context.members
