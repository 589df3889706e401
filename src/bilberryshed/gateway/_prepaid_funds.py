"""Reserves prepaid tokens for requests, from this gateway, the store or peers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from bilberryshed.coordination import PoolRow, Shortage
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._departure_watch import DepartureWatch
from bilberryshed.gateway._loans import Loans
from bilberryshed.gateway._pool_sync import PoolSync
from bilberryshed.gateway._token_peers import PREFERRED_PEERS, TokenPeers
from bilberryshed.transport import Link

SHORTAGE_CACHE_TIME = 0.2  # seconds for which a shortage is cached; grows with the holders


@dataclass(slots=True, frozen=True)
class _CachedShortage:
    """A shortage that is returned without another search for tokens.

    :param until: monotonic time at which it expires
    :param tokens: smallest reservation that it applies to
    """

    until: float
    tokens: int
    shortage: Shortage


class PrepaidFunds:
    """Reserves and settles tokens in the gateway's :class:`PrepaidBook`.

    :param locks: one lock for each customer, so that one request at a time acquires tokens
    :param cached_shortages: recent shortages, by customer
    """

    def __init__(self, context: GatewayContext, recorder: BoundsRecorder) -> None:
        self.context = context
        self.recorder = recorder
        self.book = context.book
        self.pool_sync = PoolSync(context, recorder)
        self.peers = TokenPeers(
            context, recorder, self.pool_sync, self._acquire_from_store, self._on_credit
        )
        self.loans = Loans(context, self.peers, self.reserve)
        self.departures = DepartureWatch(context, self.pool_sync.known_rows)
        self.locks: dict[str, asyncio.Lock] = {}
        self.cached_shortages: dict[str, _CachedShortage] = {}

    def start(self) -> None:
        """Subscribe to timers."""
        self.pool_sync.start()
        self.peers.start()
        self.loans.start()
        self.departures.start()

    async def close(self) -> bool:
        """Close this incarnation's accounts after its last request has ended, and say so.

        :returns: whether the store accepted the change
        """
        await self.loans.close()
        settled = await self.pool_sync.close()
        if settled:
            await self.recorder.delete_record()
            await self.departures.announce()
        return settled

    def handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        """Return the message handlers by message class."""
        return {
            **self.peers.handlers(),
            **self.loans.handlers(),
            **self.departures.handlers(),
        }

    def on_table(self) -> None:
        """Discard cached shortages and sync the grants: a new route table may change totals."""
        self.cached_shortages.clear()
        self.context.spawn(self.pool_sync.sync({}))

    def _on_credit(self, customer: str) -> None:
        self.cached_shortages.pop(customer, None)

    async def reserve(self, customer: str, tokens: int) -> Result[int, Shortage]:
        """Reserve tokens; acquire them from the store or from peers if too few are held here."""
        now = self.context.timers.now()
        self.book.record_demand(now, customer, tokens)
        if self._reserve(customer, tokens):
            return Success(tokens)
        shortage = self._cached_shortage(customer, tokens)
        if shortage is not None:
            return Failure(shortage)
        async with self.locks.setdefault(customer, asyncio.Lock()):
            if self._reserve(customer, tokens):
                return Success(tokens)
            shortage = self._cached_shortage(customer, tokens)
            if shortage is not None:
                return Failure(shortage)
            self.book.waiting.add(customer)
            try:
                shortage = await self._acquire(customer, tokens)
                if self._reserve(customer, tokens):
                    return Success(tokens)
            finally:
                self.book.waiting.discard(customer)
        cache_time = SHORTAGE_CACHE_TIME * (1 + self.context.holder_count() / PREFERRED_PEERS)
        until = self.context.timers.now() + cache_time
        self.cached_shortages[customer] = _CachedShortage(until, tokens, shortage)
        return Failure(shortage)

    def _reserve(self, customer: str, tokens: int) -> bool:
        self.context.spending_bounds.refresh_account(self.context.timers.now(), customer)
        return self.book.reserve(customer, tokens)

    def settle(self, customer: str, reserved: int, spent: int) -> None:
        """End a reservation and charge the tokens that were used."""
        self.book.settle(customer, reserved, spent)
        if spent < reserved:
            self.cached_shortages.pop(customer, None)

    def _cached_shortage(self, customer: str, tokens: int) -> Shortage | None:
        cached = self.cached_shortages.get(customer)
        if cached is None or self.context.timers.now() >= cached.until or tokens < cached.tokens:
            return None
        return cached.shortage

    async def _acquire(self, customer: str, tokens: int) -> Shortage:
        """Acquire tokens from the hub; without one, from the store and from peers.

        :returns: the shortage to report if the tokens still do not suffice
        """
        account = self.book.account(customer)
        lent = await self.loans.borrow(customer, tokens)
        if lent is not None:
            await self._free_held(customer, tokens)
            return lent.failure() if isinstance(lent, Failure) else Shortage.UNREACHABLE
        store_reached = await self._acquire_from_store(customer, tokens)
        if self.peers.free(customer) >= tokens:
            return Shortage.UNREACHABLE
        if not store_reached:
            await self.peers.request_through_proxy(customer, tokens - account.free)
            if self.peers.free(customer) >= tokens:
                return Shortage.UNREACHABLE
        granted = await self.peers.recall_from_peers(customer, tokens)
        await self._free_held(customer, tokens)
        if not store_reached or granted is None or account.held >= tokens:
            return Shortage.UNREACHABLE
        return self._classify_shortage(customer, tokens - account.held, granted)

    async def _free_held(self, customer: str, tokens: int) -> None:
        """Record bounds that permit the use of tokens if they are held here but not free yet."""
        if self.book.account(customer).held >= tokens and self.peers.free(customer) < tokens:
            await self.recorder.raise_bounds({customer: tokens})

    async def _acquire_from_store(self, customer: str, tokens: int) -> bool:
        """Acquire tokens from the store and record spending bounds that permit their use.

        :returns: whether the store responded
        """
        account = self.book.account(customer)
        store_reached = True
        if account.held < tokens:
            store_reached = await self.pool_sync.sync_with_timeout(
                {customer: tokens - account.held}
            )
        await self._free_held(customer, tokens)
        return store_reached

    def _classify_shortage(self, customer: str, lacking: int, granted: dict[str, int]) -> Shortage:
        """Decide whether the tokens are used up: none is left in the store or at any holder.

        :param granted: tokens granted to the gateways that have none left, as they reported, by
            boot id
        """
        if customer not in self.context.prepaid_totals():
            return Shortage.UNREACHABLE
        row = self.pool_sync.known_rows.get(customer, PoolRow())
        restoration, lost_epoch = row.restoration, self.context.recovery.lost_epoch
        if restoration and not (row.withheld and lost_epoch >= restoration.epoch):
            return Shortage.UNREACHABLE  # the tokens that are withheld may be granted again
        left = row.free(self.context.prepaid_totals().get(customer, 0)) >= lacking
        if left or self.peers.unacknowledged or not row.is_acknowledged_by_all(granted):
            return Shortage.UNREACHABLE
        return Shortage.EXHAUSTED
