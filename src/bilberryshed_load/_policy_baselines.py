"""The oracle and the baselines that the fleet's admission is compared with."""

import asyncio
from typing import Any

from bilberryshed_load._policy_trace import (
    PATIENCE,
    STORE_DELAY,
    ZONES,
    AdmissionPolicy,
    Ask,
    Scenario,
    admission,
    is_within,
    model_now,
)

POLL = 0.1  # seconds between looks at a balance that is too low


class _Balances(AdmissionPolicy):
    """Base of policies that keep plain balances, waiting for releases like the fleet does."""

    def __init__(self, scenario: Scenario, paid: dict[str, int]) -> None:
        super().__init__(scenario, paid)
        self.balance: dict[tuple[str, int], int] = {}

    def key(self, ask: Ask) -> tuple[str, int]:
        """Return the balance that a request draws on."""
        return ask.budget, 0

    async def reserve(self, ask: Ask) -> Any:
        """Reserve the bound, waiting for a release."""
        deadline = model_now() + PATIENCE
        while self.balance[self.key(ask)] < ask.bound:
            if model_now() >= deadline:
                return None
            await asyncio.sleep(POLL)
        self.balance[self.key(ask)] -= ask.bound
        return ask.bound

    def finish(self, ask: Ask, token: Any) -> None:
        """Give the unused rest back."""
        self.balance[self.key(ask)] += ask.bound - ask.used


@admission("oracle")
class Oracle(_Balances):
    """Knows every balance at once."""

    def start(self) -> None:
        """Put all in one place."""
        self.balance = {(budget, 0): paid for budget, paid in self.paid.items()}


@admission("static split")
class StaticSplit(_Balances):
    """Each zone has an equal share for good."""

    def start(self) -> None:
        """Split equally."""
        for budget, paid in self.paid.items():
            for zone in range(len(ZONES)):
                self.balance[budget, zone] = paid // len(ZONES)

    def key(self, ask: Ask) -> tuple[str, int]:
        """Return the zone's share."""
        return ask.budget, ask.zone


@admission("store call per request")
class StoreCall(_Balances):
    """Each reservation and each settlement is a conditional write on the budget's row."""

    def start(self) -> None:
        """Put all in the store."""
        self.balance = {(budget, 0): paid for budget, paid in self.paid.items()}

    async def reserve(self, ask: Ask) -> Any:
        """Reserve in the store, retrying after conflicts and errors."""
        deadline = model_now() + PATIENCE
        while model_now() < deadline:
            await asyncio.sleep(2 * STORE_DELAY)
            seen = self.balance[self.key(ask)]
            await asyncio.sleep(2 * STORE_DELAY)
            if is_within(self.scenario.store_out) or self._cut(ask):
                await asyncio.sleep(0.1)
                continue
            self.store_writes += 1
            if self.balance[self.key(ask)] != seen:
                continue
            if seen >= ask.bound:
                self.balance[self.key(ask)] -= ask.bound
                return ask.bound
            await asyncio.sleep(POLL)
        return None

    def _cut(self, ask: Ask) -> bool:
        return ask.zone == len(ZONES) - 1 and is_within(self.scenario.zone_cut)
