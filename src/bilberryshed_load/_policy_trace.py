"""Request traces, fault scenarios and the interface of admission policies."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

ZONES = ("a", "b", "c")
ROUTERS_PER_ZONE = 2
STORE_ONE_WAY_DELAY = 0.004  # seconds, one way to the store
MAX_WAIT = 2.0  # seconds that a request may wait for tokens


@dataclass(slots=True, frozen=True)
class TraceRequest:
    """One request of a trace.

    :param arrival_time: simulated time of arrival, in seconds
    :param zone: index of the zone that receives it
    :param router: index of the router within the zone
    :param bound: tokens to reserve
    :param used: tokens used when it finishes
    :param run_time: seconds that it runs
    """

    arrival_time: float
    zone: int
    router: int
    budget: str
    bound: int
    used: int
    run_time: float


@dataclass(slots=True, frozen=True)
class Scenario:
    """A fault and its time span, in seconds of simulated time."""

    name: str
    duration: float
    store_outage: tuple[float, float] = (0.0, 0.0)
    zone_partition: tuple[float, float] = (0.0, 0.0)
    killed_at: float = 0.0


SCENARIOS = (
    Scenario("no fault", 240.0),
    Scenario("partition of one zone", 240.0, zone_partition=(60.0, 200.0)),
    Scenario("store outage of 10 minutes", 900.0, store_outage=(150.0, 750.0)),
    Scenario("router with grants killed", 240.0, killed_at=90.0),
)


def generate_trace(
    scenario: Scenario, seed: int, budgets: int
) -> tuple[list[TraceRequest], dict[str, int]]:
    """Return requests and the paid tokens by budget, low enough to be exhausted during the run."""
    rng = random.Random(seed)
    requests: list[TraceRequest] = []
    paid: dict[str, int] = {}
    for number in range(budgets):
        name = f"b{number}"
        rate = rng.uniform(2.0, 12.0)
        zone_weights = rng.choice(((8, 1, 1), (1, 6, 3), (4, 4, 2), (1, 1, 8)))
        arrival_time, total = 0.0, 0
        while arrival_time < scenario.duration:
            arrival_time += rng.expovariate(rate)
            bound = rng.choice((120, 300, 900))
            used = int(bound * rng.uniform(0.15, 0.9))
            zone = rng.choices(range(len(ZONES)), zone_weights)[0]
            router = rng.randrange(ROUTERS_PER_ZONE)
            requests.append(
                TraceRequest(arrival_time, zone, router, name, bound, used, rng.uniform(0.3, 3.0))
            )
            total += used
        paid[name] = int(total * rng.uniform(0.75, 0.97))
    requests.sort(key=lambda request: request.arrival_time)
    return requests, paid


class AdmissionPolicy(ABC):
    """Base of all admission policies."""

    def __init__(self, scenario: Scenario, paid: dict[str, int]) -> None:
        self.scenario = scenario
        self.paid = paid
        self.store_writes = 0

    def start(self) -> None:
        """Initialize the policy on the running event loop."""
        return

    @abstractmethod
    async def reserve(self, request: TraceRequest) -> Any:
        """Return a handle for :meth:`finish`, or ``None`` to refuse the request."""

    @abstractmethod
    def finish(self, request: TraceRequest, handle: Any) -> None:
        """Settle an admitted request that has finished."""


policies: dict[str, Callable[[Scenario, dict[str, int]], AdmissionPolicy]] = {}


def register_policy(name: str) -> Callable[[type[AdmissionPolicy]], type[AdmissionPolicy]]:
    """Register an admission policy under a name."""

    def register(cls: type[AdmissionPolicy]) -> type[AdmissionPolicy]:
        policies[name] = cls
        return cls

    return register


def simulated_now() -> float:
    return asyncio.get_running_loop().time()


def is_active(span: tuple[float, float]) -> bool:
    return span[0] <= simulated_now() < span[1]
