"""One router's share of the fleet's retry budget, without a call for each retry."""

from collections import deque

SAFETY_SHARE = 0.8  # of the allowance that one router uses, as its peers' share is an estimate


class RetryBudget:
    """Limits arrivals beyond the first of each request, by service and sliding window.

    :param ratio: retries allowed for each request
    :param window: seconds
    :param slack: retries that the whole fleet has beside the ratio
    """

    __slots__ = ("ratio", "window", "slack", "requests", "retries")

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        self.ratio = ratio
        self.window = window
        self.slack = slack
        self.requests: dict[str, deque[float]] = {}
        self.retries: dict[str, deque[float]] = {}

    def count_request(self, now: float, service: str) -> None:
        """Count a caller's request for a service."""
        self._recent(self.requests, now, service).append(now)

    def try_retry(self, now: float, service: str, routers: int) -> bool:
        """Count a retry if the allowance covers it.

        :param routers: routers that share the slack, this one included
        :returns: whether the request may be sent once more
        """
        requests = len(self._recent(self.requests, now, service))
        retries = self._recent(self.retries, now, service)
        allowed = SAFETY_SHARE * (self.ratio * requests + self.slack / max(1, routers))
        if len(retries) + 1 > allowed:
            return False
        retries.append(now)
        return True

    def _recent(self, history: dict[str, deque[float]], now: float, service: str) -> deque[float]:
        times = history.setdefault(service, deque())
        while times and times[0] <= now - self.window:
            times.popleft()
        return times
