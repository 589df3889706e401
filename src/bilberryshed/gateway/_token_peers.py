"""Exchanges prepaid tokens between gateways: holdings, requests and transfers."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from bilberryshed.coordination import PeerHolding, PoolRow, owner, transfer_id, transfer_number
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._pool_sync import PoolSync
from bilberryshed.protocol import (
    FundsRequest,
    FundsResponse,
    Holding,
    HoldingsNotice,
    Transfer,
    TransferAck,
    TransfersSettled,
)
from bilberryshed.transport import Link, logger

BUDGET_NAME = "prepaid"  # the one budget that each customer has
NOTICE_INTERVAL = 0.2  # seconds between notices, for a few peers
NOTICE_PEERS_PER_STEP = 6  # hubs per additional NOTICE_INTERVAL, which bounds the traffic
MEMBER_NOTICE_STEP = 4  # notices to other hubs for each notice to the members of the group
PREFERRED_PEERS = 6  # peers with the largest holdings, which are queried first
RESEND_INTERVAL = 0.5  # seconds between sends of an unacknowledged transfer
SETTLED_INTERVAL = 10.0  # seconds between reports of acknowledged transfers to their receivers
PEER_TIMEOUT = 0.25  # seconds that peers have to respond
PROXY_TIMEOUT = 0.5  # seconds for a peer that calls the store before it responds
PROXY_HORIZON = 4.0  # seconds of demand that are requested from such a peer

AcquireFromStore = Callable[[str, int], Awaitable[bool]]


@dataclass(slots=True)
class _PendingRequest:
    """A request to peers that awaits responses.

    :param pending: names of the peers that have not responded
    :param done: set when all peers have responded
    :param withheld: whether a peer reported that it holds tokens which it cannot transfer now
    :param granted: tokens granted to the peers that responded, as they reported, by boot id
    """

    pending: set[str]
    done: asyncio.Event = field(default_factory=asyncio.Event)
    withheld: bool = False
    granted: dict[str, int] = field(default_factory=dict)


class TokenPeers:
    """Requests tokens from other gateways, and serves their requests.

    :param acquire_from_store: acquires tokens of a customer from the store
    :param on_credit: called with the customer of each transfer that is credited
    :param ticks: number of notice intervals so far
    :param unacknowledged: transfers sent, with the name of the peer, by transfer id
    :param receivers: names of the peers that were sent transfers since the last report
    """

    def __init__(
        self,
        context: GatewayContext,
        recorder: BoundsRecorder,
        pool_sync: PoolSync,
        acquire_from_store: AcquireFromStore,
        on_credit: Callable[[str], None],
    ) -> None:
        self.context = context
        self.recorder = recorder
        self.pool_sync = pool_sync
        self.acquire_from_store = acquire_from_store
        self.on_credit = on_credit
        self.book = context.book
        self.ticks = 0
        self.pending_requests: dict[str, _PendingRequest] = {}
        self.unacknowledged: dict[str, tuple[str, Transfer]] = {}
        self.receivers: set[str] = set()
        self.next_id = 1

    def start(self) -> None:
        """Subscribe to timers."""
        timers = self.context.timers
        timers.subscribe(NOTICE_INTERVAL, lambda now: self._notify())
        timers.subscribe(RESEND_INTERVAL, lambda now: self._resend())
        timers.subscribe(SETTLED_INTERVAL, lambda now: self._report_settled())

    def handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        """Return the message handlers by message class."""
        return {
            HoldingsNotice: self.on_holdings,
            FundsRequest: self.on_request,
            FundsResponse: self.on_response,
            Transfer: self.on_transfer,
            TransferAck: self.on_ack,
            TransfersSettled: self.on_settled,
            **self.pool_sync.requests.handlers(),
        }

    def free(self, customer: str) -> int:
        """Return the tokens of a customer that may be used or transferred now."""
        return self.context.spending_bounds.refresh_account(
            self.context.timers.now(), customer
        ).free

    def _notify(self) -> None:
        """Report the holdings to the hubs, and from time to time the state to this zone."""
        hubs = self.context.hubs
        if not hubs.is_hub:
            return
        self.ticks += 1
        factor = self.context.interval_factor(NOTICE_PEERS_PER_STEP)
        if self.ticks % factor:
            return
        self.context.send_to(hubs.others(), self.notice())
        if self.ticks % (MEMBER_NOTICE_STEP * factor) == 0:
            members = [n for n, zone in hubs.zones.items() if zone == hubs.zone]
            state = HoldingsNotice((), self.context.draining, self.recorder.store_up)
            self.context.send_to(set(members) - hubs.names, state)

    def announce_drain(self) -> None:
        """Tell all gateways that this one is draining, so that it is no hub any more."""
        self.context.broadcast(self.notice())

    def notice(self) -> HoldingsNotice:
        """Return a notice of this gateway's holdings and demand."""
        now = self.context.timers.now()
        holdings = tuple(
            Holding(name, account.held, round(account.demand(now), 1))
            for name, account in self.book.accounts.items()
            if account.held or account.demand(now) >= 1
        )
        return HoldingsNotice(holdings, self.context.draining, self.recorder.store_up)

    def on_holdings(self, link: Link, notice: HoldingsNotice) -> None:
        """Record a peer's holdings and whether it reaches the store."""
        name = link.peer.name
        held = {h.customer: PeerHolding(h.free, h.rate) for h in notice.holdings}
        self.book.update_peer(name, held)
        if notice.store_up and not notice.draining:
            self.context.peers_with_store.add(name)
        else:
            self.context.peers_with_store.discard(name)
        if notice.draining:
            self.context.hubs.set_available(name, False)

    async def request_through_proxy(self, customer: str, tokens: int) -> None:
        """Request tokens from a peer that reaches the store, which acquires them there."""
        hubs = self.context.hubs.names & self.context.peer_links.keys()
        names = sorted(self.context.peers_with_store & hubs)
        proxy = owner(customer, names)
        if proxy is None:
            return
        now = self.context.timers.now()
        wanted = max(tokens, int(self.book.account(customer).demand(now) * PROXY_HORIZON))
        await self._request({proxy}, customer, tokens, wanted, recall=False)

    async def recall_from_peers(self, customer: str, tokens: int) -> dict[str, int] | None:
        """Recall tokens from the peers with the largest holdings, then from all others.

        :returns: if all peers responded and have nothing left, the tokens granted to them and to
            this gateway, by boot id; else ``None``
        """
        granted = {self.context.boot: self.book.account(customer).granted}
        ranked = self._holders(customer)
        for group in (ranked[:PREFERRED_PEERS], ranked[PREFERRED_PEERS:]):
            lacking = tokens - self.free(customer)
            if lacking <= 0:
                return None
            if not group:
                continue
            pending_request = await self._request(
                set(group), customer, lacking, lacking, recall=True
            )
            if pending_request.pending or pending_request.withheld:
                return None
            granted |= pending_request.granted
        return granted

    def _holders(self, customer: str) -> list[str]:
        """Return the linked peers that may hold tokens, largest reported holding first."""
        nothing = PeerHolding(0, 0.0)
        row = self.pool_sync.known_rows.get(customer, PoolRow())
        reported = {
            name: self.book.peers.get(name, {}).get(customer, nothing).free
            for name, link in self.context.peer_links.items()
            if link.peer.boot in row.holders or customer in self.book.peers.get(name, {})
        }
        return sorted(reported, key=lambda name: (-reported[name], name))

    async def _request(
        self, peers: set[str], customer: str, tokens: int, wanted: int, recall: bool
    ) -> _PendingRequest:
        request_id = f"{self.context.boot}.a{self.next_id}"
        self.next_id += 1
        pending_request = _PendingRequest(set(peers))
        self.pending_requests[request_id] = pending_request
        request = FundsRequest(request_id, customer, BUDGET_NAME, tokens, wanted, recall)
        for name in peers:
            self.context.peer_links[name].send(request)
        try:
            async with self.context.timers.timeout(PEER_TIMEOUT if recall else PROXY_TIMEOUT):
                while pending_request.pending:
                    await pending_request.done.wait()
        except TimeoutError:
            logger().info("peers_timeout", customer=customer, peers=sorted(pending_request.pending))
        del self.pending_requests[request_id]
        return pending_request

    def on_request(self, link: Link, request: FundsRequest) -> None:
        """Transfer tokens to a peer that lacks them."""
        if self.free(request.customer) >= request.wanted:
            self._transfer(link, request)
        else:
            self.context.spawn(self._unlock_and_transfer(link, request))

    async def _unlock_and_transfer(self, link: Link, request: FundsRequest) -> None:
        """Raise the bounds, or acquire tokens from the store, then transfer them to a peer."""
        if request.recall:
            if self.book.account(request.customer).held > 0:
                await self.recorder.raise_bounds({request.customer: request.wanted})
        else:
            await self.acquire_from_store(request.customer, request.wanted)
        self._transfer(link, request)

    def _transfer(self, link: Link, request: FundsRequest) -> None:
        transfers: tuple[Transfer, ...] = ()
        self.context.spending_bounds.refresh_account(self.context.timers.now(), request.customer)
        moved = 0 if self.pool_sync.closed else self.book.debit(request.customer, request.wanted)
        if moved:
            transfers = (self._record_transfer(link, request.customer, moved),)
        account = self.book.account(request.customer)
        exhausted = account.held <= 0
        link.send(
            FundsResponse(
                request.ask, moved, account.reserved, transfers, exhausted, account.granted
            )
        )

    def lend(self, link: Link, customer: str, tokens: int) -> Transfer | None:
        """Debit reserved tokens for a transfer to a member of the group, which is resent until
        it is acknowledged.

        :returns: ``None`` if the tokens cannot be transferred any more; they are released
        """
        if link.closed or self.pool_sync.closed:
            self.book.settle(customer, tokens, 0)
            return None
        self.book.lend(customer, tokens)
        return self._record_transfer(link, customer, tokens)

    def give(self, link: Link, customer: str) -> None:
        """Transfer the free tokens of a customer to a peer."""
        if self.free(customer) > 0 and not self.pool_sync.closed:
            moved = self.book.debit(customer, self.free(customer))
            link.send(self._record_transfer(link, customer, moved))

    def _record_transfer(self, link: Link, customer: str, tokens: int) -> Transfer:
        id_ = transfer_id(self.context.boot, self.next_id)
        self.next_id += 1
        transfer = Transfer(id_, link.peer.boot, customer, BUDGET_NAME, tokens)
        self.unacknowledged[id_] = (link.peer.name, transfer)
        self.receivers.add(link.peer.name)
        return transfer

    def on_response(self, link: Link, response: FundsResponse) -> None:
        """Credit the transfers in a peer's response and complete the pending request."""
        for transfer in response.transfers:
            self.on_transfer(link, transfer)
        pending_request = self.pending_requests.get(response.ask)
        if pending_request is None:
            return
        pending_request.withheld = pending_request.withheld or not response.exhausted
        pending_request.granted[link.peer.boot] = response.granted
        pending_request.pending.discard(link.peer.name)
        if not pending_request.pending:
            pending_request.done.set()

    def on_transfer(self, link: Link, transfer: Transfer) -> None:
        """Credit a transfer to this incarnation once, and acknowledge it."""
        if transfer.source != self.context.boot or self.pool_sync.closed or link.closed:
            return
        if self.book.receive(transfer.customer, transfer.transfer, transfer.tokens):
            self.on_credit(transfer.customer)
        link.send(TransferAck((transfer.transfer,)))

    def on_ack(self, link: Link, ack: TransferAck) -> None:
        """Stop resending the transfers that a peer received."""
        for transfer in ack.transfers:
            self.unacknowledged.pop(transfer, None)

    def _report_settled(self) -> None:
        """Tell the receivers which transfers are not sent again, so that they forget them."""
        open_numbers = [transfer_number(id_) for id_ in self.unacknowledged]
        message = TransfersSettled(min(open_numbers, default=self.next_id))
        self.context.send_to(sorted(self.receivers), message)
        self.receivers = {name for name, _ in self.unacknowledged.values()}

    def on_settled(self, link: Link, message: TransfersSettled) -> None:
        """Forget the transfers that a peer does not send again."""
        self.book.forget_received(link.peer.boot, message.below)

    def _resend(self) -> None:
        for id_, (name, transfer) in list(self.unacknowledged.items()):
            link = self.context.peer_links.get(name)
            if link is None:
                continue
            if link.peer.boot == transfer.source:
                link.send(transfer)
            else:
                del self.unacknowledged[id_]
                logger().warning("transfer_lost", transfer=id_, tokens=transfer.tokens, peer=name)
