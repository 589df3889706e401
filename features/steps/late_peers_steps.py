"""Steps for gateways that were late, and judge other gateways."""

from behave import then, when
from late_peers_support import LateGatewaySimulation, run_late_gateway


def run_all(context, first, last, run):
    """Run a case with several seeds."""
    context.simulations = [run_late_gateway(seed, run) for seed in range(first, last + 1)]


@when(
    "a gateway stands still while it reads the pools, and the store comes back from a copy without "
    "grants of a living one, seeds {first:d} to {last:d}"
)
def when_late_read(context, first, last):
    run_all(context, first, last, LateGatewaySimulation.run_restart)


@when(
    "a gateway stands still while its link to another one closes, and the store is restored just "
    "after that, seeds {first:d} to {last:d}"
)
def when_late_unlinked(context, first, last):
    run_all(context, first, last, LateGatewaySimulation.run_unlinked)


@then(
    "all tokens that are left can be granted within {limit:g} s of the return of the other gateway"
)
def then_granted(context, limit):
    times = [simulation.granted_after for simulation in context.simulations]
    assert all(time is not None and time <= limit for time in times), times


@then("the gateway does not take the other one for departed")
def then_not_departed(context):
    found = [simulation.taken_for_departed for simulation in context.simulations]
    assert not any(found), found
