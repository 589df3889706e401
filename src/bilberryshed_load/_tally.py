"""What callers saw, added up."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MAX_MICROSECONDS = 60_000_000  # microseconds
SIGNIFICANT_DIGITS = 3


def histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


def milliseconds(values: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds, 0 if nothing was recorded."""
    return float(values.get_value_at_percentile(percentile)) / 1000


@dataclass(slots=True)
class Tally:
    """Counts and latencies of one run.

    :param wrong: requests whose answer was not the whole, own answer
    :param truncated: requests of which a try ended in the middle of its answer
    :param false_refusals: requests refused although the budget covered them
    """

    requests: int = 0
    answered: int = 0
    retried: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)
    truncated: list[str] = field(default_factory=list)
    false_refusals: int = 0
    first_token: HdrHistogram = field(default_factory=histogram)
    complete: HdrHistogram = field(default_factory=histogram)

    def lines(self) -> list[str]:
        """Return the tally as text."""
        refused = ", ".join(f"{code} {n}" for code, n in sorted(self.refused.items())) or "none"
        first_token = " ".join(
            f"p{p}={milliseconds(self.first_token, p):.1f}" for p in (50, 95, 99)
        )
        complete = " ".join(f"p{p}={milliseconds(self.complete, p):.1f}" for p in (50, 95, 99))
        return [
            f"requests: {self.requests}, answered {self.answered}, retried {self.retried}",
            f"refused: {refused}",
            f"false refusals: {self.false_refusals}",
            f"wrong answers: {len(self.wrong)}",
            f"first token, ms: {first_token}",
            f"whole answer, ms: {complete}",
        ]
