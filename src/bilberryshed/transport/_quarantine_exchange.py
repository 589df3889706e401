"""Exchanges the evidence of crashes with the other routers, and keeps blocks in the store.

Reports go to every linked router, and all that is known to each router that links. Blocks are
stored as well, so that they survive a restart of all routers at the same time.
"""

from collections.abc import Callable, Collection, Coroutine
from dataclasses import dataclass
from typing import Any

import xxhash
from returns.result import Failure, Success

from bilberryshed.coordination import (
    Block,
    Quarantine,
    QuarantinePolicy,
    QuarantineState,
    Suspect,
    probe_delay,
    rank,
    shard_of,
)
from bilberryshed.protocol import (
    BlockNotice,
    CrashedRun,
    CrashReport,
    QuarantineSummary,
    SoundNotice,
)
from bilberryshed.state import Put, Row, RowRef, TableService
from bilberryshed.transport._links import Link
from bilberryshed.transport._logs import logger
from bilberryshed.transport._metrics import Metrics
from bilberryshed.transport._timers import TimerService

REPORT_DELAY = 0.02  # seconds in which the runs that one crash ends are collected
SOUND_DELAY_STEP = 0.01  # seconds between two routers that would announce the same answer
CHECK_INTERVAL = 1.0  # seconds between checks for blocks to be stored or deleted
STORE_DELAY_STEP = 2.0  # seconds for which a router leaves a write to the one ranked before it
MAX_STORING_ROUTERS = 3  # routers that may store the same block
EXPIRY_TOLERANCE = 1.0  # seconds by which a stored expiry may differ
MAX_LOADED_ROWS = 500  # rows read at the start

Handler = Callable[[Link, Any], None]


@dataclass(slots=True, frozen=True)
class QuarantinePorts:
    """What the exchange uses of its router.

    :param name: name of this router
    :param table: table of the stored blocks
    :param store_clock: clock of the stored expiries, in seconds
    :param routers: returns the names of the linked routers
    :param broadcast: sends a message to all of them
    """

    name: str
    tables: TableService
    table: str
    store_clock: Callable[[], float]
    routers: Callable[[], Collection[str]]
    broadcast: Callable[[Any], None]
    spawn: Callable[[Coroutine[Any, Any, Any]], Any]
    timers: TimerService
    metrics: Metrics


@dataclass(slots=True, frozen=True)
class Admittance:
    """Whether a request may run.

    :param wait: seconds for which it must not run, 0 if it may
    :param is_probe: whether it is the one request that runs after the expiry of a block
    """

    wait: float
    is_probe: bool = False


class QuarantineExchange:
    """The quarantine of one router, and what keeps it the same as that of the others.

    :param unreported: runs that are not reported yet
    :param unannounced: time at which an answer was begun, by accused content or part
    :param first_seen: time at which this router first had a block
    :param stored: expiry of the blocks that this router has stored or read, by suspect
    :param loaded: whether the stored blocks have been read
    """

    def __init__(self, ports: QuarantinePorts, policy: QuarantinePolicy) -> None:
        self.ports = ports
        self.quarantine = Quarantine(policy)
        self.unreported: list[CrashedRun] = []
        self.unannounced: dict[tuple[str, str], float] = {}
        self.first_seen: dict[Suspect, float] = {}
        self.stored: dict[Suspect, float] = {}
        self.loaded = False
        self.busy = False

    def start(self) -> None:
        """Start to read the stored blocks and to check for changes."""
        self.ports.timers.subscribe(CHECK_INTERVAL, self._check)
        self._check(self._now())

    def handlers(self) -> dict[type, Handler]:
        """Return the message handlers by message class."""
        return {
            CrashReport: lambda link, report: self._merge_runs(report.runs),
            SoundNotice: lambda link, notice: self.on_sound_notice(notice),
            BlockNotice: lambda link, notice: self._merge_block(notice),
            QuarantineSummary: lambda link, summary: self.on_summary(summary),
        }

    def summary(self) -> QuarantineSummary | None:
        """Return all that a router needs to know that has just linked."""
        return self.quarantine.summary(self._now())

    # Requests -------------------------------------------------------------------------------

    def standing(self, content: str) -> QuarantineState:
        """Return the state of a content."""
        return self.quarantine.standing(self._now(), content)

    def seconds_blocked(self, content: str, parts: Collection[str]) -> float:
        """Return the seconds for which a request must not run, 0 if it may run now."""
        block = self.quarantine.matching_block(content, parts)
        if block is None:
            return 0.0
        now = self._now()
        left = block.until - now
        return max(0.0, left if left > 0 else left + self._probe_delay(block))

    def admit(self, content: str, parts: Collection[str]) -> Admittance:
        """Decide whether a request may run.

        The first request after the expiry of a block runs alone: the block is imposed until the
        request has ended.
        """
        wait = self.seconds_blocked(content, parts)
        block = self.quarantine.matching_block(content, parts)
        if wait > 0 or block is None:
            return Admittance(wait)
        self.quarantine.start_probe(self._now(), block)
        self.ports.broadcast(self.quarantine.notice(self._now(), block))
        logger().info("quarantine_probe", suspect=block.suspect.key, imposed=block.level)
        return Admittance(0.0, is_probe=True)

    def _probe_delay(self, block: Block) -> float:
        return probe_delay(block.suspect, self.ports.name, self._all_routers())

    def _all_routers(self) -> set[str]:
        return {self.ports.name, *self.ports.routers()}

    # Evidence of this router ----------------------------------------------------------------

    def on_crash(self, run: CrashedRun) -> None:
        """Record a run that a crash ended, and report it."""
        if not self._record_runs((run,)):
            return
        if not self.unreported:
            self.ports.timers.call_once(REPORT_DELAY, self._report)
        self.unreported.append(run)

    def _report(self, now: float) -> None:
        runs, self.unreported = tuple(self.unreported), []
        self.ports.broadcast(CrashReport(runs))

    def on_answer(self, began_at: float, content: str, parts: Collection[str]) -> None:
        """Record that a request is answered; announce what that clears.

        :param began_at: monotonic time at which the backend server began the answer, in seconds
        """
        cleared_contents, cleared_parts = self.quarantine.record_answer(
            self._now(), began_at, {content}, parts
        )
        for content in cleared_contents:
            self._announce("content", content, began_at)
        for part in cleared_parts:
            self._announce("part", part, began_at)

    def _announce(self, kind: str, id_: str, began_at: float) -> None:
        """Schedule an announcement, which another router's announcement makes unnecessary.

        The delays differ, as all routers that use a part see it answered at the same time.
        """
        logger().info("quarantine_cleared", kind=kind, id=id_)
        key = (kind, id_)
        is_scheduled = key in self.unannounced
        self.unannounced[key] = began_at
        if not is_scheduled:
            slot = shard_of(f"{self.ports.name} {id_}", len(self._all_routers()))
            self.ports.timers.call_once(
                REPORT_DELAY + slot * SOUND_DELAY_STEP, lambda now: self._send_sound(now, key)
            )

    def _send_sound(self, now: float, key: tuple[str, str]) -> None:
        began_at = self.unannounced.pop(key, None)
        if began_at is None:
            return
        kind, id_ = key
        contents, parts = ((id_,), ()) if kind == "content" else ((), (id_,))
        self.ports.broadcast(SoundNotice(contents, parts, max(0.0, now - began_at)))

    # Evidence of other routers --------------------------------------------------------------

    def _merge_runs(self, runs: tuple[CrashedRun, ...]) -> None:
        self._record_runs(runs)

    def _record_runs(self, runs: tuple[CrashedRun, ...]) -> tuple[CrashedRun, ...]:
        before = {suspect: block.level for suspect, block in self.quarantine.blocks.items()}
        news = self.quarantine.record_crashes(self._now(), runs)
        for suspect, block in self.quarantine.blocks.items():
            if before.get(suspect) != block.level:
                self.ports.metrics.count("blocked")
                logger().warning(
                    "quarantine_blocked",
                    content=suspect.content,
                    parts="/".join(sorted(suspect.parts)),
                    imposed=block.level,
                    crashes=len(block.crashes),
                )
        return news

    def on_sound_notice(self, notice: SoundNotice) -> None:
        """Clear what another router has seen answered."""
        now = self._now()
        for kind, ids in (("content", notice.contents), ("part", notice.parts)):
            for id_ in ids:
                self.unannounced.pop((kind, id_), None)
        self.quarantine.record_answer(now, now - notice.age, notice.contents, notice.parts)

    def _merge_block(self, notice: BlockNotice) -> None:
        self.quarantine.merge(self._now(), notice)

    def on_summary(self, summary: QuarantineSummary) -> None:
        """Adopt what a linked router knows."""
        for notice in summary.blocks:
            self._merge_block(notice)
        self._merge_runs(summary.runs)

    # Store ----------------------------------------------------------------------------------

    def _check(self, now: float) -> None:
        """Read the stored blocks, or store or delete one that has changed."""
        self.quarantine.prune(now)
        self._track_blocks(now)
        if self.busy:
            return
        if not self.loaded:
            self._run(self._load())
            return
        for block in self.quarantine.blocks.values():
            if self._is_due(now, block):
                self._run(self._store(block))
                return
        for suspect in self.stored:
            if suspect not in self.quarantine.blocks:
                self._run(self._delete(suspect))
                return

    def _run(self, task: Coroutine[Any, Any, None]) -> None:
        self.busy = True
        self.ports.spawn(self._finish(task))

    async def _finish(self, task: Coroutine[Any, Any, None]) -> None:
        try:
            await task
        finally:
            self.busy = False

    def _track_blocks(self, now: float) -> None:
        blocks = self.quarantine.blocks
        self.first_seen = {s: self.first_seen.get(s, now) for s in blocks}

    def _is_due(self, now: float, block: Block) -> bool:
        """Whether this router has to store a block: the first by rank, or one that stands in."""
        if block.probing or now >= block.until:
            return False
        if block.until <= self.stored.get(block.suspect, now) + EXPIRY_TOLERANCE:
            return False
        position = rank(f"store {block.suspect.key}", self._all_routers()).index(self.ports.name)
        waited = now - self.first_seen[block.suspect]
        return position < MAX_STORING_ROUTERS and waited >= position * STORE_DELAY_STEP

    async def _store(self, block: Block) -> None:
        rows = await self.ports.tables.read((self._ref(block.suspect),))
        if isinstance(rows, Failure):
            return
        row, now = rows.unwrap()[0], self._now()
        until = self.ports.store_clock() + block.until - now
        if row.value.get("until", 0.0) < until - EXPIRY_TOLERANCE:
            value = {
                "content": block.suspect.content,
                "parts": sorted(block.suspect.parts),
                "until": until,
                "level": block.level,
            }
            written = await self.ports.tables.write((Put(row.ref, row.version, value),))
            if not isinstance(written, Success) or not written.unwrap():
                return
        self.stored[block.suspect] = block.until

    async def _delete(self, suspect: Suspect) -> None:
        rows = await self.ports.tables.read((self._ref(suspect),))
        if isinstance(rows, Failure):
            return
        row = rows.unwrap()[0]
        if row.version:
            written = await self.ports.tables.write((Put(row.ref, row.version, None),))
            if isinstance(written, Failure):
                return
        self.stored.pop(suspect, None)

    def _ref(self, suspect: Suspect) -> RowRef:
        return RowRef(self.ports.table, xxhash.xxh3_128_hexdigest(suspect.key.encode()))

    async def _load(self) -> None:
        rows = await self.ports.tables.scan(self.ports.table, "", "", MAX_LOADED_ROWS)
        if isinstance(rows, Failure):
            return
        self.loaded = True
        for row in rows.unwrap():
            self._adopt(row)

    def _adopt(self, row: Row) -> None:
        """Impose a stored block; one that has expired is imposed for no time, for a first probe."""
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
        now = self._now()
        self.quarantine.merge(now, notice)
        self.stored[Suspect(content, frozenset(parts))] = now + remaining

    def _now(self) -> float:
        return self.ports.timers.now()
