"""Keeps the blocks of the quarantine in the store, so that they survive a restart of all routers.

For each block, the routers are ranked; the first one stores it, and the next ones stand in.
"""

from collections.abc import Callable, Collection, Coroutine
from dataclasses import dataclass
from typing import Any

import xxhash
from returns.result import Failure, Success

from bilberryshed.coordination import Block, Quarantine, Suspect, rank
from bilberryshed.protocol import BlockNotice
from bilberryshed.state import Put, Row, RowRef, TableService
from bilberryshed.transport._logs import logger
from bilberryshed.transport._metrics import Metrics
from bilberryshed.transport._timers import TimerService

STORE_DELAY_STEP = 2.0  # seconds for which a router leaves a write to the one ranked before it
MAX_STORING_ROUTERS = 3  # routers that may store the same block
EXPIRY_TOLERANCE = 1.0  # seconds by which a stored expiry may differ
MAX_LOADED_ROWS = 500  # rows read at the start


@dataclass(slots=True, frozen=True)
class QuarantinePorts:
    """What the quarantine uses of its router.

    :param name: name of this router
    :param table: table of the stored blocks
    :param store_clock: clock of the stored expiries, in seconds
    :param store_epoch: epoch of the store; in a new one, the latest writes are lost
    :param routers: returns the names of the linked routers
    :param broadcast: sends a message to all of them
    """

    name: str
    tables: TableService
    table: str
    store_clock: Callable[[], float]
    store_epoch: Callable[[], int]
    routers: Callable[[], Collection[str]]
    broadcast: Callable[[Any], None]
    spawn: Callable[[Coroutine[Any, Any, Any]], Any]
    timers: TimerService
    metrics: Metrics

    def all_routers(self) -> set[str]:
        """Return the names of the linked routers and of this one."""
        return {self.name, *self.routers()}


class QuarantineRows:
    """The stored blocks of one quarantine.

    :param first_seen: time at which this router first had a block, by suspect
    :param stored: expiry of the blocks that this router has stored or read, by suspect
    :param epoch: epoch of the store in which they were
    :param loaded: whether the stored blocks have been read
    :param busy: whether a call to the store is in progress
    """

    def __init__(self, ports: QuarantinePorts, quarantine: Quarantine) -> None:
        self.ports = ports
        self.quarantine = quarantine
        self.first_seen: dict[Suspect, float] = {}
        self.stored: dict[Suspect, float] = {}
        self.epoch = ports.store_epoch()
        self.loaded = False
        self.busy = False

    def check(self, now: float) -> None:
        """Start to read the stored blocks, or to store or delete one that has changed."""
        blocks = self.quarantine.blocks
        self.first_seen = {suspect: self.first_seen.get(suspect, now) for suspect in blocks}
        if self.busy:
            return
        if self.ports.store_epoch() != self.epoch:
            self.epoch = self.ports.store_epoch()
            self.stored.clear()
        task = self._next_task(now)
        if task is not None:
            self.busy = True
            self.ports.spawn(self._finish(task))

    def _next_task(self, now: float) -> Coroutine[Any, Any, bool] | None:
        if not self.loaded:
            return self._load()
        for block in self.quarantine.blocks.values():
            if self._is_due(now, block):
                return self._store(block)
        for suspect in self.stored:
            if suspect not in self.quarantine.blocks:
                return self._delete(suspect)
        return None

    async def _finish(self, task: Coroutine[Any, Any, bool]) -> None:
        """Await a task, which returns whether the store responded; then start the next one."""
        try:
            succeeded = await task
        finally:
            self.busy = False
        if succeeded:
            self.check(self.ports.timers.now())

    def _is_due(self, now: float, block: Block) -> bool:
        """Whether this router has to store a block now."""
        if block.is_in_doubt or block.probing or now >= block.until:
            return False
        if block.until <= self.stored.get(block.suspect, now) + EXPIRY_TOLERANCE:
            return False
        ranked = rank(f"store {block.suspect.key}", self.ports.all_routers())
        position = ranked.index(self.ports.name)
        waited = now - self.first_seen[block.suspect]
        return position < MAX_STORING_ROUTERS and waited >= position * STORE_DELAY_STEP

    async def _store(self, block: Block) -> bool:
        rows = await self.ports.tables.read((self._ref(block.suspect),))
        if isinstance(rows, Failure):
            return False
        row = rows.unwrap()[0]
        until = self.ports.store_clock() + block.until - self.ports.timers.now()
        if row.value.get("until", 0.0) < until - EXPIRY_TOLERANCE:
            value = {
                "content": block.suspect.content,
                "parts": sorted(block.suspect.parts),
                "until": until,
                "level": block.level,
            }
            written = await self.ports.tables.write((Put(row.ref, row.version, value),))
            if not isinstance(written, Success) or not written.unwrap():
                return False
        self.stored[block.suspect] = block.until
        return True

    async def _delete(self, suspect: Suspect) -> bool:
        rows = await self.ports.tables.read((self._ref(suspect),))
        if isinstance(rows, Failure):
            return False
        row = rows.unwrap()[0]
        if row.version:
            written = await self.ports.tables.write((Put(row.ref, row.version, None),))
            if isinstance(written, Failure):
                return False
        self.stored.pop(suspect, None)
        return True

    def _ref(self, suspect: Suspect) -> RowRef:
        return RowRef(self.ports.table, xxhash.xxh3_128_hexdigest(suspect.key.encode()))

    async def _load(self) -> bool:
        rows = await self.ports.tables.scan(self.ports.table, "", "", MAX_LOADED_ROWS)
        if isinstance(rows, Failure):
            return False
        self.loaded = True
        for row in rows.unwrap():
            self._adopt(row)
        return True

    def _adopt(self, row: Row) -> None:
        """Impose a stored block; after its expiry one request at a time is let through."""
        try:
            content, parts = str(row.value["content"]), tuple(str(p) for p in row.value["parts"])
            remaining = float(row.value["until"]) - self.ports.store_clock()
            notice = BlockNotice(content, parts, remaining, int(row.value["level"]), 0.0)
        except (KeyError, TypeError, ValueError) as error:
            logger().error("quarantine_row_unreadable", key=row.ref.key, error=repr(error))
            return
        if not content and not parts:
            logger().error("quarantine_row_unreadable", key=row.ref.key, error="names nothing")
            return
        now = self.ports.timers.now()
        self.quarantine.merge(now, notice)
        self.stored[Suspect(content, frozenset(parts))] = now + remaining
