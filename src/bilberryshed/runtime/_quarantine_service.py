"""Replication of quarantine entries between routers and the table service."""

from returns.result import Failure, Success

from bilberryshed.coordination import Quarantine, QuarantineEntry, QuarantineState
from bilberryshed.protocol import QuarantineNotice
from bilberryshed.runtime._context import RouterContext
from bilberryshed.state import SUSPICIONS, Put, RowRef
from bilberryshed.transport import logger

LOAD_RETRY_INTERVAL = 2.0  # seconds between attempts to read the stored entries
MAX_LOADED_ENTRIES = 10_000  # rows read at startup
MAX_WRITE_ATTEMPTS = 5


class QuarantineService:
    """Quarantine entries of one router, and their replication."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.quarantine = Quarantine()
        self.loaded = False

    def start(self) -> None:
        """Start to read the stored entries."""
        self.context.timers.subscribe(LOAD_RETRY_INTERVAL, self._on_tick)
        self.context.spawn(self._load())

    def standing(self, content: str) -> QuarantineState:
        """Return the quarantine state of a content fingerprint."""
        return self.quarantine.standing(self.context.timers.wall_time(), content)

    def on_crash(self, content: str, alone: bool) -> None:
        """Record that a content was running when a backend server crashed, and replicate it."""
        entry = self.quarantine.on_crash(self.context.timers.wall_time(), content, alone)
        self.context.metrics.count(f"content_{entry.standing}")
        logger().warning("content_crashed", content=content, standing=entry.standing)
        self._broadcast(entry)
        self.context.spawn(self._store(entry))

    def on_success(self, content: str) -> None:
        """Clear a suspect content that ran to completion."""
        if self.quarantine.on_success(self.context.timers.wall_time(), content):
            cleared = QuarantineEntry(content, QuarantineState.CLEAR, 0.0)
            self._broadcast(cleared)
            self.context.spawn(self._store(cleared))

    def on_notice(self, notice: QuarantineNotice) -> None:
        """Merge an entry from another router or from the store."""
        wall_time = self.context.timers.wall_time()
        if notice.standing == QuarantineState.CLEAR:
            self.quarantine.on_success(wall_time, notice.content)
            return
        self.quarantine.merge(wall_time, _entry_from_notice(notice))

    def _broadcast(self, entry: QuarantineEntry) -> None:
        notice = QuarantineNotice(entry.content, entry.standing, entry.until)
        for name in self.context.members.routers():
            self.context.send_to_peer(name, notice)

    async def _store(self, entry: QuarantineEntry) -> None:
        """Store an entry; after repeated failures only the routers that received it have it."""
        ref = RowRef(SUSPICIONS, entry.content)
        value = {"standing": str(entry.standing), "until": entry.until}
        for _ in range(MAX_WRITE_ATTEMPTS):
            rows = await self.context.tables.read((ref,))
            if isinstance(rows, Failure):
                continue
            row = rows.unwrap()[0]
            is_clear = entry.standing is QuarantineState.CLEAR
            if is_clear and row.version == 0:
                return
            put = Put(ref, row.version, None if is_clear else value)
            written = await self.context.tables.write((put,))
            if isinstance(written, Success) and written.unwrap():
                return

    def _on_tick(self, now: float) -> None:
        if not self.loaded:
            self.context.spawn(self._load())

    async def _load(self) -> None:
        rows = await self.context.tables.scan(SUSPICIONS, "", "", MAX_LOADED_ENTRIES)
        if isinstance(rows, Failure):
            return
        self.loaded = True
        for row in rows.unwrap():
            notice = QuarantineNotice(row.ref.key, row.value["standing"], row.value["until"])
            self.on_notice(notice)


def _entry_from_notice(notice: QuarantineNotice) -> QuarantineEntry:
    return QuarantineEntry(notice.content, QuarantineState(notice.standing), notice.until)
