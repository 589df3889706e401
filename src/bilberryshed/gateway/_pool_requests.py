"""Requests between gateways and the coordinators of the prepaid pools."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from bilberryshed.coordination import PoolRow, coordinator
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._peer_requests import PeerRequests
from bilberryshed.gateway._pool_table import PoolCoordinator
from bilberryshed.protocol import PoolChange, PoolHolder, PoolRequest, PoolResponse, PoolState
from bilberryshed.transport import Link, logger

RESPONSE_TIMEOUT = 0.3  # seconds that a coordinator has to respond

Pools = dict[str, PoolRow]


class PoolRequests:
    """Sends pool requests to coordinators, and serves those of other gateways.

    :param coordinator: changes the pools that this gateway coordinates
    :param requests: requests to coordinators that await a response
    """

    __slots__ = ("context", "coordinator", "requests")

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.coordinator = PoolCoordinator(context)
        self.requests: PeerRequests[Pools] = PeerRequests(context, "p")

    def handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        """Return the message handlers by message class."""
        return {PoolRequest: self.on_request, PoolResponse: self.on_response}

    async def change(self, changes: Iterable[PoolChange]) -> Pools:
        """Apply changes through the coordinator of each pool.

        :returns: the changed pools by customer; pools whose change failed are missing
        """
        own_name = self.context.settings.name
        candidates = self._candidates(own_name)
        groups: dict[str, list[PoolChange]] = {}
        for change in changes:
            name = coordinator(change.customer, candidates) or own_name
            groups.setdefault(name, []).append(change)
        calls = [
            self.coordinator.change(group) if name == own_name else self._request(name, group)
            for name, group in groups.items()
        ]
        pools: Pools = {}
        for found in await asyncio.gather(*calls):
            pools |= found
        return pools

    def _candidates(self, own_name: str) -> set[str]:
        """Return the hubs that reach the store; this gateway, too, if it is a hub."""
        hubs = self.context.hubs
        linked_hubs = hubs.names & self.context.peer_links.keys()
        candidates = self.context.peers_with_store & linked_hubs
        return candidates | {own_name} if hubs.is_hub else candidates

    async def _request(self, peer: str, changes: list[PoolChange]) -> Pools:
        link = self.context.peer_links.get(peer)
        if link is None:
            return {}
        request = PoolRequest(self.requests.new_id(), tuple(changes))
        pools = await self.requests.ask(link, request, RESPONSE_TIMEOUT)
        if pools is None:
            logger().info("coordinator_timeout", peer=peer, pools=len(changes))
            return {}
        return pools

    def on_request(self, link: Link, request: PoolRequest) -> None:
        """Apply the changes that a peer requests, and respond with the pools."""
        self.context.spawn(self._respond(link, request))

    async def _respond(self, link: Link, request: PoolRequest) -> None:
        pools = {} if self.context.closing else await self.coordinator.change(request.changes)
        link.send(PoolResponse(request.ask, tuple(_to_state(name, p) for name, p in pools.items())))

    def on_response(self, link: Link, response: PoolResponse) -> None:
        """Complete the pending request of a coordinator's response; late responses are ignored."""
        pools = {state.customer: _from_state(state) for state in response.pools}
        self.requests.on_response(response.ask, pools)


def _to_state(customer: str, pool: PoolRow) -> PoolState:
    holders = tuple(PoolHolder(boot, tokens) for boot, tokens in pool.holders.items())
    return PoolState(customer, pool.epoch, pool.revision, pool.closed, holders, pool.restoration)


def _from_state(state: PoolState) -> PoolRow:
    holders = {holder.boot: holder.tokens for holder in state.holders}
    return PoolRow(state.closed, holders, state.epoch, state.revision, state.restoration)
