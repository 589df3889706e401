"""Has this gateway's spending marks recorded: by the store, or by peers while it is away."""

import asyncio

from returns.result import Failure

from bilberryshed.coordination import Witness
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import Mark, MarkAck, MarkNotice
from bilberryshed.state import Put, RowRef
from bilberryshed.transport import Link, logger

MARK_TABLE = "spending"
RENEW_INTERVAL = 0.25  # seconds between looks whether a mark needs more lead
PEER_PATIENCE = 0.2  # seconds for a peer to acknowledge
STORE_PATIENCE = 0.3  # seconds that a request waits for the store


class MarkRecorder:
    """Raises the marks of :class:`SpendingMarks` ahead of use."""

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.marks = context.marks
        self.witness = Witness()
        self.ref = RowRef(MARK_TABLE, context.boot)
        self.version = 0
        self.store_up = True
        self.lock = asyncio.Lock()
        self.next_number = 1
        self.waiting: dict[int, asyncio.Event] = {}

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(RENEW_INTERVAL, self._renew)

    def on_store_answer(self) -> None:
        """Note that the store answers."""
        self.store_up = True

    def _renew(self, now: float) -> None:
        if not self.lock.locked() and self.marks.due(now, self.store_up):
            self.context.spawn(self.raise_marks({}))

    async def raise_marks(self, needs: dict[str, int]) -> bool:
        """Have higher marks recorded.

        :param needs: tokens that waiting requests ask for, by customer
        :returns: whether a witness recorded them
        """
        async with self.lock:
            if self.store_up:
                task = asyncio.ensure_future(self._ask_store(needs))
                done, _ = await asyncio.wait({task}, timeout=STORE_PATIENCE)
                if task in done:
                    return task.result()
                self.store_up = False
                return False
            return await self._ask_peers(needs)

    async def _ask_store(self, needs: dict[str, int]) -> bool:
        context = self.context
        tables, now = context.ports.tables, context.timers.now()
        record = self.marks.for_store(now, tables.clock, needs, context.peer_boots())
        put = Put(self.ref, self.version, record.to_value())
        written = await tables.put(put)
        if isinstance(written, Failure):
            self.store_up = False
            logger().warning("mark_not_stored", detail=written.failure().detail)
            return False
        version = written.unwrap()
        if version is None:
            await self._read_version()
            return False
        self.version = version
        self.marks.on_stored(record)
        return True

    async def _read_version(self) -> None:
        """Learn the version of a record whose answer was lost."""
        rows = await self.context.ports.tables.read((self.ref,))
        if not isinstance(rows, Failure):
            self.version = rows.unwrap()[0].version

    async def _ask_peers(self, needs: dict[str, int]) -> bool:
        now = self.context.timers.now()
        links = [
            link
            for link in self.context.peer_links.values()
            if self.marks.may_ask_peer(now, link.peer.boot)
        ]
        if not links:
            return False
        number, marks = self.next_number, self.marks.compose(now, needs)
        self.next_number += 1
        acknowledged = self.waiting[number] = asyncio.Event()
        notice = MarkNotice(number, tuple(Mark(name, mark) for name, mark in marks.items()))
        for link in links:
            link.send(notice)
        try:
            async with asyncio.timeout(PEER_PATIENCE):
                await acknowledged.wait()
        except TimeoutError:
            logger().info("mark_not_witnessed", peers=len(links))
            return False
        finally:
            del self.waiting[number]
        self.marks.apply(marks)
        return True

    async def forget(self) -> None:
        """Delete this lifetime's record once its accounts are closed."""
        await self.context.ports.tables.write((Put(self.ref, self.version, None),))

    # Messages -------------------------------------------------------------------------------

    def on_notice(self, link: Link, notice: MarkNotice) -> None:
        """Record a peer's marks."""
        marks = {mark.customer: mark.tokens for mark in notice.marks}
        if self.witness.record(link.peer.boot, marks):
            link.send(MarkAck(notice.number))

    def on_ack(self, link: Link, ack: MarkAck) -> None:
        """Note that a peer recorded marks."""
        waiting = self.waiting.get(ack.number)
        if waiting is not None:
            waiting.set()
