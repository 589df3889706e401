"""Orders to model engines: planning at the router and fencing at the agent."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

MAX_CONCURRENT_LOADS = 2  # model loads in progress at once, so as not to overload the weight store
MAX_MODELS = 4  # model versions on one backend server


class OrderKind(StrEnum):
    """Operation that an order requests from a backend server."""

    LOAD = "load"
    UNLOAD = "unload"


class Admission(StrEnum):
    """Result of the fencing check of an order."""

    ACCEPTED = "accepted"
    OLD = "old"
    NUMBER_UNKNOWN = "number_unknown"


@dataclass(slots=True)
class OrderFence:
    """Rejects orders with an outdated fencing number, for backend servers that do not check it.

    The highest number is lost in a restart, so the current one is read from the store before the
    first order is accepted.

    :param highest_seen: highest fencing number seen, ``None`` before the first read
    """

    highest_seen: int | None = None

    def observe(self, number: int) -> None:
        """Record the fencing number that was read from the store."""
        self.highest_seen = max(self.highest_seen or 0, number)

    def admit(self, number: int) -> Admission:
        """Check the fencing number of an order."""
        if self.highest_seen is None:
            return Admission.NUMBER_UNKNOWN
        if number < self.highest_seen:
            return Admission.OLD
        self.highest_seen = number
        return Admission.ACCEPTED


@dataclass(slots=True, frozen=True)
class EngineView:
    """The planner's view of a model engine.

    :param models: model versions loaded
    :param pending: model versions that it was ordered to load and has not loaded yet
    :param usable: whether orders can be sent to it
    """

    name: str
    models: frozenset[str]
    pending: frozenset[str]
    usable: bool

    @property
    def loaded_or_pending(self) -> frozenset[str]:
        """Model versions that are loaded or being loaded."""
        return self.models | self.pending


@dataclass(slots=True, frozen=True)
class PlannedOrder:
    """One order to be issued."""

    agent: str
    kind: OrderKind
    model: str


def plan_orders(
    wanted: Mapping[str, int], engines: tuple[EngineView, ...]
) -> tuple[PlannedOrder, ...]:
    """Return the orders that bring the engines closer to the state that the sheet specifies.

    Missing versions are loaded first, at most ``MAX_CONCURRENT_LOADS`` at a time, on the engines
    with the fewest models. Other versions are unloaded only once every wanted version has its
    number of engines, so that a rollout never falls below the wanted capacity.

    :param wanted: number of engines by model version
    """
    usable = [engine for engine in engines if engine.usable]
    loads = _loads(wanted, usable)
    loads_in_progress = sum(len(engine.pending) for engine in engines)
    if loads or loads_in_progress:
        return tuple(loads[: max(0, MAX_CONCURRENT_LOADS - loads_in_progress)])
    return tuple(
        PlannedOrder(engine.name, OrderKind.UNLOAD, model)
        for engine in usable
        for model in sorted(engine.models)
        if model not in wanted
    )


def _loads(wanted: Mapping[str, int], usable: list[EngineView]) -> list[PlannedOrder]:
    model_counts = Counter({engine.name: len(engine.loaded_or_pending) for engine in usable})
    orders: list[PlannedOrder] = []
    for model, engines in sorted(wanted.items()):
        missing = engines - sum(model in engine.loaded_or_pending for engine in usable)
        free = [
            e
            for e in usable
            if model not in e.loaded_or_pending and model_counts[e.name] < MAX_MODELS
        ]
        free.sort(key=lambda engine: (model_counts[engine.name], engine.name))
        for engine in free[: max(0, missing)]:
            model_counts[engine.name] += 1
            orders.append(PlannedOrder(engine.name, OrderKind.LOAD, model))
    return orders
