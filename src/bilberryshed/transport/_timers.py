"""Timer service of a process: periodic callbacks, monotonic time and wall-clock time."""

import asyncio
import math
import time
from collections.abc import Callable

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
    """

    __slots__ = ("subscriptions", "phase")

    def __init__(self, phase: float = 0.0) -> None:
        self.subscriptions: list[Subscription] = []
        self.phase = phase

    def now(self) -> float:
        """Return the loop's monotonic time in seconds."""
        return asyncio.get_running_loop().time()

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
        """Cancel all subscriptions."""
        for subscription in self.subscriptions:
            subscription.cancel()

    def _arm(self, subscription: Subscription) -> None:
        loop = asyncio.get_running_loop()
        due = next_multiple(loop.time() - self.phase, subscription.interval) + self.phase
        subscription.handle = loop.call_at(due, self._fire, subscription)

    def _fire(self, subscription: Subscription) -> None:
        if subscription.cancelled:
            return
        self._arm(subscription)
        subscription.callback(self.now())


def next_multiple(now: float, interval: float) -> float:
    """Return the next multiple of an interval, at least half an interval after ``now``.

    A callback that runs slightly early or late so keeps its pace.
    """
    return interval * (math.floor(now / interval + 0.5) + 1)
