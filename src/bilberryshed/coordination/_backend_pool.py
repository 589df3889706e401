"""Which backend servers a request may be sent to.

Routers tell each other what they have at each backend server, so that all see nearly the same load
and none fills one that its peers fill too. Backend servers that fail are left out for a while, by
their outcomes and not by probes.
"""

from bilberryshed.coordination._backend_view import BackendView, Demand, Run
from bilberryshed.coordination._placement import place_plain, place_prompt, tokens_to_read
from bilberryshed.protocol import LoadNotice, PrefixSent, ServerLoad
from bilberryshed.state import BackendServer

LONG_READ = 6_000  # tokens to be read that peers should know of before they send more
OUTPUT_WEIGHT = 10  # tokens read in the time in which one is generated
REFUSED_PAUSE = 0.3  # seconds without new work after a refused channel, doubled each time
FULL_PAUSE = 0.15  # seconds without new work after an answer that it is full
MOST_PAUSE = 4.0  # seconds
FAILURE_WEIGHT = 0.25  # of the newest outcome in the share of failures
EJECT_SHARE = 0.5  # of failures, above which a backend server is avoided for a while
EJECT_PAUSE = 1.5  # seconds
PROBATION = 0.35  # share of failures with which an avoided backend server returns


def is_news(loads: tuple[ServerLoad, ...], told: tuple[ServerLoad, ...]) -> bool:
    """Whether peers should hear at once of what a router has at backend servers.

    :param loads: what it has
    :param told: what it has told
    """
    before = {load.server: load.unread for load in told}
    return any(load.unread - before.get(load.server, 0) >= LONG_READ for load in loads)


class BackendPool:
    """Backend servers by id.

    :param zone: availability zone of this router, preferred for plain requests
    """

    __slots__ = ("zone", "views", "peer_loads", "new_parts")

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.views: dict[str, BackendView] = {}
        self.peer_loads: dict[str, tuple[ServerLoad, ...]] = {}
        self.new_parts: list[PrefixSent] = []

    def loads(self) -> tuple[ServerLoad, ...]:
        """Return what this router has at backend servers, for its peers."""
        return tuple(
            ServerLoad(id_, view.running, view.work, view.unread)
            for id_, view in self.views.items()
            if view.running
        )

    def take_new_parts(self) -> tuple[PrefixSent, ...]:
        """Return what peers are to be told of shared parts, once."""
        parts = tuple(self.new_parts)
        self.new_parts.clear()
        return parts

    def hear(self, now: float, peer: str, notice: LoadNotice) -> None:
        """Take in what a peer has at backend servers, and has sent there."""
        self.peer_loads[peer] = notice.loads
        self._add_up()
        for sent in notice.parts:
            if sent.server in self.views:
                self.views[sent.server].note_sent(now, sent.part)

    def forget_peer(self, peer: str) -> None:
        """Forget a peer that no longer tells its load."""
        if self.peer_loads.pop(peer, None) is not None:
            self._add_up()

    def _add_up(self) -> None:
        for view in self.views.values():
            view.peers_running = view.peers_work = view.peers_unread = 0
        told = (load for loads in self.peer_loads.values() for load in loads)
        for load in told:
            if load.server in self.views:
                view = self.views[load.server]
                view.peers_running += load.running
                view.peers_work += load.work
                view.peers_unread += load.unread

    def set_servers(self, servers: dict[str, BackendServer]) -> list[BackendView]:
        """Take in the registered backend servers.

        :returns: views of those that have left or started anew
        """
        gone: list[BackendView] = []
        for id_, view in list(self.views.items()):
            server = servers.get(id_)
            if server is None or self._is_another(server, view.server):
                view.left = True
                gone.append(view)
                del self.views[id_]
        for id_, server in servers.items():
            view = self.views.setdefault(id_, BackendView(server))
            if server.sequence != view.server.sequence and view.refused:
                view.refused = 0
                view.not_before = 0.0
            view.server = server
            view.left = server.draining
        self._add_up()
        return gone

    def _is_another(self, new: BackendServer, old: BackendServer) -> bool:
        return (new.started_at_ms, new.address, new.service) != (
            old.started_at_ms,
            old.address,
            old.service,
        )

    def usable(self, service: str) -> list[BackendView]:
        """Return the backend servers of a service that are not leaving."""
        return [v for v in self.views.values() if v.server.service == service and not v.left]

    def choose(
        self, now: float, service: str, demand: Demand, tried: frozenset[str]
    ) -> BackendView | None:
        """Choose a backend server, or ``None`` if none may take the request now.

        :param tried: ids that this request was already sent to
        """
        usable = [v for v in self.usable(service) if v.server.id not in tried]
        open_ = [view for view in usable if view.not_before <= now]
        sound = [view for view in open_ if view.avoid_until <= now] or open_
        if not sound:
            return None
        if demand.affinity:
            return place_prompt(now, sound, demand)
        return place_plain(sound, self.zone)

    def begin(self, now: float, view: BackendView, demand: Demand) -> Run:
        """Count a request as running there."""
        run = Run(view, demand, tokens_to_read(now, view, demand))
        view.running += 1
        view.work += demand.work
        view.unread += run.unread
        if demand.affinity:
            if not view.keeps(now, demand.affinity):
                self.new_parts.append(PrefixSent(view.server.id, demand.affinity))
            view.note_sent(now, demand.affinity)
        return run

    def note_read(self, run: Run) -> None:
        """Note that the prompt of a request has been read: its first event is here."""
        run.view.unread -= run.unread
        run.unread = 0

    def end(self, run: Run) -> None:
        """Count a request as ended."""
        self.note_read(run)
        run.view.running -= 1
        run.view.work -= run.demand.work

    def note_refused(self, now: float, view: BackendView) -> None:
        """Note that no channel could be opened."""
        view.refused += 1
        pause = min(MOST_PAUSE, REFUSED_PAUSE * 2 ** (view.refused - 1))
        view.not_before = max(view.not_before, now + pause)

    def note_full(self, now: float, view: BackendView) -> None:
        """Note that it refused a request because it is full."""
        view.not_before = max(view.not_before, now + FULL_PAUSE)

    def note_outcome(self, now: float, view: BackendView, failed: bool) -> None:
        """Note how a request that it began ended."""
        if not failed:
            view.refused = 0
        view.failures += FAILURE_WEIGHT * (float(failed) - view.failures)
        if view.failures > EJECT_SHARE:
            view.avoid_until = now + EJECT_PAUSE
            view.failures = PROBATION
