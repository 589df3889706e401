"""Non-blocking log output to a pipe with a slow reader: bounded buffer, dropped lines counted."""

import os
import select
from collections import Counter, deque
from collections.abc import Callable, MutableMapping
from typing import Any

import structlog

from bilberryshed.transport._timers import TimerService

MAX_PENDING_BYTES = 1_000_000  # bytes buffered for a slow reader
WRITE_SIZE = 4096  # bytes; a writable pipe accepts a write of this size without blocking
FLUSH_INTERVAL = 0.1  # seconds between writes
MAX_FINAL_WRITES = 1_000  # writes attempted at the end of the process
MAX_LINES_PER_SECOND = 200  # per event; above this, only lines of failed requests are logged
REPORT_INTERVAL = 1.0  # seconds between reports of suppressed and dropped lines

EventDict = MutableMapping[str, Any]


class LogPipe:
    """Buffers lines and writes them when the descriptor is writable.

    :param descriptor: file descriptor of a pipe or file
    :param dropped: number of lines lost to a full buffer or a failed write
    """

    # structlog's loggers keep a weak reference to the file that they write to.
    __slots__ = ("descriptor", "pending", "byte_count", "dropped", "__weakref__")

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.byte_count = 0
        self.dropped = 0

    def write(self, text: str) -> None:
        """Buffer a line, or count it as dropped if the buffer is full."""
        data = text.encode(errors="replace")
        if self.byte_count + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self.pending.append(data)
        self.byte_count += len(data)

    def flush(self) -> None:
        """Do nothing: lines are written in batches by :meth:`drain`."""

    def drain(self, max_writes: int | None = None) -> None:
        """Write buffered lines while the descriptor is writable.

        :param max_writes: maximum number of writes, ``None`` for no limit
        """
        writes = 0
        while self.pending and (max_writes is None or writes < max_writes):
            if not select.select([], [self.descriptor], [], 0)[1]:
                return
            self._write_once()
            writes += 1

    def _write_once(self) -> None:
        batch: list[bytes] = []
        byte_count = 0
        while self.pending and byte_count < WRITE_SIZE:
            line = self.pending.popleft()
            batch.append(line)
            byte_count += len(line)
        data = b"".join(batch)
        try:
            written = os.write(self.descriptor, data[:WRITE_SIZE])
        except OSError:
            self.dropped += len(batch)
            self.byte_count -= byte_count
            return
        self.byte_count -= written
        if written < len(data):
            self.pending.appendleft(data[written:])


class LogRateLimiter:
    """Suppresses lines of an event that is logged too often, but never those of a failed request.

    :param now: clock that returns seconds
    """

    __slots__ = ("now", "second", "counts", "suppressed")

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.second = 0
        self.counts: Counter[str] = Counter()
        self.suppressed: Counter[str] = Counter()

    def __call__(self, logger: Any, method: str, event_dict: EventDict) -> EventDict:
        """Return the event, or drop it above the rate limit."""
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
        """Return the number of lines suppressed since the last call, by event."""
        suppressed_counts = dict(self.suppressed)
        self.suppressed.clear()
        return suppressed_counts


class LogFlusher:
    """Writes buffered lines periodically, and reports suppressed and dropped lines.

    :param rate_limiter: counts the suppressed lines
    :param pipe: buffers the lines
    """

    __slots__ = ("pipe", "rate_limiter", "reported_drops")

    def __init__(self, pipe: LogPipe, rate_limiter: LogRateLimiter) -> None:
        self.pipe = pipe
        self.rate_limiter = rate_limiter
        self.reported_drops = 0

    def start(self, timers: TimerService) -> None:
        """Subscribe to the timers."""
        timers.subscribe(FLUSH_INTERVAL, lambda now: self.pipe.drain())
        timers.subscribe(REPORT_INTERVAL, lambda now: self.report())

    def report(self) -> None:
        """Log the number of lines suppressed or dropped since the last report."""
        suppressed, dropped = (
            self.rate_limiter.pop_suppressed(),
            self.pipe.dropped - self.reported_drops,
        )
        self.reported_drops = self.pipe.dropped
        if suppressed or dropped:
            structlog.get_logger().warning("lines_left_out", lost=dropped, **suppressed)

    def flush_at_exit(self) -> None:
        """Write the remaining lines at the end of the process, while the reader accepts them."""
        self.pipe.drain(MAX_FINAL_WRITES)
