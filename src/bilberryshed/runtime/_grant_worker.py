"""Application of grant changes to the table service, one batch at a time."""

import asyncio
from collections import deque
from collections.abc import Callable

from bilberryshed.coordination import (
    MAX_CHANGES,
    AcquireGrant,
    BatchDone,
    CloseGrant,
    GrantBatch,
    GrantSizing,
    PersistTransfer,
    ReadRows,
)
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._results import value_or_error
from bilberryshed.state import BudgetRow, Row, StoreError
from bilberryshed.transport import logger

# Seconds after a store error, before an unconfirmed write is read back or the batch fails.
ERROR_BACKOFF = 0.1

Change = AcquireGrant | CloseGrant | PersistTransfer
Callback = Callable[[int, bool], None]


class GrantWorker:
    """Queue of grant changes, with at most one batch in flight."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.sizing = GrantSizing(context.settings.grant_horizon, context.settings.grant_least)
        self.queue: deque[tuple[Change, Callback]] = deque()
        self.is_running = False
        self.last_read: dict[str, BudgetRow] = {}

    def submit(self, change: Change, callback: Callback) -> None:
        """Enqueue a change.

        :param callback: receives the number of tokens moved and whether the store responded
        """
        self.queue.append((change, callback))
        if not self.is_running:
            self.is_running = True
            self.context.spawn(self._process_queue())

    async def _process_queue(self) -> None:
        try:
            while self.queue:
                count = min(len(self.queue), MAX_CHANGES)
                batch = [self.queue.popleft() for _ in range(count)]
                done = await self._run(tuple(change for change, _ in batch))
                self.last_read.update(done.budgets)
                for change, callback in batch:
                    callback(done.tokens_by_change.get(change, 0), done.error is None)
        finally:
            self.is_running = False

    async def _run(self, changes: tuple[Change, ...]) -> BatchDone:
        batch = GrantBatch(changes, self.sizing)
        action = batch.start()
        while not isinstance(action, BatchDone):
            if isinstance(action, ReadRows):
                rows = value_or_error(await self.context.tables.read(action.refs))
                await self._back_off_on_error(batch, rows)
                action = batch.on_rows(rows)
            else:
                written = value_or_error(await self.context.tables.write(action.puts))
                await self._back_off_on_error(batch, written)
                action = batch.on_written(written)
        self.context.metrics.count("grant_batches")
        return action

    async def _back_off_on_error(
        self, batch: GrantBatch, result: "tuple[Row, ...] | bool | StoreError"
    ) -> None:
        if isinstance(result, StoreError):
            self.context.metrics.count("store_errors")
            logger().warning("store_error", detail=result.detail, ambiguous=batch.unconfirmed)
            await asyncio.sleep(ERROR_BACKOFF)
