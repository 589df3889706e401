"""Follows the orders to evacuate zones, and tells the other gateways of them."""

from collections.abc import Callable
from typing import Any

from bilberryshed.coordination.places import Evacuations, TableStamp, evacuated_zone
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import EvacuationNotice
from bilberryshed.state import ChangeBatch
from bilberryshed.transport import Link, logger

ASK_INTERVAL = 1.0  # seconds between notices to one peer while the store does not respond


class EvacuationOrders:
    """The evacuated zones of this gateway.

    While the store does not respond, or is not read, one linked gateway after another is sent the
    own set; it responds if it knows a later one.

    :param on_zone_restored: called with the time and a zone whose evacuation has ended
    :param store_up: whether the store responded to the last read of the orders
    :param relies_on_peers: whether the store is not read for now, as peers send what is new
    :param asked: number of notices sent to single peers
    """

    __slots__ = (
        "context",
        "on_zone_restored",
        "evacuations",
        "store_up",
        "relies_on_peers",
        "asked",
    )

    def __init__(
        self, context: GatewayContext, on_zone_restored: Callable[[float, str], None]
    ) -> None:
        self.context = context
        self.on_zone_restored = on_zone_restored
        self.evacuations = Evacuations()
        self.store_up = True
        self.relies_on_peers = False
        self.asked = 0

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(ASK_INTERVAL, lambda now: self._ask())

    def handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        """Return the message handlers by message class."""
        return {EvacuationNotice: self._on_notice}

    def notice(self) -> EvacuationNotice | None:
        """Return the notice for a gateway that has just linked, ``None`` without evacuations."""
        evacuations = self.evacuations
        return self._notice() if evacuations.zones or evacuations.ended else None

    def _notice(self) -> EvacuationNotice:
        evacuations, stamp = self.evacuations, self.evacuations.stamp
        missing = evacuations.missing_since.keys()
        ordered = tuple(sorted(evacuations.zones - missing))
        return EvacuationNotice(stamp.epoch, stamp.version, ordered, tuple(sorted(missing)))

    def on_outage(self) -> None:
        """Record that the store does not respond."""
        self.store_up = False

    def on_changes(self, changes: ChangeBatch, begun_at: float) -> None:
        """Apply the rows of the operators' table.

        :param begun_at: monotonic time at which the read began
        """
        self.store_up = True
        rows: dict[str, bool] = {}
        for row in changes.rows:
            zone = evacuated_zone(row.key, self.context.ports.evacuation_prefix)
            if zone:
                rows[zone] = row.data is not None
            elif zone is not None:
                logger().warning("evacuation_unreadable", finding=f"{ascii(row.key)} names no zone")
        stamp, before = TableStamp(changes.epoch, changes.version), self.evacuations.zones
        if changes.is_snapshot:
            ordered = frozenset(zone for zone, is_ordered in rows.items() if is_ordered)
            self.evacuations.on_snapshot(begun_at, stamp, ordered)
        else:
            self.evacuations.on_changes(begun_at, stamp, rows)
        if self.evacuations.zones != before:
            self._apply(before, "store")
            self.context.broadcast(self._notice())

    def _on_notice(self, link: Link, notice: EvacuationNotice) -> None:
        before, stamp = self.evacuations.zones, TableStamp(notice.epoch, notice.version)
        now = self.context.timers.now()
        ordered, missing = frozenset(notice.zones), frozenset(notice.missing)
        if self.evacuations.on_notice(now, stamp, ordered, missing):
            link.send(self._notice())
        if self.evacuations.zones != before:
            self._apply(before, link.peer.name)

    def _ask(self) -> None:
        links = list(self.context.peer_links.values())
        is_due = self.relies_on_peers or (not self.store_up and self.notice() is not None)
        if is_due and links:
            self.asked += 1
            links[self.asked % len(links)].send(self._notice())

    def _apply(self, before: frozenset[str], source: str) -> None:
        zones, now = self.evacuations.zones, self.context.timers.now()
        for zone in before - zones:
            self.on_zone_restored(now, zone)
        self.context.backends.evacuated = zones
        known = {view.server.zone for view in self.context.backends.views.values()}
        for zone in sorted(zones - before):
            logger().warning("zone_evacuated", zone=zone, source=source)
            if zone not in known:
                finding = f"{self.context.ports.evacuation_prefix}{zone}: no server is there"
                logger().warning("evacuation_unknown", finding=finding)
        for zone in sorted(before - zones):
            logger().warning("zone_restored", zone=zone, source=source)
