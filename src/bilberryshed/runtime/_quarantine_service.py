"""Shares suspicions among routers, and keeps them in the table service."""

from returns.result import Failure, Success

from bilberryshed.coordination import Quarantine, QuarantineEntry, QuarantineState
from bilberryshed.protocol import ContentNotice
from bilberryshed.runtime._context import RouterContext
from bilberryshed.state import SUSPICIONS, Put, RowRef
from bilberryshed.transport import logger

LOAD_INTERVAL = 2.0  # seconds between tries to read what is kept
MAX_SUSPICIONS = 10_000  # rows read at start
WRITE_TRIES = 5


class QuarantineService:
    """This router's suspicions and their way to others."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.quarantine = Quarantine()
        self.loaded = False

    def start(self) -> None:
        """Begin to read what is kept."""
        self.context.timers.subscribe(LOAD_INTERVAL, self._on_tick)
        self.context.spawn(self._load())

    def standing(self, content: str) -> QuarantineState:
        """Return the standing of a content."""
        return self.quarantine.standing(self.context.timers.wall(), content)

    def on_crash(self, content: str, alone: bool) -> None:
        """Note that a content was running when a backend server crashed, and tell others."""
        suspicion = self.quarantine.on_crash(self.context.timers.wall(), content, alone)
        self.context.metrics.count(f"content_{suspicion.standing}")
        logger().warning("content_crashed", content=content, standing=suspicion.standing)
        self._tell(suspicion)
        self.context.spawn(self._keep(suspicion))

    def on_success(self, content: str) -> None:
        """Clear a suspect that ran to its end."""
        if self.quarantine.on_success(self.context.timers.wall(), content):
            cleared = QuarantineEntry(content, QuarantineState.CLEAR, 0.0)
            self._tell(cleared)
            self.context.spawn(self._keep(cleared))

    def on_notice(self, notice: ContentNotice) -> None:
        """Handle what another router knows."""
        wall = self.context.timers.wall()
        if notice.standing == QuarantineState.CLEAR:
            self.quarantine.on_success(wall, notice.content)
            return
        self.quarantine.merge(wall, _suspicion(notice))

    def _tell(self, suspicion: QuarantineEntry) -> None:
        notice = ContentNotice(suspicion.content, suspicion.standing, suspicion.until)
        for name in self.context.members.routers():
            self.context.send_peer(name, notice)

    async def _keep(self, suspicion: QuarantineEntry) -> None:
        """Write a suspicion; a failure leaves it to the routers that know it."""
        ref = RowRef(SUSPICIONS, suspicion.content)
        value = {"standing": str(suspicion.standing), "until": suspicion.until}
        for _ in range(WRITE_TRIES):
            rows = await self.context.tables.read((ref,))
            if isinstance(rows, Failure):
                continue
            row = rows.unwrap()[0]
            is_clear = suspicion.standing is QuarantineState.CLEAR
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
        rows = await self.context.tables.scan(SUSPICIONS, "", "", MAX_SUSPICIONS)
        if isinstance(rows, Failure):
            return
        self.loaded = True
        for row in rows.unwrap():
            notice = ContentNotice(row.ref.key, row.value["standing"], row.value["until"])
            self.on_notice(notice)


def _suspicion(notice: ContentNotice) -> QuarantineEntry:
    return QuarantineEntry(notice.content, QuarantineState(notice.standing), notice.until)
