"""Which orders to a backend server are accepted, and which ones are to be given."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

MAX_CONCURRENT_LOADS = 2  # loads under way at once, for the sake of the weight store
MAX_MODELS = 4  # model versions on one backend server


class OrderKind(StrEnum):
    """What a backend server is told to do."""

    LOAD = "load"
    UNLOAD = "unload"


class Admission(StrEnum):
    """What becomes of an order."""

    ACCEPTED = "accepted"
    OLD = "old"
    NUMBER_UNKNOWN = "number_unknown"


@dataclass(slots=True)
class OrderFence:
    """Refuses orders that carry an old fencing number, on behalf of backend servers that do not.

    After a restart nothing is known; the number in force is read from the store first.

    :param highest_seen: highest fencing number known, ``None`` before the first read
    """

    highest_seen: int | None = None

    def observe(self, number: int) -> None:
        """Take in the number in force by the store."""
        self.highest_seen = max(self.highest_seen or 0, number)

    def admit(self, number: int) -> Admission:
        """Judge an order by its fencing number."""
        if self.highest_seen is None:
            return Admission.NUMBER_UNKNOWN
        if number < self.highest_seen:
            return Admission.OLD
        self.highest_seen = number
        return Admission.ACCEPTED


@dataclass(slots=True, frozen=True)
class EngineView:
    """A model engine as the planner sees it.

    :param models: model versions loaded
    :param pending: model versions that it was ordered to load
    """

    name: str
    models: frozenset[str]
    pending: frozenset[str]
    usable: bool

    @property
    def loaded_or_pending(self) -> frozenset[str]:
        """Model versions loaded or about to be."""
        return self.models | self.pending


@dataclass(slots=True, frozen=True)
class PlannedOrder:
    """One order to give."""

    agent: str
    kind: OrderKind
    model: str


def plan_orders(
    wanted: Mapping[str, int], engines: tuple[EngineView, ...]
) -> tuple[PlannedOrder, ...]:
    """Return the orders that bring the engines closer to what the sheet wants.

    Missing versions are loaded first, few at a time, on the engines with the fewest models. A
    version that nobody wants is unloaded only once every wanted one has its engines, so that a
    change of version never goes below the wanted capacity.

    :param wanted: engines wanted, by model version
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
