"""How long a gateway waits for the next data of a backend server's response."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._job import Job

FIRST_BYTE_FACTOR = 2.0  # latency targets without a response, then a retryable request moves on
STALL_FACTOR = 1.5  # latency targets without data, then a retryable stream moves on

T = TypeVar("T")


class ReadLimits:
    """Limits the time that reads take.

    A retryable request moves on to another backend server after some time without data. While the
    gateway drains it does not, as the next attempt might not end before the process does.
    """

    __slots__ = ("context",)

    def __init__(self, context: GatewayContext) -> None:
        self.context = context

    def silence_deadline(self, job: Job, factor: float) -> float:
        """Return the monotonic time by which the next data must arrive.

        The job's deadline applies if no retry can follow.

        :param factor: latency targets that may pass without data
        """
        is_last = not job.route.retryable or job.runs >= job.route.attempts
        if is_last or self.context.draining:
            return job.deadline
        silence_deadline = self.context.timers.now() + factor * job.route.latency_target
        return min(job.deadline, silence_deadline)

    async def read_by(self, deadline: float, job: Job, read: Callable[[], Awaitable[T]]) -> T:
        """Return what is read by a deadline, or by the job's if the gateway drains by then.

        :param read: reads, and can be called again after it was cancelled
        :raises TimeoutError: if nothing is read in time
        """
        try:
            async with asyncio.timeout_at(deadline):
                return await read()
        except TimeoutError:
            if not self.context.draining:
                raise
        async with asyncio.timeout_at(job.deadline):
            return await read()
