"""Asks other gateways which software version began a stream, and answers them."""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from typing import Any

from bilberryshed.coordination import Origin, StreamOrigins
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._peer_requests import PeerRequests
from bilberryshed.protocol import (
    KnownStreamsRequest,
    KnownStreamsResponse,
    OriginRequest,
    OriginResponse,
    OriginSearch,
    StreamGroup,
)
from bilberryshed.transport import Link, logger

HUB_TIMEOUT = 0.15  # seconds that hubs have to respond
ROUND_TIMEOUT = 0.35  # seconds that all gateways have to respond

Question = Callable[[str], OriginRequest | OriginSearch]  # takes the id of the request


class QueryRound:
    """One question to all linked gateways about all streams that were looked for meanwhile.

    :param unreachable: known gateways that were not linked
    :param silent: linked gateways that have not responded
    :param done: set when all linked gateways have responded
    :param is_complete: whether the round has ended, and every known gateway has responded
    """

    __slots__ = ("keys", "unreachable", "silent", "done", "is_complete")

    def __init__(self) -> None:
        self.keys: set[int] = set()
        self.unreachable: set[str] = set()
        self.silent: set[str] = set()
        self.done = asyncio.Event()
        self.is_complete = False

    def on_response(self, name: str) -> None:
        """Record the response of a gateway."""
        self.silent.discard(name)
        if not self.silent:
            self.done.set()

    def end(self) -> None:
        """Note whether every known gateway has responded."""
        self.is_complete = not self.silent and not self.unreachable


class OriginQueries:
    """Questions about streams, to hubs or to all gateways.

    :param search: looks a stream up for a gateway that does not reach the store
    :param requests: requests to hubs that await a response
    :param rounds: rounds that wait for responses, by request id
    :param next_round: the round that has not begun
    """

    def __init__(
        self,
        context: GatewayContext,
        origins: StreamOrigins,
        search: Callable[[tuple[str, ...], int], Awaitable[Origin | None]],
    ) -> None:
        self.context = context
        self.origins = origins
        self.search = search
        self.requests: PeerRequests[OriginResponse] = PeerRequests(context, "o")
        self.rounds: dict[str, QueryRound] = {}
        self.next_round: tuple[QueryRound, asyncio.Future[None]] | None = None
        self.round_lock = asyncio.Lock()

    def handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        """Return the message handlers by message class."""
        return {
            OriginRequest: self._on_request,
            OriginSearch: self._on_search,
            OriginResponse: self._on_response,
            KnownStreamsRequest: self._on_known_streams_request,
            KnownStreamsResponse: self._on_known_streams_response,
        }

    # Hubs -----------------------------------------------------------------------------------

    async def ask_hubs(
        self,
        key: int,
        question: Question,
        among: Collection[str] | None = None,
        timeout: float = HUB_TIMEOUT,
    ) -> Origin | None:
        """Ask hubs for the origin of a stream.

        :param question: returns the message with a request id
        :param among: names of the hubs to ask, all by default
        :param timeout: seconds that a hub has to respond
        :returns: as soon as one knows it; ``None`` if none does that responds in time
        """
        names = self.context.hubs.names & self.context.peer_links.keys()
        asked = sorted(name for name in names if among is None or name in among)
        answers = [asyncio.ensure_future(self._ask(name, question, timeout)) for name in asked]
        try:
            for answer in asyncio.as_completed(answers):
                response = await answer
                if response is not None and response.version is not None:
                    origin = Origin(response.service, response.version)
                    self.origins.learn(self.context.timers.now(), (key,), origin)
                    return origin
            return None
        finally:
            for unfinished in answers:
                unfinished.cancel()

    async def _ask(self, name: str, question: Question, timeout: float) -> OriginResponse | None:
        request = question(self.requests.new_id())
        return await self.requests.ask(self.context.peer_links[name], request, timeout)

    def _on_request(self, link: Link, request: OriginRequest) -> None:
        """Answer from memory: what this gateway's list of servers implies may be out of date."""
        self._answer(link, request.ask, self.origins.get(request.key))

    def _on_search(self, link: Link, request: OriginSearch) -> None:
        """Answer a gateway that does not reach the store."""
        self.context.spawn(self._search_for(link, request))

    async def _search_for(self, link: Link, request: OriginSearch) -> None:
        self._answer(link, request.ask, await self.search(request.services, request.key))

    def _answer(self, link: Link, ask: str, found: Origin | None) -> None:
        if found is None:
            link.send(OriginResponse(ask, "", None))
        else:
            link.send(OriginResponse(ask, found.service, found.version))

    def _on_response(self, link: Link, response: OriginResponse) -> None:
        self.requests.on_response(response.ask, response)

    # All gateways ---------------------------------------------------------------------------

    async def ask_all(self, key: int) -> bool:
        """Ask all gateways for a stream, and learn its origin if one knows it.

        Calls that come while a round is under way share the next one.

        :returns: whether every known gateway has denied that it knows the stream
        """
        if self.next_round is None:
            query = QueryRound()
            self.next_round = query, self.context.spawn(self._run(query))
        query, ended = self.next_round
        query.keys.add(key)
        await asyncio.wait({ended})
        return query.is_complete and key not in self.origins.records

    async def _run(self, query: QueryRound) -> None:
        async with self.round_lock:
            self.next_round = None
            query.silent = set(self.context.peer_links)
            query.unreachable = self.context.known_gateways - query.silent
            query.unreachable.discard(self.context.settings.name)
            if query.silent:
                await self._send(query)
            query.end()

    async def _send(self, query: QueryRound) -> None:
        """Ask all linked gateways, and wait for their responses."""
        ask = self.requests.new_id()
        self.rounds[ask] = query
        self.context.broadcast(KnownStreamsRequest(ask, tuple(sorted(query.keys))))
        try:
            async with self.context.timers.timeout(ROUND_TIMEOUT):
                await query.done.wait()
        except TimeoutError:
            logger().info("origin_round_incomplete", silent=sorted(query.silent))
        finally:
            del self.rounds[ask]

    def _on_known_streams_request(self, link: Link, request: KnownStreamsRequest) -> None:
        known = self.origins.grouped(request.keys)
        groups = (StreamGroup(o.service, o.version, tuple(keys)) for o, keys in known.items())
        link.send(KnownStreamsResponse(request.ask, tuple(groups)))

    def _on_known_streams_response(self, link: Link, response: KnownStreamsResponse) -> None:
        now = self.context.timers.now()
        for group in response.groups:
            self.origins.learn(now, group.keys, Origin(group.service, group.version))
        query = self.rounds.get(response.ask)
        if query is not None:
            query.on_response(link.peer.name)
