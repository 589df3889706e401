"""Steps for prepaid tokens."""

import logging
from unittest import mock

import structlog
from behave import given, then, when
from prepaid_support import (
    LOST,
    play,
    play_outage,
    play_partial,
    play_restart,
    ports_for,
    settings_for,
)
from returns.result import Failure

from bilberryshed.coordination import (
    Bound,
    BoundsRecord,
    PeerHolding,
    PoolRow,
    PrepaidBook,
    SpendingBounds,
)
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._pool_requests import PoolRequests
from bilberryshed.gateway._pool_sync import PoolSync
from bilberryshed.gateway._pool_table import VersionedPool
from bilberryshed.state import Put, RowRef

NOW = 1000.0  # seconds


def quiet(function):
    """Run without log lines."""
    config = structlog.get_config()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    try:
        return function()
    finally:
        structlog.configure(**config)


def receive_always(book, customer, transfer, tokens):
    """Credit a transfer without a look whether it came before."""
    book.account(customer).used -= tokens
    return True


def trust_unconfirmed(sync, name, versioned):
    """Take the amount that was asked for last as granted, whatever the row says."""
    sync.known_rows[name], sync.versions[name] = versioned.pool, versioned.version
    pending = sync.unconfirmed.pop(name, None)
    account = sync.book.account(name)
    account.granted = versioned.pool.holders.get(sync.context.boot, 0)
    if pending is not None:
        account.granted = max(account.granted, pending.granted)


async def change_nothing(requests, changes):
    """Have no coordinator change anything, so that each gateway writes for itself."""
    return {}


class LosingTables:
    """Tables whose transactions are never answered."""

    async def transact(self, puts):
        """Lose the answer."""
        return Failure(LOST)


FAULTS = {
    "a successor takes nothing as used": (BoundsRecord, "used_at_most", lambda *args: 0),
    "recorded bounds are not obeyed": (SpendingBounds, "_limit", lambda *args: 10**12),
    "transfers are credited each time they come": (PrepaidBook, "receive", receive_always),
    "grants whose answer was lost count at once": (PoolSync, "update_pool", trust_unconfirmed),
    "each gateway changes pools for itself": (PoolRequests, "change", change_nothing),
}


@given("a fleet where {fault}")
def given_fault(context, fault):
    owner, name, replacement = FAULTS[fault]
    patch = mock.patch.object(owner, name, replacement)
    patch.start()
    context.add_cleanup(patch.stop)


@when("histories of {seconds:d} s with seeds {first:d} to {last:d} are played")
def when_played(context, seconds, first, last):
    context.worlds = [
        quiet(lambda seed=seed: play(seed, float(seconds))) for seed in range(first, last + 1)
    ]


@when("histories of {seconds:d} s with seeds {first:d} to {last:d} are played until one fails")
def when_played_until(context, seconds, first, last):
    context.failure = None
    for seed in range(first, last + 1):
        try:
            quiet(lambda seed=seed: play(seed, float(seconds), 0.3))
        except AssertionError as error:
            context.failure = error
            return


@then("no customer got more than it has paid for")
def then_no_overspend(context):
    for world in context.worlds:
        world.check()


@then("at least {count:d} requests a history were served")
def then_served(context, count):
    assert all(world.served >= count for world in context.worlds)


@then("a customer got more than it has paid for")
def then_overspend(context):
    assert context.failure is not None, "no history shows the fault"


@then("the bound is {tokens:d}")
def then_bound(context, tokens):
    row = context.active_outline
    bound = Bound(int(row["tokens"]), float(row["growth"]))
    assert bound.after(float(row["age"])) == tokens


@when("the router plans with {need:d} tokens lacking")
def when_plans(context, need):
    row = context.active_outline
    prepaid, free, held = (int(row[name]) for name in ("prepaid", "free", "held"))
    book = PrepaidBook("r1.a", 25.0)
    account = book.account("harbour")
    account.granted = held
    rate = float(row["rate"])
    if rate:
        account.first_at = NOW - 1000
        account.rate, account.rate_at = rate, NOW
    if row.get("told"):
        book.update_peer("peer", {"harbour": PeerHolding(int(row["told"]), 0.0)})
    others = prepaid - free - held
    before = PoolRow(0, {"r1.a": held, "r2.b": others})
    after = book.plan(NOW, "harbour", before, prepaid, need, 4)
    context.change = after.holders.get("r1.a", 0) - held


@then("its grant changes by {change:d}")
def then_change(context, change):
    assert context.change == change, context.change


@when(
    "{gateways:d} gateways with {customers:d} customers lose power and start again, "
    "at {rate:d} requests a second"
)
def when_restart(context, gateways, customers, rate):
    context.world = quiet(lambda: play_restart(1, gateways, customers, rate))


@then("all predecessors are closed within {limit:g} s")
def then_closed_within(context, limit):
    assert context.world.closed_after <= limit, context.world.closed_after


@then("some predecessor is still not closed after {limit:g} s")
def then_not_closed(context, limit):
    assert context.world.closed_after > limit, context.world.closed_after


@then("of the requests that follow at most {share:d} in 100 are refused")
def then_refused_share(context, share):
    assert context.world.refused_after <= share / 100, context.world.refused_after


@when(
    "a gateway dies 1 s into an outage of the store and starts in it, "
    "at {rate:d} requests a second"
)
def when_outage(context, rate):
    context.rate = rate
    context.world = quiet(lambda: play_outage(1, rate))


@then("its predecessor is closed after the outage")
def then_closed(context):
    assert context.world.dead not in context.world.holders_after, context.world.holders_after


@then("at most the demand of {seconds:d} s, and {slack:d} tokens, is taken as used beyond what was")
def then_lost(context, seconds, slack):
    used = sum(context.world.used_at_death[context.world.dead].values())
    demand = used / 7.0  # the tokens used in seven seconds
    assert context.world.lost <= seconds * demand + slack, (context.world.lost, demand)


@when(
    "a gateway dies and its successor's first table lacks a customer, at {rate:d} requests a second"
)
def when_partial(context, rate):
    context.world = quiet(lambda: play_partial(1, rate))


@then("for each customer at least what was used is counted")
def then_all_counted(context):
    used, counted = context.world.used_before, context.world.counted
    assert used["school"] > 0 and all(counted[c] >= used[c] for c in used), (used, counted)


@given("a gateway that was granted {tokens:d} tokens, and an unconfirmed change to {less:d}")
def given_unconfirmed(context, tokens, less):
    gateway = GatewayContext(settings_for("gate-1"), ports_for(LosingTables()), 0.0)
    context.sync = PoolSync(gateway, BoundsRecorder(gateway))
    context.row = VersionedPool(1, PoolRow(0, {gateway.boot: tokens}))
    context.sync.update_pool("harbour", context.row)
    context.sync.record_unconfirmed("harbour", 1, less)
    context.sync.update_pool("harbour", context.row)


@when("it writes a grant of {tokens:d} and the answer is lost")
def when_lost(context, tokens):
    sync = context.sync
    pool = PoolRow(0, {sync.context.boot: tokens})
    put = Put(RowRef("prepaid", "harbour"), 1, pool.to_value())
    quiet(lambda: context.loop.run_until_complete(sync._write((put,), {"harbour": pool})))
    sync.update_pool("harbour", context.row)


@then("it counts {tokens:d} tokens as granted")
def then_counted(context, tokens):
    granted = context.sync.book.account("harbour").granted
    assert granted == tokens, granted
