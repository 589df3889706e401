"""Closes the accounts of earlier lifetimes of this gateway.

A process that starts on a VM proves that its predecessor there is dead. What the predecessor was
granted beyond its bounds goes back to the pool.
"""

import asyncio

from returns.result import Failure

from bilberryshed.coordination import BoundsRecord
from bilberryshed.gateway._bounds_recorder import BOUNDS_TABLE
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._pool_sync import PoolSync
from bilberryshed.state import RowRef
from bilberryshed.transport import logger

INTERVAL = 0.2  # seconds between tries


class Succession:
    """The successor's side of :class:`SpendingSchedule`."""

    def __init__(self, context: GatewayContext, pool: PoolSync) -> None:
        self.context = context
        self.pool = pool
        self.used: dict[str, dict[str, int]] = {}

    async def run(self) -> None:
        """Close predecessors until none is left."""
        await self.pool.read_once.wait()
        while not self.pool.closed:
            dead = self._dead()
            if not dead:
                return
            for boot in sorted(dead):
                await self._close(boot)
            if self._dead():
                await asyncio.sleep(INTERVAL)

    def _dead(self) -> set[str]:
        """Return earlier lifetimes of this gateway that hold grants."""
        prefix, own = f"{self.context.settings.name}.", self.context.boot
        holders = {boot for row in self.pool.seen.values() for boot in row.holders}
        return {boot for boot in holders if boot.startswith(prefix) and boot != own}

    async def _close(self, boot: str) -> None:
        tables = self.context.ports.tables
        if boot not in self.used:
            rows = await tables.read((RowRef(BOUNDS_TABLE, boot),))
            if isinstance(rows, Failure):
                return
            record = BoundsRecord.from_value(rows.unwrap()[0].value)
            self.used[boot] = {
                name: record.used_at_most(name, tables.clock) for name in record.bounds
            }
            age = round(tables.clock - record.store_clock, 2)
            logger().info("predecessor_bounds", boot=boot, record=record.number, age=age)
        if await self.pool.close_lifetime(boot, self.used[boot]):
            logger().info("predecessor_closed", boot=boot, customers=len(self.used[boot]))
            await self.pool.sync({})
