"""Confirms this gateway's grants in each epoch of the store.

A store that comes back from a copy lacks the latest grants. The gateway goes on with those that it
had, and writes them again before it changes any.
"""

from collections.abc import Callable
from dataclasses import replace

from returns.result import Failure, Success

from bilberryshed.coordination import (
    PoolReading,
    PoolRow,
    confirm_grant,
    end_confirmation,
    incarnation_vm,
)
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._pool_table import MAX_CONFLICTS, pool_refs, row_batches
from bilberryshed.state import Put, Row
from bilberryshed.transport import logger

CHECK_INTERVAL = 0.25  # seconds between checks whether a restoration can end

RowUpdate = Callable[[str, PoolRow], PoolRow]  # from customer and row to the new row


class GrantConfirmation:
    """Knows which grants are confirmed; the caller must hold the lock of the pools.

    :param known_rows: latest rows read, by customer; shared with :class:`PoolSync`
    :param epoch: epoch of the store in which grants are confirmed
    :param confirmed: customers whose grants are confirmed in that epoch
    :param checked_at: monotonic time of the last check whether all gateways have confirmed
    """

    __slots__ = (
        "context",
        "tables",
        "recovery",
        "recorder",
        "known_rows",
        "epoch",
        "confirmed",
        "checked_at",
    )

    def __init__(
        self, context: GatewayContext, recorder: BoundsRecorder, known_rows: dict[str, PoolRow]
    ) -> None:
        self.context = context
        self.tables = context.ports.tables
        self.recovery = context.recovery
        self.recorder = recorder
        self.known_rows = known_rows
        self.epoch = 0
        self.confirmed: set[str] = set()
        self.checked_at = float("-inf")

    def is_current(self) -> bool:
        """Whether the store is still in the epoch in which grants are confirmed."""
        return self.tables.epoch == self.epoch

    def covers(self, name: str, pool: PoolRow) -> bool:
        """Whether a pool includes this gateway's grant as confirmed."""
        return name in self.confirmed and pool.epoch == self.epoch

    def current_pool(self, row: Row) -> PoolRow | None:
        """Return a pool as read, ``None`` if its grant is not confirmed in this epoch."""
        name = row.ref.key
        if not self.is_current() or name not in self.confirmed:
            return None
        pool = PoolRow.from_value(row.value)
        if not row.version:
            return replace(pool, epoch=self.epoch)
        if pool.epoch != self.epoch:
            self.confirmed.discard(name)
            return None
        return pool

    async def is_use_recorded(self) -> bool:
        """Whether bounds are recorded in this epoch, which must precede any grant."""
        if self.recorder.recorded_epoch != self.epoch:
            await self.recorder.record({})
        return self.recorder.recorded_epoch == self.epoch

    async def confirm(self, totals: dict[str, int]) -> set[str] | None:
        """Confirm the grants that are not confirmed in the current epoch of the store.

        :param totals: total of the tokens paid for, by customer
        :returns: the customers whose grants were confirmed now, ``None`` if not all could be
        """
        is_reported = self.is_current() and self.recovery.is_confirmed()
        if is_reported and totals.keys() <= self.confirmed:
            return set()
        if not await self.recovery.begin():
            return None
        if not self.is_current():
            self.epoch = self.tables.epoch
            self.confirmed.clear()
            self.context.departures.on_restored()
        names = (totals.keys() | self.known_rows.keys()) - self.confirmed
        for batch in row_batches(names):
            if not await self._confirm_batch(batch):
                return None
        if any(account.granted for account in self.context.book.accounts.values()):
            await self.is_use_recorded()
        if not self.recovery.is_confirmed() and not await self.recovery.report():
            return None
        return names

    async def _confirm_batch(self, names: tuple[str, ...]) -> bool:
        for _ in range(MAX_CONFLICTS):
            confirmed = await self._confirm_batch_once(names)
            if confirmed is not None:
                return confirmed
        return False

    async def _confirm_batch_once(self, names: tuple[str, ...]) -> bool | None:
        """Confirm the grants of some customers; ``None`` on a version conflict."""
        rows = await self.tables.read(pool_refs(names))
        if isinstance(rows, Failure) or not self.is_current():
            return False
        puts: list[Put] = []
        pools: dict[str, PoolRow] = {}
        for row in rows.unwrap():
            pool = self._confirmed_pool(row)
            if pool is None:
                pools[row.ref.key] = self._as_read(row)
            else:
                pools[row.ref.key] = pool.written()
                puts.append(Put(row.ref, row.version, pools[row.ref.key].to_value()))
        written = await self.tables.transact(tuple(puts)) if puts else Success(0)
        if isinstance(written, Failure) or not self.is_current():
            return False
        if written.unwrap() is None:
            return None
        self.known_rows |= pools
        self.confirmed |= pools.keys()
        if puts:
            logger().info("grants_confirmed", epoch=self.epoch, customers=len(puts))
        return True

    def _as_read(self, row: Row) -> PoolRow:
        pool = PoolRow.from_value(row.value)
        return pool if row.version else replace(pool, epoch=self.epoch)

    def _confirmed_pool(self, row: Row) -> PoolRow | None:
        """Return the pool to be written, ``None`` if it includes the grant or is a new one."""
        stored = PoolRow.from_value(row.value)
        reading = PoolReading(stored, self.epoch, self.tables.clock, self.recovery.is_complete())
        known = self.known_rows.get(row.ref.key, PoolRow())
        granted = self.context.book.account(row.ref.key).granted
        pool = confirm_grant(reading, known, self.context.boot, granted)
        is_unchanged = pool is stored or pool == PoolRow(epoch=self.epoch)
        return None if is_unchanged else pool

    async def next_step(self, totals: dict[str, int]) -> RowUpdate | None:
        """Return the next step of the pools that are being restored, ``None`` if none is due now.

        :param totals: total of the tokens paid for, by customer
        """
        holders = {
            boot for row in self.known_rows.values() if row.restoration for boot in row.holders
        }
        is_restoring = any(row.restoration for row in self.known_rows.values())
        now = self.context.timers.now()
        if not is_restoring or now < self.checked_at + CHECK_INTERVAL:
            return None
        self.checked_at = now
        required = {incarnation_vm(boot) for boot in holders} | self.context.peer_links.keys()
        complete = await self.recovery.all_confirmed(required)
        if complete is None:
            return None
        clock, lost_epoch = self.tables.clock, self.recovery.lost_epoch if complete else None
        return lambda name, row: end_confirmation(row, totals.get(name, 0), clock, lost_epoch)
