"""Paces the requests to cold backend servers, together with the other gateways."""

from collections.abc import Callable
from typing import Any

from bilberryshed.coordination import PermitDecision, PermitIssuer, limit_coordinator
from bilberryshed.coordination.places import (
    UNREADABLE,
    ColdServers,
    CoordinatorHistory,
    cold_rate,
    is_protected,
)
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import ColdNotice, ColdPermitRequest, ColdSummary, PermitResponse
from bilberryshed.state import BackendServer, RoutedService
from bilberryshed.transport import Link, logger

CHECK_INTERVAL = 0.1  # seconds between checks of the entries and of the links
REFUSED_WAIT = 0.3  # seconds without requests to a server whose coordinator issues no permits


class ColdLimits:
    """The cold backend servers and the permits for them.

    :param issuer: issuer of the permits for limits that servers name as well
    :param named_limit: returns the limit that a backend server names, by incarnation
    """

    __slots__ = ("context", "issuer", "named_limit", "servers", "history")

    def __init__(
        self,
        context: GatewayContext,
        issuer: PermitIssuer,
        named_limit: Callable[[str], float | None],
    ) -> None:
        self.context = context
        self.issuer = issuer
        self.named_limit = named_limit
        self.servers = ColdServers()
        self.history = CoordinatorHistory(context.settings.name)

    def start(self) -> None:
        """Subscribe to the timers."""
        self.context.timers.subscribe(CHECK_INTERVAL, self.check)

    def handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        """Return the message handlers by message class."""
        return {
            ColdNotice: lambda link, notice: self._on_notice(notice),
            ColdSummary: self._on_summary,
            ColdPermitRequest: self._on_request,
        }

    @property
    def is_on(self) -> bool:
        """Whether the settings switch the feature on; it has no effect otherwise."""
        settings = self.context.settings
        return settings.cold_overrun is not None and settings.cold_slack is not None

    def summary(self) -> ColdSummary | None:
        """Return the cold backend servers for a gateway that has just linked."""
        now = self.context.timers.now()
        known = tuple(self.notice(now, name) for name in self.servers.states)
        return ColdSummary(known) if known else None

    def notice(self, now: float, server: str) -> ColdNotice:
        """Return what this gateway knows of a cold backend server.

        :param server: its incarnation
        """
        return ColdNotice(server, *self.servers.news(now, server))

    # Backend servers ------------------------------------------------------------------------

    def check(self, now: float) -> None:
        """Apply new entries, and note the gateways that can be coordinators.

        :param now: monotonic time in seconds
        """
        index = self.context.index
        if not self.is_on or index is None:
            return
        self._record_links(now)
        servers = [view.server for view in self.context.backends.views.values()]
        self.servers.on_entries(now, servers, index.table.services)
        self._update_views(now)
        self.servers.prune(now)

    def _record_links(self, now: float) -> None:
        if self.context.listed:
            names = {*self.context.known_gateways, self.context.settings.name}
            lag = now - self.context.timers.responsive_time()
            self.history.record(now, self._candidates(), names, lag)

    def _update_views(self, now: float) -> None:
        """Mark the views of cold backend servers, and log changes."""
        for view in self.context.backends.views.values():
            server = view.server
            is_cold, was_cold = self.servers.is_cold(now, server.incarnation), view.is_cold
            view.is_cold = is_cold
            if is_cold and not was_cold:
                left = round(self.servers.time_left(now, server.incarnation), 3)
                logger().info("server_cold", server=server.id, zone=server.zone, seconds=left)
                if server.cold_ms is None:
                    location = f"entry of {server.id}, cold time"
                    logger().warning("cold_time_unreadable", finding=location)
            elif was_cold and not is_cold:
                view.limited_until = 0.0
                logger().info("server_warm", server=server.id, zone=server.zone)

    def _service(self, server: BackendServer) -> RoutedService | None:
        index = self.context.index
        return index.table.services.get(server.service) if index else None

    def must_pace(self, now: float, server: BackendServer) -> bool:
        """Whether requests to a backend server need permits, as it is cold."""
        service = self._service(server)
        if not self.is_on or service is None or not is_protected(service):
            return False
        self.servers.on_entry(now, server, service)
        return self.servers.is_cold(now, server.incarnation)

    def on_response(self, server: BackendServer, cold_time: float | None) -> None:
        """Note that a response says that its server is cold, and tell the other gateways."""
        now, service = self.context.timers.now(), self._service(server)
        if cold_time is None or not self.is_on or service is None or not is_protected(service):
            return
        if cold_time == UNREADABLE:
            logger().warning("cold_time_unreadable", finding=f"response of {server.id}, cold time")
        was_cold = self.servers.is_cold(now, server.incarnation)
        self.servers.on_response(now, server, service, cold_time)
        if not was_cold and self.servers.is_cold(now, server.incarnation):
            self._update_views(now)
            self.context.broadcast(self.notice(now, server.incarnation))

    def on_zone_restored(self, now: float, zone: str) -> None:
        """Take the backend servers of a zone whose evacuation has ended for cold."""
        index = self.context.index
        if not self.is_on or index is None:
            return
        views = self.context.backends.views.values()
        self.servers.on_entries(now, [view.server for view in views], index.table.services)
        self.servers.on_zone_restored(now, zone)
        self._update_views(now)

    # Permits --------------------------------------------------------------------------------

    def coordinator(self, server: BackendServer) -> str | None:
        """Return the gateway that issues the permits for a cold backend server."""
        return limit_coordinator(server.incarnation, server.zone, self._candidates())

    def _candidates(self) -> dict[str, str]:
        """Return the gateways that can be coordinators, and their availability zones.

        A gateway that does not respond stays the coordinator while its link is up, as it may still
        issue permits to others.
        """
        context, hubs = self.context, self.context.hubs
        zones = {
            name: hubs.zones.get(name, "")
            for name in context.peer_links
            if name not in hubs.unavailable
        }
        if not context.draining:
            zones[context.settings.name] = context.settings.zone
        return zones

    def decide(self, now: float, server: BackendServer, asker: str) -> PermitDecision:
        """Decide on a request for a permit; issue none unless this is the coordinator."""
        rate = self._rate(now, server, asker)
        if rate <= 0:
            return PermitDecision(False, REFUSED_WAIT)
        return self.issuer.request(now, server.incarnation, rate, asker, ahead=False)

    def _rate(self, now: float, server: BackendServer, asker: str) -> float:
        """Return the permits per second that this gateway may issue."""
        service, settings = self._service(server), self.context.settings
        if service is None or settings.cold_overrun is None or settings.cold_slack is None:
            return 0.0
        self._record_links(now)
        name = server.incarnation
        askers = self.issuer.askers(now, name, asker)
        rate = cold_rate(service, settings.cold_overrun, settings.cold_slack)
        rate *= self.history.share(now, name, server.zone, askers)
        named = self.named_limit(name)
        return rate if named is None else min(rate, named)

    # Other gateways -------------------------------------------------------------------------

    def _on_notice(self, notice: ColdNotice) -> None:
        if self.is_on:
            now = self.context.timers.now()
            self.servers.on_notice(now, notice.server, notice.left, notice.age, notice.sequence)

    def _on_summary(self, link: Link, summary: ColdSummary) -> None:
        for notice in summary.servers:
            self._on_notice(notice)

    def _on_request(self, link: Link, request: ColdPermitRequest) -> None:
        """Decide on a request for a permit, as the sender takes this gateway for coordinator."""
        self._on_notice(request.cold)
        now, decision = self.context.timers.now(), PermitDecision(False, REFUSED_WAIT)
        for view in self.context.backends.views.values():
            if view.server.incarnation == request.cold.server:
                decision = self.decide(now, view.server, link.peer.name)
        link.send(PermitResponse(request.ask, decision.granted, decision.wait))
