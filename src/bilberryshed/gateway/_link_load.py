"""Moves callers away from a gateway whose VM's network link is full."""

from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer

from bilberryshed.coordination.admission import (
    FULL_USE,
    ROOM_USE,
    LinkDemand,
    LinkPeers,
    LinkReadiness,
    LinkState,
    longest_wait,
)
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import LinkStateNotice
from bilberryshed.transport import Link, logger

CHECK_INTERVAL = 0.1  # seconds between updates of the meter
MAX_DISPATCH_WAIT = 0.5  # seconds; bytes that wait longer may arrive at a server that has left
FULL_WAIT = 0.05  # seconds of waiting bytes from which the link may make a connection time out
CLEAR_SHARE = 0.2  # share of the time that counts as clear while the own link is full
RENEWAL_INTERVAL = 2.0  # seconds between notices of a gateway that is full


class LinkLoad:
    """Load of the network link, readiness by it, and what the other gateways tell of theirs.

    :param http: the callers' listener
    :param noticed_at: monotonic time of the last notice sent, in seconds
    :param delayed: responsive seconds that do not count, as the link delayed what others sent
    :param counted_until: responsive time up to which ``delayed`` is counted
    """

    __slots__ = (
        "context",
        "meter",
        "readiness",
        "peers",
        "http",
        "noticed_at",
        "delayed",
        "counted_until",
    )

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.meter = context.link_meter
        self.readiness = LinkReadiness()
        self.peers = LinkPeers()
        self.http: HTTPServer | None = None
        self.noticed_at = 0.0
        self.delayed = 0.0
        self.counted_until = 0.0

    def start(self, http: HTTPServer) -> None:
        """Subscribe to the timers."""
        self.http = http
        self.context.timers.subscribe(CHECK_INTERVAL, self.check)

    def handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        """Return the message handlers by message class."""
        return {LinkStateNotice: self._on_notice}

    def summary(self) -> LinkStateNotice | None:
        """Return the state of a full link for a gateway that has just linked."""
        return self._notice() if self.readiness.is_full else None

    @property
    def is_on(self) -> bool:
        """Whether the settings switch the feature on; it has no effect otherwise."""
        return self.context.settings.link_wait_ratio > 0 and self.meter.capacity > 0

    @property
    def is_away(self) -> bool:
        """Whether the gateway has given up readiness, so that its callers move."""
        return self.is_on and self.readiness.is_away

    def must_refuse(self, demand: LinkDemand) -> bool:
        """Whether a new request would wait too long for the link."""
        if not self.is_on:
            return False
        now = self.context.timers.now()
        wait = self.meter.send_wait(now)
        if wait <= 0.0:
            return False
        names, ratio = self._zone_peers(), self.context.settings.link_wait_ratio
        return wait > longest_wait(demand, ratio, self.peers.have_room(now, names))

    def may_dispatch(self) -> bool:
        """Whether a request that is written to a backend server now leaves the link soon."""
        if not self.is_on:
            return True
        return self.meter.send_wait(self.context.timers.now()) <= MAX_DISPATCH_WAIT

    @property
    def delays_connections(self) -> bool:
        """Whether the own link may be why a connection is not opened in time."""
        if not self.is_on:
            return False
        wait = self.meter.send_wait(self.context.timers.now())
        return self.readiness.is_full or self.meter.use >= FULL_USE or wait >= FULL_WAIT

    @property
    def delays_responses(self) -> bool:
        """Whether the own link may be why nothing arrives from others.

        How much waits outside is not known, so that recent use near the capacity has to tell.
        """
        if not self.is_on:
            return False
        wait = self.meter.send_wait(self.context.timers.now())
        return self.meter.delaying_use >= FULL_USE or wait >= FULL_WAIT

    def clear_time(self) -> float:
        """Return the responsive seconds in which the own link delayed nothing.

        The silence of others is measured in this time. It goes on slowly while the link is full, so
        that silent backend servers are noticed behind a link that is always full, too.
        """
        now = self.context.timers.responsive_time()
        if now > self.counted_until:
            if self.delays_responses:
                self.delayed += (1 - CLEAR_SHARE) * (now - self.counted_until)
            self.counted_until = now
        return now - self.delayed

    def check(self, now: float) -> None:
        """Update the meter and decide on readiness.

        :param now: monotonic time in seconds
        """
        if self.is_on:
            self._decide(now)
            self.clear_time()
        if self.http is not None and not self.context.draining:
            self.http.conn_params.no_keep_alive = self.is_away

    def _decide(self, now: float) -> None:
        self.meter.update(now)
        readiness = self.readiness
        before = readiness.is_full, readiness.is_away
        readiness.update(now, self.meter.use, self.meter.predicted_use, self._is_allowed(now))
        if (readiness.is_full, readiness.is_away) != before:
            self._on_change(now)
        elif readiness.is_full and now - self.noticed_at >= RENEWAL_INTERVAL:
            self._send_notice(now)

    def _is_allowed(self, now: float) -> bool:
        """Whether the zone leaves room for an absence; not looked up while the link has room."""
        if self.meter.use < ROOM_USE and not self.readiness.is_away:
            return False
        return self.peers.allow_away(now, self._state(now), self._zone_peers())

    def _on_change(self, now: float) -> None:
        readiness, meter = self.readiness, self.meter
        logger().info(
            "link_full" if readiness.is_full else "link_room",
            ready=not readiness.is_away,
            use=round(meter.use, 3),
            predicted=round(meter.predicted_use, 3),
            wait=round(meter.send_wait(now), 3),
        )
        self._send_notice(now)

    def _send_notice(self, now: float) -> None:
        self.noticed_at = now
        self.context.send_to(self._zone_peers(), self._notice())

    def _notice(self) -> LinkStateNotice:
        now = self.context.timers.now()
        state = self._state(now)
        age = now - self.meter.updated_at
        return LinkStateNotice(state.is_full, state.is_away, round(state.use, 4), age)

    def _state(self, now: float) -> LinkState:
        readiness = self.readiness
        use = readiness.leaving_use if readiness.is_away else self.meter.use
        name = self.context.settings.name
        return LinkState(name, readiness.is_full, readiness.is_away, round(use, 4), now)

    def _zone_peers(self) -> list[str]:
        """Return the linked gateways of the own zone."""
        zone, links = self.context.settings.zone, self.context.peer_links
        return [name for name, link in links.items() if link.peer.zone == zone]

    def _on_notice(self, link: Link, notice: LinkStateNotice) -> None:
        known_at = self.context.timers.now() - max(0.0, notice.age)
        name = link.peer.name
        self.peers.on_notice(LinkState(name, notice.is_full, notice.is_away, notice.use, known_at))
