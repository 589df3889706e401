"""Quarantine of requests that crash backend servers.

The cause of a crash is one request that ran there: either its content as a whole, or one part of
its prompt, whatever else it holds. Every run that a crash ended makes its content and its parts
suspect; most of them only shared the backend server. An answer clears its content and its parts.

A content is blocked after a few crashes. Parts are blocked after crashes of a few backend servers
under different contents: together, all those that no answer has cleared and that each of these runs
had in common. So requests that share some of them still run, and either their answers clear these
parts or another crash rules out the rest, until one part is left. A crash that a block explains
makes no other part suspect.

When a block expires, the routers in turn let one request through. If it is answered, the block
ends; if it crashes a backend server, the block is imposed again for twice the time.

Backend servers that crash at the same time for a reason of their own look alike: all their runs
have the parts in common that all requests share. Parts that were answered shortly before the
crashes are therefore blocked in doubt only: one request is let through at once, and its end
decides.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from bilberryshed.coordination._quarantine_blocks import (
    DOUBT_PROBE_TIME,
    IN_DOUBT,
    Block,
    QuarantinePolicy,
    QuarantineState,
    Suspect,
)
from bilberryshed.protocol import BlockNotice, CrashedRun, QuarantineSummary

BLOCK_THRESHOLD = 3  # weight of the crashes at which a content or parts are blocked
ALONE_WEIGHT = 2  # weight of a crash under a single request, which must be its cause
MIN_CONTENTS = 2  # different contents under which backend servers crashed before parts are blocked
FORGET_FACTOR = 2  # maximum block times after which an expired block is forgotten
MAX_RUNS = 500  # runs that are remembered
MAX_ANSWERED_PARTS = 10_000  # parts whose last answer is remembered


@dataclass(slots=True)
class _CrashRecord:
    """A run that a crash ended, and what it still makes suspect.

    :param reported: all parts that were reported, whether or not they are cleared
    """

    run: CrashedRun
    at: float
    content: str
    parts: set[str]
    reported: set[str]


class Quarantine:
    """Crashes, answers and blocks known to one router; times are monotonic, in seconds."""

    __slots__ = ("policy", "records", "answered_at", "blocks")

    def __init__(self, policy: QuarantinePolicy | None = None) -> None:
        self.policy = policy or QuarantinePolicy()
        self.records: dict[str, _CrashRecord] = {}
        self.answered_at: dict[str, float] = {}
        self.blocks: dict[Suspect, Block] = {}

    # Requests -------------------------------------------------------------------------------

    def standing(self, now: float, content: str, parts: Collection[str] = ()) -> QuarantineState:
        """Return the state of a request; only its content can make it a suspect."""
        block = self.matching_block(content, parts)
        if block is not None and now < block.until:
            return QuarantineState.BLOCKED
        is_suspect = any(
            record.content == content and record.at > now - self.policy.window
            for record in self.records.values()
        )
        return QuarantineState.SUSPECT if is_suspect else QuarantineState.CLEAR

    def matching_block(self, content: str, parts: Collection[str] = ()) -> Block | None:
        """Return the block that applies longest to a request, ``None`` if there is none."""
        found = [b for b in self.blocks.values() if b.suspect.matches(content, parts)]
        return max(found, key=lambda block: block.until, default=None)

    def start_probe(self, now: float, block: Block) -> None:
        """Record that a request is let through, so that all others wait for its end."""
        block.start_probe(now)

    def end_unused_probe(self, now: float, content: str, parts: Collection[str]) -> None:
        """Let another request through in place of one that reached no backend server."""
        for block in self.blocks.values():
            if block.is_in_doubt and block.suspect.matches(content, parts):
                block.until = min(block.until, now)

    # Evidence -------------------------------------------------------------------------------

    def record_crashes(self, now: float, runs: Iterable[CrashedRun]) -> tuple[CrashedRun, ...]:
        """Record runs that crashes ended.

        :returns: those that were not known yet, or not with all their parts
        """
        news = tuple(run for run in runs if self._record(now, run))
        if news:
            self._drop_excess()
            self._evaluate(now)
        return news

    def _record(self, now: float, run: CrashedRun) -> bool:
        at = now - run.age
        if run.age >= self.policy.window:
            return False
        suspects = {part for part in run.parts if self.answered_at.get(part, float("-inf")) <= at}
        known = self.records.get(run.run)
        if known is None:
            record = _CrashRecord(run, at, run.content, suspects, set(run.parts))
            self.records[run.run] = record
            self._confirm_blocks(now, record)
            return True
        added = set(run.parts) - known.reported
        if added:
            known.run = run
            known.reported |= added
            known.parts |= added & suspects
            self._confirm_blocks(now, known)
        return bool(added)

    def _confirm_blocks(self, now: float, record: _CrashRecord) -> None:
        """Extend the blocks that a crash confirms: one crash is enough for a known cause."""
        for block in self.blocks.values():
            if block.suspect.matches(record.content, record.parts):
                crash = record.run.run if block.suspect.content else record.run.server
                self._extend(now, block, {crash}, record.at)

    def _drop_excess(self) -> None:
        while len(self.records) > MAX_RUNS:
            del self.records[next(iter(self.records))]

    def record_answer(
        self, now: float, began_at: float, contents: Collection[str], parts: Collection[str]
    ) -> tuple[set[str], set[str]]:
        """Record that backend servers answer requests without crashing.

        :param began_at: time at which the answer was begun; it says nothing about later crashes
        :returns: the contents and the parts that it has cleared
        """
        self._remember_answer(began_at, parts)
        cleared_contents: set[str] = set()
        cleared_parts: set[str] = set()
        for record in self.records.values():
            if record.content in contents:
                cleared_contents.add(record.content)
                record.content = ""
            if record.at < began_at:
                cleared_parts |= record.parts.intersection(parts)
                record.parts.difference_update(parts)
        cleared_contents |= self._end_probes(now, contents)
        cleared_parts |= self._shrink_blocks(began_at, parts)
        if cleared_parts:
            self._evaluate(now)
        return cleared_contents, cleared_parts

    def _end_probes(self, now: float, contents: Collection[str]) -> set[str]:
        """Lift the expired blocks of contents that are answered; return these contents."""
        lifted: set[str] = set()
        for suspect, block in list(self.blocks.items()):
            if suspect.content in contents and (block.probing or now >= block.until):
                lifted.add(suspect.content)
                del self.blocks[suspect]
        return lifted

    def _remember_answer(self, began_at: float, parts: Collection[str]) -> None:
        for part in parts:
            latest = max(began_at, self.answered_at.pop(part, began_at))
            self.answered_at[part] = latest
        while len(self.answered_at) > MAX_ANSWERED_PARTS:
            del self.answered_at[next(iter(self.answered_at))]

    def _shrink_blocks(self, began_at: float, parts: Collection[str]) -> set[str]:
        """Remove parts from the blocks whose crashes are older than an answer.

        :returns: the parts that were removed
        """
        removed: set[str] = set()
        for suspect, block in list(self.blocks.items()):
            answered = suspect.parts.intersection(parts)
            if not answered or block.crashed_at >= began_at:
                continue
            removed |= answered
            del self.blocks[suspect]
            if suspect.parts - answered:
                block.suspect = Suspect(parts=suspect.parts - answered)
                self.blocks[block.suspect] = block
        return removed

    def prune(self, now: float) -> None:
        """Forget crashes that count no longer, and blocks that expired long ago."""
        pinned = {crash for block in self.blocks.values() for crash in block.crashes}
        for run, record in list(self.records.items()):
            is_pinned = run in pinned or record.run.server in pinned
            if record.at <= now - self.policy.window and not is_pinned:
                del self.records[run]
        for suspect, block in list(self.blocks.items()):
            if now > block.until + FORGET_FACTOR * self.policy.max_block:
                del self.blocks[suspect]

    # Causes ---------------------------------------------------------------------------------

    def _evaluate(self, now: float) -> None:
        """Impose the blocks that the recorded crashes call for, and lift those they do not."""
        self._evaluate_contents(now)
        causes = self._parts_to_block(now)
        crashes_known = {record.run.server for record in self.records.values()}
        lifted: list[Block] = []
        for suspect, block in list(self.blocks.items()):
            is_judged = not block.is_adopted and block.crashes <= crashes_known
            if suspect.parts and suspect not in causes and is_judged:
                lifted.append(self.blocks.pop(suspect))
        for suspect, crashes in causes.items():
            levels = [b.level for b in lifted if b.suspect.parts & suspect.parts]
            levels.append(IN_DOUBT if self._is_used(now, suspect) else 1)
            self._impose(now, suspect, crashes, max(levels))

    def _is_used(self, now: float, suspect: Suspect) -> bool:
        """Whether backend servers have answered all parts of a suspect a short time ago."""
        oldest = now - self.policy.window
        answered_at = [self.answered_at.get(part, float("-inf")) for part in suspect.parts]
        return bool(answered_at) and min(answered_at) > oldest

    def _evaluate_contents(self, now: float) -> None:
        weights: dict[str, int] = {}
        runs: dict[str, set[str]] = {}
        for record in self.records.values():
            content = record.content
            if content:
                weight = ALONE_WEIGHT if record.run.alone else 1
                weights[content] = weights.get(content, 0) + weight
                runs.setdefault(content, set()).add(record.run.run)
        for content, weight in weights.items():
            if weight >= BLOCK_THRESHOLD:
                self._impose(now, Suspect(content), runs[content], 1)

    def _parts_to_block(self, now: float) -> dict[Suspect, set[str]]:
        """Return the parts to block, each with the crashes that they explain."""
        records_by_part: dict[str, list[_CrashRecord]] = {}
        for record in self.records.values():
            for part in record.parts:
                records_by_part.setdefault(part, []).append(record)
        causes: dict[Suspect, set[str]] = {}
        explained: set[str] = set()
        while True:
            candidates = []
            for part, records in records_by_part.items():
                open_ = [r for r in records if r.run.server not in explained]
                if _is_blockable(open_):
                    candidates.append((part, open_))
            if not candidates:
                return causes
            part, records = min(candidates, key=lambda item: self._order_of_suspicion(now, *item))
            crashes = {record.run.server for record in records}
            causes[Suspect(parts=_common_parts(records))] = crashes
            explained |= crashes

    def _order_of_suspicion(
        self, now: float, part: str, records: list[_CrashRecord]
    ) -> tuple[bool, int, int, str]:
        """Return a sort key: the likeliest cause comes first.

        It has no recent answer, explains the most crashes, and comes with the most other parts, so
        that its block concerns the fewest requests.
        """
        is_used = now - self.answered_at.get(part, float("-inf")) < self.policy.window
        crashes = len({record.run.server for record in records})
        return is_used, -crashes, -len(_common_parts(records)), part

    def _impose(self, now: float, suspect: Suspect, crashes: set[str], level: int) -> None:
        block = self.blocks.get(suspect)
        if block is None:
            until = now + self.policy.duration(level)
            self.blocks[suspect] = Block(suspect, until, level, now, set(crashes))
        else:
            self._extend(now, block, crashes, self._last_crash_at(suspect, crashes))

    def _last_crash_at(self, suspect: Suspect, crashes: set[str]) -> float:
        return max(
            record.at
            for record in self.records.values()
            if (record.run.run if suspect.content else record.run.server) in crashes
        )

    def _extend(self, now: float, block: Block, crashes: set[str], crashed_at: float) -> None:
        """Base a block on further crashes; after its expiry they impose it again, for longer.

        :param crashed_at: time of the last of these crashes; one that is older than the request
            that was let through says nothing about it
        """
        if not crashes - block.crashes:
            return
        block.crashes |= crashes
        block.crashed_at = max(block.crashed_at, crashed_at)
        if block.probing and crashed_at < block.probed_at:
            return
        if block.probing or (now >= block.until and not block.is_in_doubt):
            block.level += 1
            for part in block.suspect.parts:
                self.answered_at.pop(part, None)
        block.probing = False
        block.until = max(block.until, now + self.policy.duration(block.level))

    # Exchange with other routers ------------------------------------------------------------

    def merge(self, now: float, notice: BlockNotice) -> bool:
        """Adopt a block of another router or of the store; one that names nothing is ignored.

        :returns: whether it was not known, or not for as long
        """
        if not notice.content and not notice.parts:
            return False
        suspect = Suspect(notice.content, frozenset(notice.parts))
        until = now + notice.remaining
        block = self.blocks.get(suspect)
        if notice.level == 1 and self._is_used(now, suspect):
            return False  # its sender has not seen that these parts were answered
        if block is not None and until <= block.until and notice.level <= block.level:
            return False
        if block is None:
            crashed_at = now - notice.crash_age
            block = Block(suspect, until, notice.level, crashed_at, is_adopted=True)
            self.blocks[suspect] = block
        if notice.level == IN_DOUBT and notice.remaining > self.policy.doubtful_block:
            block.start_probe(until - DOUBT_PROBE_TIME)
        block.probing = block.probing or now >= block.until
        block.until = max(block.until, until)
        block.level = max(block.level, notice.level)
        return True

    def notice(self, now: float, block: Block) -> BlockNotice:
        """Return the notice of a block for another router."""
        return BlockNotice(
            block.suspect.content,
            tuple(sorted(block.suspect.parts)),
            block.until - now,
            block.level,
            max(0.0, now - block.crashed_at),
        )

    def summary(self, now: float) -> QuarantineSummary | None:
        """Return all that another router needs to know, ``None`` if that is nothing."""
        if not self.records and not self.blocks:
            return None
        runs = tuple(_aged(now, record) for record in self.records.values())
        return QuarantineSummary(runs, tuple(self.notice(now, b) for b in self.blocks.values()))


def _is_blockable(records: list[_CrashRecord]) -> bool:
    crashes = {record.run.server for record in records}
    contents = {record.run.content for record in records}
    return len(crashes) >= BLOCK_THRESHOLD and len(contents) >= MIN_CONTENTS


def _common_parts(records: list[_CrashRecord]) -> frozenset[str]:
    """Return the parts that all records have in common."""
    return frozenset.intersection(*(frozenset(record.parts) for record in records))


def _aged(now: float, record: _CrashRecord) -> CrashedRun:
    """Return the run with its current age and the parts that are still suspect."""
    run = record.run
    return CrashedRun(
        run.run,
        run.server,
        record.content,
        tuple(part for part in run.parts if part in record.parts),
        run.alone,
        now - record.at,
    )
