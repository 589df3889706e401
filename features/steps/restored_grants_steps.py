"""Steps for grants of a store that comes back from a copy."""

import re
from unittest import mock

from behave import given, then, when
from prepaid_steps import run_without_logs
from prepaid_support import run_random_history
from restored_grants_support import AWAY_TIME, TRAFFIC_TIME, TopUpSimulation, run_restore

from bilberryshed.coordination import (
    CONFIRM_TIME,
    BoundsRecord,
    Departures,
    PoolReading,
    PoolRow,
    can_be_closed,
    confirm_grant,
    end_confirmation,
)
from bilberryshed.gateway import _grant_confirmation
from bilberryshed.gateway._epoch_recovery import EpochRecovery

ZONES = {"hubs only": None, "one hub and others": 1}


class AnyEpoch(int):
    """An epoch that equals every other one."""

    def __eq__(self, other):
        return True

    __hash__ = int.__hash__


async def confirm_all(recovery, required):
    """Report that all gateways have confirmed their grants."""
    return True


def trust_record(value, parse=BoundsRecord.from_value):
    """Parse a record as one of the current epoch."""
    record = parse(value)
    return BoundsRecord(record.bounds, record.store_clock, record.number, AnyEpoch(record.epoch))


def accept_row(reading, known, boot, granted):
    """Take the row of the copy as it is."""
    row = confirm_grant(reading, PoolRow(), boot, reading.row.holders.get(boot, 0))
    return PoolRow(row.closed, row.holders, row.epoch, row.revision)


FAULTS = {
    "all gateways count as confirmed": (EpochRecovery, "all_confirmed", confirm_all),
    "records of an earlier epoch are trusted": (BoundsRecord, "from_value", trust_record),
    "grants are not confirmed after a restore": (_grant_confirmation, "confirm_grant", accept_row),
}


@given("a fleet that restores wrongly, where {fault}")
def given_fault(context, fault):
    owner, name, replacement = FAULTS[fault]
    patch = mock.patch.object(owner, name, replacement)
    patch.start()
    context.add_cleanup(patch.stop)


@when(
    "random histories of {seconds:d} s with restores and seeds {first:d} to {last:d} are run with "
    "{gateways}"
)
def when_histories_run(context, seconds, first, last, gateways):
    run_histories(context, seconds, first, last, gateways, removals=False)


@when(
    "random histories of {seconds:d} s with restores, removals and seeds {first:d} to {last:d} are "
    "run with {gateways}"
)
def when_histories_with_removals_run(context, seconds, first, last, gateways):
    run_histories(context, seconds, first, last, gateways, removals=True)


def run_histories(context, seconds, first, last, gateways, removals):
    """Run random histories with restores."""
    context.simulations = [
        run_without_logs(
            lambda seed=seed: run_random_history(
                seed, float(seconds), zones=ZONES[gateways], restores=True, removals=removals
            )
        )
        for seed in range(first, last + 1)
    ]


@when(
    "random histories of {seconds:d} s with restores and seeds {first:d} to {last:d} are run "
    "until one fails"
)
def when_histories_run_until_failure(context, seconds, first, last):
    context.failure = None
    for seed in range(first, last + 1):
        try:
            run_without_logs(
                lambda seed=seed: run_random_history(seed, float(seconds), restores=True)
            )
        except AssertionError as error:
            context.failure = error
            return


def restore(context, age, **case):
    """Run one restore."""
    context.simulation = run_without_logs(lambda: run_restore(1, age, **case))
    context.simulations = [context.simulation]


@when("the store comes back from a copy that is {age:d} s old")
def when_restored(context, age):
    restore(context, age)


@when(
    "the store comes back from a copy that is {age:d} s old and all gateways are killed "
    "{delay:g} s later"
)
def when_restored_and_killed(context, age, delay):
    restore(context, age, kill_delay=delay)


@when(
    "the store comes back from a copy that is {age:d} s old and one gateway reaches it "
    "{delay:d} s later"
)
def when_restored_and_late(context, age, delay):
    restore(context, age, late_gateway="gate-4", late_by=float(delay))


@when("the store comes back from a copy that is {age:d} s old and all gateways were killed before")
def when_killed_before(context, age):
    restore(context, age, simulation_class=TopUpSimulation, kill_delay=-1.0)


@when(
    "a gateway is {removed:w} {seconds:g} s before the store comes back from a copy that is "
    "{age:d} s old"
)
def when_removed_and_restored(context, removed, seconds, age):
    removal_at = TRAFFIC_TIME + AWAY_TIME - seconds
    restore(context, age, removal_at=removal_at, planned=removed == "stopped")


@then("the tokens that are left are not granted")
def then_not_granted(context):
    assert context.simulation.restored_after is None, context.simulation.restored_after
    assert context.simulation.pool.withheld > 0, context.simulation.pool


@then("all tokens that are left can be granted within {limit:g} s")
def then_granted_within(context, limit):
    restored_after = context.simulation.restored_after
    assert restored_after is not None and restored_after <= limit, restored_after


@then("at most {tokens:d} tokens are counted as used beyond actual use")
def then_overcounted_at_most(context, tokens):
    assert context.simulation.overcounted <= tokens, context.simulation.overcounted


@then("tokens are granted before a later top-up")
def then_granted_before_top_up(context):
    assert context.simulation.served_before_top_up > 0


@then("only tokens of a later top-up are granted")
def then_only_top_up(context):
    simulation = context.simulation
    assert simulation.served_before_top_up == 0, simulation.served_before_top_up
    spent = simulation.used("harbour") - simulation.spent_before_top_up
    assert 0 < spent <= simulation.topped_up, (spent, simulation.topped_up)


# Decisions ----------------------------------------------------------------------------------

PREPAID = 1000  # tokens
ENDED = "gate-1.a"


def restore_pool(row, epoch, clock=0.0):
    """Return the row after a gateway without grants has confirmed that in a new epoch."""
    reading = PoolReading(row, epoch, clock, is_complete=False)
    return confirm_grant(reading, PoolRow(), "gate-2.b", 0)


@given("a pool that is restored in epoch 2, in which a gateway is lost")
def given_restored_pool(context):
    context.pool = restore_pool(PoolRow(100, {ENDED: 50}, epoch=1, revision=5), 2)
    context.lost_epoch = 2


@when("the store is restored again in epochs 3 and 4 before the time to confirm is over")
def when_restored_again(context):
    for epoch in (3, 4):
        context.pool = restore_pool(context.pool, epoch)


@then("the pool grants nothing although all gateways have confirmed their grants in epoch 4")
def then_grants_nothing(context):
    after = end_confirmation(context.pool, PREPAID, 1.0, context.lost_epoch)
    assert after is context.pool and after.free(PREPAID) == 0, after


@then("after {seconds:d} s all tokens but those of a later top-up are withheld")
def then_withheld(context, seconds):
    after = end_confirmation(context.pool, PREPAID, float(seconds), context.lost_epoch)
    assert after.free(PREPAID) == 0 and after.free(PREPAID + 70) == 70, after


@given("a gateway that watches from {since:d} s on")
def given_watch(context, since):
    context.departures = Departures(float(since))


@when(
    "it notes of another gateway: {events}, and reads the pools at {read_at:d} s before a restore"
)
def when_noted(context, events, read_at):
    notes = {"seen": context.departures.saw, "closed": context.departures.on_closed}
    for incarnation, note, at in re.findall(r"(\w) (seen|closed) at ([\d.]+)", events):
        notes[note](float(at), f"gate-2.{incarnation}")
    context.departures.on_pools_read(float(read_at))
    context.departures.on_restored()


@then("the other gateway has {departed}")
def then_has_departed(context, departed):
    has_departed = context.departures.has_departed("gate-2")
    assert has_departed == (departed == "departed")
    was_seen = "gate-2" in context.departures.seen_at
    assert context.departures.recently_seen() == (
        {"gate-2"} if was_seen and not has_departed else set()
    )


@given("a pool of which an ended gateway holds 50 tokens as in the copy")
def given_copied_holder(context):
    context.pool = restore_pool(PoolRow(100, {ENDED: 50}, epoch=1, revision=5), 2)


@then("it can not be closed before the time to confirm is over, and can be afterwards")
def then_can_be_closed(context):
    assert not can_be_closed(context.pool, ENDED)
    settled = end_confirmation(context.pool, PREPAID, CONFIRM_TIME, None)
    assert can_be_closed(settled, ENDED), settled
