"""Steps that replay load patterns with placement policies."""

from unittest import mock

from behave import given, then, when

from bilberryshed.coordination.placement import _choice
from bilberryshed_load._replay import PoolPlacement, placements, replay

SEED = 1
OWN_POLICY = "bilberryshed"
ABLATIONS = {
    "load notices": (PoolPlacement, "exchange_notices", lambda policy, now: None),
    "weight of repeated prefill": (_choice, "REPREFILL_WEIGHT", 0),
}


def mean_credit(pattern, policy, seeds):
    """Return the mean credit of a policy over several seeds."""
    results = [replay(pattern, policy, SEED + n) for n in range(seeds)]
    return sum(result.credit for result in results) / seeds


@given("routers without {component}")
def given_without(context, component):
    context.ablation = ABLATIONS[component]


@when('the pattern "{pattern}" is replayed with {seeds:d} seeds')
def when_replayed(context, pattern, seeds):
    context.pattern, context.seeds = pattern, seeds


@then("the routers' placement earns more credit than the best baseline, or at most {margin:g} less")
def then_not_worse(context, margin):
    credit = {policy: mean_credit(context.pattern, policy, context.seeds) for policy in placements}
    own_credit = credit.pop(OWN_POLICY)
    assert own_credit >= max(credit.values()) - margin, (own_credit, credit)


@then("at most {percent:d} in 100 of its responses are late")
def then_late(context, percent):
    for n in range(context.seeds):
        result = replay(context.pattern, OWN_POLICY, SEED + n)
        assert result.late_share <= percent / 100, result


@then("the routers' placement earns at least {difference:g} less credit than with it")
def then_ablation_worse(context, difference):
    baseline_credit = mean_credit(context.pattern, OWN_POLICY, context.seeds)
    owner, name, replacement = context.ablation
    with mock.patch.object(owner, name, replacement):
        ablated_credit = mean_credit(context.pattern, OWN_POLICY, context.seeds)
    assert ablated_credit <= baseline_credit - difference, (ablated_credit, baseline_credit)
