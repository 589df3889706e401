"""Log lines to a pipe that may be slow: bounded, counted, and never waited for."""

import os
import select
from collections import Counter, deque
from collections.abc import Callable, MutableMapping
from typing import Any

import structlog

from bilberryshed.transport._timers import TimerService

MAX_PENDING_BYTES = 1_000_000  # bytes that wait for a slow reader
WRITE_SIZE = 4096  # bytes that a pipe that is ready takes without blocking
FLUSH_INTERVAL = 0.05  # seconds between writes
MAX_FINAL_WRITES = 1_000  # writes tried at the end of the process
MAX_LINES_PER_SECOND = 200  # lines of one event, beyond which those of sound requests are left out
REPORT_INTERVAL = 1.0  # seconds between lines that tell what was left out

EventDict = MutableMapping[str, Any]


class LogPipe:
    """Collects lines and writes them when the descriptor takes them.

    :param descriptor: file descriptor of a pipe or file
    :param dropped: lines lost as the reader was too slow
    """

    # Loggers keep a weak reference to what they write to.
    __slots__ = ("descriptor", "pending", "size", "dropped", "__weakref__")

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.size = 0
        self.dropped = 0

    def write(self, text: str) -> None:
        """Take a line in, or count it as dropped."""
        data = text.encode(errors="replace")
        if self.size + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self.pending.append(data)
        self.size += len(data)

    def flush(self) -> None:
        """Do nothing: lines are written in batches by :meth:`drain`."""

    def drain(self, max_writes: int | None = None) -> None:
        """Write what the descriptor takes now.

        :param max_writes: writes at most, ``None`` for as many as it takes
        """
        writes = 0
        while self.pending and (max_writes is None or writes < max_writes):
            if not select.select([], [self.descriptor], [], 0)[1]:
                return
            self._write_once()
            writes += 1

    def _write_once(self) -> None:
        batch: list[bytes] = []
        size = 0
        while self.pending and size < WRITE_SIZE:
            line = self.pending.popleft()
            batch.append(line)
            size += len(line)
        data = b"".join(batch)
        try:
            written = os.write(self.descriptor, data[:WRITE_SIZE])
        except OSError:
            self.dropped += len(batch)
            self.size -= size
            return
        self.size -= written
        if written < len(data):
            self.pending.appendleft(data[written:])


class LogRateLimiter:
    """Leaves lines out of an event that comes too often, but never those of a failed request.

    :param now: tells the time in seconds
    """

    __slots__ = ("now", "second", "counts", "suppressed")

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.second = 0
        self.counts: Counter[str] = Counter()
        self.suppressed: Counter[str] = Counter()

    def __call__(self, logger: Any, method: str, event_dict: EventDict) -> EventDict:
        """Pass an event on, or drop it."""
        second = int(self.now())
        if second != self.second:
            self.second = second
            self.counts.clear()
        name = str(event_dict.get("event"))
        self.counts[name] += 1
        if self.counts[name] > MAX_LINES_PER_SECOND and not event_dict.get("failed", False):
            self.suppressed[name] += 1
            raise structlog.DropEvent
        return event_dict

    def pop_suppressed(self) -> dict[str, int]:
        """Return how many lines of each event were left out since the last call."""
        suppressed_counts = dict(self.suppressed)
        self.suppressed.clear()
        return suppressed_counts


class LogFlusher:
    """Writes lines out and tells what was left out.

    :param rate_limiter: what leaves lines out
    :param pipe: what writes them
    """

    __slots__ = ("pipe", "rate_limiter", "reported_drops")

    def __init__(self, pipe: LogPipe, rate_limiter: LogRateLimiter) -> None:
        self.pipe = pipe
        self.rate_limiter = rate_limiter
        self.reported_drops = 0

    def start(self, timers: TimerService) -> None:
        """Subscribe to timers."""
        timers.subscribe(FLUSH_INTERVAL, lambda now: self.pipe.drain())
        timers.subscribe(REPORT_INTERVAL, lambda now: self.report())

    def report(self) -> None:
        """Log what was left out or lost."""
        suppressed, dropped = (
            self.rate_limiter.pop_suppressed(),
            self.pipe.dropped - self.reported_drops,
        )
        self.reported_drops = self.pipe.dropped
        if suppressed or dropped:
            structlog.get_logger().warning("lines_left_out", lost=dropped, **suppressed)

    def flush_at_exit(self) -> None:
        """Write the rest at the end of the process, as far as the reader takes it."""
        self.pipe.drain(MAX_FINAL_WRITES)
