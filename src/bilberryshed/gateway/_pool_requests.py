"""Asks the coordinators of pools for changes, and answers other gateways that ask."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from bilberryshed.coordination import PoolRow, coordinator
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._pool_table import PoolCoordinator, VersionedPool
from bilberryshed.protocol import PoolChange, PoolHolder, PoolRequest, PoolResponse, PoolState
from bilberryshed.transport import Link, logger

ANSWER_PATIENCE = 0.3  # seconds for a coordinator to answer

Pools = dict[str, VersionedPool]


class PoolRequests:
    """Both sides of the messages between gateways and coordinators."""

    __slots__ = ("context", "coordinator", "questions", "next_id")

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.coordinator = PoolCoordinator(context)
        self.questions: dict[str, asyncio.Future[Pools]] = {}
        self.next_id = 1

    def handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        """Return the handlers of the messages."""
        return {PoolRequest: self.on_request, PoolResponse: self.on_answer}

    async def change(self, changes: Iterable[PoolChange]) -> Pools:
        """Have each pool changed by its coordinator.

        :returns: the pools after the change by customer, without those it failed for
        """
        own = self.context.settings.name
        candidates = {own} | (self.context.store_peers & self.context.peer_links.keys())
        groups: dict[str, list[PoolChange]] = {}
        for change in changes:
            name = coordinator(change.customer, candidates) or own
            groups.setdefault(name, []).append(change)
        asked = [
            self.coordinator.change(group) if name == own else self._ask(name, group)
            for name, group in groups.items()
        ]
        pools: Pools = {}
        for found in await asyncio.gather(*asked):
            pools |= found
        return pools

    async def _ask(self, peer: str, changes: list[PoolChange]) -> Pools:
        link = self.context.peer_links.get(peer)
        if link is None:
            return {}
        ask = f"{self.context.boot}.p{self.next_id}"
        self.next_id += 1
        answer = self.questions[ask] = asyncio.get_running_loop().create_future()
        link.send(PoolRequest(ask, tuple(changes)))
        try:
            return await asyncio.wait_for(answer, ANSWER_PATIENCE)
        except TimeoutError:
            logger().info("coordinator_silent", peer=peer, pools=len(changes))
            return {}
        finally:
            del self.questions[ask]

    def on_request(self, link: Link, request: PoolRequest) -> None:
        """Change pools for a peer."""
        self.context.spawn(self._answer(link, request))

    async def _answer(self, link: Link, request: PoolRequest) -> None:
        pools = {} if self.context.closing else await self.coordinator.change(request.changes)
        link.send(PoolResponse(request.ask, tuple(_state(name, p) for name, p in pools.items())))

    def on_answer(self, link: Link, answer: PoolResponse) -> None:
        """Take in a coordinator's answer, unless nobody waits for it any more."""
        question = self.questions.get(answer.ask)
        if question is not None and not question.done():
            question.set_result({state.customer: _versioned(state) for state in answer.pools})


def _state(customer: str, versioned: VersionedPool) -> PoolState:
    pool = versioned.pool
    holders = tuple(PoolHolder(boot, tokens) for boot, tokens in pool.holders.items())
    return PoolState(customer, versioned.version, pool.closed, holders)


def _versioned(state: PoolState) -> VersionedPool:
    holders = {holder.boot: holder.tokens for holder in state.holders}
    return VersionedPool(state.version, PoolRow(state.closed, holders))
