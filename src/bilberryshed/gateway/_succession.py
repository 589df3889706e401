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

RETRY_INTERVAL = 0.2  # seconds between tries to close a lifetime
LOOK_INTERVAL = 2.0  # seconds between looks for tokens granted late to a lifetime that was closed


class Succession:
    """The successor's side of :class:`SpendingBounds`.

    Tokens that are granted late to a lifetime, after its account with a customer was closed, cannot
    have been used.

    :param used: bounds on what ended lifetimes used, by lifetime and customer
    :param closed: customers whose accounts have been closed, by lifetime
    """

    def __init__(self, context: GatewayContext, pool: PoolSync) -> None:
        self.context = context
        self.pool = pool
        self.used: dict[str, dict[str, int]] = {}
        self.closed: dict[str, set[str]] = {}

    async def run(self) -> None:
        """Close predecessors until this lifetime is closed itself."""
        await self.pool.read_once.wait()
        while not self.pool.closed:
            for boot in sorted(self._dead()):
                await self._close(boot)
            await asyncio.sleep(RETRY_INTERVAL if self._dead() else LOOK_INTERVAL)

    def _dead(self) -> set[str]:
        """Return earlier lifetimes of this gateway that hold grants."""
        prefix, own = f"{self.context.settings.name}.", self.context.boot
        holders = {boot for row in self.pool.seen.values() for boot in row.holders}
        return {boot for boot in holders if boot.startswith(prefix) and boot != own}

    async def _close(self, boot: str) -> None:
        if boot not in self.used and not await self._read_bounds(boot):
            return
        closed = self.closed.setdefault(boot, set())
        used = {name: n for name, n in self.used[boot].items() if name not in closed}
        names = await self.pool.close_lifetime(boot, used)
        if names is not None:
            logger().info("predecessor_closed", boot=boot, customers=len(names))
            closed |= names
            await self.pool.sync({})

    async def _read_bounds(self, boot: str) -> bool:
        """Learn what a lifetime used at most when it ended.

        :returns: whether the store answered
        """
        tables = self.context.ports.tables
        lived = self.context.timers.now() - self.context.began
        rows = await tables.read((RowRef(BOUNDS_TABLE, boot),))
        if isinstance(rows, Failure):
            return False
        record = BoundsRecord.from_value(rows.unwrap()[0].value)
        dead_by = tables.clock - lived
        self.used[boot] = {name: record.used_at_most(name, dead_by) for name in record.bounds}
        logger().info(
            "predecessor_bounds",
            boot=boot,
            record=record.number,
            age=round(dead_by - record.store_clock, 2),
            lived=round(lived, 2),
        )
        return True
