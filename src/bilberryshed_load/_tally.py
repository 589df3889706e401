"""Totals and latencies of the requests of a run."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MAX_MICROSECONDS = 60_000_000  # upper bound of the histograms
SIGNIFICANT_DIGITS = 3


def histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


def milliseconds(values: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds, 0 if nothing was recorded."""
    return float(values.get_value_at_percentile(percentile)) / 1000


@dataclass(slots=True)
class Tally:
    """Counts and latencies of one run.

    :param incorrect: keys of requests with a complete response that is not the expected one
    :param truncated: keys of requests with an attempt whose response was interrupted
    :param false_refusals: requests refused although the budget covered them
    :param first_token: latencies of the first token
    :param complete: latencies of complete responses, retries included
    """

    requests: int = 0
    answered: int = 0
    retried: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    incorrect: list[str] = field(default_factory=list)
    truncated: list[str] = field(default_factory=list)
    false_refusals: int = 0
    first_token: HdrHistogram = field(default_factory=histogram)
    complete: HdrHistogram = field(default_factory=histogram)

    def lines(self) -> list[str]:
        """Return the tally as lines of text."""
        refused = ", ".join(f"{code} {n}" for code, n in sorted(self.refused.items())) or "none"
        first_token = " ".join(
            f"p{p}={milliseconds(self.first_token, p):.1f}" for p in (50, 95, 99)
        )
        complete = " ".join(f"p{p}={milliseconds(self.complete, p):.1f}" for p in (50, 95, 99))
        return [
            f"requests: {self.requests}, answered {self.answered}, retried {self.retried}",
            f"refused: {refused}",
            f"false refusals: {self.false_refusals}",
            f"incorrect responses: {len(self.incorrect)}",
            f"first token, ms: {first_token}",
            f"complete response, ms: {complete}",
        ]
