"""Steps for prepaid tokens."""

import logging
from unittest import mock

import structlog
from behave import given, then, when
from prepaid_support import (
    RESPONSE_LOST,
    ports_for,
    run_outage,
    run_partial_table,
    run_power_loss,
    run_random_history,
    run_restart,
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
    apply_changes,
    transfer_id,
)
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._pool_requests import PoolRequests
from bilberryshed.gateway._pool_sync import PoolSync
from bilberryshed.protocol import PoolChange
from bilberryshed.state import Put, RowRef

NOW = 1000.0  # seconds


def run_without_logs(function):
    """Call a function with logging suppressed."""
    config = structlog.get_config()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    try:
        return function()
    finally:
        structlog.configure(**config)


def credit_duplicates(book, customer, transfer, tokens):
    """Credit a transfer even if it was received before."""
    book.account(customer).used -= tokens
    return True


def trust_unconfirmed(sync, name, pool):
    """Treat the last requested amount as granted even if the row has a smaller grant."""
    sync.known_rows[name] = pool
    pending = sync.unconfirmed.pop(name, None)
    account = sync.book.account(name)
    account.granted = pool.holders.get(sync.context.boot, 0)
    if pending is not None:
        account.granted = max(account.granted, pending.granted)


async def skip_coordinator(requests, changes):
    """Request no changes from a coordinator, so that each gateway updates the rows itself."""
    return {}


def lend_without_debit(book, customer, tokens):
    """Release the reservation of a loan instead of keeping its tokens debited."""
    book.settle(customer, tokens, 0)


class UnresponsiveTables:
    """Tables whose transactions never return a response."""

    epoch = 0

    async def transact(self, puts):
        """Return a failure with unknown outcome."""
        return Failure(RESPONSE_LOST)


FAULTS = {
    "a successor counts nothing as used": (BoundsRecord, "used_at_most", lambda *args: 0),
    "recorded bounds are not enforced": (SpendingBounds, "_limit", lambda *args: 10**12),
    "a hub lends tokens without a debit": (PrepaidBook, "lend", lend_without_debit),
    "duplicate transfers are credited": (PrepaidBook, "receive", credit_duplicates),
    "unconfirmed grants count immediately": (PoolSync, "update_pool", trust_unconfirmed),
    "each gateway updates the pools itself": (PoolRequests, "change", skip_coordinator),
}


@given("a fleet where {fault}")
def given_fault(context, fault):
    owner, name, replacement = FAULTS[fault]
    patch = mock.patch.object(owner, name, replacement)
    patch.start()
    context.add_cleanup(patch.stop)


@when("random histories of {seconds:d} s of one group with seeds {first:d} to {last:d} are run")
def when_group_histories_run(context, seconds, first, last):
    context.simulations = [
        run_without_logs(lambda seed=seed: run_random_history(seed, float(seconds), zones=1))
        for seed in range(first, last + 1)
    ]


@when("random histories of {seconds:d} s with seeds {first:d} to {last:d} are run")
def when_histories_run(context, seconds, first, last):
    context.simulations = [
        run_without_logs(lambda seed=seed: run_random_history(seed, float(seconds)))
        for seed in range(first, last + 1)
    ]


@when("random histories of {seconds:d} s with seeds {first:d} to {last:d} are run until one fails")
def when_histories_run_until_failure(context, seconds, first, last):
    context.failure = None
    for seed in range(first, last + 1):
        try:
            run_without_logs(lambda seed=seed: run_random_history(seed, float(seconds), 0.3))
        except AssertionError as error:
            context.failure = error
            return


@when(
    "random histories of {seconds:d} s of one group with seeds {first:d} to {last:d} are run until "
    "one fails"
)
def when_group_histories_run_until_failure(context, seconds, first, last):
    context.failure = None
    for seed in range(first, last + 1):
        try:
            run_without_logs(
                lambda seed=seed: run_random_history(seed, float(seconds), 0.3, zones=1)
            )
        except AssertionError as error:
            context.failure = error
            return


@then("no customer spent more tokens than it has paid for")
def then_no_overspend(context):
    for simulation in context.simulations:
        simulation.check_invariants()


@then("at least {count:d} requests per history were served")
def then_served(context, count):
    assert all(simulation.served >= count for simulation in context.simulations)


@then("a customer spent more tokens than it has paid for")
def then_overspend(context):
    assert context.failure is not None, "no history detected the fault"


@then("the bound is {tokens:d}")
def then_bound(context, tokens):
    row = context.active_outline
    bound = Bound(int(row["tokens"]), float(row["growth"]))
    assert bound.after(float(row["age"])) == tokens


@when("the router plans with a shortfall of {shortfall:d} tokens")
def when_plans(context, shortfall):
    row = context.active_outline
    prepaid, free, already_granted = (int(row[name]) for name in ("prepaid", "free", "granted"))
    book = PrepaidBook("r1.a", 25.0)
    account = book.account("harbour")
    account.granted = already_granted
    rate = float(row["rate"])
    if rate:
        account.first_at = NOW - 1000
        account.rate, account.rate_at = rate, NOW
    if row.get("reported"):
        book.update_peer("peer", {"harbour": PeerHolding(int(row["reported"]), 0.0)})
    others = prepaid - free - already_granted
    before = PoolRow(0, {"r1.a": already_granted, "r2.b": others})
    after = book.plan(NOW, "harbour", before, prepaid, shortfall, 4)
    context.change = after.holders.get("r1.a", 0) - already_granted


@then("its grant changes by {change:d}")
def then_change(context, change):
    assert context.change == change, context.change


@when(
    "{gateways:d} gateways with {customers:d} customers lose power and restart, at {rate:d} "
    "requests per second"
)
def when_restart(context, gateways, customers, rate):
    context.simulation = run_without_logs(lambda: run_restart(1, gateways, customers, rate))


@then("all predecessors are closed within {limit:g} s")
def then_closed_within(context, limit):
    assert context.simulation.close_duration <= limit, context.simulation.close_duration


@then("at least one predecessor is not closed after {limit:g} s")
def then_not_closed(context, limit):
    assert context.simulation.close_duration > limit, context.simulation.close_duration


@then("at most {percent:d} in 100 of the subsequent requests are refused")
def then_refused_fraction(context, percent):
    assert context.simulation.refused_fraction <= percent / 100, context.simulation.refused_fraction


@when(
    "a gateway is killed 1 s into a store outage and restarts during it, at {rate:d} "
    "requests per second"
)
def when_outage(context, rate):
    context.rate = rate
    context.simulation = run_without_logs(lambda: run_outage(1, rate))


@then("its predecessor is closed after the outage")
def then_predecessor_closed(context):
    assert (
        context.simulation.predecessor not in context.simulation.holders_after
    ), context.simulation.holders_after


@then(
    "at most the demand of {seconds:d} s plus {slack:d} tokens is counted as used beyond "
    "actual use"
)
def then_overcounted(context, seconds, slack):
    used = sum(context.simulation.used_when_killed[context.simulation.predecessor].values())
    demand = used / 7.0  # tokens per second; traffic lasts 7 s
    assert context.simulation.overcounted <= seconds * demand + slack, (
        context.simulation.overcounted,
        demand,
    )


@when(
    "four gateways whose customers have paid for 44 s of demand lose power {outage:g} s into a "
    "store outage"
)
def when_power_loss(context, outage):
    context.simulation = run_without_logs(lambda: run_power_loss(1, outage))


@then("at most {share:d} in 100 of what was paid is counted as used beyond actual use")
def then_little_written_off(context, share):
    paid = sum(context.simulation.prepaid.values())
    overcounted = context.simulation.overcounted
    assert 100 * overcounted <= share * paid, (overcounted, paid)


@when(
    "a gateway is killed and its successor's first route table lacks a customer, at {rate:d} "
    "requests per second"
)
def when_partial_table(context, rate):
    context.simulation = run_without_logs(lambda: run_partial_table(1, rate))


@then("at least the used tokens are counted for each customer")
def then_all_counted(context):
    used, counted = context.simulation.used_by_predecessor, context.simulation.counted
    assert used["school"] > 0 and all(counted[c] >= used[c] for c in used), (used, counted)


@given("a gateway with a grant of {tokens:d} tokens and an unconfirmed change to {smaller_grant:d}")
def given_unconfirmed(context, tokens, smaller_grant):
    gateway = GatewayContext(settings_for("gate-1"), ports_for(UnresponsiveTables()), 0.0)
    context.sync = PoolSync(gateway, BoundsRecorder(gateway))
    context.sync.confirmation.confirmed.add("harbour")
    context.row = PoolRow(0, {gateway.boot: tokens}, revision=1)
    context.sync.update_pool("harbour", context.row)
    context.sync.record_unconfirmed("harbour", context.row.stamp, smaller_grant)
    context.sync.update_pool("harbour", context.row)


@when("the gateway writes a grant of {tokens:d} and the response is lost")
def when_response_lost(context, tokens):
    sync = context.sync
    pool = PoolRow(0, {sync.context.boot: tokens}, revision=2)
    put = Put(RowRef("prepaid", "harbour"), 1, pool.to_value())
    run_without_logs(
        lambda: context.loop.run_until_complete(sync._write((put,), {"harbour": pool}))
    )
    sync.update_pool("harbour", context.row)


@then("the gateway counts {tokens:d} tokens as granted")
def then_granted_tokens(context, tokens):
    granted = context.sync.book.account("harbour").granted
    assert granted == tokens, granted


def credit_transfers(context, first, last):
    """Credit transfers of one sender to an account."""
    for number in range(first, last + 1):
        context.book.receive("harbour", transfer_id("gate-2.a", number), 5)


@given("transfers 1 to {last:d} of 5 tokens each are credited")
def given_transfers(context, last):
    context.book = PrepaidBook("gate-1.a", 25.0)
    context.last = last
    credit_transfers(context, 1, last)


@when("they all are sent again")
def when_sent_again(context):
    credit_transfers(context, 1, context.last)


@when("transfer {number:d} is sent again")
def when_one_sent_again(context, number):
    credit_transfers(context, number, number)


@when("the sender reports that it sends no transfer below {below:d} again")
def when_settled(context, below):
    context.book.forget_received("gate-2.a", below)


@then("the account holds {tokens:d} tokens")
def then_holds(context, tokens):
    assert context.book.account("harbour").held == tokens, context.book.account("harbour").held


@then("{count:d} received transfer is kept")
def then_kept(context, count):
    kept = sum(len(numbers) for numbers in context.book.received.values())
    assert kept == count, kept


@given("bounds that were composed {age:g} s ago")
def given_composed_bounds(context, age):
    context.bounds = SpendingBounds(PrepaidBook("gate-1.a", 25.0))
    context.bounds.compose(NOW - age, NOW, {})


@then("they are due: {due}")
def then_due(context, due):
    assert context.bounds.is_due(NOW) is (due == "yes")


@given("a pool of which an ended gateway holds 0 tokens after it returned some of a peer")
def given_ended_holder(context):
    context.pool = PoolRow(0, {"gate-3.a": 0}, revision=7)


@when(
    "it is closed with {used:d} tokens used and a late return of {tokens:d} tokens is applied, "
    "{order}"
)
def when_closed_and_returned(context, used, tokens, order):
    changes = [
        PoolChange("harbour", "gate-3.a", 0, used=used),
        PoolChange("harbour", "gate-3.a", -tokens, stamp=context.pool.stamp),
    ]
    if order == "return first":
        changes.reverse()
    context.pool = apply_changes(context.pool, 100_000, changes)


@then("the pool counts {used:d} tokens as used and has no holder")
def then_pool_closed(context, used):
    assert context.pool == PoolRow(used, {}, revision=7), context.pool
