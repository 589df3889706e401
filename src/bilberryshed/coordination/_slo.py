"""Service-level tallies of routers, and burn rates of the error budget."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

OBJECTIVE = 0.99  # share of requests that must get a complete response within their deadline


@dataclass(slots=True)
class Counts:
    """Counted requests, and those among them that missed the objective."""

    total: int = 0
    missed: int = 0


@dataclass(slots=True, frozen=True)
class TallyLine:
    """Tally of one service and customer in one interval of one router.

    :param at: end of the interval, seconds since the epoch
    """

    at: float
    service: str
    customer: str
    total: int
    missed: int


@dataclass(slots=True)
class SloTally:
    """Counts of the current interval."""

    counts: dict[tuple[str, str], Counts] = field(default_factory=lambda: defaultdict(Counts))

    def add(self, service: str, customer: str, met: bool) -> None:
        """Count one request whose outcome the service is responsible for."""
        counts = self.counts[service, customer]
        counts.total += 1
        counts.missed += not met

    def close(self, at: float) -> tuple[TallyLine, ...]:
        """Return the tally of the interval, and start the next interval."""
        lines = tuple(
            TallyLine(at, service, customer, counts.total, counts.missed)
            for (service, customer), counts in sorted(self.counts.items())
        )
        self.counts.clear()
        return lines


def burn_rates(
    lines: Iterable[TallyLine], now: float, windows: tuple[float, ...]
) -> dict[tuple[str, str], tuple[float, ...]]:
    """Return burn rates by service and customer, one for each window.

    A rate of 1 exhausts the error budget exactly at the end of its period.

    :param now: seconds since the epoch
    :param windows: lengths in seconds, counted back from ``now``
    """
    tallies = list(lines)
    names = sorted({(line.service, line.customer) for line in tallies})
    return {name: tuple(_rate(tallies, name, now - window) for window in windows) for name in names}


def _rate(lines: list[TallyLine], name: tuple[str, str], since: float) -> float:
    chosen = [line for line in lines if (line.service, line.customer) == name and line.at >= since]
    total = sum(line.total for line in chosen)
    missed = sum(line.missed for line in chosen)
    return missed / total / (1 - OBJECTIVE) if total else 0.0
