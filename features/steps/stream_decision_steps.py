"""Steps for the decision which version began a stream."""

import re

from behave import given, then, when
from gateway_support import HOST

from bilberryshed.coordination import (
    Origin,
    OriginEvidence,
    RouteHistory,
    RouteIndex,
    ServedVersions,
    StreamOrigins,
    VersionSpan,
    prove_origin,
    split_point,
)
from bilberryshed.state import Route, RouteKind, RouteTable, ServiceShare

NOW = 1000.0  # seconds
SERVICE = "model"
SPLIT = (ServiceShare("a", 90), ServiceShare("b", 10))
EARLIER_SPLIT = (ServiceShare("a", 0), ServiceShare("b", 100))


def split_index(shares):
    """Return the index of a table with one split route."""
    route = Route("split", HOST, "/split/", RouteKind.STREAM, shares, 2, 15.0, 0.5, 1, False, True)
    return RouteIndex(RouteTable(1, (route,), {}, {}, False)), route


@given("a route that is split between a and b, in a gateway that {knows}")
def given_history(context, knows):
    numbers = [int(number) for number in re.findall(r"(\d+) s ago", knows)]
    earlier, _ = split_index(EARLIER_SPLIT)
    context.route_history = RouteHistory()
    context.route_history.on_table(NOW - numbers[0], None)
    if len(numbers) > 1:
        context.route_history.on_table(NOW - numbers[1], earlier)
    context.system_age = numbers[0] - 1.0 if "with all others" in knows else None


@then("request r-1 that took its first event up to 40 s ago went to {services}")
def then_services(context, services):
    index, route = split_index(SPLIT)
    found = context.route_history.services(NOW, index, route, "r-1", context.system_age)
    assert found == tuple(services.split(", ")), (found, split_point("r-1"))


@given(
    "a service that had version v1 from {since:d} s to {until:d} s, and has v2 since {start:d} s"
)
def given_spans(context, since, until, start):
    spans = {"v1": VersionSpan(float(since), float(until)), "v2": VersionSpan(float(start))}
    context.served = ServedVersions({SERVICE: spans}, epoch=1)


@when("the store comes back in another epoch at {clock:d} s, and v3 is listed")
def when_other_epoch(context, clock):
    context.served.follow_epoch(2, float(clock))
    context.served.observe(clock + 1.0, {SERVICE: {"v2", "v3"}})


@when("another gateway has seen v1 from {since:d} s on, and no v2")
def when_merged(context, since):
    context.served.merge(ServedVersions({SERVICE: {"v1": VersionSpan(float(since))}}, epoch=1))


@then("the versions that can have begun a stream up to {until:d} s are {listed}")
def then_possible(context, until, listed):
    assert context.served.possible(SERVICE, float(until)) == set(listed.split(", "))


EVIDENCE = {
    "a row lists v2": {"known": Origin(SERVICE, "v2")},
    "a hub knows v1 and the store does not respond": {
        "known": Origin(SERVICE, "v1"),
        "is_fresh": False,
    },
    "all others deny it and a gateway ended at 99 s": {"ended_at": 99.0},
    "all others deny it and a gateway ended at 101 s": {"ended_at": 101.0},
    "one gateway is silent and a gateway ended at 99 s": {},
    "all others deny it and the store does not respond": {"is_fresh": False, "ended_at": 99.0},
}


@then("a stream that is taken up at {clock:d} s is of {version}, if {evidence}")
def then_proved(context, clock, version, evidence):
    defaults = {"services": (SERVICE,), "known": None, "is_fresh": True, "clock": float(clock)}
    found = prove_origin(context.served, OriginEvidence(**{**defaults, **EVIDENCE[evidence]}))
    assert (found.version if found else "unknown") == version, found


@given("a server that began a stream {first:d} s ago and one {second:d} s ago")
def given_two_streams(context, first, second):
    context.origins = StreamOrigins()
    for key, age in ((1, first), (2, second)):
        context.origins.remember(NOW - age, key, Origin(SERVICE, "v1"), "i-1")


@when("its entry shows another version")
def when_restart_shown(context):
    context.origins.doubt_restarted(NOW, "i-1")


@then("the origin of the first stream is known, and that of the second is not")
def then_known(context):
    assert context.origins.get(1) == Origin(SERVICE, "v1") and context.origins.get(2) is None
