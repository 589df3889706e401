"""Closes the accounts of earlier incarnations of this gateway.

A process that starts on a VM proves that its predecessor there has ended. Tokens that were granted
to the predecessor beyond its recorded spending bounds return to the pool.
"""

import asyncio

from returns.result import Failure

from bilberryshed.coordination import BoundsRecord
from bilberryshed.gateway._bounds_recorder import BOUNDS_TABLE
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._pool_sync import PoolSync, log_account_closed
from bilberryshed.state import RowRef
from bilberryshed.transport import logger

RETRY_INTERVAL = 0.2  # seconds between attempts to close an incarnation
WHOLE_GRANT = 2**62  # tokens, more than any grant
POLL_INTERVAL = 2.0  # seconds between checks for tokens granted late to a closed incarnation


class PredecessorCleanup:
    """Closes predecessors by the bounds that their :class:`SpendingBounds` recorded.

    Tokens granted to an incarnation after its account with the customer was closed cannot have
    been used. If the store was restored after an incarnation recorded its bounds last, it may have
    been allowed more since, so all tokens granted to it count as used.

    :param used: upper bounds of the tokens that ended incarnations used, by boot id and customer;
        ``None`` for an incarnation whose last record is lost
    :param recorded: the recorded bounds without their growth, by boot id and customer
    :param closed: customers whose accounts have been closed in this epoch of the store, by boot id
    """

    def __init__(self, context: GatewayContext, pool_sync: PoolSync) -> None:
        self.context = context
        self.pool_sync = pool_sync
        self.used: dict[str, dict[str, int] | None] = {}
        self.recorded: dict[str, dict[str, int]] = {}
        self.closed: dict[str, set[str]] = {}
        self.epoch = 0

    async def run(self) -> None:
        """Close predecessors until this incarnation is closed."""
        await self.pool_sync.initial_read.wait()
        while not self.pool_sync.closed:
            for boot in sorted(self._ended_incarnations()):
                await self._close(boot)
            await asyncio.sleep(RETRY_INTERVAL if self._ended_incarnations() else POLL_INTERVAL)

    def _ended_incarnations(self) -> set[str]:
        """Return the boot ids of earlier incarnations of this gateway that hold grants."""
        prefix, own_boot = f"{self.context.settings.name}.", self.context.boot
        holders = {boot for row in self.pool_sync.known_rows.values() for boot in row.holders}
        return {boot for boot in holders if boot.startswith(prefix) and boot != own_boot}

    async def _close(self, boot: str) -> None:
        if boot not in self.used and not await self._read_bounds(boot):
            return
        if self.epoch != self.pool_sync.confirmation.epoch:
            self.epoch = self.pool_sync.confirmation.epoch
            self.closed.clear()
        closed, bounds = self.closed.setdefault(boot, set()), self.used[boot]

        def used(name: str) -> int:
            if name in closed:
                return 0
            return WHOLE_GRANT if bounds is None else bounds.get(name, 0)

        rows = self.pool_sync.known_rows
        granted = {name: row.holders[boot] for name, row in rows.items() if boot in row.holders}
        names = await self.pool_sync.close_incarnation(boot, used)
        if names:
            logger().info("predecessor_closed", boot=boot, customers=len(names))
            for name in sorted(names & granted.keys()):
                recorded = self.recorded[boot].get(name, 0)
                log_account_closed(
                    boot, name, granted=granted[name], used=used(name), recorded=recorded
                )
            closed |= names
            await self.pool_sync.sync({})

    async def _read_bounds(self, boot: str) -> bool:
        """Read the upper bounds of the tokens that an incarnation had used when it ended.

        :returns: whether the store responded
        """
        tables = self.context.ports.tables
        uptime = self.context.timers.now() - self.context.started_at
        rows = await tables.read((RowRef(BOUNDS_TABLE, boot),))
        if isinstance(rows, Failure):
            return False
        row = rows.unwrap()[0]
        record = BoundsRecord.from_value(row.value)
        ended_by = tables.clock - uptime
        is_latest = bool(row.version) and record.epoch == tables.epoch
        used = {name: record.used_at_most(name, ended_by) for name in record.bounds}
        self.used[boot] = used if is_latest else None
        self.recorded[boot] = {name: bound.tokens for name, bound in record.bounds.items()}
        logger().info(
            "predecessor_bounds",
            boot=boot,
            record=record.number,
            age=round(ended_by - record.store_clock, 2),
            uptime=round(uptime, 2),
            lost=not is_latest,
        )
        return True
