"""Traces of requests, scenarios of faults, and what an admission policy is."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

ZONES = ("a", "b", "c")
ROUTERS_PER_ZONE = 2
STORE_DELAY = 0.004  # seconds for one way to the store
PATIENCE = 2.0  # seconds that a request may wait for tokens


@dataclass(slots=True, frozen=True)
class Ask:
    """One request of the trace.

    :param bound: tokens reserved
    :param used: tokens used in the end
    :param seconds: time that it runs
    """

    at: float
    zone: int
    router: int
    budget: str
    bound: int
    used: int
    seconds: float


@dataclass(slots=True, frozen=True)
class Scenario:
    """A fault and when it holds; times in seconds of model time."""

    name: str
    length: float
    store_out: tuple[float, float] = (0.0, 0.0)
    zone_cut: tuple[float, float] = (0.0, 0.0)
    killed_at: float = 0.0


SCENARIOS = (
    Scenario("no fault", 240.0),
    Scenario("partition of one zone", 240.0, zone_cut=(60.0, 200.0)),
    Scenario("store out for 10 minutes", 900.0, store_out=(150.0, 750.0)),
    Scenario("a holder killed", 240.0, killed_at=90.0),
)


def make_trace(scenario: Scenario, seed: int, budgets: int) -> tuple[list[Ask], dict[str, int]]:
    """Return requests, and paid tokens by budget name so that budgets run dry within the run."""
    chooser = random.Random(seed)
    asks: list[Ask] = []
    paid: dict[str, int] = {}
    for number in range(budgets):
        name = f"b{number}"
        rate = chooser.uniform(2.0, 12.0)
        shares = chooser.choice(((8, 1, 1), (1, 6, 3), (4, 4, 2), (1, 1, 8)))
        at, total = 0.0, 0
        while at < scenario.length:
            at += chooser.expovariate(rate)
            bound = chooser.choice((120, 300, 900))
            used = int(bound * chooser.uniform(0.15, 0.9))
            zone = chooser.choices(range(len(ZONES)), shares)[0]
            router = chooser.randrange(ROUTERS_PER_ZONE)
            asks.append(Ask(at, zone, router, name, bound, used, chooser.uniform(0.3, 3.0)))
            total += used
        paid[name] = int(total * chooser.uniform(0.75, 0.97))
    asks.sort(key=lambda ask: ask.at)
    return asks, paid


class AdmissionPolicy(ABC):
    """One way to admit requests."""

    def __init__(self, scenario: Scenario, paid: dict[str, int]) -> None:
        self.scenario = scenario
        self.paid = paid
        self.store_writes = 0

    def start(self) -> None:
        """Begin, on the running loop."""
        return

    @abstractmethod
    async def reserve(self, ask: Ask) -> Any:
        """Return a token for :meth:`finish`, or ``None`` to refuse."""

    @abstractmethod
    def finish(self, ask: Ask, token: Any) -> None:
        """Settle an admitted request."""


policies: dict[str, Callable[[Scenario, dict[str, int]], AdmissionPolicy]] = {}


def admission(name: str) -> Callable[[type[AdmissionPolicy]], type[AdmissionPolicy]]:
    """Register an admission policy."""

    def register(cls: type[AdmissionPolicy]) -> type[AdmissionPolicy]:
        policies[name] = cls
        return cls

    return register


def model_now() -> float:
    return asyncio.get_running_loop().time()


def is_within(span: tuple[float, float]) -> bool:
    return span[0] <= model_now() < span[1]
