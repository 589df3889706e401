"""Which backend servers a request may be sent to.

Routers tell each other what they have at each backend server, so that all see nearly the same load
and none fills one that its peers fill too. Backend servers that fail are left out for a while, by
their outcomes and not by probes.
"""

from bilberryshed.coordination._backend_view import BackendDemand, BackendView, InFlightRequest
from bilberryshed.coordination._placement import place_plain, place_prompt, prefill_tokens
from bilberryshed.protocol import LoadNotice, PartSent, ServerLoad
from bilberryshed.state import BackendServer

LONG_PREFILL = 6_000  # tokens to be read that peers should know of before they send more
OUTPUT_WEIGHT = 10  # tokens read in the time in which one is generated
REFUSED_BACKOFF = 0.3  # seconds without new work after a refused channel, doubled each time
FULL_BACKOFF = 0.15  # seconds without new work after an answer that it is full
MAX_BACKOFF = 4.0  # seconds
FAILURE_WEIGHT = 0.25  # of the newest outcome in the share of failures
EJECT_FAILURE_RATE = 0.5  # of failures, above which a backend server is avoided for a while
EJECT_TIME = 1.5  # seconds
PROBATION_FAILURE_RATE = 0.35  # share of failures with which an avoided backend server returns


def is_urgent(loads: tuple[ServerLoad, ...], reported: tuple[ServerLoad, ...]) -> bool:
    """Whether peers should hear at once of what a router has at backend servers.

    :param loads: what it has
    :param reported: what it has told
    """
    before = {load.server: load.unread for load in reported}
    return any(load.unread - before.get(load.server, 0) >= LONG_PREFILL for load in loads)


class BackendPool:
    """Backend servers by id.

    :param zone: availability zone of this router, preferred for plain requests
    """

    __slots__ = ("zone", "views", "peer_loads", "new_prefixes")

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.views: dict[str, BackendView] = {}
        self.peer_loads: dict[str, tuple[ServerLoad, ...]] = {}
        self.new_prefixes: list[PartSent] = []

    def loads(self) -> tuple[ServerLoad, ...]:
        """Return what this router has at backend servers, for its peers."""
        return tuple(
            ServerLoad(id_, view.running, view.work, view.unread)
            for id_, view in self.views.items()
            if view.running
        )

    def pop_new_prefixes(self) -> tuple[PartSent, ...]:
        """Return what peers are to be told of shared parts, once."""
        parts = tuple(self.new_prefixes)
        self.new_prefixes.clear()
        return parts

    def on_load_notice(self, now: float, peer: str, notice: LoadNotice) -> None:
        """Take in what a peer has at backend servers, and has sent there."""
        self.peer_loads[peer] = notice.loads
        self._sum_peer_loads()
        for sent in notice.parts:
            if sent.server in self.views:
                self.views[sent.server].record_prefix_sent(now, sent.part)

    def remove_peer(self, peer: str) -> None:
        """Forget a peer that no longer tells its load."""
        if self.peer_loads.pop(peer, None) is not None:
            self._sum_peer_loads()

    def _sum_peer_loads(self) -> None:
        for view in self.views.values():
            view.peers_running = view.peers_work = view.peers_unread = 0
        reported = (load for loads in self.peer_loads.values() for load in loads)
        for load in reported:
            if load.server in self.views:
                view = self.views[load.server]
                view.peers_running += load.running
                view.peers_work += load.work
                view.peers_unread += load.unread

    def set_servers(self, servers: dict[str, BackendServer]) -> list[BackendView]:
        """Take in the registered backend servers.

        :returns: views of those that have left or started anew
        """
        removed: list[BackendView] = []
        for id_, view in list(self.views.items()):
            server = servers.get(id_)
            if server is None or self._is_restarted(server, view.server):
                view.left = True
                removed.append(view)
                del self.views[id_]
        for id_, server in servers.items():
            view = self.views.setdefault(id_, BackendView(server))
            if server.sequence != view.server.sequence and view.refused:
                view.refused = 0
                view.backoff_until = 0.0
            view.server = server
            view.left = server.draining
        self._sum_peer_loads()
        return removed

    def _is_restarted(self, new: BackendServer, old: BackendServer) -> bool:
        return (new.born, new.address, new.service) != (old.born, old.address, old.service)

    def usable(self, service: str) -> list[BackendView]:
        """Return the backend servers of a service that are not leaving."""
        return [v for v in self.views.values() if v.server.service == service and not v.left]

    def choose(
        self, now: float, service: str, demand: BackendDemand, tried: frozenset[str]
    ) -> BackendView | None:
        """Choose a backend server, or ``None`` if none may take the request now.

        :param tried: ids that this request was already sent to
        """
        usable = [v for v in self.usable(service) if v.server.id not in tried]
        available = [view for view in usable if view.backoff_until <= now]
        healthy = [view for view in available if view.ejected_until <= now] or available
        if not healthy:
            return None
        if demand.affinity:
            return place_prompt(now, healthy, demand)
        return place_plain(healthy, self.zone)

    def begin(self, now: float, view: BackendView, demand: BackendDemand) -> InFlightRequest:
        """Count a request as running there."""
        request = InFlightRequest(view, demand, prefill_tokens(now, view, demand))
        view.running += 1
        view.work += demand.work
        view.unread += request.unread
        if demand.affinity:
            if not view.has_cached(now, demand.affinity):
                self.new_prefixes.append(PartSent(view.server.id, demand.affinity))
            view.record_prefix_sent(now, demand.affinity)
        return request

    def on_prefill_done(self, request: InFlightRequest) -> None:
        """Note that the prompt of a request has been read: its first event is here."""
        request.view.unread -= request.unread
        request.unread = 0

    def end(self, request: InFlightRequest) -> None:
        """Count a request as ended."""
        self.on_prefill_done(request)
        request.view.running -= 1
        request.view.work -= request.demand.work

    def on_connection_refused(self, now: float, view: BackendView) -> None:
        """Note that no channel could be opened."""
        view.refused += 1
        backoff = min(MAX_BACKOFF, REFUSED_BACKOFF * 2 ** (view.refused - 1))
        view.backoff_until = max(view.backoff_until, now + backoff)

    def on_overloaded(self, now: float, view: BackendView) -> None:
        """Note that it refused a request because it is full."""
        view.backoff_until = max(view.backoff_until, now + FULL_BACKOFF)

    def on_outcome(self, now: float, view: BackendView, failed: bool) -> None:
        """Note how a request that it began ended."""
        if not failed:
            view.refused = 0
        view.failure_rate += FAILURE_WEIGHT * (float(failed) - view.failure_rate)
        if view.failure_rate > EJECT_FAILURE_RATE:
            view.ejected_until = now + EJECT_TIME
            view.failure_rate = PROBATION_FAILURE_RATE
