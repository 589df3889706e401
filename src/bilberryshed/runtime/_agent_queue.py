"""Finds an agent for an attempt, or has the request wait its fair turn for one."""

import asyncio
import random
from dataclasses import dataclass

from bilberryshed.coordination import FairQueue, QueueEntry, prompt_prefixes
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._execution import Call

PUMP_INTERVAL = 0.02  # seconds between looks for free agents while requests wait


@dataclass(slots=True)
class _Waiter:
    call: Call
    prefixes: tuple[int, ...]
    excluded: frozenset[str]
    found: "asyncio.Future[str]"


class AgentQueue:
    """The router's queue in front of its agents."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.queue = FairQueue(context.settings.queue_limit)
        self.waiters: dict[int, _Waiter] = {}
        self.random = random.Random()

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(PUMP_INTERVAL, self._pump)

    async def find(self, call: Call, excluded: set[str]) -> str | None:
        """Return an agent for an attempt, ``None`` if none has room in time.

        :param excluded: agents to be used only if there is no other
        """
        prefixes = prompt_prefixes(call.target, call.prompt) if call.model else ()
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(call, prefixes, frozenset(excluded), future)
        now = self.context.timers.now()
        if not self.queue.has_waiting(call.target):
            agent = self._choose(now, waiter)
            if agent is not None:
                return agent
        customer = call.customer
        ticket = self.queue.enqueue(
            now, customer.name, customer.weight, customer.priority, call.target
        )
        return None if ticket is None else await self._wait(ticket, waiter)

    async def _wait(self, ticket: QueueEntry, waiter: _Waiter) -> str | None:
        self.waiters[ticket.number] = waiter
        self.context.metrics.count("queued")
        try:
            async with asyncio.timeout(self.context.settings.queue_wait):
                return await waiter.found
        except TimeoutError:
            # An agent may have been given at the very moment at which patience ended.
            given = waiter.found.done() and not waiter.found.cancelled()
            return waiter.found.result() if given else None
        finally:
            del self.waiters[ticket.number]
            self.queue.remove(ticket, served=waiter.found.done() and not waiter.found.cancelled())

    def _pump(self, now: float) -> None:
        """Give free agents to waiting requests, in their order for each target."""
        blocked: set[str] = set()
        for ticket in self.queue.order(now) if self.waiters else ():
            waiter = self.waiters.get(ticket.number)
            if waiter is None or waiter.found.done() or ticket.target in blocked:
                continue
            agent = self._choose(now, waiter)
            if agent is None:
                blocked.add(ticket.target)
            else:
                waiter.found.set_result(agent)

    def _choose(self, now: float, waiter: _Waiter) -> str | None:
        draws = (self.random.random(), self.random.random())
        for skipped in (waiter.excluded, frozenset[str]()):
            agent = self.context.routing.choose(
                now, waiter.call.target, waiter.prefixes, skipped, draws
            )
            if agent is not None:
                return agent.name
        return None
