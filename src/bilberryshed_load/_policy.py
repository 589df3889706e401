"""Budgets running dry, in model time: overspend and false refusals of each admission policy.

The routers' real :class:`FundingService` runs against fakes of the store and of links. An oracle
that knows every balance sees the same requests. A refusal is false if the whole balance, wherever
its parts were, covered the request at that moment; requests that the oracle's own run admits and a
policy refuses are counted beside it, since after one difference the two histories part.
"""

import asyncio
import logging
from dataclasses import dataclass, field

from bilberryshed.transport import configure_logs
from bilberryshed_load import _policy_baselines, _policy_escrow  # noqa: F401  registers policies
from bilberryshed_load._model_time import run_in_model_time
from bilberryshed_load._policy_trace import (
    SCENARIOS,
    AdmissionPolicy,
    Ask,
    make_trace,
    model_now,
    policies,
)


@dataclass(slots=True)
class Outcome:
    """What a policy did with the trace.

    :param refused: positions of refused requests
    :param false_refusals: those refused while paid tokens, less what was used and what running
        requests may use, covered them
    :param held: tokens that running requests may use, by budget
    :param store_writes: writes to the table service
    """

    refused: set[int] = field(default_factory=set)
    false_refusals: int = 0
    store_writes: int = 0
    held: dict[str, int] = field(default_factory=dict)
    used: dict[str, int] = field(default_factory=dict)

    def overspend(self, paid: dict[str, int]) -> int:
        """Return tokens used beyond what was paid."""
        return sum(max(0, used - paid[budget]) for budget, used in self.used.items())


async def _play(policy: AdmissionPolicy, asks: list[Ask]) -> Outcome:
    outcome = Outcome(used=dict.fromkeys(policy.paid, 0), held=dict.fromkeys(policy.paid, 0))
    policy.start()

    async def pose(position: int, ask: Ask) -> None:
        token = await policy.reserve(ask)
        if token is None:
            outcome.refused.add(position)
            whole = policy.paid[ask.budget] - outcome.used[ask.budget] - outcome.held[ask.budget]
            outcome.false_refusals += whole >= ask.bound
            return
        outcome.held[ask.budget] += ask.bound
        await asyncio.sleep(ask.seconds)
        outcome.held[ask.budget] -= ask.bound
        outcome.used[ask.budget] += ask.used
        policy.finish(ask, token)

    tasks = []
    for position, ask in enumerate(asks):
        await asyncio.sleep(max(0.0, ask.at - model_now()))
        tasks.append(asyncio.ensure_future(pose(position, ask)))
    await asyncio.gather(*tasks)
    outcome.store_writes = policy.store_writes
    return outcome


def run_policies(seed: int, budgets: int) -> None:
    """Play every scenario under every policy and print overspend and false refusals.

    :param budgets: number of budgets, each of which runs dry
    """
    configure_logs("bilberryshed-load", "policy", logging.CRITICAL)
    titles = ("overspend", "refused", "false", "share", "not as oracle", "store writes")
    print(f"{'scenario':26} {'policy':24} " + " ".join(f"{title:>13}" for title in titles))
    for scenario in SCENARIOS:
        asks, paid = make_trace(scenario, seed, budgets)
        outcomes = {
            name: run_in_model_time(_play(make(scenario, paid), asks))
            for name, make in policies.items()
        }
        admitted = set(range(len(asks))) - outcomes["oracle"].refused
        for name, outcome in outcomes.items():
            differs = len(outcome.refused & admitted)
            share = outcome.false_refusals / len(admitted)
            print(
                f"{scenario.name:26} {name:24} {outcome.overspend(paid):13} "
                f"{len(outcome.refused):13} {outcome.false_refusals:13} {share:13.4%} "
                f"{differs:13} {outcome.store_writes:13}",
                flush=True,
            )
