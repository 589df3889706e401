"""Keeps the store's rows of prepaid tokens in line with what this gateway needs."""

import asyncio
from collections.abc import Callable

from returns.result import Failure

from bilberryshed.coordination import PoolRow
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.state import Put, Row, RowRef
from bilberryshed.transport import logger

POOL_TABLE = "prepaid"
SYNC_INTERVAL = 0.5  # seconds between updates of the store's rows
STORE_PATIENCE = 0.35  # seconds that a request waits for the store
STORE_PAUSE = 0.5  # seconds after a failed call in which requests do not wait for the store
CONFLICTS = 8  # conflicting writes in a row after which a sync waits for its next turn

Change = Callable[[str, PoolRow], PoolRow]


class PoolSync:
    """Reads, plans and writes the rows, one transaction at a time.

    A write whose answer was lost may still take effect: until its row has another version, the
    smaller of both grants counts, and the row is written again even if nothing else changes.

    :param seen: rows as read last, by customer
    :param doubts: versions that writes in doubt ask for, by customer
    :param closed: whether this lifetime's accounts are closed
    """

    def __init__(self, context: GatewayContext, recorder: BoundsRecorder) -> None:
        self.context = context
        self.recorder = recorder
        self.book = context.book
        self.seen: dict[str, PoolRow] = {}
        self.doubts: dict[str, int] = {}
        self.doubt_grants: dict[str, int] = {}
        self.lock = asyncio.Lock()
        self.failed_at = float("-inf")
        self.read_once = asyncio.Event()
        self.closed = False

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(SYNC_INTERVAL, lambda now: self._sync_soon())

    async def try_sync(self, needs: dict[str, int]) -> bool:
        """Sync for requests that wait, for a while only, and not while the store is away.

        :param needs: tokens that they lack, by customer
        :returns: whether the store answered
        """
        if self.context.timers.now() < self.failed_at + STORE_PAUSE:
            return False
        task = asyncio.ensure_future(self.sync(needs))
        done, _ = await asyncio.wait({task}, timeout=STORE_PATIENCE)
        return task in done and task.result()

    def _sync_soon(self) -> None:
        if not self.lock.locked() and not self.closed:
            self.context.spawn(self.sync({}))

    async def sync(self, needs: dict[str, int]) -> bool:
        """Bring this gateway's grants in line with its demand.

        :param needs: tokens that waiting requests lack, by customer
        :returns: whether the store answered
        """
        async with self.lock:
            for _ in range(CONFLICTS):
                if self.closed:
                    return False
                done = await self._sync_once(needs)
                if done is not None:
                    if not done:
                        self.failed_at = self.context.timers.now()
                    return done
        return True

    async def _sync_once(self, needs: dict[str, int]) -> bool | None:
        """Read the rows, plan and write.

        :returns: whether the store answered, ``None`` after a conflict
        """
        index = self.context.index
        if index is None:
            return True
        prepaid = {c.name: c.prepaid for c in index.table.customers.values() if c.prepaid}
        refs = tuple(RowRef(POOL_TABLE, name) for name in sorted(prepaid))
        if not refs:
            return True
        rows = await self.context.ports.tables.read(refs)
        if isinstance(rows, Failure):
            logger().warning("store_read_failed", detail=rows.failure().detail)
            return False
        self.recorder.on_store_answer()
        now, routers = self.context.timers.now(), self.context.router_count()
        puts: list[Put] = []
        planned: dict[str, PoolRow] = {}
        for row in rows.unwrap():
            name = row.ref.key
            pool = self._take_in(name, row)
            self.read_once.set()
            total = prepaid[name] or 0
            wish = self.book.plan(now, name, pool, total, needs.get(name, 0), routers)
            if wish is not pool or name in self.doubts:
                puts.append(Put(row.ref, row.version, wish.to_value()))
                planned[name] = wish
        if not puts:
            return True
        return await self._write(tuple(puts), planned)

    def _take_in(self, name: str, row: Row) -> PoolRow:
        """Learn from a row what became of a write whose answer was lost."""
        pool = PoolRow.from_value(row.value)
        self.seen[name] = pool
        granted = pool.holders.get(self.context.boot, 0)
        if name in self.doubts:
            if row.version == self.doubts[name]:
                granted = min(granted, self.doubt_grants[name])
            else:
                del self.doubts[name], self.doubt_grants[name]
        self.book.account(name).granted = granted
        return pool

    async def _write(self, puts: tuple[Put, ...], planned: dict[str, PoolRow]) -> bool | None:
        """Write rows; what is given back is debited before the write begins."""
        boot = self.context.boot
        for name, pool in planned.items():
            account = self.book.account(name)
            account.granted = min(account.granted, pool.holders.get(boot, 0))
        written = await self.context.ports.tables.write(puts)
        if isinstance(written, Failure):
            error = written.failure()
            logger().warning("store_write_failed", detail=error.detail, in_doubt=error.ambiguous)
            if error.ambiguous:
                for put in puts:
                    name = put.ref.key
                    self.doubts[name] = put.version
                    self.doubt_grants[name] = planned[name].holders.get(boot, 0)
            return False
        if not written.unwrap():
            return None
        for name, pool in planned.items():
            self.seen[name] = pool
            self.doubts.pop(name, None)
            self.doubt_grants.pop(name, None)
            self.book.account(name).granted = pool.holders.get(boot, 0)
        self.context.metrics.count("grants_changed", len(planned))
        return True

    async def close(self) -> bool:
        """Settle this lifetime in the store, once no request runs any more.

        :returns: whether the store took it
        """
        async with self.lock:
            for _ in range(CONFLICTS):
                closed = await self._close_once()
                if closed is not None:
                    self.closed = True
                    return closed
        return False

    async def _close_once(self) -> bool | None:
        def close(name: str, pool: PoolRow) -> PoolRow:
            closed = self.book.close(name, pool)
            if closed is not pool:
                self.book.account(name).granted = 0
            return closed

        return await self.change(sorted(self.seen), close)

    async def change(self, names: list[str], change: Change) -> bool | None:
        """Read rows and write those that a function changes; the caller holds the lock.

        :param change: takes a customer and its row; returns the same row to leave it
        :returns: whether the store took it, ``None`` after a conflict
        """
        if not names:
            return True
        tables = self.context.ports.tables
        rows = await tables.read(tuple(RowRef(POOL_TABLE, name) for name in names))
        if isinstance(rows, Failure):
            return False
        puts = []
        for row in rows.unwrap():
            pool = self.seen[row.ref.key] = PoolRow.from_value(row.value)
            wished = change(row.ref.key, pool)
            if wished is not pool:
                puts.append(Put(row.ref, row.version, wished.to_value()))
        written = await tables.write(tuple(puts))
        if isinstance(written, Failure):
            return False
        return True if written.unwrap() else None
