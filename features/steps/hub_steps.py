"""Steps for hubs, relayed loads and the monitor of links."""

import collections
import itertools

from behave import given, then, when

from bilberryshed.coordination import BackendDemand, BackendPool, Hubs, LoadRelay
from bilberryshed.protocol import (
    Hello,
    LinkProbe,
    LoadNotice,
    LoadSummary,
    LoanResponse,
    PoolChange,
    ServerLoad,
    Transfer,
    decode,
    encode,
)
from bilberryshed.state import BackendServer
from bilberryshed.transport import LinkMonitor, next_multiple

NOW = 100.0  # seconds
CHECK_STEP = 0.5  # seconds between checks of the link monitor


class LinkRecorder:
    """A link that records what is sent and whether it was closed."""

    def __init__(self, name):
        self.peer = Hello(name, f"{name}.1", "router", "wick", "")
        self.now = self.received_at = NOW
        self.probed_at = None
        self.sent = []
        self.closed = False

    def send(self, message):
        """Record a message."""
        self.sent.append(message)

    def send_probe(self):
        """Record a probe; the time is that of the check, as the link has no queue."""
        self.sent.append(LinkProbe())
        self.probed_at = self.now

    def abort(self):
        """Record that the link is closed."""
        self.closed = True


@given("{routers:d} routers in {zones:d} zones")
def given_routers(context, routers, zones):
    context.zones = {f"gate-{n}": f"zone-{n % zones}" for n in range(routers)}
    context.hubs = {}
    for name, zone in context.zones.items():
        hubs = context.hubs[name] = Hubs(name, zone)
        for other, other_zone in context.zones.items():
            if other != name:
                hubs.add(other, other_zone)


@then("there are {count:d} hubs")
def then_hub_count(context, count):
    names = next(iter(context.hubs.values())).names
    assert len(names) == count, sorted(names)


@then("all routers agree on the hubs, and each has a hub in its zone")
def then_agree(context):
    views = {hubs.names for hubs in context.hubs.values()}
    assert len(views) == 1, views
    for name, hubs in context.hubs.items():
        assert context.zones[hubs.own] == context.zones[name], (name, hubs.own)
        assert hubs.is_hub is (name in hubs.names), name


@then("no hub has more than {most:d} members")
def then_members(context, most):
    members = collections.Counter(h.own for n, h in context.hubs.items() if h.own != n)
    assert max(members.values(), default=0) <= most, members


@when("the hub of one zone becomes unavailable")
def when_hub_unavailable(context):
    context.lost = sorted(next(iter(context.hubs.values())).names)[0]
    for hubs in context.hubs.values():
        hubs.set_available(context.lost, False)


@when("it becomes available again")
def when_available(context):
    for hubs in context.hubs.values():
        hubs.set_available(context.lost, True)


@when("all of them become unavailable")
def when_all_unavailable(context):
    for hubs, name in itertools.product(context.hubs.values(), context.zones):
        hubs.set_available(name, False)


@then("each router is its own hub")
def then_own_hub(context):
    assert all(hubs.is_hub for hubs in context.hubs.values())


@then("one gateway sends at most {most:d} load messages when all loads change")
def then_load_messages(context, most):
    members = collections.Counter(h.own for n, h in context.hubs.items() if h.own != n)
    sent = {
        name: members[name] + len(hubs.others()) if hubs.is_hub else 1
        for name, hubs in context.hubs.items()
    }
    assert max(sent.values()) <= most, sent


@given("{routers:d} routers in {zones:d} zones with {servers:d} backend servers")
def given_routers_and_servers(context, routers, zones, servers):
    given_routers(context, routers, zones)
    entries = {
        f"i-{n}": BackendServer(f"i-{n}", "model", f"127.0.0.1:{n}", "zone-0", 8, False)
        for n in range(servers)
    }
    context.relays = {name: LoadRelay() for name in context.zones}
    context.pools = {name: BackendPool(zone) for name, zone in context.zones.items()}
    for pool in context.pools.values():
        pool.set_servers(entries)


def relay_loads(context):
    """Exchange all loads as the gateways do: members to hubs, hubs to hubs, hubs to members."""
    pools, relays = context.pools, context.relays
    for name, hubs in context.hubs.items():
        if not hubs.is_hub:
            notice = LoadNotice(pools[name].loads(), pools[name].pop_new_prefixes())
            relays[hubs.own].on_member(NOW, name, notice.loads, notice.parts)
            pools[hubs.own].on_load_notice(NOW, name, notice)
    for name, hubs in context.hubs.items():
        if hubs.is_hub:
            relays[name].add_parts(pools[name].pop_new_prefixes())
            parts = relays[name].pop_parts_for_hubs()
            summary = LoadSummary(True, relays[name].group(pools[name].loads()), parts)
            for other in hubs.others():
                relays[other].on_group(name, summary.loads, summary.parts)
                pools[other].on_load_notice(NOW, name, summary)
    for name, hubs in context.hubs.items():
        if hubs.is_hub:
            parts = relays[name].pop_parts_for_members()
            for member, loads in relays[name].for_members(pools[name].loads()):
                pools[member].on_load_notice(NOW, name, LoadSummary(False, loads, parts))


@when(
    "{count:d} prompts of one conversation of {tokens:d} tokens reach the routers in turn and "
    "loads are relayed"
)
def when_relayed_burst(context, count, tokens):
    demand = BackendDemand("part", tokens + 100, tokens, 100)
    names = itertools.cycle(context.pools)
    context.in_flight = collections.Counter()
    for _ in range(count):
        pool = context.pools[next(names)]
        view = pool.choose(NOW, "model", demand, frozenset())
        pool.begin(NOW, view, demand)
        context.in_flight[view.server.id] += 1
        relay_loads(context)


@then("each router sees the load of the whole fleet exactly once")
def then_each_sees_all(context):
    for name, pool in context.pools.items():
        seen = {id_: view.total_running for id_, view in pool.views.items() if view.total_running}
        assert seen == dict(context.in_flight), (name, seen, context.in_flight)


@when("loads are relayed, and one of the others again after {seconds:g} s")
def when_relayed_again(context, seconds):
    relay_loads(context)
    context.now = NOW + seconds
    pool = next(iter(context.pools.values()))
    pool.on_load_notice(context.now, next(iter(pool.peer_loads)), LoadNotice((), ()))


@then("the figures of the first router are {seconds:g} s old")
def then_age(context, seconds):
    pool = next(iter(context.pools.values()))
    assert abs(pool.report_age(context.now) - seconds) < 1e-6


@given("a hub with the load of a member reported at {seconds:g} s")
def given_hub_with_member(context, seconds):
    context.relay = LoadRelay()
    context.relay.on_member(seconds, "gate-2", (ServerLoad("i-1", 1, 10, 10),), ())


@then("the member is expired at {late:g} s but not at {early:g} s")
def then_expired(context, late, early):
    assert context.relay.expired(early) == []
    assert context.relay.expired(late) == ["gate-2"]


@given("a process with {count:d} links, one of them {kind}")
def given_links(context, count, kind):
    context.links = [LinkRecorder(f"gate-{n}") for n in range(count)]
    context.link = context.links[0]
    context.monitor = LinkMonitor(
        lambda: [link for link in context.links if not link.closed],
        lambda link: link is context.link and kind == "primary",
    )


def check_until(context, seconds, replies):
    """Check the links at every step; all peers but that of the tested link send at each step."""
    steps = int(seconds / CHECK_STEP)
    for step in range(1, steps + 1):
        now = NOW + step * CHECK_STEP
        for link in context.links[1:]:
            link.received_at, link.probed_at = now, None
        context.link.now = now
        context.monitor.check(now)
        if replies and context.link.probed_at is not None:
            context.link.received_at, context.link.probed_at = now, None
    context.monitor.check(NOW + seconds)


@when("the peer of that link is silent for {seconds:g} s")
def when_silent(context, seconds):
    check_until(context, seconds, replies=False)


@when("the peer of that link replies to each probe for {seconds:g} s")
def when_replies(context, seconds):
    check_until(context, seconds, replies=True)


@then("the link is open")
def then_open(context):
    assert not context.link.closed


@then("the link is probed")
def then_probed(context):
    assert context.link.sent == [LinkProbe()], context.link.sent
    assert not context.link.closed


@then("the link is closed")
def then_closed(context):
    assert context.link.closed


@given("a timer of {interval:g} s")
def given_timer(context, interval):
    context.interval = interval


@then("after a run at {now:g} s it is due at {due:g} s")
def then_due(context, now, due):
    assert abs(next_multiple(now, context.interval) - due) < 1e-9


@then("a message with a number, a text, nothing and a nested message survives a round trip")
def then_round_trip(context):
    for message in (
        LoanResponse("a", None, "spent"),
        LoanResponse("a", Transfer("t", "gate.1", "harbour", "prepaid", 7), ""),
        PoolChange("harbour", "gate.1", -3, 8, None),
    ):
        assert decode(encode(message)) == message


@when("the machines of {large} have {cores:g} cores and all others {others:g}")
def when_capacities(context, large, cores, others):
    names = large.replace(" and ", ", ").split(", ")
    for hubs, name in itertools.product(context.hubs.values(), context.zones):
        hubs.set_capacity(name, cores if name in names else others)


@then("the hubs are {names}")
def then_hubs_are(context, names):
    expected = set(names.replace(" and ", ", ").split(", "))
    assert all(hubs.names == expected for hubs in context.hubs.values())


@when("the hub of {name} does not respond to it")
def when_suspected(context, name):
    context.before = {other: hubs.own for other, hubs in context.hubs.items()}
    hubs = context.hubs[name]
    hubs.set_suspected(hubs.own, True)


@when("no hub responds to {name}")
def when_all_suspected(context, name):
    for hub in context.hubs[name].names:
        context.hubs[name].set_suspected(hub, True)


@then("{name} uses a hub of {place} zone")
def then_uses_hub(context, name, place):
    hub = context.hubs[name].own
    assert hub in context.hubs[name].names and hub != name
    assert (context.zones[hub] == context.zones[name]) is (place == "its"), hub


@then("the other routers use their hubs as before")
def then_others_unchanged(context):
    changed = [n for n, hubs in context.hubs.items() if hubs.own != context.before[n]]
    assert changed == ["gate-7"], changed
