"""Estimate of the time in which a backend server prefills prompts, learned from its answers."""

import math
from collections.abc import Collection
from dataclasses import dataclass

NOMINAL_PACE = 0.02  # milliseconds per token that all servers are taken to need before any answers
MIN_TOKENS = 1_500  # prompt tokens with which the prefill outweighs the network and the first token
MIN_ANSWERS = 6  # answers before the spread of the observations says anything
ANSWER_WEIGHT = 0.04  # weight of the newest answer in the moving averages
MIN_ERROR = 0.05  # of the mean; the tokens queued ahead of a prompt are known no better
CONFIDENCE = 3.0  # standard errors that a server's pace must be off the mean to count
ESTIMATE_LIFETIME = 30.0  # seconds; a server found slow is sent little, and may have recovered
MAX_FACTOR = 2.0  # limit both ways, so that a fast server is not flooded by a burst


@dataclass(slots=True)
class ServerEstimate:
    """What a backend server takes to prefill a prompt now.

    :param answers: number of observed answers
    :param mean: moving average of the milliseconds for one token
    :param variance: moving average of the squared deviation from it
    :param observed_at: monotonic time of the newest observation
    :param service_pace: mean milliseconds for one token of the service's servers
    :param slowness: multiple of it that placement uses for this server
    """

    answers: int = 0
    mean: float = 0.0
    variance: float = 0.0
    observed_at: float = -math.inf
    service_pace: float = NOMINAL_PACE
    slowness: float = 1.0

    @property
    def error(self) -> float:
        """Standard error of the moving average in milliseconds for one token."""
        if self.answers < MIN_ANSWERS:
            return math.inf
        weight = max(ANSWER_WEIGHT / (2 - ANSWER_WEIGHT), 1 / self.answers)
        return max(MIN_ERROR * self.mean, math.sqrt(self.variance * weight))

    def expected_ms(self, tokens: int) -> float:
        """Return the milliseconds in which the server is expected to prefill some tokens."""
        return tokens * self.slowness * self.service_pace

    def observe(self, now: float, seconds: float, tokens: int) -> bool:
        """Add the time from sending a prompt to its first event.

        :param tokens: prompt tokens that the server prefilled in that time
        :returns: whether it says something about the server's speed
        """
        if tokens < MIN_TOKENS or seconds <= 0:
            return False
        if not self.is_known(now):
            self.answers, self.variance = 0, 0.0
        self.answers += 1
        self.observed_at = now
        weight = max(ANSWER_WEIGHT, 1 / self.answers)
        deviation = 1000 * seconds / tokens - self.mean
        if self.answers == 1:
            self.mean += deviation
        else:
            self.mean += weight * deviation
            self.variance = (1 - weight) * (self.variance + weight * deviation * deviation)
        return True

    def is_known(self, now: float) -> bool:
        """Whether it has been observed recently."""
        return now - self.observed_at < ESTIMATE_LIFETIME


def update_paces(now: float, estimates: Collection[ServerEstimate]) -> None:
    """Set the pace that placement uses for each backend server of one service.

    A server that is not known to differ from the mean has the mean pace, so that errors of the
    observations do not move requests.
    """
    known = [e for e in estimates if e.answers >= MIN_ANSWERS and e.is_known(now)]
    mean = sum(e.mean for e in known) / len(known) if known else NOMINAL_PACE
    for estimate in estimates:
        estimate.slowness = _slowness(now, estimate, mean)
        estimate.service_pace = mean


def _slowness(now: float, estimate: ServerEstimate, mean: float) -> float:
    """Return the pace as a multiple of the mean, 1 while the error exceeds the difference."""
    if not estimate.is_known(now):
        return 1.0
    if abs(estimate.mean - mean) <= CONFIDENCE * estimate.error:
        return 1.0
    return min(MAX_FACTOR, max(1 / MAX_FACTOR, estimate.mean / mean))
