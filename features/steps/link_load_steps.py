"""Steps for the load of a VM's network link."""

import asyncio
import re
import urllib.request
from types import SimpleNamespace

from behave import given, then, when
from gateway_program_steps import (
    _GatewayProcess,
    build_settings,
    run,
    start_gateway,
    stop_process,
    wait_ready,
    write_settings,
)

from bilberryshed.coordination.admission import (
    ByteCounter,
    LinkDemand,
    LinkMeter,
    LinkPeers,
    LinkReadiness,
    LinkState,
    longest_wait,
)
from bilberryshed.transport import ConnectTimeoutError

STEP = 0.1  # seconds between updates
BANDWIDTH = 5.0  # Mbit/s
MOVE_TIME = 2.0  # seconds after which the callers of a gateway that is not ready have moved


class FakeGateway:
    """Decisions of one gateway whose link is used as told."""

    def __init__(self, name="gate-1"):
        self.name = name
        self.counter = ByteCounter()
        self.meter = LinkMeter(self.counter, BANDWIDTH)
        self.readiness = LinkReadiness()
        self.peers = LinkPeers()
        self.away = []  # times at which it was away

    def step(self, now, use, names=("gate-2", "gate-3", "gate-4")):
        """Use the link until a time, and decide."""
        self.counter.received += round(use * STEP * self.meter.capacity)
        self.meter.update(now)
        allowed = self.peers.allow_away(now, self.state(now), names)
        self.readiness.update(now, self.meter.use, self.meter.predicted_use, allowed)
        if self.readiness.is_away:
            self.away.append(now)

    def state(self, now):
        """Return the state that the gateway tells the others."""
        readiness = self.readiness
        use = readiness.leaving_use if readiness.is_away else self.meter.use
        return LinkState(self.name, readiness.is_full, readiness.is_away, use, now)


def times(seconds):
    """Return the times of all updates."""
    return [round(STEP * (number + 1), 1) for number in range(round(seconds / STEP))]


def absences(gateway):
    """Return the durations of the absences, in order."""
    durations, previous = [], None
    for now in gateway.away:
        if previous is None or now - previous > 1.5 * STEP:
            durations.append(0.0)
        durations[-1] += STEP
        previous = now
    return durations


@when(r"the link of a gateway is used {course}")
def when_used(context, course):
    context.gateway, start = FakeGateway(), 0.0
    for use, seconds in re.findall(r"([\d.]+) for ([\d.]+) s", course):
        for time in times(float(seconds)):
            context.gateway.step(start + time, float(use))
        start += float(seconds)


@then("the gateway gives up readiness never")
def then_never(context):
    assert not context.gateway.away, context.gateway.away[0]


@then("the gateway gives up readiness from {low:f} s to {high:f} s")
def then_between(context, low, high):
    assert low <= context.gateway.away[0] <= high, context.gateway.away[0]


@then("the gateway is away for {seconds:f} s at first, and {most:f} s at most in all")
def then_away(context, seconds, most):
    durations = absences(context.gateway)
    assert abs(durations[0] - seconds) <= 2 * STEP, durations
    assert sum(durations) <= most + 2 * STEP, durations


@then(
    "the gateway is away for {first:f} s, and then for {second:f} s, by what is allowed in a minute"
)
def then_second(context, first, second):
    durations = absences(context.gateway)
    assert abs(durations[0] - first) + abs(durations[1] - second) <= 4 * STEP, durations


@when(
    "a gateway with use {use:f} knows of {count:d} gateways in its zone, of which {away} are away"
)
def when_knows(context, use, count, away):
    names = [f"gate-{number}" for number in range(2, count + 1)]
    peers, now = LinkPeers(), 100.0
    number, *numbers = [float(text) for text in re.findall(r"[\d.]+", away)]
    for name in names[: int(number)]:
        peers.on_notice(LinkState(name, True, True, numbers[0], now - numbers[1]))
    own = LinkState("gate-1", True, False, use, now)
    context.is_allowed = peers.allow_away(now, own, names)


@when("a gateway that is away with use {own:f} hears that another is, with use {use:f}")
def when_both_away(context, own, use):
    peers, names = LinkPeers(), ["gate-2", "gate-3", "gate-4"]
    peers.on_notice(LinkState("gate-2", True, True, use, 100.0))
    state = LinkState("gate-1", True, True, own, 100.0)
    context.is_allowed = peers.allow_away(100.1, state, names)


@then("by the quota of its zone it {decision} be away")
def then_allowed(context, decision):
    assert context.is_allowed == (decision == "may"), context.is_allowed


def replay(count, load, may_move):
    """Return the gateways after a replay, and for how many seconds links were above capacity."""
    gateways = [FakeGateway(f"gate-{number}") for number in range(1, count + 1)]
    hot, above = gateways[0], 0.0
    for now in times(120.0):
        away_since = hot.readiness.away_since if hot.readiness.is_away and may_move else now
        has_moved = now - away_since >= MOVE_TIME
        for gateway in gateways:
            extra = load / (count - 1) if has_moved else load
            use = 0.1 + (extra if now > 10.0 and (gateway is hot) != has_moved else 0.0)
            above += STEP if use > 1.0 else 0.0
            gateway.step(now, min(1.0, use), [g.name for g in gateways if g is not gateway])
        states = [gateway.state(now) for gateway in gateways]
        for gateway in gateways:
            for state in states:
                gateway.peers.on_notice(state)
    return gateways, above


@when("one customer of {count:d} gateways needs {load:f} times the capacity of a link")
def when_customer(context, count, load):
    context.gateways, context.above = replay(count, load, True)
    _, context.above_before = replay(count, load, False)


@then("its gateway first gives up readiness within {seconds:f} s")
def then_first(context, seconds):
    assert context.gateways[0].away[0] - 10.0 <= seconds, context.gateways[0].away[0]


@then(
    "at most {most:d} gateways are away at the same time, and each for at most {seconds:f} s of a "
    "minute"
)
def then_bounds(context, most, seconds):
    for now in times(120.0):
        assert sum(now in gateway.away for gateway in context.gateways) <= most, now
        for gateway in context.gateways:
            away = sum(now - 60.0 < time <= now for time in gateway.away) * STEP
            assert away <= seconds + 3 * STEP, (gateway.name, now, away)


@then("links are above their capacity for fewer seconds than without")
def then_fewer(context):
    assert context.above < context.above_before - 5.0, (context.above, context.above_before)


@when(
    "a request with a target of {target:f} s and {left:d} s left, {kind}, finds that bytes wait "
    "for {wait:f} s and {peers} room"
)
def when_request(context, target, left, kind, wait, peers):
    demand = LinkDemand(target, float(left), kind == "urgent")
    context.is_refused = wait > longest_wait(demand, 0.25, peers == "others have")


@then("by its wait for the link it is {outcome}")
def then_outcome(context, outcome):
    assert context.is_refused == (outcome == "refused")


@when("the link of gateway {number:d} is full")
def when_full(context, number):
    gateway = context.harness.gateways[f"gate-{number}"]

    async def fill():
        loop = asyncio.get_running_loop()
        at, end = loop.time(), loop.time() + 5.0
        while not gateway.link_load.readiness.is_full and loop.time() < end:
            await asyncio.sleep(STEP / 2)
            elapsed, at = loop.time() - at, loop.time()
            capacity = gateway.context.link_meter.capacity
            gateway.byte_counter.on_received(round(1.5 * elapsed * capacity))
        await asyncio.sleep(2 * STEP)  # for the notice

    run(context, fill())


@then("gateway {number:d} is {ready}, and answers {how} Connection: close")
def then_answers(context, number, ready, how):
    name = f"gate-{number}"
    assert context.harness.gateways[name].link_load.readiness.is_full
    assert context.harness.gateways[name].is_ready() == (ready == "ready")
    response = run(context, context.harness.call("/look/1", name))
    assert response.status == 200, response.status
    closes = response.headers.get("connection", "") == "close"
    assert closes == (how == "with"), response.headers


@then("the other gateways know that it is away")
def then_known(context):
    for name in ("gate-2", "gate-3", "gate-4"):
        assert context.harness.gateways[name].link_load.peers.states["gate-1"].is_away


@when("connections to backend servers time out while the link of the gateway is {state}")
def when_time_out(context, state):
    async def time_out(*arguments):
        raise ConnectTimeoutError("timed out")

    forwarder = context.harness.gateways["gate-1"].admission.forwarder
    attempts = forwarder.attempts
    attempts.connections = SimpleNamespace(acquire=lambda *arguments: None, open=time_out)
    forwarder.link_load = attempts.link_load = SimpleNamespace(
        delays_connections=state == "full", may_dispatch=lambda: True
    )
    response = run(context, context.harness.call("/look/1"))
    assert response.status == 503, response.status


@then("{count:d} plain servers count as refusing connections")
def then_refusing(context, count):
    views = context.harness.gateways["gate-1"].context.backends.views.values()
    assert sum(view.refused_connections > 0 for view in views) == count


@given("a gateway process with a link of {bandwidth} Mbit/s and link_wait_ratio {ratio}")
def given_process(context, bandwidth, ratio):
    run(context, context.harness.close_gateways())
    context.sections = build_settings(context)
    context.sections["vm"]["bandwidth"] = bandwidth
    context.sections["overload"] = {"link_wait_ratio": ratio}
    context.process = start_gateway(write_settings(context.sections))
    context.add_cleanup(stop_process, context)
    context.harness.gateways["gate-1"] = _GatewayProcess(context.sections["vm"]["listen"])
    run(context, wait_ready(context))


@when("a caller sends {count:d} requests of 9,000 bytes")
def when_requests(context, count):
    async def send():
        call = context.harness.call
        calls = (call("/look/1", "gate-1", "POST", body=b"x" * 9000) for _ in range(count))
        return await asyncio.gather(*calls)

    context.responses = run(context, send())


@then("some are served, and the others were not run")
def then_some(context):
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {200, 503}, statuses
    refused = [response for response in context.responses if response.status == 503]
    assert all(b"not run: the network link" in response.body for response in refused), refused[0]
    executed = sum(len(backend.executed) for backend in context.harness.backends.values())
    assert executed == statuses.count(200), (executed, statuses.count(200))


@then("all of these requests are served")
def then_all(context):
    assert {response.status for response in context.responses} == {200}


@then("the gateway process is ready")
def then_ready(context):
    async def probe():
        url = f"http://{context.sections['vm']['ready_listen']}/"
        return await asyncio.to_thread(lambda: urllib.request.urlopen(url, timeout=5).status)

    assert run(context, probe()) == 200
