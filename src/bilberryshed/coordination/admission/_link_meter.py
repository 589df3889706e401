"""Estimates how long bytes wait for a VM's network link."""

import math

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
USE_WINDOW = 0.5  # seconds over which the use of the link is averaged
TREND_WINDOW = 0.2  # seconds over which the use is averaged that the other average approaches
MIN_UPDATE_INTERVAL = 0.01  # seconds; bounds the cost of updates at a high rate of requests
PACKET_HEADER_BYTES = 54  # bytes of the Ethernet, IP and TCP headers of one packet
PACKET_BYTES = 1460  # bytes of data in one packet


class ByteCounter:
    """Counts the bytes that a process writes to and reads from its sockets, with packet headers.

    It has no clock, as it is called for each write: :class:`LinkMeter` adds the time.

    :param read: bytes read from the platform's store, which ``received`` does not include
    """

    __slots__ = ("sent", "received", "read")

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0
        self.read = 0

    def on_sent(self, size: int) -> None:
        """Count bytes that are written to a socket."""
        self.sent += size + PACKET_HEADER_BYTES * (1 + size // PACKET_BYTES)

    def on_received(self, size: int) -> None:
        """Count bytes that were read from a socket."""
        self.received += size + PACKET_HEADER_BYTES * (1 + size // PACKET_BYTES)

    def on_read(self, size: int) -> None:
        """Count bytes that were read from the store."""
        self.read += size + PACKET_HEADER_BYTES * (1 + size // PACKET_BYTES)


class _Direction:
    """One direction of the link.

    :param total: bytes counted until the last update
    :param queued: bytes that wait, if all bytes counted so far go through the link at its capacity
    :param rate: moving average over ``USE_WINDOW`` in bytes per second
    :param trend: moving average over ``TREND_WINDOW`` in bytes per second
    """

    __slots__ = ("capacity", "total", "queued", "rate", "trend")

    def __init__(self, capacity: float) -> None:
        self.capacity = capacity
        self.total = 0
        self.queued = 0.0
        self.rate = 0.0
        self.trend = 0.0

    def update(self, elapsed: float, total: int) -> None:
        """Account for the bytes that were counted in the time that has passed."""
        new, self.total = total - self.total, total
        # Bytes count as spread over the time, so that none wait while the rate is below capacity.
        self.queued = max(0.0, self.queued + new - elapsed * self.capacity)
        self.rate = _moving_average(self.rate, new, elapsed, USE_WINDOW)
        self.trend = _moving_average(self.trend, new, elapsed, TREND_WINDOW)


def _moving_average(rate: float, new: int, elapsed: float, window: float) -> float:
    """Return the exponential moving average of a rate after so many new bytes."""
    if elapsed <= 0.0:
        return rate + new / window
    return rate - math.expm1(-elapsed / window) * (new / elapsed - rate)


class LinkMeter:
    """Bytes that a process sends and receives, against the capacity of its VM's link.

    Bytes are counted before they pass the link if they are sent, and after it if they are received.
    So the time that bytes to be sent wait is known, but not how much waits to be received; there,
    use near the capacity means that something does. Times are monotonic, in seconds.

    :param bandwidth: capacity of each direction in Mbit/s
    :param received: bytes of callers, backend servers and peers, which move with the callers
    :param incoming: all bytes, those read from the store included
    """

    __slots__ = ("counter", "capacity", "sent", "received", "incoming", "updated_at")

    def __init__(self, counter: ByteCounter, bandwidth: float) -> None:
        self.counter = counter
        self.capacity = bandwidth * BITS_PER_MEGABIT / BITS_PER_BYTE
        self.sent = _Direction(self.capacity)
        self.received = _Direction(self.capacity)
        self.incoming = _Direction(self.capacity)
        self.updated_at = 0.0

    def update(self, now: float) -> None:
        """Account for the bytes counted since the last update."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.sent.update(elapsed, self.counter.sent)
        self.received.update(elapsed, self.counter.received)
        self.incoming.update(elapsed, self.counter.received + self.counter.read)

    def send_wait(self, now: float) -> float:
        """Return the seconds for which a byte that is written now waits."""
        elapsed = now - self.updated_at
        if elapsed >= MIN_UPDATE_INTERVAL:
            self.update(now)
            return self.sent.queued / self.capacity
        new = self.counter.sent - self.sent.total
        return max(0.0, (self.sent.queued + new) / self.capacity - max(0.0, elapsed))

    @property
    def use(self) -> float:
        """Use of the busier direction at the last update, as a share of its capacity."""
        return max(self.sent.rate, self.received.rate) / self.capacity

    @property
    def delaying_use(self) -> float:
        """Use by all bytes of the busier direction, the higher one of the two averages."""
        rates = (self.sent.rate, self.sent.trend, self.incoming.rate, self.incoming.trend)
        return max(rates) / self.capacity

    @property
    def predicted_use(self) -> float:
        """Use that :attr:`use` approaches if the most recent rate continues."""
        return max(self.sent.trend, self.received.trend) / self.capacity
