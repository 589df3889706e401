"""Prepaid tokens that move between gateways: questions, transfers, and what each has in hand."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from bilberryshed.coordination import PeerHolding, owner
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._pool_sync import PoolSync
from bilberryshed.protocol import (
    FundsAnswer,
    FundsRequest,
    Holding,
    HoldingsNotice,
    Transfer,
    TransferAck,
)
from bilberryshed.transport import Link, logger

BUDGET_NAME = "prepaid"  # the one budget that each customer has
NOTICE_INTERVAL = 0.25  # seconds between notices to a few peers
NOTICE_PEERS = 6  # peers for each further interval between notices, so that their bytes are bounded
ASKED_PEERS = 6  # peers asked first for tokens, those that hold most
RESEND_INTERVAL = 0.5  # seconds between sends of an unacknowledged transfer
PEER_PATIENCE = 0.25  # seconds for peers to answer
AGENT_PATIENCE = 0.5  # seconds for a peer that asks the store
AGENT_HORIZON = 4.0  # seconds of demand that such a peer is asked for

Obtain = Callable[[str, int], Awaitable[bool]]


@dataclass(slots=True)
class _Question:
    """A question to peers that is open.

    :param pending: peers that have not answered
    :param holding: whether one answered that it keeps tokens which it cannot give now
    :param granted: what those that answered know to have been granted, by lifetime
    """

    pending: set[str]
    done: asyncio.Event = field(default_factory=asyncio.Event)
    holding: bool = False
    granted: dict[str, int] = field(default_factory=dict)


class TokenPeers:
    """Asks other gateways for tokens, and answers them.

    :param obtain: takes a customer's tokens from the store
    :param on_credit: called with the customer of a transfer that arrived
    """

    def __init__(
        self,
        context: GatewayContext,
        recorder: BoundsRecorder,
        pool: PoolSync,
        obtain: Obtain,
        on_credit: Callable[[str], None],
    ) -> None:
        self.context = context
        self.recorder = recorder
        self.pool = pool
        self.obtain = obtain
        self.on_credit = on_credit
        self.book = context.book
        self.ticks = 0
        self.questions: dict[str, _Question] = {}
        self.outgoing: dict[str, tuple[str, Transfer]] = {}
        self.next_id = 1

    def start(self) -> None:
        """Subscribe to timers."""
        timers = self.context.timers
        timers.subscribe(NOTICE_INTERVAL, lambda now: self._notify())
        timers.subscribe(RESEND_INTERVAL, lambda now: self._resend())

    def handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        """Return the handlers of the messages that move tokens."""
        return {
            HoldingsNotice: self.on_holdings,
            FundsRequest: self.on_request,
            FundsAnswer: self.on_answer,
            Transfer: self.on_transfer,
            TransferAck: self.on_ack,
            **self.pool.requests.handlers(),
        }

    def free(self, customer: str) -> int:
        """Return the tokens of a customer that may be used or given away now."""
        return self.context.schedule.refresh_account(self.context.timers.now(), customer).free

    def _notify(self) -> None:
        """Tell peers what is in hand, less often the more they are."""
        self.ticks += 1
        if self.ticks % self.context.slowness(NOTICE_PEERS):
            return
        self.context.broadcast(self.notice())

    def notice(self) -> HoldingsNotice:
        """Return what tells a peer what is in hand here."""
        now = self.context.timers.now()
        holdings = tuple(
            Holding(name, account.held, round(account.demand(now), 1))
            for name, account in self.book.accounts.items()
            if account.held or account.demand(now) >= 1
        )
        return HoldingsNotice(holdings, self.context.draining, self.recorder.store_up)

    def on_holdings(self, link: Link, notice: HoldingsNotice) -> None:
        """Take in what a peer has in hand."""
        held = {h.customer: PeerHolding(h.free, h.rate) for h in notice.holdings}
        self.book.update_peer(link.peer.name, held)
        if notice.store_up and not notice.draining:
            self.context.store_peers.add(link.peer.name)
        else:
            self.context.store_peers.discard(link.peer.name)

    async def ask_agent(self, customer: str, tokens: int) -> None:
        """Have one peer that reaches the store take tokens there for this gateway."""
        names = sorted(self.context.store_peers & self.context.peer_links.keys())
        agent = owner(customer, names)
        if agent is None:
            return
        now = self.context.timers.now()
        wanted = max(tokens, int(self.book.account(customer).demand(now) * AGENT_HORIZON))
        await self._ask({agent}, customer, tokens, wanted, recall=False)

    async def ask_all(self, customer: str, tokens: int) -> dict[str, int] | None:
        """Have peers give what they have in hand: first those that hold most, then all others.

        :returns: if all peers answered that they have nothing left, what each lifetime, this one
            included, knows to have been granted; else ``None``
        """
        granted = {self.context.boot: self.book.account(customer).granted}
        ranked = self._peers_by_holding(customer)
        for group in (ranked[:ASKED_PEERS], ranked[ASKED_PEERS:]):
            lacking = tokens - self.free(customer)
            if lacking <= 0:
                return None
            if not group:
                continue
            question = await self._ask(set(group), customer, lacking, lacking, recall=True)
            if question.pending or question.holding:
                return None
            granted |= question.granted
        return granted

    def _peers_by_holding(self, customer: str) -> list[str]:
        """Return the linked peers, those that said that they hold most first."""
        nothing = PeerHolding(0, 0.0)
        told = {
            name: self.book.peers.get(name, {}).get(customer, nothing).free
            for name in self.context.peer_links
        }
        return sorted(told, key=lambda name: (-told[name], name))

    async def _ask(
        self, peers: set[str], customer: str, tokens: int, wanted: int, recall: bool
    ) -> _Question:
        ask = f"{self.context.boot}.a{self.next_id}"
        self.next_id += 1
        question = _Question(set(peers))
        self.questions[ask] = question
        request = FundsRequest(ask, customer, BUDGET_NAME, tokens, wanted, recall)
        for name in peers:
            self.context.peer_links[name].send(request)
        try:
            async with asyncio.timeout(PEER_PATIENCE if recall else AGENT_PATIENCE):
                while question.pending:
                    await question.done.wait()
        except TimeoutError:
            logger().info("peers_silent", customer=customer, peers=sorted(question.pending))
        del self.questions[ask]
        return question

    def on_request(self, link: Link, request: FundsRequest) -> None:
        """Give a peer what it lacks."""
        if self.free(request.customer) >= request.wanted:
            self._give(link, request)
        else:
            self.context.spawn(self._unlock_for(link, request))

    async def _unlock_for(self, link: Link, request: FundsRequest) -> None:
        """Give a peer what it lacks after more could be used here, or was taken for it."""
        if request.recall:
            if self.book.account(request.customer).held > 0:
                await self.recorder.raise_bounds({request.customer: request.wanted})
        else:
            await self.obtain(request.customer, request.wanted)
        self._give(link, request)

    def _give(self, link: Link, request: FundsRequest) -> None:
        peer = link.peer
        transfers: tuple[Transfer, ...] = ()
        self.context.schedule.refresh_account(self.context.timers.now(), request.customer)
        moved = 0 if self.pool.closed else self.book.debit(request.customer, request.wanted)
        if moved:
            id_ = f"{self.context.boot}.t{self.next_id}"
            self.next_id += 1
            transfer = Transfer(id_, peer.boot, request.customer, BUDGET_NAME, moved)
            self.outgoing[id_] = (peer.name, transfer)
            transfers = (transfer,)
        account = self.book.account(request.customer)
        exhausted = account.held <= 0
        link.send(
            FundsAnswer(request.ask, moved, account.reserved, transfers, exhausted, account.granted)
        )

    def on_answer(self, link: Link, answer: FundsAnswer) -> None:
        """Take in a peer's answer and what it gave."""
        for transfer in answer.transfers:
            self.on_transfer(link, transfer)
        question = self.questions.get(answer.ask)
        if question is None:
            return
        question.holding = question.holding or not answer.exhausted
        question.granted[link.peer.boot] = answer.granted
        question.pending.discard(link.peer.name)
        if not question.pending:
            question.done.set()

    def on_transfer(self, link: Link, transfer: Transfer) -> None:
        """Credit a transfer that was made to this lifetime, once."""
        if transfer.source != self.context.boot or self.pool.closed:
            return
        if self.book.receive(transfer.customer, transfer.transfer, transfer.tokens):
            self.on_credit(transfer.customer)
        link.send(TransferAck((transfer.transfer,)))

    def on_ack(self, link: Link, ack: TransferAck) -> None:
        """Forget transfers that arrived."""
        for transfer in ack.transfers:
            self.outgoing.pop(transfer, None)

    def _resend(self) -> None:
        for id_, (name, transfer) in list(self.outgoing.items()):
            link = self.context.peer_links.get(name)
            if link is None:
                continue
            if link.peer.boot == transfer.source:
                link.send(transfer)
            else:
                del self.outgoing[id_]
                logger().warning("transfer_lost", transfer=id_, tokens=transfer.tokens, peer=name)
