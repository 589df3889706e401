"""Counters and timings, sent to statsd and kept for the status page."""

from collections import Counter

import statsd

from bilberryshed.state import Address


class Metrics:
    """Counts events; forwards them to statsd if an address is configured.

    :param address: statsd server, ``None`` to keep counts in the process only
    :param prefix: first part of every metric name
    """

    __slots__ = ("counts", "client")

    def __init__(self, address: Address | None, prefix: str) -> None:
        self.counts: Counter[str] = Counter()
        self.client = (
            statsd.StatsClient(address.host, address.port, prefix=prefix) if address else None
        )

    def count(self, name: str, by: int = 1) -> None:
        """Raise a counter."""
        self.counts[name] += by
        if self.client is not None:
            self.client.incr(name, by)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        if self.client is not None:
            self.client.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Record a level."""
        if self.client is not None:
            self.client.gauge(name, value)
