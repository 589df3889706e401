"""Keeps the accepted sheet in force on one router and passes it to others."""

from hashlib import sha256

from returns.result import Failure, Success

from bilberryshed.coordination import ActiveSheet, owner
from bilberryshed.protocol import SheetNotice
from bilberryshed.runtime._context import RouterContext
from bilberryshed.state import SHEET_HEAD, SheetHead, parse_sheet, sheet_object
from bilberryshed.transport import logger

POLL_DUTY = "sheet-poll"
BACKUP_TURNS = 10  # a router without the duty polls at every tenth turn


class SheetReplica:
    """Polls the head row, fetches new sheets, tells peers."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.turn = 0
        self.polling = False

    def start(self) -> None:
        """Begin to poll."""
        self.context.timers.subscribe(self.context.settings.sheet_interval, self._on_tick)
        self.context.spawn(self.poll())

    def _on_tick(self, now: float) -> None:
        self.turn += 1
        on_duty = self.context.members.owns_task(POLL_DUTY, self.context.members.zone)
        if on_duty or self.context.rollout.is_stale or self.turn % BACKUP_TURNS == 0:
            self.context.spawn(self.poll())

    async def poll(self) -> None:
        """Read the head row and fetch the sheet if it is new."""
        if self.polling:
            return
        self.polling = True
        try:
            await self._poll()
        finally:
            self.polling = False

    async def _poll(self) -> None:
        rows = await self.context.tables.read((SHEET_HEAD,))
        if not isinstance(rows, Success):
            self.context.metrics.count("sheet_poll_failed")
            return
        head = SheetHead.from_value(rows.unwrap()[0].value)
        if not self.context.rollout.record_version(head.version):
            return
        content = await self.context.objects.get(sheet_object(head.digest))
        data = content.value_or(None)
        if data is not None:
            self._apply(head.version, head.digest, data, "store")

    def on_notice(self, notice: SheetNotice, peer: str) -> None:
        """Handle a sheet that a peer has in force."""
        if self.context.rollout.record_version(notice.version):
            self._apply(notice.version, notice.digest, notice.content, peer)

    def notice(self) -> SheetNotice | None:
        """Return the sheet in force as a notice."""
        current = self.context.rollout.current
        if current is None:
            return None
        return SheetNotice(current.version, current.digest, current.content)

    def _apply(self, version: int, digest: str, content: bytes, source: str) -> None:
        if sha256(content).hexdigest() != digest:
            logger().error("sheet_digest_differs", version=version, source=source)
            return
        parsed = parse_sheet(f"sheet {version}", content)
        if isinstance(parsed, Failure):
            logger().error("sheet_invalid", version=version, finding=str(parsed.failure()[0]))
            return
        offered = ActiveSheet(version, digest, content, parsed.unwrap())
        if self.context.rollout.apply(offered):
            logger().info("sheet_in_force", version=version, source=source)
            self._tell_peers()

    def _tell_peers(self) -> None:
        """Tell this zone's routers, and one router of each other zone."""
        notice = self.notice()
        for name in self._audience():
            self.context.send_peer(name, notice)

    def _audience(self) -> list[str]:
        members = self.context.members
        by_zone: dict[str, list[str]] = {}
        for name in members.routers():
            by_zone.setdefault(members.by_name[name].vm.zone, []).append(name)
        audience = by_zone.pop(members.zone, [])
        for names in by_zone.values():
            chosen = owner(POLL_DUTY, names)
            if chosen is not None:
                audience.append(chosen)
        return audience
