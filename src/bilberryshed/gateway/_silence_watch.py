"""Reads from an attempt, and has another one begin while it is silent.

A silent attempt lives: the deadline of its caller may be far off, and its data may still come. So
it goes on until the other one is certain to go on with the answer; whichever comes first is kept.
"""

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from bilberryshed.gateway._attempt import Attempt
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._job import Job
from bilberryshed.gateway._link_load import LinkLoad

FIRST_BYTE_FACTOR = 2.0  # latency targets without a response, then another attempt may begin
STALL_FACTOR = 1.5  # latency targets without an event of a stream, then another attempt may begin
ERROR_MARGIN = 0.5  # latency targets before the deadline at which an error response is sent
MIN_WAIT = 0.02  # seconds between checks of an attempt that is nearly silent for too long

T = TypeVar("T")


class SupersededError(Exception):
    """Another attempt has responded in place of a silent one.

    :param successor: the other attempt
    """

    def __init__(self, successor: Attempt) -> None:
        super().__init__(f"superseded by an attempt at {successor.server}")
        self.successor = successor


class SilenceWatch:
    """Watches one attempt.

    :param begin_successor: begins another attempt and returns it once it can replace this one, or
        ``None``; without it, a silent attempt ends
    :param discard: ends a successor that is not needed
    :param limit: seconds that may pass without progress, in the time of ``LinkLoad.clear_time``
    :param since: that time at the last progress
    :param successor: the other attempt, while it is under way
    """

    __slots__ = (
        "context",
        "link_load",
        "job",
        "begin_successor",
        "discard",
        "limit",
        "since",
        "successor",
    )

    def __init__(
        self,
        context: GatewayContext,
        link_load: LinkLoad,
        job: Job,
        begin_successor: Callable[[], Coroutine[Any, Any, Attempt | None]] | None,
        discard: Callable[[Attempt], None],
    ) -> None:
        self.context = context
        self.link_load = link_load
        self.job = job
        self.begin_successor = begin_successor
        self.discard = discard
        self.limit = math.inf
        self.since = 0.0
        self.successor: asyncio.Future[Attempt | None] | None = None

    def restart(self, factor: float) -> None:
        """Note progress: the attempt has the time from now on, and needs no successor.

        :param factor: latency targets that may pass without progress
        """
        self.limit = factor * self.job.route.latency_target
        self.since = self.link_load.clear_time()
        self.close()

    def is_silent(self) -> bool:
        """Whether the attempt has been silent for too long, of the time in which it was heard."""
        return self._silent_time() >= self.limit

    def _silent_time(self) -> float:
        return self.link_load.clear_time() - self.since

    def close(self) -> None:
        """End a successor that has not replaced the attempt."""
        successor, self.successor = self.successor, None
        if successor is not None:
            successor.cancel()
            successor.add_done_callback(self._discard_result)

    def _discard_result(self, successor: "asyncio.Future[Attempt | None]") -> None:
        """End an attempt that was ready before the successor was cancelled."""
        if not successor.cancelled() and not successor.exception():
            attempt = successor.result()
            if attempt is not None:
                self.discard(attempt)

    async def read(self, read: Callable[[], Awaitable[T]]) -> T:
        """Return what is read from the attempt.

        :param read: reads, and can be called again after it was cancelled
        :raises ResponseError: if the attempt breaks off
        :raises TimeoutError: at the deadline of the request, or if the attempt is silent and has no
            way to begin a successor
        :raises SupersededError: if the successor begins to respond first
        """
        while self.context.timers.now() < self.job.deadline:
            if self.successor is not None:
                done = await self._race(self.successor, read)
                if done is not None:
                    return done.result()
                continue
            left = self._time_left()
            if left > 0:
                with contextlib.suppress(TimeoutError):
                    async with self.context.timers.timeout(max(left, MIN_WAIT), self.job.deadline):
                        return await read()
            if self._time_left() <= 0:
                if self.begin_successor is None:
                    raise TimeoutError
                self.successor = self.context.spawn(self.begin_successor())
        raise TimeoutError

    async def take_successor(self) -> Attempt | None:
        """Return the successor of an attempt that has failed, once it can replace it.

        :returns: ``None`` if there is none by the deadline of the request, or by the time at which
            an error response has to be sent
        """
        if self.successor is None:
            return None
        has_error = self.job.failed_response is not None
        margin = ERROR_MARGIN * self.job.route.latency_target if has_error else 0.0
        try:
            async with asyncio.timeout_at(self.job.deadline - margin):
                await asyncio.wait({self.successor})
        except TimeoutError:
            return None
        successor, self.successor = self.successor, None
        return successor.result()

    async def _race(
        self, successor: "asyncio.Future[Attempt | None]", read: Callable[[], Awaitable[T]]
    ) -> "asyncio.Future[T] | None":
        """Read until the successor has responded, or could not begin.

        Data that shows no progress does not save an attempt whose successor has responded.

        :returns: the read that was done before, ``None`` if there is no successor any more
        """
        reading: asyncio.Future[T] = asyncio.ensure_future(read())
        both: set[asyncio.Future[Any]] = {reading, successor}
        try:
            if not successor.done():
                async with asyncio.timeout_at(self.job.deadline):
                    await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if reading.done():
                return reading
        finally:
            reading.cancel()
        self.successor = None
        attempt = successor.result()
        if attempt is not None:
            raise SupersededError(attempt)
        self.since = self.link_load.clear_time()
        return None

    def _time_left(self) -> float:
        """Return the seconds for which the attempt may be silent yet."""
        if not self._may_begin_successor():
            return math.inf
        return self.limit - self._silent_time()

    def _may_begin_successor(self) -> bool:
        """Whether another attempt may follow.

        While the gateway drains none does, as it might not end before the process.
        """
        route = self.job.route
        return route.retryable and self.job.runs < route.attempts and not self.context.draining
