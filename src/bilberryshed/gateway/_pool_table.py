"""The store's rows of prepaid pools, and their coordinator."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from returns.result import Failure

from bilberryshed.coordination import PoolRow, apply_changes
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import PoolChange
from bilberryshed.state import Put, RowRef
from bilberryshed.transport import logger

POOL_TABLE = "prepaid"
MAX_ROWS_PER_TRANSACTION = (
    40  # in one transaction, so that their conditions and writes fit the store's limit
)
BATCH_DELAY = 0.004  # seconds, times the gateways, in which a coordinator collects changes
MAX_CONFLICTS = 8  # conflicting writes in a row after which a change is given up


@dataclass(slots=True, frozen=True)
class VersionedPool:
    """A pool with the version of its row."""

    version: int
    pool: PoolRow


def pool_refs(names: Iterable[str]) -> tuple[RowRef, ...]:
    """Return the rows of customers' pools."""
    return tuple(RowRef(POOL_TABLE, name) for name in sorted(names))


def row_batches(names: Iterable[str]) -> list[tuple[str, ...]]:
    """Split customers so that a transaction can hold the rows of each batch."""
    remaining = iter(sorted(names))
    return list(iter(lambda: tuple(islice(remaining, MAX_ROWS_PER_TRANSACTION)), ()))


@dataclass(slots=True)
class _Batch:
    """Changes that go into the next transactions, and what came of them."""

    changes: list[PoolChange] = field(default_factory=list)
    pools: dict[str, VersionedPool] = field(default_factory=dict)
    done: asyncio.Event = field(default_factory=asyncio.Event)


class PoolCoordinator:
    """Changes pools for many gateways, a few transactions at a time."""

    __slots__ = ("context", "open_batch", "lock")

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.open_batch: _Batch | None = None
        self.lock = asyncio.Lock()

    async def change(self, changes: Iterable[PoolChange]) -> dict[str, VersionedPool]:
        """Apply changes together with those that others ask for.

        :returns: the pools after the change by customer, without those it failed for
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
            await asyncio.sleep(BATCH_DELAY * self.context.router_count())
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
    ) -> dict[str, VersionedPool]:
        """Read the rows and write those that change, until no other writer comes between."""
        tables = self.context.ports.tables
        for _ in range(MAX_CONFLICTS):
            rows = await tables.read(pool_refs(names))
            if isinstance(rows, Failure):
                logger().warning("pools_not_changed", detail=rows.failure().detail)
                return {}
            before = {
                row.ref.key: VersionedPool(row.version, PoolRow.from_value(row.value))
                for row in rows.unwrap()
            }
            after = {
                name: apply_changes(old.pool, old.version, totals[name], requested[name])
                for name, old in before.items()
            }
            changed = [name for name in names if after[name] is not before[name].pool]
            if not changed:
                return before
            written = await tables.transact(
                tuple(
                    Put(RowRef(POOL_TABLE, name), before[name].version, after[name].to_value())
                    for name in changed
                )
            )
            if isinstance(written, Failure):
                logger().warning("pools_not_changed", detail=written.failure().detail)
                return {}
            version = written.unwrap()
            if version is not None:
                return before | {name: VersionedPool(version, after[name]) for name in changed}
        logger().warning("pools_not_changed", detail="other writers came between each time")
        return {}
