"""Reserves tokens for requests, and moves tokens between the store and routers."""

import asyncio
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from bilberryshed.coordination import (
    AcquireFromStore,
    AcquireGrant,
    CloseGrant,
    Funded,
    Funding,
    FundingFailure,
    Grant,
    PersistTransfer,
    RequestFromPeer,
    Unfunded,
    demand_for,
)
from bilberryshed.protocol import (
    Charge,
    FundsAnswer,
    FundsRequest,
    Refusal,
    RefusalCode,
    Transfer,
    TransferAck,
)
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._grant_worker import GrantWorker
from bilberryshed.state import Budget, budget_key
from bilberryshed.transport import logger

TICK = 0.1  # seconds
RESEND_INTERVAL = 1.0  # seconds between sends of an unacknowledged transfer
TOP_UP_SHARE = 0.75  # of the target, below which a grant is taken ahead of need
TOP_UP_INTERVAL = 0.5  # seconds
TAKE_PAUSE = 2.0  # seconds between takes ahead of need for one budget
READ_PAUSE = 10.0  # seconds after which the row of a budget in use is read again
ZONE_HORIZON = 10.0  # seconds of demand that a router has in hand of what its zone's holder holds
RETRY_PAUSE = 0.25  # seconds between tries while running requests may release tokens
RETRY_AFTER = 5  # seconds after which a refused caller may find tokens again


@dataclass(slots=True, frozen=True)
class Reservation:
    """Tokens reserved for one request."""

    budget: str
    parts: tuple[Charge, ...]


class FundingService:
    """The router's side of :class:`GrantBook` and :class:`Funding`."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.book = context.book
        self.funding = Funding(context.boot)
        self.worker = GrantWorker(context)
        self.next_grant = 1
        self.waiters: dict[str, list[asyncio.Future[Unfunded | None]]] = {}
        self.ask_budgets: dict[str, str] = {}
        self.next_top_up: dict[str, float] = {}
        self.next_take: dict[str, float] = {}

    def start(self) -> None:
        """Subscribe to timers."""
        timers, settings = self.context.timers, self.context.settings
        timers.subscribe(TICK, self._on_tick)
        timers.subscribe(TOP_UP_INTERVAL, self._top_up)
        timers.subscribe(RESEND_INTERVAL, self._resend)
        timers.subscribe(settings.settle_interval, self._maintain)

    async def reserve(
        self, budget: Budget, tokens: int, patience: float
    ) -> Result[Reservation, Refusal]:
        """Reserve tokens, from wherever they can be had.

        :param patience: seconds to wait for running requests to release tokens
        """
        key, deadline = budget.row_key, self.context.timers.now() + patience
        self.book.record_demand(self.context.timers.now(), key, tokens)
        if tokens > budget.paid:
            return Failure(_refusal(FundingFailure.EXHAUSTED, key, tokens))
        parts = self.book.reserve(key, tokens)
        if parts is not None:
            return Success(Reservation(key, parts))
        return await self._find(budget, tokens, deadline)

    async def _find(
        self, budget: Budget, tokens: int, deadline: float
    ) -> Result[Reservation, Refusal]:
        key = budget.row_key
        while True:
            unfunded = await self._more(budget, tokens)
            parts = self.book.reserve(key, tokens)
            if parts is not None:
                return Success(Reservation(key, parts))
            if unfunded is None:
                continue
            now = self.context.timers.now()
            releasable = unfunded.releasable + self.book.reserved(key)
            certain = unfunded.failure is FundingFailure.EXHAUSTED and releasable == 0
            if certain or now + RETRY_PAUSE > deadline:
                return Failure(_refusal(unfunded.failure, key, tokens))
            await asyncio.sleep(RETRY_PAUSE)

    async def _more(self, budget: Budget, tokens: int) -> Unfunded | None:
        key, now = budget.row_key, self.context.timers.now()
        future: asyncio.Future[Unfunded | None] = asyncio.get_running_loop().create_future()
        self.waiters.setdefault(key, []).append(future)
        lacking = max(1, tokens - self.book.free(key))
        wanted = int(self.book.demand(now, key) * ZONE_HORIZON)
        holder = self.context.members.holder(key)
        self._act(self.funding.need(now, budget.customer, budget.name, lacking, wanted, holder))
        return await future

    # Actions --------------------------------------------------------------------------------

    def _act(self, actions: list[RequestFromPeer | AcquireFromStore | Funded | Unfunded]) -> None:
        for action in actions:
            if isinstance(action, RequestFromPeer):
                request = action.request
                self.ask_budgets[request.ask] = budget_key(request.customer, request.budget)
                self.context.send_peer(action.peer, request)
                self.context.metrics.count("funds_asked")
            elif isinstance(action, AcquireFromStore):
                self._take(action.budget, action.need)
            else:
                self._wake(action.budget, action if isinstance(action, Unfunded) else None)

    def _take(self, budget: str, need: int) -> None:
        take = self._new_take(budget, need)
        self.worker.submit(take, lambda taken, ok: self._on_taken(take, taken, ok))

    def _new_take(self, budget: str, need: int) -> AcquireGrant:
        current = self.context.rollout.current
        assert current is not None
        known = current.sheet.budgets.get(budget)
        grant = f"{self.context.boot}.g{self.next_grant}"
        self.next_grant += 1
        return AcquireGrant(
            grant=grant,
            budget=budget,
            holder=self.context.boot,
            paid=known.paid if known else 0,
            paid_version=current.version if known else 0,
            need=need,
            held=self.book.free(budget),
            rate=self.book.demand(self.context.timers.now(), budget),
            holders=self.context.members.zones(),
            zone=self.context.settings.zone,
        )

    def _on_taken(self, take: AcquireGrant, taken: int, reached: bool) -> None:
        self._credit(take, taken)
        now, peers = self.context.timers.now(), self.context.members.routers()
        self._act(self.funding.on_store(now, take.budget, taken, reached, peers))

    def _credit(self, take: AcquireGrant, taken: int) -> None:
        if taken > 0:
            self.book.add(Grant(take.grant, take.grant, take.budget, taken))
            self.context.metrics.count("grants_taken")
            logger().info("grant_taken", grant=take.grant, budget=take.budget, tokens=taken)

    def _wake(self, budget: str, unfunded: Unfunded | None) -> None:
        for future in self.waiters.pop(budget, []):
            if not future.done():
                future.set_result(unfunded)

    # Messages of other routers --------------------------------------------------------------

    def on_request(self, peer: str, request: FundsRequest) -> None:
        """Give part of a budget to another router."""
        key = budget_key(request.customer, request.budget)
        if request.recall or self.book.free(key) >= request.tokens or not self._knows(key):
            self._give(peer, request, exhausted=False)
            return
        take = self._new_take(key, request.tokens)

        def on_taken(taken: int, reached: bool) -> None:
            self._credit(take, taken)
            self._give(peer, request, exhausted=reached and taken < request.tokens)

        self.worker.submit(take, on_taken)

    def _knows(self, budget: str) -> bool:
        current = self.context.rollout.current
        return current is not None and budget in current.sheet.budgets

    def _give(self, peer: str, request: FundsRequest, exhausted: bool) -> None:
        key = budget_key(request.customer, request.budget)
        limit = request.tokens
        if not request.recall:
            limit = max(limit, min(request.wanted, self.book.free(key) // 2))
        transfers: list[Transfer] = []
        moved = 0
        while moved < limit:
            transfer = self.book.transfer(request.customer, request.budget, limit - moved, peer)
            if transfer is None:
                break
            transfers.append(transfer)
            moved += transfer.tokens
        if not request.recall:
            self.book.record_demand(self.context.timers.now(), key, max(moved, request.tokens))
        reserved = self.book.reserved(key)
        answer = FundsAnswer(request.ask, moved, reserved, tuple(transfers), exhausted)
        self.context.send_peer(peer, answer)

    def on_answer(self, peer: str, answer: FundsAnswer) -> None:
        """Take in tokens that another router gave."""
        for transfer in answer.transfers:
            self.on_transfer(peer, transfer)
        budget = self.ask_budgets.pop(answer.ask, "")
        now, peers = self.context.timers.now(), self.context.members.routers()
        self._act(self.funding.on_answer(now, budget, answer, peers))

    def on_transfer(self, peer: str, transfer: Transfer) -> None:
        """Credit a transfer once and acknowledge it."""
        key = budget_key(transfer.customer, transfer.budget)
        if self.book.receive(transfer, key):
            self.context.metrics.count("transfers_received")
            self._wake(key, None)
        self.context.send_peer(peer, TransferAck((transfer.transfer,)))

    def on_ack(self, ack: TransferAck) -> None:
        """Forget transfers that arrived."""
        self.book.acknowledge(ack.transfers)

    # Upkeep ---------------------------------------------------------------------------------

    def _on_tick(self, now: float) -> None:
        self._act(self.funding.on_tick(now, self.context.members.routers()))

    def _top_up(self, now: float) -> None:
        """Keep what this router holds for its zone near the target, by what it last read."""
        current = self.context.rollout.current
        if current is None or self.context.draining:
            return
        for key in self.book.active_budgets(now):
            if key in current.sheet.budgets and self.context.members.holder(key) is None:
                self._balance(now, key)

    def _balance(self, now: float, key: str) -> None:
        """Take ahead of need, return a surplus, or read the budget's row again."""
        take, held = self._new_take(key, 0), self.book.free(key)
        row = self.worker.seen.get(key)
        if row is not None:
            demand = demand_for(take, row)
            surplus = self.worker.sizing.surplus(held, demand, row.free)
            grant = self.book.returnable(key, surplus)
            if grant is not None:
                self._close(grant)
                return
            enough = held >= TOP_UP_SHARE * self.worker.sizing.target(held, demand, row.free)
            if enough and now < self.next_top_up.get(key, 0.0):
                return
        if now >= self.next_take.get(key, 0.0):
            self.next_take[key] = now + TAKE_PAUSE
            self.next_top_up[key] = now + READ_PAUSE
            self.worker.submit(take, lambda taken, reached: self._credit(take, taken))

    def _resend(self, now: float) -> None:
        for to, transfer in tuple(self.book.outgoing.values()):
            self.context.send_peer(to, transfer)

    def _maintain(self, now: float) -> None:
        self._tidy(returning=False)

    def _tidy(self, returning: bool) -> None:
        """Adopt transferred parts and close grants.

        :param returning: close every grant on which nothing is outstanding, not only used-up ones
        """
        for grant in self.book.grants():
            if grant.pinned:
                continue
            if not grant.persisted:
                self._adopt(grant)
            elif grant.idle and (returning or grant.free == 0):
                self._close(grant)

    def _adopt(self, grant: Grant) -> None:
        grant.pinned = True
        adopt = PersistTransfer(
            grant.id, grant.source, grant.budget, self.context.boot, grant.amount
        )

        def on_adopted(moved: int, reached: bool) -> None:
            grant.pinned = False
            if moved == adopt.tokens:
                grant.source = grant.id

        self.worker.submit(adopt, on_adopted)

    def _close(self, grant: Grant) -> None:
        grant.pinned = grant.closing = True
        close = CloseGrant(grant.id, grant.budget, grant.amount, grant.settled)

        def on_closed(moved: int, reached: bool) -> None:
            if reached and moved == close.amount:
                self.book.remove(grant.budget, grant.id)
            else:
                grant.pinned = grant.closing = False

        self.worker.submit(close, on_closed)

    def return_all(self) -> int:
        """Start to return every grant on which nothing is outstanding.

        :returns: grants still held and transfers under way to linked routers
        """
        self._tidy(returning=True)
        linked = self.context.peer_links
        under_way = sum(to in linked for to, _ in self.book.outgoing.values())
        return len(self.book.grants()) + under_way


def _refusal(failure: FundingFailure, budget: str, tokens: int) -> Refusal:
    if failure is FundingFailure.EXHAUSTED:
        reason = f"budget {budget} has less than the {tokens} tokens that this request may use"
        return Refusal(RefusalCode.BUDGET_EXHAUSTED, reason, retry_after=RETRY_AFTER)
    reason = f"no more of budget {budget} can be reached for {tokens} tokens"
    return Refusal(RefusalCode.BUDGET_UNREACHABLE, reason, retry_after=RETRY_AFTER)
