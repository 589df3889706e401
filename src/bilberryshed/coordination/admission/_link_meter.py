"""Estimates how long bytes wait for a VM's network link."""

import math

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
USE_WINDOW = 0.5  # seconds over which the use of the link is averaged
PACKET_BYTES = 54  # bytes of the Ethernet, IP and TCP headers around the data of one write


class _Direction:
    """One direction of the link; times are monotonic, in seconds.

    :param queued: bytes that wait, if all bytes noted so far go through the link at its capacity
    :param rate: moving average in bytes per second
    """

    __slots__ = ("capacity", "queued", "rate", "noted_at", "total", "writes")

    def __init__(self, capacity: float) -> None:
        self.capacity = capacity
        self.queued = 0.0
        self.rate = 0.0
        self.noted_at = 0.0
        self.total = 0
        self.writes = 0

    def advance(self, now: float) -> None:
        """Account for the time that has passed."""
        elapsed = max(0.0, now - self.noted_at)
        self.queued = max(0.0, self.queued - elapsed * self.capacity)
        self.rate *= math.exp(-elapsed / USE_WINDOW)
        self.noted_at = max(now, self.noted_at)

    def note(self, now: float, size: int) -> None:
        """Add bytes."""
        self.advance(now)
        self.queued += size
        self.total += size
        self.writes += 1
        self.rate += size / USE_WINDOW


class LinkMeter:
    """Bytes that a process sends and receives, against the capacity of its VM's link.

    Bytes are noted before they pass the link if they are sent, and after it if they are received.
    So the time that bytes to be sent wait is known, but not how much waits to be received; there,
    use near the capacity means that something does.

    :param bandwidth: capacity of each direction in Mbit/s
    """

    __slots__ = ("capacity", "sent", "received")

    def __init__(self, bandwidth: float) -> None:
        self.capacity = bandwidth * BITS_PER_MEGABIT / BITS_PER_BYTE
        self.sent = _Direction(self.capacity)
        self.received = _Direction(self.capacity)

    def on_sent(self, now: float, size: int) -> None:
        """Note bytes that are written to a socket."""
        self.sent.note(now, size + PACKET_BYTES)

    def on_received(self, now: float, size: int) -> None:
        """Note bytes that were read from a socket."""
        self.received.note(now, size + PACKET_BYTES)

    def send_wait(self, now: float) -> float:
        """Return the seconds for which a byte that is written now waits."""
        self.sent.advance(now)
        return self.sent.queued / self.capacity

    def use(self, now: float) -> float:
        """Return the use of the busier direction, as a share of its capacity."""
        self.sent.advance(now)
        self.received.advance(now)
        return max(self.sent.rate, self.received.rate) / self.capacity
