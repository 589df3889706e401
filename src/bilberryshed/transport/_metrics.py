"""Metrics for statsd; counters are also kept for the status page."""

from collections import Counter

import statsd

from bilberryshed.state import Address


class Metrics:
    """Records metrics and sends them to statsd if an address is configured.

    :param address: address of the statsd server, ``None`` to keep counters in the process only
    :param prefix: prefix of every metric name
    """

    __slots__ = ("counts", "client")

    def __init__(self, address: Address | None, prefix: str) -> None:
        self.counts: Counter[str] = Counter()
        self.client = (
            statsd.StatsClient(address.host, address.port, prefix=prefix) if address else None
        )

    def count(self, name: str, increment: int = 1) -> None:
        """Increment a counter."""
        self.counts[name] += increment
        if self.client is not None:
            self.client.incr(name, increment)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        if self.client is not None:
            self.client.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Record the value of a gauge."""
        if self.client is not None:
            self.client.gauge(name, value)
