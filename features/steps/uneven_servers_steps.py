"""Steps that replay placement decisions on servers that differ in speed or memory."""

from collections import Counter

from behave import given, then, when

from bilberryshed.coordination import BackendDemand, BackendPool
from bilberryshed.state import BackendServer

NOW = 100.0
ZONE = "zone-1"
PLAIN = BackendDemand("", 1)


def build_pool(gateway, servers):
    """Return the pool of a gateway with idle servers of one service, by id."""
    pool = BackendPool(ZONE, gateway)
    pool.set_servers({id_: BackendServer(id_, "model", id_, ZONE, 8, False) for id_ in servers})
    return pool


def place(pool, demand, now=NOW):
    """Choose a server, count the request as in flight there, and return that entry."""
    view = pool.choose(now, "model", demand, frozenset())
    return pool.begin(now, view, demand)


@given("{count:d} gateways and the servers {ids}, all idle")
def given_gateways(context, count, ids):
    context.pools = [build_pool(f"gate-{n}", ids.split(",")) for n in range(count)]


@when("each gateway places a plain request before it knows of the others")
def when_each_places(context):
    context.placed = Counter(place(pool, PLAIN).view.server.id for pool in context.pools)


@then("no server receives more than {maximum:d} of them")
def then_spread(context, maximum):
    assert max(context.placed.values()) <= maximum, context.placed
