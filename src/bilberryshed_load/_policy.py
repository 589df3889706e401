"""Overspend and false refusals of admission policies on exhausted budgets, in simulated time.

The routers' real :class:`FundingService` runs against fakes of the store and of links. An oracle
with a global view of all balances processes the same requests. A refusal is false if the total
balance, wherever its parts were, covered the request at that moment. Requests that the oracle
admits in its own run and a policy refuses are counted separately, because the two runs diverge
after their first difference.
"""

import asyncio
import logging
from dataclasses import dataclass, field

from bilberryshed.transport import configure_logs
from bilberryshed_load import _policy_baselines, _policy_escrow  # noqa: F401  registers policies
from bilberryshed_load._policy_trace import (
    SCENARIOS,
    AdmissionPolicy,
    TraceRequest,
    generate_trace,
    policies,
    simulated_now,
)
from bilberryshed_load._simulated_time import run_in_simulated_time


@dataclass(slots=True)
class PolicyOutcome:
    """Result of running a trace under a policy.

    :param refused: positions of refused requests in the trace
    :param false_refusals: requests refused although the paid tokens, less those used and those
        reserved by running requests, covered them
    :param reserved: tokens reserved by running requests, by budget
    :param used: tokens used by finished requests, by budget
    :param store_writes: writes to the table service
    """

    refused: set[int] = field(default_factory=set)
    false_refusals: int = 0
    store_writes: int = 0
    reserved: dict[str, int] = field(default_factory=dict)
    used: dict[str, int] = field(default_factory=dict)

    def overspend(self, paid: dict[str, int]) -> int:
        """Return the tokens used in excess of the paid tokens, over all budgets."""
        return sum(max(0, used - paid[budget]) for budget, used in self.used.items())


async def _run_policy(policy: AdmissionPolicy, requests: list[TraceRequest]) -> PolicyOutcome:
    outcome = PolicyOutcome(
        used=dict.fromkeys(policy.paid, 0), reserved=dict.fromkeys(policy.paid, 0)
    )
    policy.start()

    async def handle_request(position: int, request: TraceRequest) -> None:
        handle = await policy.reserve(request)
        if handle is None:
            outcome.refused.add(position)
            available = (
                policy.paid[request.budget]
                - outcome.used[request.budget]
                - outcome.reserved[request.budget]
            )
            outcome.false_refusals += available >= request.bound
            return
        outcome.reserved[request.budget] += request.bound
        await asyncio.sleep(request.run_time)
        outcome.reserved[request.budget] -= request.bound
        outcome.used[request.budget] += request.used
        policy.finish(request, handle)

    tasks = []
    for position, request in enumerate(requests):
        await asyncio.sleep(max(0.0, request.arrival_time - simulated_now()))
        tasks.append(asyncio.ensure_future(handle_request(position, request)))
    await asyncio.gather(*tasks)
    outcome.store_writes = policy.store_writes
    return outcome


def run_policies(seed: int, budgets: int) -> None:
    """Run every scenario under every policy and print overspend and false refusals.

    :param budgets: number of budgets, each of which is exhausted during the run
    """
    configure_logs("bilberryshed-load", "policy", logging.CRITICAL)
    titles = ("overspend", "refused", "false", "share", "not as oracle", "store writes")
    print(f"{'scenario':26} {'policy':24} " + " ".join(f"{title:>13}" for title in titles))
    for scenario in SCENARIOS:
        requests, paid = generate_trace(scenario, seed, budgets)
        outcomes = {
            name: run_in_simulated_time(_run_policy(create_policy(scenario, paid), requests))
            for name, create_policy in policies.items()
        }
        admitted = set(range(len(requests))) - outcomes["oracle"].refused
        for name, outcome in outcomes.items():
            differing = len(outcome.refused & admitted)
            false_share = outcome.false_refusals / len(admitted)
            print(
                f"{scenario.name:26} {name:24} {outcome.overspend(paid):13} "
                f"{len(outcome.refused):13} {outcome.false_refusals:13} {false_share:13.4%} "
                f"{differing:13} {outcome.store_writes:13}",
                flush=True,
            )
