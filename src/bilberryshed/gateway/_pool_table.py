"""Rows of the prepaid pools in the store, and the coordinator of their changes."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from returns.result import Failure

from bilberryshed.coordination import PoolRow, apply_changes
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import PoolChange
from bilberryshed.state import Put, Row, RowRef
from bilberryshed.transport import logger

POOL_TABLE = "prepaid"
MAX_ROWS_PER_TRANSACTION = 40  # keeps conditions and writes within the store's limit
BATCH_DELAY = 0.004  # seconds per holder of tokens for which a coordinator collects changes
MAX_CONFLICTS = 8  # consecutive write conflicts before a change is abandoned


def pool_refs(names: Iterable[str]) -> tuple[RowRef, ...]:
    """Return references to the rows of customers' pools."""
    return tuple(RowRef(POOL_TABLE, name) for name in sorted(names))


def row_batches(names: Iterable[str]) -> list[tuple[str, ...]]:
    """Split customers into batches whose rows fit one transaction."""
    remaining = iter(sorted(names))
    return list(iter(lambda: tuple(islice(remaining, MAX_ROWS_PER_TRANSACTION)), ()))


@dataclass(slots=True)
class _Batch:
    """Changes for the next transactions, and their results.

    :param pools: the pools after the changes, by customer
    :param done: set when the results are complete
    """

    changes: list[PoolChange] = field(default_factory=list)
    pools: dict[str, PoolRow] = field(default_factory=dict)
    done: asyncio.Event = field(default_factory=asyncio.Event)


class PoolCoordinator:
    """Applies the pool changes of many gateways in batched transactions.

    :param open_batch: batch that still accepts changes
    """

    __slots__ = ("context", "open_batch", "lock")

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.open_batch: _Batch | None = None
        self.lock = asyncio.Lock()

    async def change(self, changes: Iterable[PoolChange]) -> dict[str, PoolRow]:
        """Apply changes in one batch with those of other gateways.

        :returns: the changed pools by customer; pools whose change failed are missing
        """
        batch = self.open_batch
        if batch is None:
            batch = self.open_batch = _Batch()
            self.context.spawn(self._run(batch))
        requested = tuple(changes)
        batch.changes += requested
        await batch.done.wait()
        names = {change.customer for change in requested}
        return {name: batch.pools[name] for name in names & batch.pools.keys()}

    async def _run(self, batch: _Batch) -> None:
        try:
            await asyncio.sleep(BATCH_DELAY * self.context.holder_count())
            async with self.lock:
                self.open_batch = None
                await self._apply(batch)
        finally:
            batch.done.set()

    async def _apply(self, batch: _Batch) -> None:
        totals = self.context.prepaid_totals()
        requested: dict[str, list[PoolChange]] = {}
        for change in batch.changes:
            if change.customer in totals:
                requested.setdefault(change.customer, []).append(change)
        for names in row_batches(requested):
            batch.pools |= await self._transact(names, requested, totals)

    async def _transact(
        self, names: tuple[str, ...], requested: dict[str, list[PoolChange]], totals: dict[str, int]
    ) -> dict[str, PoolRow]:
        """Read the rows and write the changed ones; retry after conflicts with other writers."""
        tables = self.context.ports.tables
        for _ in range(MAX_CONFLICTS):
            rows = await tables.read(pool_refs(names))
            if isinstance(rows, Failure):
                logger().warning("pools_not_changed", detail=rows.failure().detail)
                return {}
            found = rows.unwrap()
            before = {row.ref.key: self._current_pool(row) for row in found}
            after = {
                name: apply_changes(pool, totals[name], requested[name])
                for name, pool in before.items()
                if pool is not None
            }
            pools = {name: pool for name, pool in before.items() if pool is not None}
            puts = []
            for row in found:
                name = row.ref.key
                if name in after and after[name] is not pools[name]:
                    pools[name] = after[name].written()
                    puts.append(Put(row.ref, row.version, pools[name].to_value()))
            if not puts:
                return pools
            written = await tables.transact(tuple(puts))
            if isinstance(written, Failure):
                logger().warning("pools_not_changed", detail=written.failure().detail)
                return {}
            if written.unwrap() is not None:
                return pools
        logger().warning("pools_not_changed", detail="every try met a version conflict")
        return {}

    def _current_pool(self, row: Row) -> PoolRow | None:
        """Return a pool as of the store's current epoch, ``None`` if it is not restored yet."""
        pool, epoch = PoolRow.from_value(row.value), self.context.ports.tables.epoch
        if not row.version and self.context.recovery.is_complete():
            return PoolRow(epoch=epoch)
        return pool if row.version and pool.epoch == epoch else None
