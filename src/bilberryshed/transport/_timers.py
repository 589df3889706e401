"""Timer service of a process: periodic callbacks, timeouts, monotonic and wall-clock time."""

import asyncio
import math
import time
from collections.abc import Callable
from types import TracebackType
from typing import Self

from bilberryshed.coordination import TICK_INTERVAL, LoopLag

# Turns of the event loop from the limit of a timeout to its end: one reads what has arrived, and
# the others wake the tasks that wait for it.
CONFIRM_TURNS = 5
MIN_REARM = 0.001  # seconds; a timer may fire early by the resolution of the clock

Callback = Callable[[float], object]


class Subscription:
    """A periodic callback, called until it is cancelled."""

    __slots__ = ("interval", "callback", "handle", "cancelled")

    def __init__(self, interval: float, callback: Callback) -> None:
        self.interval = interval
        self.callback = callback
        self.handle: asyncio.TimerHandle | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """Stop the periodic callback."""
        self.cancelled = True
        if self.handle is not None:
            self.handle.cancel()


class TimerService:
    """Runs periodic callbacks on the event loop and returns the time.

    Callbacks run at multiples of their interval, so that intervals which are multiples of each
    other share wake-ups.

    :param phase: monotonic time in seconds from which the intervals count; processes with different
        phases do not act together
    :param lag: lag of the event loop
    :param on_lag: called with the seconds by which the event loop was late
    """

    __slots__ = ("subscriptions", "phase", "lag", "on_lag")

    def __init__(self, phase: float = 0.0) -> None:
        self.subscriptions: list[Subscription] = []
        self.phase = phase
        self.lag = LoopLag()
        self.on_lag: Callback = lambda lag: None

    def watch_loop(self) -> None:
        """Start to measure the lag of the event loop; without it, there is none."""
        self._tick(self.now())
        self.subscribe(TICK_INTERVAL, self._tick)

    def _tick(self, now: float) -> None:
        lag = self.lag.on_tick(now)
        if lag > 0:
            self.on_lag(lag)

    def now(self) -> float:
        """Return the loop's monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def responsive_time(self) -> float:
        """Return the seconds in which the event loop was responsive, to judge others by.

        See :class:`~bilberryshed.coordination.LoopLag`; without lag it advances like :meth:`now`.
        """
        return self.lag.responsive_time(self.now())

    def timeout(self, seconds: float, until: float = math.inf) -> "ResponsiveTimeout":
        """Return a context manager that limits the time that others have to respond.

        It raises :exc:`TimeoutError` like :func:`asyncio.timeout`, but time in which the own event
        loop lagged does not count, and what had arrived by then is handled first.

        :param seconds: responsive seconds
        :param until: monotonic time at which it ends in any case
        """
        return ResponsiveTimeout(self, seconds, until)

    def wall_time(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return time.time()

    def subscribe(self, interval: float, callback: Callback) -> Subscription:
        """Call ``callback`` every ``interval`` seconds, first within one and a half.

        :param callback: receives the monotonic time in seconds
        """
        subscription = Subscription(interval, callback)
        self.subscriptions = [s for s in self.subscriptions if not s.cancelled]
        self.subscriptions.append(subscription)
        self._arm(subscription)
        return subscription

    def call_once(self, delay: float, callback: Callback) -> asyncio.TimerHandle:
        """Call ``callback`` once after ``delay`` seconds, with the monotonic time in seconds."""
        loop = asyncio.get_running_loop()
        return loop.call_later(delay, lambda: callback(loop.time()))

    def close(self) -> None:
        """Cancel all subscriptions, and end the measurement of the loop's lag."""
        for subscription in self.subscriptions:
            subscription.cancel()
        self.lag.stop(time.monotonic())

    def _arm(self, subscription: Subscription) -> None:
        loop = asyncio.get_running_loop()
        due = next_multiple(loop.time() - self.phase, subscription.interval) + self.phase
        subscription.handle = loop.call_at(due, self._fire, subscription)

    def _fire(self, subscription: Subscription) -> None:
        if subscription.cancelled:
            return
        self._arm(subscription)
        subscription.callback(self.now())


class ResponsiveTimeout:
    """A timeout in responsive time.

    :param expires_at: responsive time at which it ends, or earlier at the monotonic time ``until``
    """

    __slots__ = ("timers", "seconds", "until", "expires_at", "inner", "handle")

    def __init__(self, timers: TimerService, seconds: float, until: float) -> None:
        self.timers = timers
        self.seconds = seconds
        self.until = until
        self.expires_at = math.inf
        self.inner = asyncio.timeout(None)
        self.handle: asyncio.Handle | None = None

    async def __aenter__(self) -> Self:
        await self.inner.__aenter__()
        self.expires_at = self.timers.responsive_time() + self.seconds
        self._arm(self.seconds)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self.handle is not None:
            self.handle.cancel()
        await self.inner.__aexit__(exc_type, exc, traceback)

    def _arm(self, delay: float) -> None:
        due = min(self.timers.now() + max(0.0, delay), self.until)
        self.handle = asyncio.get_running_loop().call_at(due, self._check)

    def _check(self) -> None:
        left = self.expires_at - self.timers.responsive_time()
        if left > 0 and self.timers.now() < self.until:
            self._arm(max(left, MIN_REARM))
        else:
            self._confirm(CONFIRM_TURNS)

    def _confirm(self, turns: int) -> None:
        """End the timeout after some turns of the loop, or at once at its latest time."""
        now = self.timers.now()
        if turns == 0 or now >= self.until:
            self.inner.reschedule(now)
        else:
            loop = asyncio.get_running_loop()
            self.handle = loop.call_soon(self._confirm, turns - 1)


def next_multiple(now: float, interval: float) -> float:
    """Return the next multiple of an interval, at least half an interval after ``now``.

    A callback that runs slightly early or late so keeps its pace.
    """
    return interval * (math.floor(now / interval + 0.5) + 1)
