"""Closes the accounts of earlier lifetimes of this gateway.

A process that starts on a VM proves that its predecessor there is dead. What the predecessor was
granted beyond its marks goes back to the pool.
"""

import asyncio

from returns.result import Failure

from bilberryshed.coordination import MarkRecord, PoolRow
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._mark_recorder import MARK_TABLE, MarkRecorder
from bilberryshed.gateway._prepaid_funds import POOL_TABLE, PrepaidFunds
from bilberryshed.protocol import Mark, MarkAnswer, MarkQuery
from bilberryshed.state import Put, RowRef
from bilberryshed.transport import Link, logger

INTERVAL = 0.3  # seconds between tries
TRIES = 200  # after which what was not proved stays with the dead lifetime
ANSWER_TIME = 0.3  # seconds for peers to answer


class Succession:
    """The successor's side of :class:`SpendingMarks`."""

    def __init__(
        self, context: GatewayContext, funds: PrepaidFunds, recorder: MarkRecorder
    ) -> None:
        self.context = context
        self.funds = funds
        self.recorder = recorder
        self.answers: dict[str, dict[str, dict[str, int]]] = {}
        self.final: dict[str, dict[str, int]] = {}

    async def run(self) -> None:
        """Close predecessors until none is left."""
        for _ in range(TRIES):
            dead = self._dead()
            if self.funds.seen and not dead:
                return
            for boot in dead:
                marks = await self._marks(boot)
                if marks is not None:
                    await self._close(boot, marks)
            await asyncio.sleep(INTERVAL)
        logger().error("predecessor_open", boots=",".join(sorted(self._dead())))

    def _dead(self) -> set[str]:
        """Return earlier lifetimes of this gateway that hold grants."""
        prefix, own = f"{self.context.settings.name}.", self.context.boot
        holders = {boot for row in self.funds.seen.values() for boot in row.holders}
        return {boot for boot in holders if boot.startswith(prefix) and boot != own}

    async def _marks(self, boot: str) -> dict[str, int] | None:
        """Return bounds on what a dead lifetime used, ``None`` if they are not proved yet."""
        if boot in self.final:
            return self.final[boot]
        tables = self.context.ports.tables
        rows = await tables.read((RowRef(MARK_TABLE, boot),))
        if isinstance(rows, Failure):
            return None
        record = MarkRecord.from_value(rows.unwrap()[0].value)
        marks = dict(record.marks)
        if not record.marks or record.is_final(tables.clock):
            self.final[boot] = marks
            logger().info("predecessor_marks", boot=boot, source="store")
            return marks
        told = await self._ask_witnesses(boot, record.witnesses)
        if told is None:
            return None
        for witnessed in told:
            for name, mark in witnessed.items():
                marks[name] = max(marks.get(name, mark), mark)
        self.final[boot] = marks
        logger().info("predecessor_marks", boot=boot, source="peers", peers=len(told))
        return marks

    async def _ask_witnesses(
        self, boot: str, witnesses: tuple[str, ...]
    ) -> list[dict[str, int]] | None:
        """Return what all witnesses recorded, ``None`` while one of them does not answer."""
        answers = self.answers.setdefault(boot, {})
        for link in self.context.peer_links.values():
            if link.peer.boot in witnesses:
                link.send(MarkQuery(boot))
        await asyncio.sleep(ANSWER_TIME)
        if not set(witnesses) <= answers.keys():
            return None
        return [answers[witness] for witness in witnesses]

    async def _close(self, boot: str, marks: dict[str, int]) -> None:
        names = [name for name, row in self.funds.seen.items() if boot in row.holders]
        refs = tuple(RowRef(POOL_TABLE, name) for name in sorted(names))
        async with self.funds.store_lock:
            rows = await self.context.ports.tables.read(refs)
            if isinstance(rows, Failure):
                return
            puts = []
            for row in rows.unwrap():
                pool = PoolRow.from_value(row.value)
                self.funds.seen[row.ref.key] = pool
                if boot in pool.holders:
                    closed = pool.without_holder(boot, marks.get(row.ref.key, 0))
                    puts.append(Put(row.ref, row.version, closed.to_value()))
            written = await self.context.ports.tables.write(tuple(puts))
        if not isinstance(written, Failure) and written.unwrap():
            logger().info("predecessor_closed", boot=boot, customers=len(puts))
            await self.funds.sync({})

    def on_query(self, link: Link, query: MarkQuery) -> None:
        """Tell what is recorded of a dead lifetime, and record no more of it."""
        marks = self.recorder.witness.fence(query.boot)
        told = tuple(Mark(name, mark) for name, mark in marks.items())
        link.send(MarkAnswer(query.boot, told))

    def on_answer(self, link: Link, answer: MarkAnswer) -> None:
        """Keep what a witness tells."""
        marks = {mark.customer: mark.tokens for mark in answer.marks}
        self.answers.setdefault(answer.boot, {})[link.peer.boot] = marks
