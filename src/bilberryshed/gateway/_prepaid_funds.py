"""Reserves prepaid tokens for requests, from wherever they can be had at once."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum

from returns.result import Failure, Result, Success

from bilberryshed.coordination import PoolRow
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._pool_sync import PoolSync
from bilberryshed.gateway._token_peers import ASKED_PEERS, TokenPeers

DRY_PAUSE = 0.2  # seconds for which a finding that nothing is left is reused at least


class Shortage(StrEnum):
    """Why tokens could not be reserved."""

    SPENT = "spent"
    OUT_OF_REACH = "out_of_reach"


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
        self.pool = PoolSync(context, recorder)
        self.peers = TokenPeers(context, recorder, self.pool, self._obtain, self._on_credit)
        self.locks: dict[str, asyncio.Lock] = {}
        self.dry: dict[str, _Dry] = {}

    def start(self) -> None:
        """Subscribe to timers."""
        self.pool.start()
        self.peers.start()

    def on_table(self) -> None:
        """Take in a new route table: totals may have changed."""
        self.dry.clear()
        self.context.spawn(self.pool.sync({}))

    def _on_credit(self, customer: str) -> None:
        self.dry.pop(customer, None)

    async def reserve(self, customer: str, tokens: int) -> Result[int, Shortage]:
        """Reserve tokens, from wherever they can be had at once."""
        now = self.context.timers.now()
        self.book.record_demand(now, customer, tokens)
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
        self.context.schedule.refresh_account(self.context.timers.now(), customer)
        return self.book.reserve(customer, tokens)

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
        if self.peers.free(customer) >= tokens:
            return Shortage.OUT_OF_REACH
        if not reached:
            await self.peers.ask_agent(customer, tokens - account.free)
            if self.peers.free(customer) >= tokens:
                return Shortage.OUT_OF_REACH
        granted = await self.peers.ask_all(customer, tokens)
        if account.held >= tokens and self.peers.free(customer) < tokens:
            await self.recorder.raise_bounds({customer: tokens})
        if not reached or granted is None or account.held >= tokens:
            return Shortage.OUT_OF_REACH
        return self._judge(customer, tokens - account.held, granted)

    async def _obtain(self, customer: str, tokens: int) -> bool:
        """Take tokens from the store and have a mark recorded that lets them be used.

        :returns: whether the store answered
        """
        account = self.book.account(customer)
        reached = True
        if account.held < tokens:
            reached = await self.pool.try_sync({customer: tokens - account.held})
        if account.held >= tokens and self.peers.free(customer) < tokens:
            await self.recorder.raise_bounds({customer: tokens})
        return reached

    def _judge(self, customer: str, lacking: int, granted: dict[str, int]) -> Shortage:
        """Tell whether the tokens are used up: none is left in the store or with any holder.

        :param granted: what the lifetimes that have nothing left know to have been granted
        """
        row = self.pool.seen.get(customer, PoolRow())
        left = row.free(self.context.prepaid_totals().get(customer, 0)) >= lacking
        if left or self.peers.outgoing or not row.is_acknowledged_by_all(granted):
            return Shortage.OUT_OF_REACH
        return Shortage.SPENT
