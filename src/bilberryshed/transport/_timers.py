"""Timer service of a process: periodic callbacks, monotonic time and wall-clock time."""

import asyncio
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
    """Runs periodic callbacks on the event loop and returns the time."""

    __slots__ = ("subscriptions",)

    def __init__(self) -> None:
        self.subscriptions: list[Subscription] = []

    def now(self) -> float:
        """Return the loop's monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_time(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return time.time()

    def subscribe(self, interval: float, callback: Callback) -> Subscription:
        """Call ``callback`` every ``interval`` seconds, first after one interval.

        :param callback: receives the monotonic time in seconds
        """
        subscription = Subscription(interval, callback)
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
        subscription.handle = loop.call_later(subscription.interval, self._fire, subscription)

    def _fire(self, subscription: Subscription) -> None:
        if subscription.cancelled:
            return
        self._arm(subscription)
        subscription.callback(self.now())
