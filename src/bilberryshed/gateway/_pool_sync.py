"""Synchronizes this gateway's grants in the store's prepaid pools with its demand."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from returns.result import Failure

from bilberryshed.coordination import PoolRow, can_be_closed
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._grant_confirmation import GrantConfirmation, RowUpdate
from bilberryshed.gateway._pool_requests import PoolRequests
from bilberryshed.gateway._pool_table import MAX_CONFLICTS, pool_refs, row_batches
from bilberryshed.protocol import PoolChange
from bilberryshed.state import Put, Row
from bilberryshed.transport import logger

SYNC_INTERVAL = 0.5  # seconds between syncs without a waiting request
RETRY_INTERVAL = 0.1  # seconds between syncs while the store does not respond
READ_INTERVAL = 0.45  # seconds between routine reads of the rows, for a few holders
READ_PEERS_PER_STEP = 6  # hubs per additional READ_INTERVAL, which bounds the store's load
MEMBER_READ_INTERVAL = 5.0  # seconds between reads by a gateway that borrows from its hub
RESYNC_DELAY = 0.05  # seconds until the next sync while a lowered total is exceeded
SLICE_CUSTOMERS = 200  # customers whose demand is computed before other callbacks have their turn
STORE_WAIT_TIMEOUT = 0.35  # seconds; longest wait of a request for the store
STORE_BACKOFF = 0.5  # seconds after a failed call; requests do not wait for the store meanwhile


@dataclass(slots=True, frozen=True)
class _Unconfirmed:
    """A change without a response; it may still be applied while the row is not written.

    :param stamp: epoch and revision of the row that the write requires
    :param granted: grant of this incarnation after the change
    """

    stamp: int
    granted: int


def log_account_closed(boot: str, customer: str, granted: int, used: int, recorded: int) -> None:
    """Log what a closed account is charged.

    :param used: tokens used, or an upper bound
    :param recorded: the recorded bound without any growth
    """
    logger().info(
        "account_closed",
        boot=boot,
        customer=customer,
        granted=granted,
        charged=min(used, granted),
        recorded=recorded,
    )


class PoolSync:
    """Synchronizes this gateway's grants with its demand, one change at a time.

    Grants are changed through the coordinator of the pool, or directly if it does not respond.
    Returned tokens are debited locally first: until a change is confirmed, the smaller of the old
    and the new grant applies, and the row is rewritten even if nothing else changes.

    After the store was restored from a copy, the gateway goes on with the grants that it had, and
    confirms them in the store before it changes any.

    :param known_rows: latest rows read, by customer
    :param unconfirmed: changes without a response, by customer
    :param confirmation: confirms the grants in each epoch of the store
    :param failed_at: monotonic time of the last failed sync
    :param has_failed: whether the last sync failed
    :param read_at: monotonic time of the last read of all rows
    :param initial_read: set after the first successful read
    :param closed: whether this incarnation's accounts are closed
    """

    def __init__(self, context: GatewayContext, recorder: BoundsRecorder) -> None:
        self.context = context
        self.recorder = recorder
        self.book = context.book
        self.requests = PoolRequests(context)
        self.known_rows: dict[str, PoolRow] = {}
        self.unconfirmed: dict[str, _Unconfirmed] = {}
        self.lock = asyncio.Lock()
        self.failed_at = float("-inf")
        self.has_failed = False
        self.read_at = float("-inf")
        self.initial_read = asyncio.Event()
        self.closed = False
        self.confirmation = GrantConfirmation(context, recorder, self.known_rows)

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(SYNC_INTERVAL, lambda now: self._sync_soon())
        self.context.timers.subscribe(RETRY_INTERVAL, self._retry_if_due)

    def _retry_if_due(self, now: float) -> None:
        """Sync at once after a failed sync, and when the store is in another epoch.

        Until its grants and bounds are recorded there, all tokens of a gateway count as used when
        it dies.
        """
        if self.has_failed or not self.confirmation.is_current():
            self._sync_soon()

    async def sync_with_timeout(self, needs: dict[str, int]) -> bool:
        """Sync on behalf of waiting requests, with a timeout; skipped just after a failed call.

        :param needs: tokens that the requests lack, by customer
        :returns: whether the store responded in time
        """
        if self.context.timers.now() < self.failed_at + STORE_BACKOFF:
            return False
        task = asyncio.ensure_future(self.sync(needs))
        return await self.context.result_within(task, STORE_WAIT_TIMEOUT)

    def _sync_soon(self) -> None:
        if not self.lock.locked() and not self.closed and self._is_sync_due():
            self.context.spawn(self.sync({}))

    def _is_sync_due(self) -> bool:
        """Whether this gateway holds tokens, or has not read the rows for a long time."""
        accounts = self.book.accounts.values()
        if not self.confirmation.is_current():
            return True
        if self.context.is_holder() or self.unconfirmed or any(a.granted for a in accounts):
            return True
        return self.context.timers.now() >= self.read_at + MEMBER_READ_INTERVAL

    async def sync(self, needs: dict[str, int]) -> bool:
        """Adjust this gateway's grants to its demand.

        :param needs: tokens that waiting requests lack, by customer
        :returns: whether the store responded
        """
        async with self.lock:
            if self.closed:
                return False
            done = await self._sync(needs)
            self.has_failed = not done
            if not done:
                self.failed_at = self.context.timers.now()
            return done

    async def _sync(self, needs: dict[str, int]) -> bool:
        self.book.is_holder = self.context.is_holder()
        self.book.retain_peers(self.context.hubs.names)
        totals = self.context.prepaid_totals()
        if not totals:
            return True
        if not await self._confirm_grants(totals):
            return False
        if self._is_read_due(totals) and not await self._read(totals):
            return False
        await self._end_restorations(totals)
        changes: list[PoolChange] = []
        direct: list[str] = []
        for position, (name, total) in enumerate(totals.items(), start=1):
            if position % SLICE_CUSTOMERS == 0:
                await asyncio.sleep(0)
            desired_change = self._desired_change(name, total, needs.get(name, 0))
            if name in self.unconfirmed:
                direct.append(name)
            elif desired_change:
                changes.append(self._change_request(name, desired_change))
        if changes and not await self.confirmation.is_use_recorded():
            return False
        direct += await self._request_changes(changes, totals)
        done = [await self._write_batch(names, needs) for names in row_batches(direct)]
        self._schedule_resync(totals)
        return all(done)

    async def _confirm_grants(self, totals: dict[str, int]) -> bool:
        """Confirm the grants that are not confirmed in this epoch, which settles open changes."""
        names = await self.confirmation.confirm(totals)
        if names is None:
            return False
        for name in names:
            self.unconfirmed.pop(name, None)
        return True

    async def _end_restorations(self, totals: dict[str, int]) -> None:
        """Let pools grant tokens again once all gateways have confirmed their grants."""
        step = await self.confirmation.next_step(totals)
        if step is None:
            return
        due = [name for name, row in self.known_rows.items() if step(name, row) is not row]
        if due and await self._update_rows(due, step):
            logger().warning("restorations_ended", customers=len(due))

    def _schedule_resync(self, totals: dict[str, int]) -> None:
        """Sync again soon if more than a lowered total is granted and some of it is held here."""
        overgranted = [
            name
            for name, total in totals.items()
            if self.known_rows[name].free(total) < 0 and self.book.account(name).held > 0
        ]
        if overgranted:
            self.read_at = float("-inf")
            asyncio.get_running_loop().call_later(RESYNC_DELAY, self._sync_soon)

    def _desired_change(self, name: str, total: int, need: int) -> int:
        now, holders = self.context.timers.now(), self.context.holder_count()
        return self.book.desired_change(now, name, self.known_rows[name], total, need, holders)

    def _is_read_due(self, totals: dict[str, int]) -> bool:
        interval = READ_INTERVAL * self.context.interval_factor(READ_PEERS_PER_STEP)
        stale = self.context.timers.now() >= self.read_at + interval
        return stale or not self.recorder.store_up or not totals.keys() <= self.known_rows.keys()

    async def _read(self, names: Iterable[str]) -> bool:
        # The responses may be handled long after the store has sent them.
        known_at = self.context.timers.responsive_time()
        for batch in row_batches(names):
            rows = await self.context.ports.tables.read(pool_refs(batch))
            if isinstance(rows, Failure):
                logger().warning("store_read_failed", detail=rows.failure().detail)
                return False
            if any(self._update_from_row(row) is None for row in rows.unwrap()):
                return False
        self.read_at = self.context.timers.now()
        self.context.departures.on_pools_read(known_at)
        self.recorder.on_store_response()
        self.initial_read.set()
        return True

    # Through coordinators -------------------------------------------------------------------

    def _change_request(self, name: str, desired_change: int) -> PoolChange:
        """Return the request to a coordinator; returned tokens are debited before it is sent."""
        stamp = self.known_rows[name].stamp
        if desired_change < 0:
            account = self.book.account(name)
            account.granted += desired_change
            self.record_unconfirmed(name, stamp, account.granted)
        return PoolChange(name, self.context.boot, desired_change, stamp)

    async def _request_changes(
        self, changes: list[PoolChange], totals: dict[str, int]
    ) -> list[str]:
        """Request changes of grants from the coordinators.

        A return of tokens that failed because the pool changed meanwhile is retried at once, with
        a new debit.

        :returns: customers who were granted less than the store has left, according to this
            gateway's route table
        """
        remaining: list[str] = []
        for _ in range(MAX_CONFLICTS):
            if not changes:
                break
            granted = {c.customer: self.book.account(c.customer).granted for c in changes}
            pools = await self.requests.change(changes)
            retry_changes: list[PoolChange] = []
            for change in changes:
                name = change.customer
                if name in pools:
                    self.update_pool(name, pools[name])
                if change.take < 0:
                    retry_changes += self._retry_return(change, granted[name], totals[name])
                elif not self._is_satisfied(change, granted[name], name in pools, totals[name]):
                    remaining.append(name)
            changes = retry_changes
        return remaining

    def _retry_return(self, change: PoolChange, granted: int, total: int) -> list[PoolChange]:
        """Debit and request a return of tokens anew if the first request was too late.

        :param granted: the grant without the tokens that were to be returned
        :returns: the new request; none if the return took effect, is unconfirmed or no longer due
        """
        name = change.customer
        if name in self.unconfirmed or self.book.account(name).granted <= granted:
            return []
        desired_change = self._desired_change(name, total, 0)
        return [self._change_request(name, desired_change)] if desired_change < 0 else []

    def _is_satisfied(self, change: PoolChange, granted: int, responded: bool, total: int) -> bool:
        """Whether the requested tokens, or all that the pool has left, were granted.

        :param granted: the grant before the change
        :param responded: whether the coordinator responded
        :param total: total of tokens that the customer has paid for
        """
        used_up = responded and self.known_rows[change.customer].free(total) <= 0
        return used_up or self.book.account(change.customer).granted >= granted + change.take

    async def close_incarnation(self, boot: str, used: Callable[[str], int]) -> set[str] | None:
        """Close an earlier incarnation in all pools that granted it tokens, once these are known.

        :param used: returns an upper bound of a customer's tokens that it used
        :returns: the customers in whose pools it was closed, ``None`` if the store did not accept
            the change
        """
        async with self.lock:
            rows = self.known_rows
            names = sorted(name for name, row in rows.items() if can_be_closed(row, boot))
            changes = [PoolChange(name, boot, 0, used=used(name)) for name in names]
            for name, pool in (await self.requests.change(changes)).items():
                self.update_pool(name, pool)
            remaining = [name for name in names if can_be_closed(rows[name], boot)]

            def close(name: str, pool: PoolRow) -> PoolRow:
                return pool.close_holder(boot, used(name)) if can_be_closed(pool, boot) else pool

            if not await self._update_rows(remaining, close):
                return None
            return {name for name in names if boot not in rows[name].holders}

    def record_unconfirmed(self, name: str, stamp: int, granted: int) -> None:
        """Record a change without a response; of several on one row, any may be applied."""
        earlier = self.unconfirmed.get(name)
        if earlier is not None and earlier.stamp == stamp:
            granted = min(granted, earlier.granted)
        self.unconfirmed[name] = _Unconfirmed(stamp, granted)

    def update_pool(self, name: str, pool: PoolRow) -> None:
        """Update the grant from a pool as stored, unless a newer row is known.

        A write without a response is resolved once the row has been written. A pool of another
        epoch says nothing about the grants that this gateway has still to confirm.
        """
        is_older = name in self.known_rows and pool.stamp < self.known_rows[name].stamp
        if is_older or not self.confirmation.covers(name, pool):
            return
        self.known_rows[name] = pool
        granted = pool.holders.get(self.context.boot, 0)
        pending = self.unconfirmed.get(name)
        if pending is not None and pool.stamp == pending.stamp:
            granted = min(granted, pending.granted)
        else:
            self.unconfirmed.pop(name, None)
        account = self.book.account(name)
        if granted != account.granted:
            logger().info(
                "granted",
                customer=name,
                tokens=granted,
                before=account.granted,
                used=account.used,
                epoch=pool.epoch,
                revision=pool.revision,
            )
        account.granted = granted

    def _update_from_row(self, row: Row) -> PoolRow | None:
        """Update the grant from a row; ``None`` if its grant is not confirmed in this epoch."""
        pool = self.confirmation.current_pool(row)
        if pool is not None:
            self.update_pool(row.ref.key, pool)
        return pool

    # Direct writes --------------------------------------------------------------------------

    async def _write_batch(self, names: tuple[str, ...], needs: dict[str, int]) -> bool:
        """Read rows, plan the changes and write them.

        :returns: whether the store responded
        """
        for _ in range(MAX_CONFLICTS):
            written = await self._write_once(names, needs)
            if written is not None:
                return written
        return True

    async def _write_once(self, names: tuple[str, ...], needs: dict[str, int]) -> bool | None:
        rows = await self.context.ports.tables.read(pool_refs(names))
        if isinstance(rows, Failure):
            logger().warning("store_read_failed", detail=rows.failure().detail)
            return False
        totals = self.context.prepaid_totals()
        now, holders = self.context.timers.now(), self.context.holder_count()
        puts: list[Put] = []
        planned: dict[str, PoolRow] = {}
        for row in rows.unwrap():
            name = row.ref.key
            pool = self._update_from_row(row)
            if pool is None:
                continue
            total, need = totals.get(name, 0), needs.get(name, 0)
            planned_row = self.book.plan(now, name, pool, total, need, holders)
            if planned_row is not pool or name in self.unconfirmed:
                planned[name] = planned_row.written()
                puts.append(Put(row.ref, row.version, planned[name].to_value()))
        if not puts:
            return True
        return await self._write(tuple(puts), planned)

    async def _write(self, puts: tuple[Put, ...], planned: dict[str, PoolRow]) -> bool | None:
        """Write rows; returned tokens are debited before the write begins.

        :returns: whether the store responded, ``None`` on a version conflict
        """
        boot = self.context.boot
        for name, pool in planned.items():
            account = self.book.account(name)
            account.granted = min(account.granted, pool.holders.get(boot, 0))
        written = await self.context.ports.tables.transact(puts)
        if isinstance(written, Failure):
            error = written.failure()
            logger().warning("store_write_failed", detail=error.detail, ambiguous=error.ambiguous)
            if error.ambiguous:
                for put in puts:
                    name = put.ref.key
                    granted = planned[name].holders.get(boot, 0)
                    self.record_unconfirmed(name, self.known_rows[name].stamp, granted)
            return False
        if written.unwrap() is None:
            return None
        for name, pool in planned.items():
            self.update_pool(name, pool)
        self.context.metrics.count("grants_changed", len(planned))
        return True

    async def close(self) -> bool:
        """Close this incarnation's accounts in the store after its last request has ended.

        :returns: whether the store accepted the change
        """

        boot = self.context.boot
        granted: dict[str, int] = {}

        def close(name: str, pool: PoolRow) -> PoolRow:
            closed = self.book.close(name, pool)
            if closed is not pool:
                granted[name] = pool.holders[boot]
                self.book.account(name).granted = 0
            return closed

        async with self.lock:
            closed = await self._update_rows(sorted(self.known_rows), close)
            if closed is not None:
                self.closed = True
            for name, tokens in granted.items() if closed else ():
                used = self.book.account(name).used
                log_account_closed(boot, name, granted=tokens, used=used, recorded=used)
            return bool(closed)

    async def _update_rows(self, names: list[str], change: RowUpdate) -> bool | None:
        """Read rows and write those that a function changes; the caller must hold the lock.

        :param change: receives a customer and its row; returns the same row to leave it unchanged
        :returns: whether the store accepted the writes, ``None`` if every try met a conflict
        """
        accepted: bool | None = True
        for batch in row_batches(names):
            for _ in range(MAX_CONFLICTS):
                accepted = await self._update_rows_once(batch, change)
                if accepted is not None:
                    break
            if not accepted:
                return accepted
        return accepted

    async def _update_rows_once(self, names: tuple[str, ...], change: RowUpdate) -> bool | None:
        tables = self.context.ports.tables
        rows = await tables.read(pool_refs(names))
        if isinstance(rows, Failure):
            return False
        puts = []
        written_pools: dict[str, PoolRow] = {}
        for row in rows.unwrap():
            pool = self._update_from_row(row)
            if pool is None:
                return False
            updated = change(row.ref.key, pool)
            if updated is not pool:
                written_pools[row.ref.key] = updated.written()
                puts.append(Put(row.ref, row.version, written_pools[row.ref.key].to_value()))
        written = await tables.write(tuple(puts))
        if isinstance(written, Failure):
            return False
        if not written.unwrap():
            return None
        for name, pool in written_pools.items():
            self.update_pool(name, pool)
        return True
