"""Token reservations for requests, and token transfers between the store and routers."""

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
    FundsRequest,
    FundsResponse,
    Refusal,
    RefusalCode,
    Transfer,
    TransferAck,
)
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._grant_worker import GrantWorker
from bilberryshed.state import Budget, budget_key
from bilberryshed.transport import logger

TICK_INTERVAL = 0.1  # seconds between checks for timed-out funding rounds
RESEND_INTERVAL = 1.0  # seconds between retransmissions of unacknowledged transfers
REFILL_THRESHOLD = 0.75  # fraction of the target below which a grant is acquired in advance
REFILL_INTERVAL = 0.5  # seconds between checks of the active budgets
MIN_ACQUIRE_INTERVAL = 2.0  # seconds between advance acquisitions for one budget
ROW_REFRESH_INTERVAL = 10.0  # seconds after which the row of an active budget is read again
FORECAST_HORIZON = 10.0  # seconds of demand that a router requests from its zone's holder
RETRY_INTERVAL = 0.25  # seconds between retries while running requests may release tokens
RETRY_AFTER_SECONDS = 5  # after which tokens may be available to a refused caller


@dataclass(slots=True, frozen=True)
class Reservation:
    """Tokens reserved for one request."""

    budget: str
    parts: tuple[Charge, ...]


class FundingService:
    """Reservations and grants of one router.

    Connects :class:`GrantBook` and :class:`Funding` to the table service and to other routers.
    """

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.grant_book = context.grant_book
        self.funding = Funding(context.boot)
        self.worker = GrantWorker(context)
        self.next_grant = 1
        self.waiters: dict[str, list[asyncio.Future[Unfunded | None]]] = {}
        self.budget_by_request: dict[str, str] = {}
        self.next_row_read: dict[str, float] = {}
        self.next_acquisition: dict[str, float] = {}

    def start(self) -> None:
        """Start the periodic tasks."""
        timers, settings = self.context.timers, self.context.settings
        timers.subscribe(TICK_INTERVAL, self._on_tick)
        timers.subscribe(REFILL_INTERVAL, self._refill)
        timers.subscribe(RESEND_INTERVAL, self._resend)
        timers.subscribe(settings.settle_interval, self._on_settle_interval)

    async def reserve(
        self, budget: Budget, tokens: int, max_wait: float
    ) -> Result[Reservation, Refusal]:
        """Reserve tokens, acquiring more from the store or other routers if needed.

        :param max_wait: seconds to wait for running requests to release tokens
        """
        key, deadline = budget.row_key, self.context.timers.now() + max_wait
        self.grant_book.record_demand(self.context.timers.now(), key, tokens)
        if tokens > budget.paid:
            return Failure(_refusal(FundingFailure.EXHAUSTED, key, tokens))
        parts = self.grant_book.reserve(key, tokens)
        if parts is not None:
            return Success(Reservation(key, parts))
        return await self._reserve_with_retries(budget, tokens, deadline)

    async def _reserve_with_retries(
        self, budget: Budget, tokens: int, deadline: float
    ) -> Result[Reservation, Refusal]:
        key = budget.row_key
        while True:
            unfunded = await self._request_tokens(budget, tokens)
            parts = self.grant_book.reserve(key, tokens)
            if parts is not None:
                return Success(Reservation(key, parts))
            if unfunded is None:
                continue
            now = self.context.timers.now()
            releasable = unfunded.releasable + self.grant_book.reserved(key)
            certain = unfunded.failure is FundingFailure.EXHAUSTED and releasable == 0
            if certain or now + RETRY_INTERVAL > deadline:
                return Failure(_refusal(unfunded.failure, key, tokens))
            await asyncio.sleep(RETRY_INTERVAL)

    async def _request_tokens(self, budget: Budget, tokens: int) -> Unfunded | None:
        key, now = budget.row_key, self.context.timers.now()
        future: asyncio.Future[Unfunded | None] = asyncio.get_running_loop().create_future()
        self.waiters.setdefault(key, []).append(future)
        shortfall = max(1, tokens - self.grant_book.free(key))
        wanted = int(self.grant_book.demand(now, key) * FORECAST_HORIZON)
        holder = self.context.members.holder(key)
        time = self.context.timers.responsive_time()
        self._execute_actions(
            self.funding.start_round(time, budget.customer, budget.name, shortfall, wanted, holder)
        )
        return await future

    # Actions --------------------------------------------------------------------------------

    def _execute_actions(
        self, actions: list[RequestFromPeer | AcquireFromStore | Funded | Unfunded]
    ) -> None:
        for action in actions:
            if isinstance(action, RequestFromPeer):
                request = action.request
                self.budget_by_request[request.ask] = budget_key(request.customer, request.budget)
                self.context.send_to_peer(action.peer, request)
                self.context.metrics.count("funds_asked")
            elif isinstance(action, AcquireFromStore):
                self._acquire_grant(action.budget, action.need)
            else:
                self._notify_waiters(
                    action.budget, action if isinstance(action, Unfunded) else None
                )

    def _acquire_grant(self, budget: str, need: int) -> None:
        acquisition = self._build_acquisition(budget, need)
        self.worker.submit(
            acquisition, lambda granted, ok: self._on_granted(acquisition, granted, ok)
        )

    def _build_acquisition(self, budget: str, need: int) -> AcquireGrant:
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
            held=self.grant_book.free(budget),
            rate=self.grant_book.demand(self.context.timers.now(), budget),
            holders=self.context.members.zones(),
            zone=self.context.settings.zone,
        )

    def _on_granted(self, acquisition: AcquireGrant, granted: int, store_responded: bool) -> None:
        self._credit(acquisition, granted)
        time, peers = self.context.timers.responsive_time(), self.context.members.routers()
        self._execute_actions(
            self.funding.on_store(time, acquisition.budget, granted, store_responded, peers)
        )

    def _credit(self, acquisition: AcquireGrant, granted: int) -> None:
        if granted > 0:
            self.grant_book.add(
                Grant(acquisition.grant, acquisition.grant, acquisition.budget, granted)
            )
            self.context.metrics.count("grants_taken")
            logger().info(
                "grant_taken",
                grant=acquisition.grant,
                budget=acquisition.budget,
                tokens=granted,
            )

    def _notify_waiters(self, budget: str, unfunded: Unfunded | None) -> None:
        for future in self.waiters.pop(budget, []):
            if not future.done():
                future.set_result(unfunded)

    # Messages from other routers ------------------------------------------------------------

    def on_request(self, peer: str, request: FundsRequest) -> None:
        """Transfer part of a budget to another router.

        Unless it is a recall, a grant is acquired first if too few tokens are free.
        """
        key = budget_key(request.customer, request.budget)
        if (
            request.recall
            or self.grant_book.free(key) >= request.tokens
            or not self._is_known_budget(key)
        ):
            self._send_transfers(peer, request, exhausted=False)
            return
        acquisition = self._build_acquisition(key, request.tokens)

        def on_granted(granted: int, store_responded: bool) -> None:
            self._credit(acquisition, granted)
            self._send_transfers(
                peer, request, exhausted=store_responded and granted < request.tokens
            )

        self.worker.submit(acquisition, on_granted)

    def _is_known_budget(self, budget: str) -> bool:
        current = self.context.rollout.current
        return current is not None and budget in current.sheet.budgets

    def _send_transfers(self, peer: str, request: FundsRequest, exhausted: bool) -> None:
        """Transfer the requested tokens.

        Unless it is a recall, the peer's forecast demand is covered too, with at most half of the
        free tokens.
        """
        key = budget_key(request.customer, request.budget)
        limit = request.tokens
        if not request.recall:
            limit = max(limit, min(request.wanted, self.grant_book.free(key) // 2))
        transfers: list[Transfer] = []
        moved = 0
        while moved < limit:
            transfer = self.grant_book.transfer(
                request.customer, request.budget, limit - moved, peer
            )
            if transfer is None:
                break
            transfers.append(transfer)
            moved += transfer.tokens
        if not request.recall:
            self.grant_book.record_demand(
                self.context.timers.now(), key, max(moved, request.tokens)
            )
        reserved = self.grant_book.reserved(key)
        response = FundsResponse(request.ask, moved, reserved, tuple(transfers), exhausted)
        self.context.send_to_peer(peer, response)

    def on_answer(self, peer: str, response: FundsResponse) -> None:
        """Credit the tokens in a peer's response and continue the funding round."""
        for transfer in response.transfers:
            self.on_transfer(peer, transfer)
        budget = self.budget_by_request.pop(response.ask, "")
        time, peers = self.context.timers.responsive_time(), self.context.members.routers()
        self._execute_actions(self.funding.on_response(time, budget, response, peers))

    def on_transfer(self, peer: str, transfer: Transfer) -> None:
        """Credit a transfer at most once and acknowledge it."""
        key = budget_key(transfer.customer, transfer.budget)
        if self.grant_book.receive(transfer, key):
            self.context.metrics.count("transfers_received")
            self._notify_waiters(key, None)
        self.context.send_to_peer(peer, TransferAck((transfer.transfer,)))

    def on_ack(self, ack: TransferAck) -> None:
        """Drop outgoing transfers that the receiver has acknowledged."""
        self.grant_book.acknowledge(ack.transfers)

    # Periodic tasks -------------------------------------------------------------------------

    def _on_tick(self, now: float) -> None:
        time, peers = self.context.timers.responsive_time(), self.context.members.routers()
        self._execute_actions(self.funding.on_tick(time, peers))

    def _refill(self, now: float) -> None:
        """Keep the tokens of the budgets that this router holds for its zone near the target.

        The target is computed from the budget rows that were read last.
        """
        current = self.context.rollout.current
        if current is None or self.context.draining:
            return
        for key in self.grant_book.active_budgets(now):
            if key in current.sheet.budgets and self.context.members.holder(key) is None:
                self._rebalance(now, key)

    def _rebalance(self, now: float, key: str) -> None:
        """Acquire a grant in advance, return a surplus, or read the budget's row again."""
        acquisition, held = self._build_acquisition(key, 0), self.grant_book.free(key)
        row = self.worker.last_read.get(key)
        if row is not None:
            demand = demand_for(acquisition, row)
            surplus = self.worker.sizing.surplus(held, demand, row.free)
            grant = self.grant_book.returnable(key, surplus)
            if grant is not None:
                self._close(grant)
                return
            enough = held >= REFILL_THRESHOLD * self.worker.sizing.target(held, demand, row.free)
            if enough and now < self.next_row_read.get(key, 0.0):
                return
        if now >= self.next_acquisition.get(key, 0.0):
            self.next_acquisition[key] = now + MIN_ACQUIRE_INTERVAL
            self.next_row_read[key] = now + ROW_REFRESH_INTERVAL
            self.worker.submit(
                acquisition, lambda granted, store_responded: self._credit(acquisition, granted)
            )

    def _resend(self, now: float) -> None:
        for to, transfer in tuple(self.grant_book.outgoing.values()):
            self.context.send_to_peer(to, transfer)

    def _on_settle_interval(self, now: float) -> None:
        self._reconcile_grants(include_unused=False)

    def _reconcile_grants(self, include_unused: bool) -> None:
        """Persist received transfers as grants of their own, and close grants.

        :param include_unused: close every grant without outstanding requests or bills, not only
            exhausted ones
        """
        for grant in self.grant_book.grants():
            if grant.pinned:
                continue
            if not grant.persisted:
                self._persist_transfer(grant)
            elif grant.idle and (include_unused or grant.free == 0):
                self._close(grant)

    def _persist_transfer(self, grant: Grant) -> None:
        grant.pinned = True
        persist_transfer = PersistTransfer(
            grant.id, grant.source, grant.budget, self.context.boot, grant.amount
        )

        def on_persisted(moved: int, store_responded: bool) -> None:
            grant.pinned = False
            if moved == persist_transfer.tokens:
                grant.source = grant.id

        self.worker.submit(persist_transfer, on_persisted)

    def _close(self, grant: Grant) -> None:
        grant.pinned = grant.closing = True
        close = CloseGrant(grant.id, grant.budget, grant.amount, grant.settled)

        def on_closed(moved: int, store_responded: bool) -> None:
            if store_responded and moved == close.amount:
                self.grant_book.remove(grant.budget, grant.id)
            else:
                grant.pinned = grant.closing = False

        self.worker.submit(close, on_closed)

    def return_grants(self) -> int:
        """Start to return every grant without outstanding requests or bills.

        :returns: number of grants still held plus unacknowledged transfers to connected routers
        """
        self._reconcile_grants(include_unused=True)
        linked = self.context.peer_links
        in_flight = sum(to in linked for to, _ in self.grant_book.outgoing.values())
        return len(self.grant_book.grants()) + in_flight


def _refusal(failure: FundingFailure, budget: str, tokens: int) -> Refusal:
    if failure is FundingFailure.EXHAUSTED:
        reason = f"budget {budget} has less than the {tokens} tokens that this request may use"
        return Refusal(RefusalCode.BUDGET_EXHAUSTED, reason, retry_after=RETRY_AFTER_SECONDS)
    reason = f"no more of budget {budget} can be reached for {tokens} tokens"
    return Refusal(RefusalCode.BUDGET_UNREACHABLE, reason, retry_after=RETRY_AFTER_SECONDS)
