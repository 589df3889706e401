"""Steps for the distribution of route tables."""

from behave import given, then, when
from gateway_steps import run, stored_config_version
from gateway_support import build_config, build_route

from bilberryshed.coordination.distribution import TableFetch, TableSource

KILOBYTE = 1000
HUB, OTHER = "gate-hub", "gate-other"
NARROW_BYTES_PER_S = 1000.0  # the table of the tests then takes seconds
ROLES = {
    "a member of a hub with the store": {
        "is_hub": False,
        "hub_has_store": True,
        "is_behind": False,
    },
    "a member of a hub without it": {"is_hub": False, "hub_has_store": False, "is_behind": False},
    "a member that is behind": {"is_hub": False, "hub_has_store": True, "is_behind": True},
    "a hub": {"is_hub": True, "hub_has_store": True, "is_behind": False},
}


@given("a gateway that is {role}, with a link of {bandwidth:d} Mbit/s")
def given_gateway_with_link(context, role, bandwidth):
    context.source, context.role = TableSource(float(bandwidth)), ROLES[role]


@then("with a table of {size:d} kB it reads {source}")
def then_reads(context, size, source):
    uses_hub = context.source.uses_hub(size * KILOBYTE, **context.role)
    assert uses_hub == (source == "the hub")


@given("version 7 is active, and version 8 was announced at 0 s by {announcers}")
def given_announced(context, announcers):
    context.fetch = TableFetch()
    context.fetch.on_version(0.0, OTHER, 8)
    if announcers == "the hub and by another gateway":
        context.fetch.on_version(0.0, HUB, 8)


@then("at {now:g} s {who} is asked")
def then_asked(context, now, who):
    expected = {"nobody": None, "the hub": HUB, "the other gateway": OTHER}[who]
    assert context.fetch.next_gateway(now, 7, HUB, {HUB, OTHER}) == expected


@then("at {now:g} s the gateway {verb} behind")
def then_behind(context, now, verb):
    assert context.fetch.is_behind(now, 7) == (verb == "is")


@given("{count:d} more gateways, of which those that are no hubs have narrow links")
def given_members(context, count):
    async def start():
        harness = context.harness
        for number in range(2, count + 2):
            await harness.add_gateway(f"gate-{number}")
        gateways = harness.gateways.values()
        await harness.wait_until(lambda: all(len(g.context.peer_links) == count for g in gateways))
        await harness.wait_until(lambda: sum(g.context.hubs.is_hub for g in gateways) < count)
        context.members = [g for g in gateways if not g.context.hubs.is_hub]
        for gateway in context.members:
            gateway.route_table_updater.source.capacity = NARROW_BYTES_PER_S
        await harness.wait_until(
            lambda: all(g.route_table_updater.from_hub for g in context.members), timeout=6.0
        )

    run(context, start())


def add_route(context, prefix):
    """Write a table with one more route, and remember its version."""
    routes = [*build_config()["routeTable"], build_route("added", prefix, "desk")]
    context.version = stored_config_version(context) + 3
    context.harness.store.put("op", "config", build_config(context.version, routeTable=routes))


@when('the operator adds the route "{prefix}"')
def when_route_added(context, prefix):
    add_route(context, prefix)


@when('all hubs are killed and the operator adds the route "{prefix}"')
def when_hubs_killed(context, prefix):
    async def kill():
        for name, gateway in list(context.harness.gateways.items()):
            if gateway.context.hubs.is_hub:
                await context.harness.kill_gateway(name)

    run(context, kill())
    add_route(context, prefix)


def wait_for_version(context, seconds):
    """Wait until every gateway uses the newest table."""
    gateways = context.harness.gateways.values()
    run(
        context,
        context.harness.wait_until(
            lambda: all(g.context.table_version() == context.version for g in gateways), seconds
        ),
    )


@then("every gateway has it within {seconds:d} s, and the members have been sent it by a hub")
def then_have_from_hub(context, seconds):
    wait_for_version(context, seconds)
    gateways = context.harness.gateways.values()
    hubs = [g for g in gateways if g.context.hubs.is_hub]
    assert all(gateway.route_table_updater.from_hub for gateway in context.members)
    assert any(hub.route_table_updater.compressed[0] == context.version for hub in hubs)


@then("every gateway has it within {seconds:d} s")
def then_have(context, seconds):
    wait_for_version(context, seconds)
