"""Exchanges the evidence of crashes with the other routers.

Reports go to every linked router, and all that is known to each router that links.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any

from bilberryshed.coordination import (
    Block,
    Quarantine,
    QuarantinePolicy,
    QuarantineState,
    probe_delay,
    shard_of,
)
from bilberryshed.protocol import (
    BlockNotice,
    ClearNotice,
    CrashedRun,
    CrashReport,
    QuarantineSummary,
)
from bilberryshed.transport._links import Link
from bilberryshed.transport._logs import logger
from bilberryshed.transport._quarantine_rows import QuarantinePorts, QuarantineRows

REPORT_DELAY = 0.02  # seconds in which the runs that one crash ends are collected
CLEAR_DELAY_STEP = 0.01  # seconds between two routers that would announce the same answer
CHECK_INTERVAL = 1.0  # seconds between checks for blocks to be stored or deleted

Handler = Callable[[Link, Any], object]


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
    :param unannounced: time at which an answer was begun, by suspected content or part
    :param rows: the blocks in the store
    """

    def __init__(self, ports: QuarantinePorts, policy: QuarantinePolicy) -> None:
        self.ports = ports
        self.quarantine = Quarantine(policy)
        self.unreported: list[CrashedRun] = []
        self.unannounced: dict[tuple[str, str], float] = {}
        self.rows = QuarantineRows(ports, self.quarantine)

    def start(self) -> None:
        """Start to read the stored blocks and to check for changes."""
        self.ports.timers.subscribe(CHECK_INTERVAL, self._check)
        self._check(self._now())

    def handlers(self) -> dict[type, Handler]:
        """Return the message handlers by message class."""
        return {
            CrashReport: lambda link, report: self._record_runs(report.runs),
            ClearNotice: lambda link, notice: self.on_clear_notice(notice),
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
        return self._seconds_left(self.quarantine.matching_block(content, parts))

    def admit(self, content: str, parts: Collection[str]) -> Admittance:
        """Decide whether a request may run.

        The first request after the expiry of a block runs alone: the block is imposed until the
        request has ended.
        """
        block = self.quarantine.matching_block(content, parts)
        wait = self._seconds_left(block)
        if wait > 0 or block is None:
            return Admittance(wait)
        self.quarantine.start_probe(self._now(), block)
        self.ports.broadcast(self.quarantine.notice(self._now(), block))
        logger().info("quarantine_probe", suspect=block.suspect.key, imposed=block.level)
        return Admittance(0.0, is_probe=True)

    def end_unused_probe(self, content: str, parts: Collection[str]) -> None:
        """Let another request through in place of one that reached no backend server."""
        self.quarantine.end_unused_probe(self._now(), content, parts)

    def _seconds_left(self, block: Block | None) -> float:
        """Return the seconds until this router may let a request through, 0 without a block."""
        if block is None:
            return 0.0
        left = block.until - self._now()
        if left <= 0:
            left += probe_delay(block.suspect, self.ports.name, self.ports.all_routers())
        return max(0.0, left)

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
            slot = shard_of(f"{self.ports.name} {id_}", len(self.ports.all_routers()))
            self.ports.timers.call_once(
                REPORT_DELAY + slot * CLEAR_DELAY_STEP, lambda now: self._send_clear(now, key)
            )

    def _send_clear(self, now: float, key: tuple[str, str]) -> None:
        began_at = self.unannounced.pop(key, None)
        if began_at is None:
            return
        kind, id_ = key
        contents, parts = ((id_,), ()) if kind == "content" else ((), (id_,))
        self.ports.broadcast(ClearNotice(contents, parts, max(0.0, now - began_at)))

    # Evidence of other routers --------------------------------------------------------------

    def _record_runs(self, runs: tuple[CrashedRun, ...]) -> tuple[CrashedRun, ...]:
        before = {suspect: block.level for suspect, block in self.quarantine.blocks.items()}
        news = self.quarantine.record_crashes(self._now(), runs)
        if news:
            self.rows.check(self._now())
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

    def on_clear_notice(self, notice: ClearNotice) -> None:
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
        self._record_runs(summary.runs)

    # Periodic work --------------------------------------------------------------------------

    def _check(self, now: float) -> None:
        self.quarantine.prune(now)
        self.rows.check(now)

    def _now(self) -> float:
        return self.ports.timers.now()
