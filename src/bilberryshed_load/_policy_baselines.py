"""The oracle and the baselines with which the fleet's admission is compared."""

import asyncio
from typing import Any

from bilberryshed_load._policy_trace import (
    MAX_WAIT,
    STORE_ONE_WAY_DELAY,
    ZONES,
    AdmissionPolicy,
    Scenario,
    TraceRequest,
    is_active,
    register_policy,
    simulated_now,
)

POLL_INTERVAL = 0.1  # seconds between reads of an insufficient balance


class _BalancePolicy(AdmissionPolicy):
    """Base of policies with plain balances that, like the fleet, wait for released tokens."""

    def __init__(self, scenario: Scenario, paid: dict[str, int]) -> None:
        super().__init__(scenario, paid)
        self.balance: dict[tuple[str, int], int] = {}

    def balance_key(self, request: TraceRequest) -> tuple[str, int]:
        """Return the key of the balance that a request is charged to."""
        return request.budget, 0

    async def reserve(self, request: TraceRequest) -> Any:
        """Reserve the token bound, waiting for releases if the balance is insufficient."""
        deadline = simulated_now() + MAX_WAIT
        while self.balance[self.balance_key(request)] < request.bound:
            if simulated_now() >= deadline:
                return None
            await asyncio.sleep(POLL_INTERVAL)
        self.balance[self.balance_key(request)] -= request.bound
        return request.bound

    def finish(self, request: TraceRequest, handle: Any) -> None:
        """Release the unused part of the reservation."""
        self.balance[self.balance_key(request)] += request.bound - request.used


@register_policy("oracle")
class Oracle(_BalancePolicy):
    """Admits against one global balance for each budget."""

    def start(self) -> None:
        """Create one balance for each budget."""
        self.balance = {(budget, 0): paid for budget, paid in self.paid.items()}


@register_policy("static split")
class StaticSplit(_BalancePolicy):
    """Each zone has a fixed, equal share of each budget."""

    def start(self) -> None:
        """Split each budget equally between the zones."""
        for budget, paid in self.paid.items():
            for zone in range(len(ZONES)):
                self.balance[budget, zone] = paid // len(ZONES)

    def balance_key(self, request: TraceRequest) -> tuple[str, int]:
        """Return the key of the zone's share."""
        return request.budget, request.zone


@register_policy("store call per request")
class StoreCall(_BalancePolicy):
    """Each reservation is a conditional write on the budget's row; settlements cost no write."""

    def start(self) -> None:
        """Store the paid tokens of each budget as one balance."""
        self.balance = {(budget, 0): paid for budget, paid in self.paid.items()}

    async def reserve(self, request: TraceRequest) -> Any:
        """Reserve with a conditional write, retrying after conflicts and errors."""
        deadline = simulated_now() + MAX_WAIT
        while simulated_now() < deadline:
            await asyncio.sleep(2 * STORE_ONE_WAY_DELAY)
            observed = self.balance[self.balance_key(request)]
            await asyncio.sleep(2 * STORE_ONE_WAY_DELAY)
            if is_active(self.scenario.store_outage) or self._is_partitioned(request):
                await asyncio.sleep(0.1)
                continue
            self.store_writes += 1
            if self.balance[self.balance_key(request)] != observed:
                continue
            if observed >= request.bound:
                self.balance[self.balance_key(request)] -= request.bound
                return request.bound
            await asyncio.sleep(POLL_INTERVAL)
        return None

    def _is_partitioned(self, request: TraceRequest) -> bool:
        return request.zone == len(ZONES) - 1 and is_active(self.scenario.zone_partition)
