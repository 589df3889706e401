"""Selection among the backend servers that a request may be sent to.

Routers exchange their in-flight load at each backend server, so that all see nearly the same load
and do not overload a backend server together. Backend servers are ejected temporarily according to
the failure rate of real requests (passive health checks), not by probes.
"""

from collections.abc import Iterable, Iterator

from bilberryshed.coordination._backend_view import BackendDemand, BackendView, InFlightRequest
from bilberryshed.coordination._rendezvous import weight
from bilberryshed.coordination._self_reports import SelfReports, is_same_process
from bilberryshed.coordination.pacing import Pacing
from bilberryshed.coordination.placement import (
    place_plain,
    place_prompt,
    prefill_tokens,
    update_paces,
    with_room,
)
from bilberryshed.coordination.places import prefer_warm
from bilberryshed.protocol import LoadNotice, LoadSummary, PrefixSent, ServerLoad
from bilberryshed.state import BackendServer

LONG_PREFILL = 6_000  # additional tokens to prefill that peers must know before they send more
OUTPUT_WEIGHT = 10  # tokens prefilled in the time in which one output token is generated
REFUSED_BACKOFF = 0.3  # seconds without new work after one refused connection; doubles each time
FULL_BACKOFF = 0.15  # seconds without new work after a response that the backend server is full
RESUME_TIME = 1.0  # seconds after a time without requests in which they are paced
RESUME_INTERVAL = 0.05  # seconds between two requests then
MAX_BACKOFF = 4.0  # seconds, upper limit of the doubled backoff
PACED_BACKOFF = 0.4  # seconds, the same where pacing prevents the surge at the end of the backoff
FAILURE_WEIGHT = 0.25  # weight of the newest outcome in the moving average of failures
EJECT_FAILURE_RATE = 0.5  # failure rate above which a backend server is ejected
EJECT_TIME = 1.5  # seconds for which a backend server is ejected
PROBATION_FAILURE_RATE = 0.35  # failure rate with which an ejected backend server returns


def is_report_urgent(loads: tuple[ServerLoad, ...], reported: tuple[ServerLoad, ...]) -> bool:
    """Whether a router should report its load at backend servers to its peers at once.

    This is the case if its tokens to prefill at any of them have risen by ``LONG_PREFILL``.

    :param loads: its current load
    :param reported: the load that it reported last
    """
    before = {load.server: load.unread for load in reported}
    return any(load.unread - before.get(load.server, 0) >= LONG_PREFILL for load in loads)


class BackendPool:
    """One router's views of the backend servers, by id.

    :param zone: availability zone of this router, preferred for plain requests
    :param name: name of this router, which spreads its choices among equal backend servers
    :param reported_at: monotonic time of each peer's last report, in seconds
    :param self_reports: what backend servers have said of themselves
    :param evacuated: availability zones whose backend servers get no requests
    :param pacing: paces backend servers that have started or recovered, ``None`` if it is off
    """

    __slots__ = (
        "zone",
        "name",
        "views",
        "peer_loads",
        "reported_at",
        "new_prefixes",
        "self_reports",
        "evacuated",
        "pacing",
    )

    def __init__(self, zone: str, name: str = "") -> None:
        self.zone = zone
        self.name = name
        self.views: dict[str, BackendView] = {}
        self.peer_loads: dict[str, tuple[ServerLoad, ...]] = {}
        self.reported_at: dict[str, float] = {}
        self.new_prefixes: list[PrefixSent] = []
        self.self_reports = SelfReports()
        self.evacuated: frozenset[str] = frozenset()
        self.pacing: Pacing | None = None

    def loads(self) -> tuple[ServerLoad, ...]:
        """Return this router's load at each backend server, to be reported to its peers."""
        return tuple(
            ServerLoad(id_, view.running, view.work, view.unread)
            for id_, view in self.views.items()
            if view.running
        )

    def pop_new_prefixes(self) -> tuple[PrefixSent, ...]:
        """Return and clear the shared prefixes that are not yet reported to peers."""
        prefixes = tuple(self.new_prefixes)
        self.new_prefixes.clear()
        return prefixes

    def on_load_notice(self, now: float, peer: str, notice: LoadNotice | LoadSummary) -> None:
        """Record a peer's load at backend servers and the shared prefixes that it sent there."""
        self._add_peer_loads(self.peer_loads.pop(peer, ()), -1)
        self.peer_loads[peer] = notice.loads
        self.reported_at[peer] = now
        self._add_peer_loads(notice.loads, 1)
        for sent in notice.parts:
            if sent.server in self.views:
                self.views[sent.server].record_prefix_sent(now, sent.part)

    def remove_peer(self, peer: str) -> None:
        """Drop the load of a peer that no longer reports it."""
        self.reported_at.pop(peer, None)
        self._add_peer_loads(self.peer_loads.pop(peer, ()), -1)

    def report_age(self, now: float) -> float:
        """Return the age of the oldest report in seconds, 0 without any.

        A load that has not changed is reported again after a fixed time only.
        """
        return max((now - at for at in self.reported_at.values()), default=0.0)

    def _sum_peer_loads(self) -> None:
        """Add up the reported loads anew, as the set of backend servers has changed."""
        for view in self.views.values():
            view.peers_running = view.peers_work = view.peers_unread = 0
        for loads in self.peer_loads.values():
            self._add_peer_loads(loads, 1)

    def _add_peer_loads(self, loads: Iterable[ServerLoad], sign: int) -> None:
        """Add a peer's loads, or subtract them with a ``sign`` of -1."""
        for load in loads:
            view = self.views.get(load.server)
            if view is not None:
                view.peers_running += sign * load.running
                view.peers_work += sign * load.work
                view.peers_unread += sign * load.unread

    def set_servers(self, servers: dict[str, BackendServer], now: float = 0.0) -> list[BackendView]:
        """Update the views from the registered backend servers.

        :param now: monotonic time in seconds, from which new ones are paced
        :returns: views of those that were removed or have restarted
        """
        removed: list[BackendView] = []
        known = set(self.views)
        for id_, view in list(self.views.items()):
            server = servers.get(id_)
            if server is None or not is_same_process(server, view.server):
                view.is_leaving = True
                removed.append(view)
                del self.views[id_]
        added = [id_ for id_ in servers if id_ not in self.views]
        for id_, server in servers.items():
            view = self.views.get(id_) or self._add_view(server)
            if server.sequence != view.server.sequence and view.refused_connections:
                view.refused_connections = 0
                view.backoff_until = 0.0
            self._apply_self_report(view, server)
            view.update(server)
        if removed or self.views.keys() != known:
            self._sum_peer_loads()
        if self.pacing is not None:
            self.pacing.on_servers(now, [self.views[id_] for id_ in added], self.views)
        return removed

    def _add_view(self, server: BackendServer) -> BackendView:
        view = BackendView(server, tie_rank=weight(self.name, server.id))
        for other in self._of_service(server.service):
            view.estimate.service_pace = other.estimate.service_pace
            break
        self.views[server.id] = view
        return view

    def _of_service(self, service: str) -> Iterator[BackendView]:
        return (view for view in self.views.values() if view.server.service == service)

    def _apply_self_report(self, view: BackendView, server: BackendServer) -> None:
        report = self.self_reports.get(server)
        view.says_leaving, view.quiet_until = report.is_leaving, report.quiet_until

    def on_says_leaving(self, now: float, view: BackendView) -> bool:
        """Send no more requests to a backend server that says that it leaves.

        :returns: whether it had not said so before
        """
        is_new = self.self_reports.on_leaving(now, view.server)
        view.says_leaving = view.is_leaving = True
        return is_new

    def on_asks_quiet(self, now: float, view: BackendView, seconds: float) -> bool:
        """Send no requests for some seconds to a backend server that asks for it.

        :returns: whether it had not asked for it until now
        """
        is_new = self.self_reports.on_quiet(now, view.server, seconds)
        view.quiet_until = self.self_reports.get(view.server).quiet_until
        return is_new

    def prune(self, now: float) -> None:
        """Forget what backend servers said that have ended."""
        self.self_reports.prune(now, (view.server for view in self.views.values()))

    def usable(self, service: str) -> list[BackendView]:
        """Return the backend servers of a service that may get requests."""
        return [v for v in self.serving(service) if v.server.zone not in self.evacuated]

    def serving(self, service: str) -> list[BackendView]:
        """Return the backend servers of a service that are not draining, of all zones."""
        return [v for v in self.views.values() if v.server.service == service and not v.is_leaving]

    def may_receive(self, view: BackendView) -> bool:
        """Whether a backend server that was chosen earlier may still get the request."""
        return not view.is_leaving and view.server.zone not in self.evacuated

    def choose(
        self, now: float, service: str, demand: BackendDemand, tried: frozenset[str]
    ) -> BackendView | None:
        """Choose a backend server, or return ``None`` if none may receive the request now.

        Ejected backend servers are used only if no other is available.

        :param tried: ids of the backend servers that this request was already sent to
        """
        usable = [v for v in self.usable(service) if v.server.id not in tried]
        available = [view for view in usable if view.available_at <= now]
        healthy = [view for view in available if view.ejected_until <= now] or available
        if not healthy:
            return None
        candidates = prefer_warm(with_room(healthy, demand))
        if self.pacing is not None:
            candidates = self.pacing.candidates(now, candidates)
        if demand.affinity:
            return place_prompt(now, candidates, demand)
        return place_plain(candidates, self.zone)

    def next_admission(self, now: float, service: str, tried: frozenset[str]) -> float | None:
        """Return the earliest time at which a backend server takes requests by what it has said.

        :param tried: ids of the backend servers that the request was already sent to
        :returns: monotonic time in seconds, ``None`` if any takes them now, or if there is none
        """
        views = [view for view in self.usable(service) if view.server.id not in tried]
        admits_at = min((view.admits_at for view in views), default=now)
        return admits_at if admits_at > now else None

    def begin(self, now: float, view: BackendView, demand: BackendDemand) -> InFlightRequest:
        """Add a request to the in-flight load of a backend server."""
        prefill = prefill_tokens(now, view, demand)
        # The prompt at the head of the queue is half prefilled on average, and counts in full.
        ahead = max(view.total_unread - prefill // 2, 0)
        request = InFlightRequest(view, demand, prefill, ahead + prefill)
        if self.pacing is not None:
            self.pacing.on_sent(now, view)
        if now < view.quiet_until + RESUME_TIME:
            view.limited_until = max(view.limited_until, now + RESUME_INTERVAL)
        view.running += 1
        view.work += demand.work
        view.held += demand.held
        view.unread += request.unread
        if demand.affinity:
            if not view.has_cached(now, demand.affinity):
                self.new_prefixes.append(PrefixSent(view.server.id, demand.affinity))
            view.record_prefix_sent(now, demand.affinity)
        return request

    def on_first_event(self, now: float, request: InFlightRequest, seconds: float) -> None:
        """Learn from the time from sending a request to its first event.

        The head of a response that has no events counts as one.

        :param seconds: responsive seconds, which may step back a little and so be negative
        """
        view, seconds = request.view, max(0.0, seconds)
        if self.pacing is not None:
            self.pacing.on_first_event(now, view, seconds)
        if view.estimate.observe(now, seconds, request.until_first):
            update_paces(now, [v.estimate for v in self._of_service(view.server.service)])
        self.on_prefill_done(request)

    def on_prefill_done(self, request: InFlightRequest) -> None:
        """Record that the prompt of a request is prefilled, as its first event has arrived."""
        request.view.unread -= request.unread
        request.unread = 0

    def end(self, request: InFlightRequest) -> None:
        """Remove a request from the in-flight load."""
        self.on_prefill_done(request)
        request.view.running -= 1
        request.view.work -= request.demand.work
        request.view.held -= request.demand.held

    def on_connection_refused(self, now: float, view: BackendView) -> None:
        """Back off exponentially after a connection that could not be opened."""
        view.refused_connections += 1
        view.failed_at = now
        longest = MAX_BACKOFF if self.pacing is None else PACED_BACKOFF
        backoff = min(longest, REFUSED_BACKOFF * 2 ** (view.refused_connections - 1))
        if self.pacing is not None:
            self.pacing.begin(now, view, "refused")
        view.backoff_until = max(view.backoff_until, now + backoff)

    def on_overloaded(self, now: float, view: BackendView) -> None:
        """Back off after a request that the backend server refused because it is full."""
        view.backoff_until = max(view.backoff_until, now + FULL_BACKOFF)
        if self.pacing is not None:
            self.pacing.on_rejected(view)

    def on_outcome(self, now: float, view: BackendView, failed: bool) -> None:
        """Update the failure rate with the outcome of a request that the backend server started."""
        if failed:
            view.failed_at = now
            if self.pacing is not None:
                self.pacing.on_rejected(view)
        else:
            view.refused_connections = 0
        view.failure_rate += FAILURE_WEIGHT * (float(failed) - view.failure_rate)
        if view.failure_rate > EJECT_FAILURE_RATE:
            view.ejected_until = now + EJECT_TIME
            view.failure_rate = PROBATION_FAILURE_RATE
            if self.pacing is not None:
                self.pacing.begin(now, view, "ejected")
