"""Records this gateway's spending bounds in the store before tokens are used."""

import asyncio

from returns.result import Failure

from bilberryshed.coordination import BoundsRecord
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.state import Put, RowRef
from bilberryshed.transport import logger

BOUNDS_TABLE = "spending"
RENEW_CHECK_INTERVAL = 0.1  # seconds between checks whether the bounds are due
STORE_WAIT_TIMEOUT = 0.3  # seconds; longest wait of a request for the store


class BoundsRecorder:
    """Writes the records of a :class:`SpendingBounds` to the store when they are due.

    :param version: version of this incarnation's row
    :param version_epoch: epoch of the store in which it has that version
    :param recorded_epoch: epoch for which the stored record was composed
    :param store_up: whether the store responded to the last call
    :param closed: whether the record has been deleted, so that none is written any more
    """

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.spending_bounds = context.spending_bounds
        self.ref = RowRef(BOUNDS_TABLE, context.boot)
        self.version = 0
        self.version_epoch = 0
        self.recorded_epoch = -1
        self.store_up = True
        self.closed = False
        self.lock = asyncio.Lock()

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(RENEW_CHECK_INTERVAL, self._renew_if_due)

    def on_store_response(self) -> None:
        """Record that the store responds."""
        self.store_up = True

    def _renew_if_due(self, now: float) -> None:
        idle = not self.lock.locked() and not self.closed
        ready = idle and self.store_up and self.context.index
        if ready and self._holds_grants() and self.spending_bounds.is_due(now):
            self.context.spawn(self.record({}))

    def _holds_grants(self) -> bool:
        """Whether the store grants any tokens to this gateway, which its bounds then release."""
        accounts = self.context.book.accounts.values()
        return self.context.hubs.is_hub or any(account.granted for account in accounts)

    async def raise_bounds(self, needs: dict[str, int]) -> bool:
        """Record raised bounds at once for waiting requests.

        :param needs: tokens that the requests need, by customer
        :returns: result of :meth:`record`; ``False`` after a timeout, or if the last call
            to the store failed
        """
        if not self.store_up:
            return False
        task = asyncio.ensure_future(self.record(needs))
        return await self.context.result_within(task, STORE_WAIT_TIMEOUT)

    async def record(self, needs: dict[str, int]) -> bool:
        """Compose bounds and write them to the store.

        :param needs: tokens that waiting requests need, by customer
        :returns: whether the bounds are stored; after a version conflict, whether the store
            responded
        """
        async with self.lock:
            tables = self.context.ports.tables
            is_current = self.version_epoch == tables.epoch and not self.spending_bounds.unconfirmed
            if self.closed or not (is_current or await self._resolve_unconfirmed()):
                return False
            now = self.context.timers.now()
            record = self.spending_bounds.compose(now, tables.clock, needs, tables.epoch)
            # The bounds of many customers are composed and encoded in two turns of the event loop.
            await asyncio.sleep(0)
            written = await tables.transact((Put(self.ref, self.version, record.to_value()),))
            if isinstance(written, Failure):
                self._on_failure(written.failure().ambiguous, written.failure().detail)
                return False
            version = written.unwrap()
            if version is None:
                # Version conflict: an earlier write without a response, or a stale version.
                return await self._resolve_unconfirmed()
            self.version, self.recorded_epoch = version, record.epoch
            self.spending_bounds.on_stored(record.number)
            return True

    def _on_failure(self, ambiguous: bool, detail: str) -> None:
        self.store_up = False
        if not ambiguous:
            self.spending_bounds.on_not_stored()
        logger().warning("bounds_not_stored", detail=detail, ambiguous=ambiguous)

    async def _resolve_unconfirmed(self) -> bool:
        """Read which of the unconfirmed records is stored.

        While the row has the version that their writes require, any of them may still be stored
        later. They stay unconfirmed, and the next record, written on the same version, decides.
        In a new epoch of the store they count as lost: nobody trusts a record of an earlier one.

        :returns: whether the store responded
        """
        tables = self.context.ports.tables
        rows = await tables.read((self.ref,))
        if isinstance(rows, Failure):
            self.store_up = False
            return False
        row = rows.unwrap()[0]
        if row.version != self.version or self.version_epoch != tables.epoch:
            record = BoundsRecord.from_value(row.value)
            self.version, self.version_epoch = row.version, tables.epoch
            self.recorded_epoch = record.epoch if row.version else -1
            self.spending_bounds.on_stored(record.number)
        return True

    async def delete_record(self) -> None:
        """Delete this incarnation's record after its accounts have been closed."""
        async with self.lock:
            self.closed = True
            await self.context.ports.tables.write((Put(self.ref, self.version, None),))
