"""Records this gateway's spending bounds in the store, ahead of use."""

import asyncio

from returns.result import Failure

from bilberryshed.coordination import BoundsRecord
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.state import Put, RowRef
from bilberryshed.transport import logger

BOUNDS_TABLE = "spending"
RENEW_INTERVAL = 0.1  # seconds between looks whether the bounds are due
STORE_PATIENCE = 0.3  # seconds that a request waits for the store


class BoundsRecorder:
    """Keeps the store's record of :class:`SpendingBounds` fresh.

    :param store_up: whether the store answered last
    """

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.schedule = context.schedule
        self.ref = RowRef(BOUNDS_TABLE, context.boot)
        self.version = 0
        self.store_up = True
        self.closed = False
        self.lock = asyncio.Lock()

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(RENEW_INTERVAL, self._renew)

    def on_store_answer(self) -> None:
        """Note that the store answers."""
        self.store_up = True

    def _renew(self, now: float) -> None:
        idle = not self.lock.locked() and not self.closed
        if idle and self.store_up and self.context.index and self.schedule.is_due(now):
            self.context.spawn(self.record({}))

    async def raise_bounds(self, needs: dict[str, int]) -> bool:
        """Have the bounds recorded at once for requests that wait.

        :param needs: tokens that they ask for, by customer
        """
        if not self.store_up:
            return False
        task = asyncio.ensure_future(self.record(needs))
        done, _ = await asyncio.wait({task}, timeout=STORE_PATIENCE)
        return task in done and task.result()

    async def record(self, needs: dict[str, int]) -> bool:
        """Compose bounds and have them stored.

        :returns: whether the store keeps them
        """
        async with self.lock:
            if self.closed or (self.schedule.unconfirmed and not await self._resolve()):
                return False
            tables = self.context.ports.tables
            now = self.context.timers.now()
            record = self.schedule.compose(now, tables.clock, needs)
            written = await tables.transact((Put(self.ref, self.version, record.to_value()),))
            if isinstance(written, Failure):
                self._on_failure(written.failure().ambiguous, written.failure().detail)
                return False
            version = written.unwrap()
            if version is None:
                # Another version: a record whose answer was lost, or one read too old.
                return await self._resolve()
            self.version = version
            self.schedule.on_stored(record.number)
            return True

    def _on_failure(self, ambiguous: bool, detail: str) -> None:
        self.store_up = False
        if not ambiguous:
            self.schedule.on_not_stored()
        logger().warning("bounds_not_stored", detail=detail, ambiguous=ambiguous)

    async def _resolve(self) -> bool:
        """Learn which of the records whose answers were lost is stored.

        As long as the version is the one that they ask for, any may still be stored later; they
        are left unconfirmed, and the next record, on the same version, decides.
        """
        rows = await self.context.ports.tables.read((self.ref,))
        if isinstance(rows, Failure):
            self.store_up = False
            return False
        row = rows.unwrap()[0]
        if row.version != self.version:
            self.version = row.version
            self.schedule.on_stored(BoundsRecord.from_value(row.value).number)
        return True

    async def forget(self) -> None:
        """Delete this lifetime's record once its accounts are closed."""
        async with self.lock:
            self.closed = True
            await self.context.ports.tables.write((Put(self.ref, self.version, None),))
