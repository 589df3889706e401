"""Assignment of agents to attempts, with fair queueing while no agent has capacity."""

import asyncio
import random
from dataclasses import dataclass

from bilberryshed.coordination import FairQueue, QueueEntry, prompt_prefixes
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._execution import Call

ASSIGN_INTERVAL = 0.02  # seconds between attempts to assign agents to queued requests


@dataclass(slots=True)
class _Waiter:
    call: Call
    prefixes: tuple[int, ...]
    excluded: frozenset[str]
    assigned: "asyncio.Future[str]"


class AgentQueue:
    """Fair queue of the requests of one router that wait for an agent."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.queue = FairQueue(context.settings.queue_limit)
        self.waiters: dict[int, _Waiter] = {}
        self.random = random.Random()

    def start(self) -> None:
        """Start the periodic assignment of agents."""
        self.context.timers.subscribe(ASSIGN_INTERVAL, self._assign_agents)

    async def acquire(self, call: Call, excluded: set[str]) -> str | None:
        """Return an agent for an attempt, queueing if none has capacity.

        :param excluded: agents to be used only if no other is available
        :returns: agent name, or ``None`` if the queue is full or no agent had capacity in time
        """
        prefixes = prompt_prefixes(call.target, call.prompt) if call.model else ()
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(call, prefixes, frozenset(excluded), future)
        now = self.context.timers.now()
        if not self.queue.has_waiting(call.target):
            agent = self._choose_agent(now, waiter)
            if agent is not None:
                return agent
        if self.context.routing.is_limited(now + self.context.settings.queue_wait, call.target):
            return None
        customer = call.customer
        entry = self.queue.enqueue(
            now, customer.name, customer.weight, customer.priority, call.target
        )
        return None if entry is None else await self._wait(entry, waiter)

    async def _wait(self, entry: QueueEntry, waiter: _Waiter) -> str | None:
        self.waiters[entry.number] = waiter
        self.context.metrics.count("queued")
        try:
            async with self.context.timers.timeout(self.context.settings.queue_wait):
                return await waiter.assigned
        except TimeoutError:
            # The timeout may have expired just after an agent was assigned.
            was_assigned = waiter.assigned.done() and not waiter.assigned.cancelled()
            return waiter.assigned.result() if was_assigned else None
        finally:
            del self.waiters[entry.number]
            self.queue.remove(
                entry, served=waiter.assigned.done() and not waiter.assigned.cancelled()
            )

    def _assign_agents(self, now: float) -> None:
        """Assign available agents to queued requests, in queue order for each target."""
        blocked: set[str] = set()
        for entry in self.queue.order(now) if self.waiters else ():
            waiter = self.waiters.get(entry.number)
            if waiter is None or waiter.assigned.done() or entry.target in blocked:
                continue
            agent = self._choose_agent(now, waiter)
            if agent is None:
                blocked.add(entry.target)
            else:
                waiter.assigned.set_result(agent)

    def _choose_agent(self, now: float, waiter: _Waiter) -> str | None:
        draws = (self.random.random(), self.random.random())
        for exclusions in (waiter.excluded, frozenset[str]()):
            agent = self.context.routing.choose(
                now, waiter.call.target, waiter.prefixes, exclusions, draws
            )
            if agent is not None:
                return agent.name
        return None
