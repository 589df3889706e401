"""Steps for backend servers that are cold."""

import asyncio
import math
import random

from behave import given, then, when
from gateway_steps import run
from gateway_support import GatewayHarness, build_config
from server_limit_steps import backend, send_load

from bilberryshed.coordination import PermitIssuer, limit_coordinator
from bilberryshed.coordination.places import (
    ColdServers,
    CoordinatorHistory,
    cold_rate,
    parse_cold_time,
)
from bilberryshed.state import BackendServer, RoutedService

OVERRUN, SLACK = 1.5, 5.0
SERVICE = RoutedService("desk", "/", 50, False, cold_time=30.0, cold_rate=12.0)
ENTRY = BackendServer("i-1", "desk", "127.0.0.1:1", "quay", 8, False, 1)
SEED = 41
STEP = 0.05  # seconds between readings of the links
NOTICE_TIME = 3.5  # seconds until the loss of a link is noticed, at most
USE_TIME = 0.95  # seconds until a permit is used, at most


def most_in_a_second(times):
    """Return the largest number of times within one second."""
    ordered = sorted(times)
    return max((sum(a <= b < a + 1.0 for b in ordered) for a in ordered), default=0)


class FakeRouter:
    """Decisions of one router, with the links that it takes for established."""

    def __init__(self, name, names):
        self.name = name
        self.linked = dict.fromkeys(names, "quay")
        self.known = set(names)
        self.issuer, self.history = PermitIssuer(), CoordinatorHistory(name)
        self.limited_until = 0.0

    def coordinator(self):
        """Return the coordinator of the server."""
        return limit_coordinator(ENTRY.incarnation, "quay", self.linked)

    def decide(self, now, asker):
        """Return the decision on a request for a permit, ``None`` if there is no rate."""
        askers = self.issuer.askers(now, ENTRY.incarnation, asker)
        share = self.history.share(now, ENTRY.incarnation, "quay", askers)
        rate = share * cold_rate(SERVICE, OVERRUN, SLACK)
        if rate <= 0:
            return None
        return self.issuer.request(now, ENTRY.incarnation, rate, asker, ahead=False)


class FakeNetwork:
    """Routers, the links that work, and the links that the routers have noticed."""

    def __init__(self, count):
        self.rng = random.Random(SEED)
        names = [f"r-{number}" for number in range(count)]
        self.routers = {name: FakeRouter(name, names) for name in names}
        self.broken, self.changes, self.sent = set(), [], []

    def cut(self, now, pairs):
        """Break links; the first ends of them, on the coordinator's side, notice it last."""
        for near, far in pairs:
            self.broken |= {(near, far), (far, near)}
            self.changes.append((now + NOTICE_TIME, near, far, False))
            self.changes.append((now + self.rng.uniform(0, 1.0), far, near, False))

    def heal(self, now):
        """Establish all links again, one after another."""
        for a, b in sorted(self.broken):
            self.changes.append((now + self.rng.uniform(0, 1.0), a, b, True))
        self.broken.clear()

    def start_event(self, now, event):
        """Let something happen."""
        names = sorted(self.routers)
        first = limit_coordinator(ENTRY.incarnation, "quay", dict.fromkeys(names, "quay"))
        rest = dict.fromkeys([name for name in names if name != first], "quay")
        half = [first, *sorted(rest)[: len(names) // 2 - 1]]
        if "killed" in event:
            self.cut(now, [(first, name) for name in rest])
            del self.routers[first]
        elif "halves" in event:
            self.cut(now, [(a, b) for a in half for b in names if b not in half])
        elif "link between" in event:
            self.cut(now, [(first, limit_coordinator(ENTRY.incarnation, "quay", rest))])

    def read_links(self, now):
        """Let the routers notice changes of their links."""
        for change in [c for c in self.changes if c[0] <= now]:
            self.changes.remove(change)
            _, name, other, is_up = change
            if name in self.routers and is_up:
                self.routers[name].linked[other] = "quay"
            elif name in self.routers:
                self.routers[name].linked.pop(other, None)
        for router in self.routers.values():
            router.history.record(now, router.linked, router.known)

    def try_send(self, now):
        """Let a router send a request if it gets a permit."""
        router = self.rng.choice(list(self.routers.values()))
        if now < router.limited_until:
            return
        target = self.routers.get(router.coordinator())
        reachable = target is not None and (router.name, target.name) not in self.broken
        decision = target.decide(now, router.name) if reachable else None
        if decision is not None and decision.granted:
            use_at = math.ceil(now / 2.0) * 2.0  # the worst case: many are used at the same time
            self.sent.append(use_at if use_at - now < USE_TIME else now)
        else:
            router.limited_until = now + (decision.wait if decision else 0.3)


@when(
    "{count:d} routers send {rate:d} requests a second to a cold server for {seconds:d} s, and at "
    "{at:d} s {event}"
)
def when_replay(context, count, rate, seconds, at, event):
    network, now, read_at = FakeNetwork(count), 0.0, 0.0
    heal_at = float(event.split()[-2]) if "until" in event else None
    context.sent_at, started = network.sent, False
    while now < seconds:
        now += network.rng.expovariate(rate)
        if now >= at and not started:
            network.start_event(now, event)
            started = True
        if heal_at is not None and now >= heal_at:
            network.heal(now)
            heal_at = None
        if now >= read_at:
            network.read_links(now)
            read_at = now + STEP
        network.try_send(now)


@then("no second has more than {most:d} requests")
def then_bound(context, most):
    found = most_in_a_second(context.sent_at)
    assert found <= most, found


@then("at least {calm:d} requests a second are sent from 10 to 15 s, and {late:d} from 30 to 40 s")
def then_used(context, calm, late):
    for least, first, last in ((calm, 10, 15), (late, 30, 40)):
        rate = sum(first <= at < last for at in context.sent_at) / (last - first)
        assert rate >= least, (first, rate)


def entry(**values):
    """Return the server's entry with other values."""
    fields = {name: getattr(ENTRY, name) for name in ENTRY.__slots__}
    return BackendServer(**{**fields, **values})


@when("a router learns of a server's warmth: {events}")
def when_cold_events(context, events):
    cold, services = ColdServers(), {"desk": SERVICE}
    for event in events.split("; "):
        at, _, what = event.partition(": ")
        now, words = float(at), what.split()
        if words[0] == "entry":
            cold_ms = None if words[3] == "None" else int(words[3])
            server = entry(sequence=int(words[1]), cold_ms=cold_ms)
            cold.on_entries(now, [server], services)
        elif "listed" in what:
            cold.on_entries(now, [entry(id="i-2")] if "another" in what else [], services)
        elif words[0] == "response":
            cold.on_response(now, ENTRY, SERVICE, float(words[2]))
        elif words[0] == "notice":
            cold.on_notice(now, ENTRY.incarnation, float(words[2]), float(words[5]), None)
        elif "restored" in what:
            cold.on_zone_restored(now, "quay")
    context.is_cold = cold.is_cold(now, ENTRY.incarnation)


@then("the server is {state:w}")
def then_state(context, state):
    assert context.is_cold == (state == "cold")


@then("its cold time is read as {seconds}")
def then_cold_time(context, seconds):
    assert parse_cold_time(context.active_outline["text"]) == float(seconds)


# Real gateways ------------------------------------------------------------------------------


@given(
    "a platform whose plain servers may be cold, with {plain:d} plain servers and {count:d} "
    "gateways"
)
def given_cold_platform(context, plain, count):
    harness = context.harness = GatewayHarness(
        settings={"cold_overrun": OVERRUN, "cold_slack": SLACK}
    )
    config = build_config()
    config["services"][1].update(coldStartS=30, coldPerS=12)

    async def start():
        await harness.start()
        harness.store.put("op", "config", config)
        for number in range(1, plain + 1):
            await harness.add_backend(f"i-desk-{number}", "desk")
        for number in range(1, count + 1):
            await harness.add_gateway(f"gate-{number}")
        gateways = harness.gateways.values()
        await harness.wait_until(
            lambda: all(len(g.context.peer_links) == count - 1 for g in gateways)
        )
        await asyncio.sleep(NOTICE_TIME + 1.5)  # until a coordinator may issue permits

    run(context, start())
    context.sequence = 1
    context.add_cleanup(lambda: run(context, harness.close()))


def views(context, number):
    """Return the views of a plain server at all gateways."""
    gateways = context.harness.gateways.values()
    return [gateway.context.backends.views[f"i-desk-{number}"] for gateway in gateways]


@when("plain server {number:d} says in its entry that it is cold for {cold_ms:d} ms")
def when_cold_entry(context, number, cold_ms):
    async def write():
        for _ in range(3):  # an entry is renewed each 1.2 s
            context.sequence += 1
            fields = {"sequence": context.sequence, "coldRemainingMs": cold_ms}
            context.harness.register(f"i-desk-{number}", "desk", **fields)
            await asyncio.sleep(1.2)

    run(context, write())


@when("{rate:d} plain requests a second reach the gateways for {seconds:d} s")
def when_requests(context, rate, seconds):
    for server in context.harness.backends.values():
        server.received.clear()
    names = sorted(context.harness.gateways)
    context.results = run(context, send_load(context, rate, names, seconds, "/look/1"))


@then(
    "plain server {number:d} got at most {most:d} requests in any second, and at least {least:d} "
    "in all"
)
def then_arrivals(context, number, most, least):
    times = [request.at for request in backend(context, "plain server", number).received]
    found = most_in_a_second(times)
    assert found <= most and len(times) >= least, (found, len(times))


@then("the others were refused with 503")
def then_refused(context):
    statuses = {response.status for response, _ in context.results}
    assert statuses == {200, 503}, statuses


@then("all requests to cold servers were served")
def then_served(context):
    statuses = {response.status for response, _ in context.results}
    assert statuses == {200}, statuses


@when("the coordinator of plain server {number:d} is killed")
def when_coordinator_killed(context, number):
    gateway = next(iter(context.harness.gateways.values()))
    name = gateway.limits.cold.coordinator(views(context, number)[0].server)
    run(context, context.harness.kill_gateway(name))


@when(
    "plain server {number:d} says in a response to the first gateway that it is cold for "
    "{cold_ms:d} ms"
)
def when_cold_response(context, number, cold_ms):
    server = backend(context, "plain server", number)
    server.says = f"X-Cold-Ms: {cold_ms}"
    run(context, send_load(context, 50, ["gate-1"], 0.2, "/look/1"))
    server.says = ""


@then("all gateways know within {seconds:f} s that plain server {number:d} is cold")
def then_all_know(context, seconds, number):
    known = lambda: all(view.is_cold for view in views(context, number))  # noqa: E731
    run(context, context.harness.wait_until(known, seconds))


@then("no gateway takes plain server {number:d} for cold")
def then_none_cold(context, number):
    known = lambda: not any(view.is_cold for view in views(context, number))  # noqa: E731
    run(context, context.harness.wait_until(known))


@when("a router that has long been the coordinator of a cold server lags by {lag:g} s")
def when_lags(context, lag):
    names = ["r-0", "r-1", "r-2"]
    zones = dict.fromkeys(names, "quay")
    name = limit_coordinator(ENTRY.incarnation, "quay", zones)
    history = CoordinatorHistory(name)

    def share(now, lagged):
        history.record(now, zones, names, lagged)
        return history.share(now, ENTRY.incarnation, "quay", len(names))

    tenths = [share(number / 10, 0.0) for number in range(200)]
    assert tenths[0] == 0.0 and tenths[-1] == 1.0, tenths
    context.share = share(20.0 + lag, lag)
    context.later = [share(20.0 + lag + number / 10, lag) for number in range(1, 100)][-1]


@then("it issues a share of {now:g} at once, and of {later:g} after the time of a takeover")
def then_share(context, now, later):
    assert (context.share, context.later) == (now, later), (context.share, context.later)
