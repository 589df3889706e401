"""Steps that replay load patterns against placement policies."""

from unittest import mock

from behave import given, then, when

from bilberryshed.coordination import _placement
from bilberryshed_load._replay import PoolPlacement, placements, replay

SEED = 1
OWN = "bilberryshed"
FAULTS = {
    "notices of load": (PoolPlacement, "exchange_notices", lambda policy, now: None),
    "weight on reading again": (_placement, "REPREFILL_WEIGHT", 0),
}


def earned(pattern, policy, seeds):
    """Return the mean credit of a policy."""
    results = [replay(pattern, policy, SEED + n) for n in range(seeds)]
    return sum(result.credit for result in results) / seeds


@given("routers that have no {part}")
def given_without(context, part):
    context.fault = FAULTS[part]


@when('the pattern "{pattern}" is replayed with {seeds:d} seeds')
def when_replayed(context, pattern, seeds):
    context.pattern, context.seeds = pattern, seeds


@then("the routers' own placement earns more than the best baseline, or at most {less:g} less")
def then_ahead(context, less):
    credit = {policy: earned(context.pattern, policy, context.seeds) for policy in placements}
    own = credit.pop(OWN)
    assert own >= max(credit.values()) - less, (own, credit)


@then("at most {share:d} in 100 of its answers are late")
def then_late(context, share):
    for n in range(context.seeds):
        result = replay(context.pattern, OWN, SEED + n)
        assert result.late_share <= share / 100, result


@then("the routers' own placement earns at least {loss:g} less than with it")
def then_less(context, loss):
    whole = earned(context.pattern, OWN, context.seeds)
    owner, name, replacement = context.fault
    with mock.patch.object(owner, name, replacement):
        broken = earned(context.pattern, OWN, context.seeds)
    assert broken <= whole - loss, (broken, whole)
