"""One router's share of the fleet's retry budget, which needs no coordination for each retry."""

from collections import deque

SAFETY_SHARE = 0.8  # of its share that one router uses, as the shares of its peers are estimates


class RetryBudget:
    """Limits retries by service, in a sliding window.

    :param ratio: retries allowed for each request
    :param window: length of the window, in seconds
    :param slack: retries in each window that the whole fleet is allowed in addition to the ratio
    """

    __slots__ = ("ratio", "window", "slack", "requests", "retries")

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        self.ratio = ratio
        self.window = window
        self.slack = slack
        self.requests: dict[str, deque[float]] = {}
        self.retries: dict[str, deque[float]] = {}

    def count_request(self, now: float, service: str) -> None:
        """Count a caller's request to a service."""
        self._recent(self.requests, now, service).append(now)

    def try_retry(self, now: float, service: str, routers: int) -> bool:
        """Count a retry if the budget covers it.

        :param routers: number of routers that share the slack, including this one
        :returns: whether the request may be retried
        """
        if not self.may_retry(now, service, routers):
            return False
        self.retries[service].append(now)
        return True

    def refund(self, service: str) -> None:
        """Take the last counted retry back, as nothing was sent."""
        if self.retries[service]:
            self.retries[service].pop()

    def may_retry(self, now: float, service: str, routers: int) -> bool:
        """Whether the budget covers a retry.

        :param routers: number of routers that share the slack, including this one
        """
        requests = len(self._recent(self.requests, now, service))
        retries = len(self._recent(self.retries, now, service))
        allowed = SAFETY_SHARE * (self.ratio * requests + self.slack / max(1, routers))
        return retries + 1 <= allowed

    def _recent(self, history: dict[str, deque[float]], now: float, service: str) -> deque[float]:
        times = history.setdefault(service, deque())
        while times and times[0] <= now - self.window:
            times.popleft()
        return times
