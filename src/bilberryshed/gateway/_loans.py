"""Loans of prepaid tokens: a hub holds tokens for its group, and lends them for single requests.

A member of a group holds no tokens beyond those of its requests in flight, and returns what they
did not use. So a customer's tokens are split among a few hubs, however many gateways there are.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from returns.result import Failure, Result, Success

from bilberryshed.coordination import Shortage
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._peer_requests import PeerRequests
from bilberryshed.gateway._token_peers import TokenPeers
from bilberryshed.protocol import LoanRequest, LoanResponse
from bilberryshed.transport import Link, logger

RETURN_INTERVAL = 0.2  # seconds between returns of unused tokens
LOAN_TIMEOUT = 0.5  # seconds that a hub has to respond
MAX_HUBS = 2  # hubs that are asked for the tokens of one request
CLOSE_TIMEOUT = 0.3  # seconds to wait for acknowledgements before the process ends
CLOSE_POLL_INTERVAL = 0.02  # seconds between checks for them
SUSPECT_TIME = 2.0  # seconds for which a hub that did not respond is not used

Reserve = Callable[[str, int], Awaitable[Result[int, Shortage]]]


class Loans:
    """Borrows tokens as a member of a group, and lends them as a hub.

    :param reserve: reserves tokens of a customer at this gateway
    :param requests: loan requests that await a response
    """

    __slots__ = ("context", "peers", "reserve", "requests")

    def __init__(
        self,
        context: GatewayContext,
        peers: TokenPeers,
        reserve: Reserve,
    ) -> None:
        self.context = context
        self.peers = peers
        self.reserve = reserve
        self.requests: PeerRequests[LoanResponse] = PeerRequests(context, "l")

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(RETURN_INTERVAL, lambda now: self.return_unused())

    def handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        """Return the message handlers by message class."""
        return {LoanRequest: self.on_request, LoanResponse: self.on_response}

    # As a member ----------------------------------------------------------------------------

    async def borrow(self, customer: str, tokens: int) -> Result[int, Shortage] | None:
        """Borrow the tokens of one request from the hub, or from another one if it is silent.

        :returns: the tokens, now free in this gateway's account, or the reason for lending none;
            ``None`` if this gateway is a hub itself or is linked to none
        """
        asked: set[str] = set()
        while len(asked) < MAX_HUBS:
            hub = self.context.hubs.own
            link = self.context.peer_links.get(hub)
            if self.context.hubs.is_hub or link is None or hub in asked:
                break
            asked.add(hub)
            lent = await self._borrow_from(link, customer, tokens)
            if lent is not None:
                return lent
            self._suspect(hub)
        # A slow hub is busy: a search of this gateway's own would only add to the load.
        return Failure(Shortage.UNREACHABLE) if asked else None

    async def _borrow_from(
        self, link: Link, customer: str, tokens: int
    ) -> Result[int, Shortage] | None:
        """Borrow from one hub; ``None`` if it does not respond in time."""
        prepaid = self.context.prepaid_totals().get(customer, 0)
        request = LoanRequest(self.requests.new_id(), customer, tokens, prepaid)
        response = await self.requests.ask(link, request, LOAN_TIMEOUT)
        if response is None:
            return None
        if response.transfer is not None:
            return Success(response.transfer.tokens)
        spent = response.shortage == Shortage.EXHAUSTED
        return Failure(Shortage.EXHAUSTED if spent else Shortage.UNREACHABLE)

    def _suspect(self, hub: str) -> None:
        """Use another hub for some time, as this one did not respond."""
        logger().warning("hub_timeout", hub=hub)
        self.context.hubs.set_suspected(hub, True)
        self.context.timers.call_once(
            SUSPECT_TIME, lambda now: self.context.hubs.set_suspected(hub, False)
        )

    def on_response(self, link: Link, response: LoanResponse) -> None:
        """Credit the tokens, also of a late response, and complete the pending request."""
        if response.transfer is not None:
            self.peers.on_transfer(link, response.transfer)
        self.requests.on_response(response.ask, response)

    async def close(self) -> None:
        """Return the free tokens after the last request, and wait until they are acknowledged."""
        self.return_unused()
        deadline = self.context.timers.now() + CLOSE_TIMEOUT
        while self.peers.unacknowledged and self.context.timers.now() < deadline:
            await asyncio.sleep(CLOSE_POLL_INTERVAL)

    def return_unused(self) -> None:
        """Return free tokens to the hub."""
        link = self.context.peer_links.get(self.context.hubs.own)
        if self.context.hubs.is_hub or link is None:
            return
        book = self.context.book
        for customer, account in book.accounts.items():
            if account.held > 0 and customer not in book.waiting:
                self.peers.give(link, customer)

    # As a hub -------------------------------------------------------------------------------

    def on_request(self, link: Link, request: LoanRequest) -> None:
        """Lend tokens to a member, acquiring them first if necessary."""
        self.context.spawn(self._lend(link, request))

    async def _lend(self, link: Link, request: LoanRequest) -> None:
        customer, tokens = request.customer, request.tokens
        reserved = await self.reserve(customer, tokens)
        if isinstance(reserved, Success):
            transfer = self.peers.lend(link, customer, tokens)
            if transfer is not None:
                link.send(LoanResponse(request.ask, transfer, ""))
            return
        shortage = reserved.failure()
        if request.prepaid > self.context.prepaid_totals().get(customer, 0):
            # The member knows of tokens that this gateway's older route table does not contain.
            shortage = Shortage.UNREACHABLE
        link.send(LoanResponse(request.ask, None, shortage))
