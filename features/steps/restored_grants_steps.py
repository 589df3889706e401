"""Steps for grants of a store that comes back from a copy."""

from unittest import mock

from behave import given, then, when
from prepaid_steps import run_without_logs
from prepaid_support import run_random_history
from restored_grants_support import TopUpSimulation, run_restore

from bilberryshed.coordination import BoundsRecord, PoolRow, confirm_grant
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
    context.simulations = [
        run_without_logs(
            lambda seed=seed: run_random_history(
                seed, float(seconds), zones=ZONES[gateways], restores=True
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


@then("all tokens that are left can be granted within {limit:g} s")
def then_granted_within(context, limit):
    restored_after = context.simulation.restored_after
    assert restored_after is not None and restored_after <= limit, restored_after


@then("at most {tokens:d} tokens are counted as used beyond actual use")
def then_overcounted_at_most(context, tokens):
    assert context.simulation.overcounted <= tokens, context.simulation.overcounted


@then("only tokens of a later top-up are granted")
def then_only_top_up(context):
    simulation = context.simulation
    assert simulation.served_before_top_up == 0, simulation.served_before_top_up
    spent = simulation.used("harbour") - simulation.spent_before_top_up
    assert 0 < spent <= simulation.topped_up, (spent, simulation.topped_up)
