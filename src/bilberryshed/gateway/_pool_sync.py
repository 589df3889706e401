"""Keeps the store's rows of prepaid tokens in line with what this gateway needs."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from returns.result import Failure

from bilberryshed.coordination import PoolRow
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._pool_requests import PoolRequests
from bilberryshed.gateway._pool_table import CONFLICTS, VersionedPool, pool_refs, row_batches
from bilberryshed.protocol import PoolChange
from bilberryshed.state import Put, Row
from bilberryshed.transport import logger

SYNC_INTERVAL = 0.5  # seconds between looks whether the grants fit
READ_INTERVAL = 0.45  # seconds after which a few gateways read the rows although nothing is needed
READ_PEERS = 6  # peers for each further interval between reads, so that the store's load is bounded
FOLLOW_UP_DELAY = 0.05  # seconds after which a total that was lowered is looked at again
STORE_PATIENCE = 0.35  # seconds that a request waits for the store
STORE_PAUSE = 0.5  # seconds after a failed call in which requests do not wait for the store

Change = Callable[[str, PoolRow], PoolRow]


@dataclass(slots=True, frozen=True)
class _Unconfirmed:
    """A change whose answer is missing: it may take effect as long as its row keeps the version.

    :param version: version of the row that the write asks for
    :param granted: tokens that it grants this lifetime
    """

    version: int
    granted: int


class PoolSync:
    """Keeps this gateway's grants in line with its demand, one change at a time.

    Grants are changed through the coordinator of the pool, and directly where it does not answer.
    What is given back is debited here first: until a change is confirmed, the smaller of both
    grants counts, and the row is written again even if nothing else changes.

    :param seen: rows as seen last, by customer
    :param versions: their versions
    :param closed: whether this lifetime's accounts are closed
    """

    def __init__(self, context: GatewayContext, recorder: BoundsRecorder) -> None:
        self.context = context
        self.recorder = recorder
        self.book = context.book
        self.requests = PoolRequests(context)
        self.seen: dict[str, PoolRow] = {}
        self.versions: dict[str, int] = {}
        self.unconfirmed: dict[str, _Unconfirmed] = {}
        self.lock = asyncio.Lock()
        self.failed_at = float("-inf")
        self.read_at = float("-inf")
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
            if self.closed:
                return False
            done = await self._sync(needs)
            if not done:
                self.failed_at = self.context.timers.now()
            return done

    async def _sync(self, needs: dict[str, int]) -> bool:
        totals = self.context.prepaid_totals()
        if not totals:
            return True
        if self._must_read(totals) and not await self._read(totals):
            return False
        changes: list[PoolChange] = []
        direct: list[str] = []
        for name, total in totals.items():
            desired_change = self._wish(name, total, needs.get(name, 0))
            if name in self.unconfirmed:
                direct.append(name)
            elif desired_change:
                changes.append(self._request(name, desired_change))
        direct += await self._have_changed(changes, totals)
        done = [await self._write_batch(names, needs) for names in row_batches(direct)]
        self._follow_up(totals)
        return all(done)

    def _follow_up(self, totals: dict[str, int]) -> None:
        """Look again soon where more is granted than a lowered total and some is held here."""
        missing = [
            name
            for name, total in totals.items()
            if self.seen[name].free(total) < 0 and self.book.account(name).held > 0
        ]
        if missing:
            self.read_at = float("-inf")
            asyncio.get_running_loop().call_later(FOLLOW_UP_DELAY, self._sync_soon)

    def _wish(self, name: str, total: int, need: int) -> int:
        now, routers = self.context.timers.now(), self.context.router_count()
        return self.book.desired_change(now, name, self.seen[name], total, need, routers)

    def _must_read(self, totals: dict[str, int]) -> bool:
        interval = READ_INTERVAL * self.context.slowness(READ_PEERS)
        stale = self.context.timers.now() >= self.read_at + interval
        return stale or not self.recorder.store_up or not totals.keys() <= self.seen.keys()

    async def _read(self, names: Iterable[str]) -> bool:
        for batch in row_batches(names):
            rows = await self.context.ports.tables.read(pool_refs(batch))
            if isinstance(rows, Failure):
                logger().warning("store_read_failed", detail=rows.failure().detail)
                return False
            for row in rows.unwrap():
                self._take_in_row(row)
        self.read_at = self.context.timers.now()
        self.recorder.on_store_answer()
        self.read_once.set()
        return True

    # Through coordinators -------------------------------------------------------------------

    def _request(self, name: str, desired_change: int) -> PoolChange:
        """Return what a coordinator is asked for; what is given back is debited first."""
        version = self.versions[name]
        if desired_change < 0:
            account = self.book.account(name)
            account.granted += desired_change
            self.note_unconfirmed(name, version, account.granted)
        return PoolChange(name, self.context.boot, desired_change, version)

    async def _have_changed(self, changes: list[PoolChange], totals: dict[str, int]) -> list[str]:
        """Have coordinators change grants.

        What could not be given back, as the pool has changed since, is debited anew at once.

        :returns: customers for whom less was granted than the store has, by this gateway's table
        """
        left: list[str] = []
        for _ in range(CONFLICTS):
            if not changes:
                break
            granted = {c.customer: self.book.account(c.customer).granted for c in changes}
            pools = await self.requests.change(changes)
            again: list[PoolChange] = []
            for change in changes:
                name = change.customer
                if name in pools:
                    self.take_in(name, pools[name])
                if change.take < 0:
                    again += self._give_back_again(change, granted[name], totals[name])
                elif not self._is_granted(change, granted[name], name in pools, totals[name]):
                    left.append(name)
            changes = again
        return left

    def _give_back_again(self, change: PoolChange, granted: int, total: int) -> list[PoolChange]:
        """Return a new change in place of one that came too late, if one is still wanted.

        :param granted: the grant without what was to be given back
        """
        name = change.customer
        if name in self.unconfirmed or self.book.account(name).granted <= granted:
            return []
        desired_change = self._wish(name, total, 0)
        return [self._request(name, desired_change)] if desired_change < 0 else []

    def _is_granted(self, change: PoolChange, granted: int, answered: bool, total: int) -> bool:
        """Whether as much was granted as the pool allows.

        :param granted: the grant before
        :param answered: whether the coordinator answered
        :param total: tokens paid for in all
        """
        used_up = answered and self.seen[change.customer].free(total) <= 0
        return used_up or self.book.account(change.customer).granted >= granted + change.take

    async def close_lifetime(self, boot: str, used: dict[str, int]) -> set[str] | None:
        """Close an earlier lifetime in all pools that granted it tokens.

        :param used: bound on the tokens that it used, by customer
        :returns: the customers whose pools it was closed in, ``None`` if the store did not take it
        """
        names = sorted(name for name, row in self.seen.items() if boot in row.holders)
        changes = [PoolChange(name, boot, 0, used=used.get(name, 0)) for name in names]
        async with self.lock:
            for name, versioned in (await self.requests.change(changes)).items():
                self.take_in(name, versioned)
            left = [name for name in names if boot in self.seen[name].holders]

            def close(name: str, pool: PoolRow) -> PoolRow:
                if boot not in pool.holders:
                    return pool
                return pool.close_holder(boot, used.get(name, 0))

            return set(names) if await self._change(left, close) else None

    def note_unconfirmed(self, name: str, version: int, granted: int) -> None:
        """Note a change whose answer is missing; of several of one version any may take effect."""
        earlier = self.unconfirmed.get(name)
        if earlier is not None and earlier.version == version:
            granted = min(granted, earlier.granted)
        self.unconfirmed[name] = _Unconfirmed(version, granted)

    def take_in(self, name: str, versioned: VersionedPool) -> None:
        """Take in a pool as it stands in the store, unless a newer one is known.

        A write whose answer was lost is settled once the row has another version.
        """
        if versioned.version < self.versions.get(name, 0):
            return
        self.seen[name] = versioned.pool
        self.versions[name] = versioned.version
        granted = versioned.pool.holders.get(self.context.boot, 0)
        pending = self.unconfirmed.get(name)
        if pending is not None and versioned.version == pending.version:
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
                version=versioned.version,
            )
        account.granted = granted

    def _take_in_row(self, row: Row) -> PoolRow:
        pool = PoolRow.from_value(row.value)
        self.take_in(row.ref.key, VersionedPool(row.version, pool))
        return pool

    # Directly -------------------------------------------------------------------------------

    async def _write_batch(self, names: tuple[str, ...], needs: dict[str, int]) -> bool:
        """Read rows, plan and write them.

        :returns: whether the store answered
        """
        for _ in range(CONFLICTS):
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
        now, routers = self.context.timers.now(), self.context.router_count()
        puts: list[Put] = []
        planned: dict[str, PoolRow] = {}
        for row in rows.unwrap():
            name = row.ref.key
            pool = self._take_in_row(row)
            total, need = totals.get(name, 0), needs.get(name, 0)
            desired_change = self.book.plan(now, name, pool, total, need, routers)
            if desired_change is not pool or name in self.unconfirmed:
                puts.append(Put(row.ref, row.version, desired_change.to_value()))
                planned[name] = desired_change
        if not puts:
            return True
        return await self._write(tuple(puts), planned)

    async def _write(self, puts: tuple[Put, ...], planned: dict[str, PoolRow]) -> bool | None:
        """Write rows; what is given back is debited before the write begins."""
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
                    self.note_unconfirmed(name, put.version, granted)
            return False
        version = written.unwrap()
        if version is None:
            return None
        for name, pool in planned.items():
            self.take_in(name, VersionedPool(version, pool))
        self.context.metrics.count("grants_changed", len(planned))
        return True

    async def close(self) -> bool:
        """Settle this lifetime in the store, once no request runs any more.

        :returns: whether the store took it
        """

        def close(name: str, pool: PoolRow) -> PoolRow:
            closed = self.book.close(name, pool)
            if closed is not pool:
                self.book.account(name).granted = 0
            return closed

        async with self.lock:
            closed = await self._change(sorted(self.seen), close)
            if closed is not None:
                self.closed = True
            return bool(closed)

    async def _change(self, names: list[str], change: Change) -> bool | None:
        """Read rows and write those that a function changes; the caller holds the lock.

        :param change: takes a customer and its row; returns the same row to leave it
        :returns: whether the store took it, ``None`` if other writers came between each time
        """
        taken: bool | None = True
        for batch in row_batches(names):
            for _ in range(CONFLICTS):
                taken = await self._change_once(batch, change)
                if taken is not None:
                    break
            if not taken:
                return taken
        return taken

    async def _change_once(self, names: tuple[str, ...], change: Change) -> bool | None:
        tables = self.context.ports.tables
        rows = await tables.read(pool_refs(names))
        if isinstance(rows, Failure):
            return False
        puts = []
        for row in rows.unwrap():
            pool = self._take_in_row(row)
            wished = change(row.ref.key, pool)
            if wished is not pool:
                puts.append(Put(row.ref, row.version, wished.to_value()))
        written = await tables.write(tuple(puts))
        if isinstance(written, Failure):
            return False
        return True if written.unwrap() else None
