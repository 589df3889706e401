"""Keeps the limits that backend servers name, together with the other gateways."""

from collections.abc import Callable
from typing import Any

from bilberryshed.coordination import (
    NamedLimits,
    Permit,
    PermitDecision,
    PermitIssuer,
    limit_coordinator,
)
from bilberryshed.gateway._cold_limits import ColdLimits
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._peer_requests import PeerRequests
from bilberryshed.protocol import (
    ColdPermitRequest,
    LimitNotice,
    LimitSummary,
    PermitRequest,
    PermitResponse,
)
from bilberryshed.state import BackendServer
from bilberryshed.transport import Link, logger

PERMIT_TIMEOUT = 0.15  # seconds for a coordinator to respond; no later permit is used
UNANSWERED_WAIT = 0.3  # seconds without requests to a server whose coordinator does not respond
MAX_ASK_TIME = 0.3  # seconds after which a permit for a cold server is not used any more
MIN_WAIT = 0.02  # seconds without requests to a server after a permit was not issued or was late
SUSPECT_TIME = 3.0  # seconds for which such a coordinator is not asked
PRUNE_INTERVAL = 5.0  # seconds between removals of backend servers that are gone

Handler = Callable[[Link, Any], None]


class ServerLimits:
    """The limits of the backend servers and the permits of this gateway.

    :param cold: cold backend servers, which have a limit as well
    :param permits: permits that become valid soon, by incarnation of the backend server
    :param asking: requests for permits that await a response
    :param suspected_until: monotonic time by gateway that did not respond as a coordinator
    """

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.named = NamedLimits()
        self.issuer = PermitIssuer()
        self.cold = ColdLimits(context, self.issuer, self.named.limit)
        self.permits: dict[str, Permit] = {}
        self.asking: PeerRequests[PermitDecision] = PeerRequests(context, "p")
        self.suspected_until: dict[str, float] = {}

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(PRUNE_INTERVAL, lambda now: self._prune())
        self.cold.start()

    def handlers(self) -> dict[type, Handler]:
        """Return the message handlers by message class."""
        return {
            **self.cold.handlers(),
            LimitNotice: lambda link, notice: self._on_notice(notice),
            LimitSummary: self._on_summary,
            PermitRequest: self._on_request,
            PermitResponse: self._on_response,
        }

    def summary(self) -> LimitSummary | None:
        """Return the limits in force for a gateway that has just linked, ``None`` if none is."""
        limits = tuple(self._notice(server) for server in self.named.limits)
        return LimitSummary(limits) if limits else None

    # Backend servers ------------------------------------------------------------------------

    def on_response(self, server: BackendServer, limit: float | None, sent_at: float) -> None:
        """Record whether a response names a limit, and tell the other gateways of a change.

        :param sent_at: monotonic time at which the request was sent, in seconds
        """
        now = self.context.timers.now()
        if not self.named.on_response(now, server.incarnation, limit, sent_at):
            return
        logger().info("server_limit", server=server.id, limit=limit)
        self._allow_asking(server.incarnation)
        self.context.broadcast(self._notice(server.incarnation))

    def _allow_asking(self, server: str) -> None:
        """Let requests be sent or ask for permits again, as the limit has changed or ended."""
        for view in self.context.backends.views.values():
            if view.server.incarnation == server:
                view.limited_until = 0.0

    async def acquire(self, server: BackendServer) -> float:
        """Acquire the permit to send one request.

        :returns: 0 if it may be sent, else the seconds for which none may be sent there
        """
        limit, now = self.named.limit(server.incarnation), self.context.timers.now()
        if self.cold.must_pace(now, server):
            return await self._acquire_cold(server)
        if limit is None:
            return 0.0
        permit = self.permits.get(server.incarnation)
        if permit is not None and now < permit.valid_from:
            return permit.valid_from - now
        if permit is not None:
            del self.permits[server.incarnation]
            if permit.is_valid(now):
                return 0.0
        decision, answered_at = await self._ask(server, limit), self.context.timers.now()
        if decision.granted and answered_at - now > PERMIT_TIMEOUT:
            return MIN_WAIT
        if decision.granted and decision.wait > 0:
            self.permits[server.incarnation] = Permit(answered_at + decision.wait)
        return decision.wait

    async def _ask(self, server: BackendServer, limit: float) -> PermitDecision:
        name, now = self.context.settings.name, self.context.timers.now()
        candidates = self._candidates(now)
        coordinator = limit_coordinator(server.incarnation, server.zone, candidates) or name
        if coordinator == name:
            return self.issuer.request(now, server.incarnation, limit, name)
        request = PermitRequest(self.asking.new_id(), self._notice(server.incarnation))
        return await self._ask_peer(server, coordinator, request)

    async def _acquire_cold(self, server: BackendServer) -> float:
        """Acquire the permit to send one request to a cold backend server.

        Its permits are valid at once, so that none is left when another gateway issues them.
        """
        self.permits.pop(server.incarnation, None)
        name, asked_at = self.context.settings.name, self.context.timers.now()
        coordinator = self.cold.coordinator(server)
        if coordinator is None:
            return UNANSWERED_WAIT
        if coordinator == name:
            decision = self.cold.decide(asked_at, server, name)
        else:
            cold = self.cold.notice(asked_at, server.incarnation)
            request = ColdPermitRequest(self.asking.new_id(), cold)
            decision = await self._ask_peer(server, coordinator, request)
        if self.context.timers.now() - asked_at > MAX_ASK_TIME:
            return UNANSWERED_WAIT
        return 0.0 if decision.granted else max(MIN_WAIT, decision.wait)

    async def _ask_peer(
        self, server: BackendServer, coordinator: str, request: PermitRequest | ColdPermitRequest
    ) -> PermitDecision:
        """Ask another gateway for a permit."""
        now, link = self.context.timers.now(), self.context.peer_links[coordinator]
        decision = await self.asking.ask(link, request, PERMIT_TIMEOUT)
        if decision is None:
            logger().info("permit_timeout", server=server.id, peer=coordinator)
            self.suspected_until[coordinator] = now + SUSPECT_TIME
            return PermitDecision(False, UNANSWERED_WAIT)
        return decision

    def _candidates(self, now: float) -> dict[str, str]:
        """Return the gateways that can be coordinators, and their availability zones."""
        hubs = self.context.hubs
        zones = {
            name: hubs.zones.get(name, "")
            for name in self.context.peer_links
            if name not in hubs.unavailable and self.suspected_until.get(name, 0.0) <= now
        }
        if not self.context.draining:
            zones[self.context.settings.name] = self.context.settings.zone
        return zones

    def _prune(self) -> None:
        servers = {view.server.incarnation for view in self.context.backends.views.values()}
        self.named.retain(servers)
        self.issuer.retain(servers)
        self.permits = {s: permit for s, permit in self.permits.items() if s in servers}

    # Other gateways -------------------------------------------------------------------------

    def _notice(self, server: str) -> LimitNotice:
        known, now = self.named.limits.get(server), self.context.timers.now()
        if known is None:
            ended_at = self.named.ended_at.get(server, now)
            return LimitNotice(server, None, now - ended_at)
        return LimitNotice(server, known.limit, now - known.named_at)

    def _on_notice(self, notice: LimitNotice) -> None:
        before = self.named.limit(notice.server)
        at = self.context.timers.now() - notice.age
        self.named.on_notice(notice.server, notice.limit, at)
        if self.named.limit(notice.server) != before:
            self._allow_asking(notice.server)

    def _on_summary(self, link: Link, summary: LimitSummary) -> None:
        for notice in summary.limits:
            self._on_notice(notice)

    def _on_request(self, link: Link, request: PermitRequest) -> None:
        """Decide on a request for a permit, as the sender takes this gateway for coordinator."""
        self._on_notice(request.limit)
        server = request.limit.server
        limit = self.named.limit(server)
        if limit is None:
            link.send(PermitResponse(request.ask, True, 0.0))
            return
        now = self.context.timers.now()
        decision = self.issuer.request(now, server, limit, link.peer.name)
        link.send(PermitResponse(request.ask, decision.granted, decision.wait))

    def _on_response(self, link: Link, response: PermitResponse) -> None:
        self.asking.on_response(response.ask, PermitDecision(response.granted, response.wait))
