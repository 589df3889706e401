"""Replication of the accepted sheet to one router, and from it to other routers."""

from hashlib import sha256

from returns.result import Failure, Success

from bilberryshed.coordination import ActiveSheet, owner
from bilberryshed.protocol import SheetNotice
from bilberryshed.runtime._context import RouterContext
from bilberryshed.state import SHEET_HEAD, SheetHead, parse_sheet, sheet_object_name
from bilberryshed.transport import logger

POLL_TASK = "sheet-poll"
FALLBACK_POLL_TICKS = 10  # a router that does not own the poll task polls every tenth tick


class SheetReplica:
    """Polls the head row, applies new sheets and sends them to other routers."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.tick = 0
        self.polling = False

    def start(self) -> None:
        """Start to poll."""
        self.context.timers.subscribe(self.context.settings.sheet_interval, self._on_tick)
        self.context.spawn(self.poll())

    def _on_tick(self, now: float) -> None:
        self.tick += 1
        is_owner = self.context.members.owns_task(POLL_TASK, self.context.members.zone)
        if is_owner or self.context.rollout.is_stale or self.tick % FALLBACK_POLL_TICKS == 0:
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
        content = await self.context.objects.get(sheet_object_name(head.digest))
        data = content.value_or(None)
        if data is not None:
            self._apply(head.version, head.digest, data, "store")

    def on_notice(self, notice: SheetNotice, peer: str) -> None:
        """Apply a peer's sheet if it is newer."""
        if self.context.rollout.record_version(notice.version):
            self._apply(notice.version, notice.digest, notice.content, peer)

    def notice(self) -> SheetNotice | None:
        """Return a message with the active sheet, ``None`` if there is none."""
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
        candidate = ActiveSheet(version, digest, content, parsed.unwrap())
        if self.context.rollout.apply(candidate):
            logger().info("sheet_applied", version=version, source=source)
            self._notify_peers()

    def _notify_peers(self) -> None:
        """Send the active sheet to this zone's routers and to one router of each other zone."""
        notice = self.notice()
        for name in self._recipients():
            self.context.send_to_peer(name, notice)

    def _recipients(self) -> list[str]:
        members = self.context.members
        by_zone: dict[str, list[str]] = {}
        for name in members.routers():
            by_zone.setdefault(members.by_name[name].vm.zone, []).append(name)
        recipients = by_zone.pop(members.zone, [])
        for names in by_zone.values():
            chosen = owner(POLL_TASK, names)
            if chosen is not None:
                recipients.append(chosen)
        return recipients
