"""Reserves prepaid tokens for requests, and moves them between the store and gateways."""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

from returns.result import Failure, Result, Success

from bilberryshed.coordination import PeerHolding, PoolRow, owner
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import (
    FundsAnswer,
    FundsRequest,
    Holding,
    HoldingsNotice,
    Transfer,
    TransferAck,
)
from bilberryshed.state import Put, Row, RowRef
from bilberryshed.transport import Link, logger

POOL_TABLE = "prepaid"
BUDGET_NAME = "prepaid"  # the one budget that each customer has
SYNC_INTERVAL = 0.5  # seconds between updates of the store's rows
NOTICE_INTERVAL = 0.25  # seconds between notices to a few peers
NOTICE_PEERS = 6  # peers for each further interval between notices, so that their bytes are bounded
ASKED_PEERS = 6  # peers asked at once for tokens, those that hold most
RESEND_INTERVAL = 0.5  # seconds between sends of an unacknowledged transfer
PEER_PATIENCE = 0.25  # seconds for peers to answer
AGENT_PATIENCE = 0.5  # seconds for a peer that asks the store
AGENT_HORIZON = 4.0  # seconds of demand that such a peer is asked for
STORE_PATIENCE = 0.35  # seconds that a request waits for the store
STORE_PAUSE = 0.5  # seconds after a failed call in which requests do not wait for the store
DRY_PAUSE = 0.2  # seconds for which a finding that nothing is left is reused at least
CONFLICTS = 8  # conflicting writes in a row after which a sync waits for its next turn


class Shortage(StrEnum):
    """Why tokens could not be reserved."""

    SPENT = "spent"
    OUT_OF_REACH = "out_of_reach"


@dataclass(slots=True)
class _Question:
    """A question to peers that is open."""

    customer: str
    pending: set[str]
    done: asyncio.Event = field(default_factory=asyncio.Event)
    reserved: int = 0


@dataclass(slots=True, frozen=True)
class _Dry:
    """A finding that a customer's tokens are used up."""

    until: float
    tokens: int
    shortage: Shortage


class PrepaidFunds:
    """The gateway's side of :class:`PrepaidBook`."""

    def __init__(self, context: GatewayContext, recorder: BoundsRecorder) -> None:
        self.context = context
        self.recorder = recorder
        self.book = context.book
        self.seen: dict[str, PoolRow] = {}
        self.doubts: dict[str, int] = {}
        self.doubt_grants: dict[str, int] = {}
        self.store_lock = asyncio.Lock()
        self.locks: dict[str, asyncio.Lock] = {}
        self.dry: dict[str, _Dry] = {}
        self.agents: set[str] = set()
        self.ticks = 0
        self.questions: dict[str, _Question] = {}
        self.outgoing: dict[str, tuple[str, Transfer]] = {}
        self.next_id = 1
        self.failed_at = float("-inf")
        self.read_once = asyncio.Event()
        self.closed = False

    def start(self) -> None:
        """Subscribe to timers."""
        timers = self.context.timers
        timers.subscribe(SYNC_INTERVAL, lambda now: self._sync_soon())
        timers.subscribe(NOTICE_INTERVAL, lambda now: self._notify())
        timers.subscribe(RESEND_INTERVAL, lambda now: self._resend())

    def on_table(self) -> None:
        """Take in a new route table: totals may have changed."""
        self.dry.clear()
        self.context.spawn(self.sync({}))

    # Requests -------------------------------------------------------------------------------

    async def reserve(self, customer: str, tokens: int) -> Result[int, Shortage]:
        """Reserve tokens, from wherever they can be had at once."""
        now = self.context.timers.now()
        self.book.note_demand(now, customer, tokens)
        if self._reserve(customer, tokens):
            return Success(tokens)
        shortage = self._known_dry(customer, tokens)
        if shortage is not None:
            return Failure(shortage)
        async with self.locks.setdefault(customer, asyncio.Lock()):
            if self._reserve(customer, tokens):
                return Success(tokens)
            shortage = self._known_dry(customer, tokens)
            if shortage is not None:
                return Failure(shortage)
            shortage = await self._find(customer, tokens)
            if self._reserve(customer, tokens):
                return Success(tokens)
        pause = DRY_PAUSE * (1 + len(self.context.peer_links) / ASKED_PEERS)
        until = self.context.timers.now() + pause
        self.dry[customer] = _Dry(until, tokens, shortage)
        return Failure(shortage)

    def _reserve(self, customer: str, tokens: int) -> bool:
        self.context.schedule.unlock(self.context.timers.now(), customer)
        return self.book.reserve(customer, tokens)

    def _free(self, customer: str) -> int:
        return self.context.schedule.unlock(self.context.timers.now(), customer).free

    def settle(self, customer: str, reserved: int, spent: int) -> None:
        """End a reservation with what was used of it."""
        self.book.settle(customer, reserved, spent)
        if spent < reserved:
            self.dry.pop(customer, None)

    def _known_dry(self, customer: str, tokens: int) -> Shortage | None:
        dry = self.dry.get(customer)
        if dry is None or self.context.timers.now() >= dry.until or tokens < dry.tokens:
            return None
        return dry.shortage

    async def _find(self, customer: str, tokens: int) -> Shortage:
        """Look for tokens in the store, then at the peers.

        :returns: what is wrong if there are still too few
        """
        account = self.book.account(customer)
        reached = await self._obtain(customer, tokens)
        if self._free(customer) >= tokens:
            return Shortage.OUT_OF_REACH
        if not reached:
            await self._ask_agent(customer, tokens - account.free)
            if self._free(customer) >= tokens:
                return Shortage.OUT_OF_REACH
        answered = await self._ask_peers(customer, tokens)
        if not reached or not answered or account.held >= tokens:
            return Shortage.OUT_OF_REACH
        return self._judge(customer)

    async def _obtain(self, customer: str, tokens: int) -> bool:
        """Take tokens from the store and have a mark recorded that lets them be used.

        :returns: whether the store answered
        """
        account = self.book.account(customer)
        reached = True
        if account.held < tokens:
            reached = await self._try_store({customer: tokens - account.held})
        if account.held >= tokens and self._free(customer) < tokens:
            await self.recorder.raise_bounds({customer: tokens})
        return reached

    def _judge(self, customer: str) -> Shortage:
        """Whether every lifetime that was granted tokens is here to say that it has none."""
        row = self.seen.get(customer, PoolRow())
        present = {
            self.context.boot,
            *(link.peer.boot for link in self.context.peer_links.values()),
        }
        if set(row.holders) <= present and not self.outgoing:
            return Shortage.SPENT
        return Shortage.OUT_OF_REACH

    async def _try_store(self, needs: dict[str, int]) -> bool:
        if self.context.timers.now() < self.failed_at + STORE_PAUSE:
            return False
        task = asyncio.ensure_future(self.sync(needs))
        done, _ = await asyncio.wait({task}, timeout=STORE_PATIENCE)
        return task in done and task.result()

    # Store ----------------------------------------------------------------------------------

    def _sync_soon(self) -> None:
        if not self.store_lock.locked() and not self.closed:
            self.context.spawn(self.sync({}))

    async def sync(self, needs: dict[str, int]) -> bool:
        """Bring this gateway's grants in line with its demand.

        :param needs: tokens that waiting requests lack, by customer
        :returns: whether the store answered
        """
        async with self.store_lock:
            for _ in range(CONFLICTS):
                if self.closed:
                    return False
                done = await self._sync_once(needs)
                if done is not None:
                    if not done:
                        self.failed_at = self.context.timers.now()
                    return done
        return True

    async def _sync_once(self, needs: dict[str, int]) -> bool | None:
        """Read the rows, plan and write.

        :returns: whether the store answered, ``None`` after a conflict
        """
        index = self.context.index
        if index is None:
            return True
        prepaid = {c.name: c.prepaid for c in index.table.customers.values() if c.prepaid}
        refs = tuple(RowRef(POOL_TABLE, name) for name in sorted(prepaid))
        if not refs:
            return True
        rows = await self.context.ports.tables.read(refs)
        if isinstance(rows, Failure):
            logger().warning("store_read_failed", detail=rows.failure().detail)
            return False
        self.recorder.on_store_answer()
        now, routers = self.context.timers.now(), self.context.router_count()
        puts: list[Put] = []
        planned: dict[str, PoolRow] = {}
        for row in rows.unwrap():
            name = row.ref.key
            pool = self._take_in(name, row)
            self.read_once.set()
            total = prepaid[name] or 0
            wish = self.book.plan(now, name, pool, total, needs.get(name, 0), routers)
            if wish is not pool or name in self.doubts:
                puts.append(Put(row.ref, row.version, wish.to_value()))
                planned[name] = wish
        if not puts:
            return True
        return await self._write(tuple(puts), planned)

    def _take_in(self, name: str, row: Row) -> PoolRow:
        """Learn from a row what became of a write whose answer was lost."""
        pool = PoolRow.from_value(row.value)
        self.seen[name] = pool
        granted = pool.holders.get(self.context.boot, 0)
        if name in self.doubts:
            if row.version == self.doubts[name]:
                granted = min(granted, self.doubt_grants[name])
            else:
                del self.doubts[name], self.doubt_grants[name]
        self.book.account(name).granted = granted
        return pool

    async def _write(self, puts: tuple[Put, ...], planned: dict[str, PoolRow]) -> bool | None:
        """Write rows; what is given back is debited before the write begins."""
        boot = self.context.boot
        for name, pool in planned.items():
            account = self.book.account(name)
            account.granted = min(account.granted, pool.holders.get(boot, 0))
        written = await self.context.ports.tables.write(puts)
        if isinstance(written, Failure):
            error = written.failure()
            logger().warning("store_write_failed", detail=error.detail, in_doubt=error.ambiguous)
            if error.ambiguous:
                for put in puts:
                    name = put.ref.key
                    self.doubts[name] = put.version
                    self.doubt_grants[name] = planned[name].holders.get(boot, 0)
            return False
        if not written.unwrap():
            return None
        for name, pool in planned.items():
            self.seen[name] = pool
            self.doubts.pop(name, None)
            self.doubt_grants.pop(name, None)
            self.book.account(name).granted = pool.holders.get(boot, 0)
        self.context.metrics.count("grants_changed", len(planned))
        return True

    async def close(self) -> bool:
        """Settle this lifetime in the store, once no request runs any more.

        :returns: whether the store took it
        """
        async with self.store_lock:
            for _ in range(CONFLICTS):
                closed = await self._close_once()
                if closed is not None:
                    self.closed = True
                    return closed
        return False

    async def _close_once(self) -> bool | None:
        refs = tuple(RowRef(POOL_TABLE, name) for name in sorted(self.seen))
        if not refs:
            return True
        rows = await self.context.ports.tables.read(refs)
        if isinstance(rows, Failure):
            return False
        puts = []
        for row in rows.unwrap():
            pool = PoolRow.from_value(row.value)
            closed = self.book.close(row.ref.key, pool)
            if closed is not pool:
                puts.append(Put(row.ref, row.version, closed.to_value()))
                self.book.account(row.ref.key).granted = 0
        written = await self.context.ports.tables.write(tuple(puts))
        if isinstance(written, Failure):
            return False
        return True if written.unwrap() else None

    # Peers ----------------------------------------------------------------------------------

    def _notify(self) -> None:
        """Tell peers what is in hand, less often the more they are."""
        self.ticks += 1
        if self.ticks % (1 + len(self.context.peer_links) // NOTICE_PEERS):
            return
        now = self.context.timers.now()
        holdings = tuple(
            Holding(name, account.held, round(account.demand(now), 1))
            for name, account in self.book.accounts.items()
            if account.held or account.demand(now) >= 1
        )
        self.context.broadcast(
            HoldingsNotice(holdings, self.context.draining, self.recorder.store_up)
        )

    def on_holdings(self, link: Link, notice: HoldingsNotice) -> None:
        """Take in what a peer has in hand."""
        held = {h.customer: PeerHolding(h.free, h.rate) for h in notice.holdings}
        self.book.hear(link.peer.name, held)
        if notice.store_up and not notice.draining:
            self.agents.add(link.peer.name)
        else:
            self.agents.discard(link.peer.name)

    async def _ask_agent(self, customer: str, tokens: int) -> None:
        """Have one peer that reaches the store take tokens there for this gateway."""
        names = sorted(self.agents & self.context.peer_links.keys())
        agent = owner(customer, names)
        if agent is None:
            return
        now = self.context.timers.now()
        wanted = max(tokens, int(self.book.account(customer).demand(now) * AGENT_HORIZON))
        await self._ask({agent}, customer, tokens, wanted, recall=False)

    async def _ask_peers(self, customer: str, tokens: int) -> bool:
        """Have peers give what they have in hand: first those that hold most, then all others.

        :returns: whether all peers answered, or enough was given before
        """
        ranked = self._peers_by_holding(customer)
        for group in (ranked[:ASKED_PEERS], ranked[ASKED_PEERS:]):
            lacking = tokens - self._free(customer)
            if lacking <= 0 or not group:
                return True
            question = await self._ask(set(group), customer, lacking, lacking, recall=True)
            if question.pending:
                return False
        return True

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
        question = _Question(customer, set(peers))
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
        if request.recall or self._free(request.customer) >= request.wanted:
            self._give(link, request)
        else:
            self.context.spawn(self._obtain_for(link, request))

    async def _obtain_for(self, link: Link, request: FundsRequest) -> None:
        """Take from the store what a peer lacks that does not reach it."""
        await self._obtain(request.customer, request.wanted)
        self._give(link, request)

    def _give(self, link: Link, request: FundsRequest) -> None:
        peer = link.peer
        transfers: tuple[Transfer, ...] = ()
        self.context.schedule.unlock(self.context.timers.now(), request.customer)
        moved = 0 if self.closed else self.book.give(request.customer, request.wanted)
        if moved:
            id_ = f"{self.context.boot}.t{self.next_id}"
            self.next_id += 1
            transfer = Transfer(id_, peer.boot, request.customer, BUDGET_NAME, moved)
            self.outgoing[id_] = (peer.name, transfer)
            transfers = (transfer,)
        account = self.book.account(request.customer)
        if moved < request.tokens and account.held:
            self.context.spawn(self.recorder.raise_bounds({request.customer: request.tokens}))
        link.send(FundsAnswer(request.ask, moved, account.reserved, transfers, False))

    def on_answer(self, link: Link, answer: FundsAnswer) -> None:
        """Take in a peer's answer and what it gave."""
        for transfer in answer.transfers:
            self.on_transfer(link, transfer)
        question = self.questions.get(answer.ask)
        if question is None:
            return
        question.reserved += answer.reserved
        question.pending.discard(link.peer.name)
        if not question.pending:
            question.done.set()

    def on_transfer(self, link: Link, transfer: Transfer) -> None:
        """Credit a transfer that was made to this lifetime, once."""
        if transfer.source != self.context.boot or self.closed:
            return
        if self.book.receive(transfer.customer, transfer.transfer, transfer.tokens):
            self.dry.pop(transfer.customer, None)
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
