"""Requests to other gateways that await a response."""

import asyncio
from typing import Generic, Protocol, TypeVar

from bilberryshed.gateway._context import GatewayContext
from bilberryshed.transport import Link

T = TypeVar("T")


class _Request(Protocol):
    """A message that asks another gateway something.

    :param ask: id of the request, which the response repeats
    """

    @property
    def ask(self) -> str: ...


class PeerRequests(Generic[T]):
    """Requests of one kind, each to one gateway.

    :param kind: letter that begins the numbers of the requests
    :param pending: futures of the responses, by request id
    """

    __slots__ = ("context", "kind", "pending", "next_number")

    def __init__(self, context: GatewayContext, kind: str) -> None:
        self.context = context
        self.kind = kind
        self.pending: dict[str, asyncio.Future[T]] = {}
        self.next_number = 1

    def new_id(self) -> str:
        """Return the id of a new request."""
        id_ = f"{self.context.boot}.{self.kind}{self.next_number}"
        self.next_number += 1
        return id_

    async def ask(self, link: Link, request: _Request, timeout: float) -> T | None:
        """Send a request and return the response.

        :param timeout: responsive seconds that the gateway has to respond
        :returns: ``None`` if it does not respond in time
        """
        response = self.pending[request.ask] = asyncio.get_running_loop().create_future()
        link.send(request)
        try:
            async with self.context.timers.timeout(timeout):
                return await response
        except TimeoutError:
            return None
        finally:
            del self.pending[request.ask]

    def on_response(self, ask: str, response: T) -> None:
        """Complete a pending request; a late response is ignored."""
        future = self.pending.get(ask)
        if future is not None and not future.done():
            future.set_result(response)
