"""Which backend server a request is sent to.

Routers tell each other what they have at each backend server, so that all see nearly the same load
and none fills one that its peers fill too. Prompts go to the backend server that rendezvous hashing
names for their shared parts, so that a part is read once, unless it has clearly more work than its
peers: then the next in order takes it. Backend servers that fail are left out for a while, by their
outcomes and not by probes.
"""

from dataclasses import dataclass

from bilberryshed.coordination._rendezvous import owner
from bilberryshed.protocol import ServerLoad
from bilberryshed.state import BackendServer

LOAD_MARGIN = 1.25  # times the mean work, above which the next backend server takes a prompt
LOAD_SLACK = 36_000  # tokens of work beyond the margin that do no harm
OUTPUT_WEIGHT = 10  # tokens read in the time in which one is generated
REFUSED_PAUSE = 0.3  # seconds without new work after a refused channel, doubled each time
FULL_PAUSE = 0.15  # seconds without new work after an answer that it is full
MOST_PAUSE = 4.0  # seconds
FAILURE_WEIGHT = 0.25  # of the newest outcome in the share of failures
EJECT_SHARE = 0.5  # of failures, above which a backend server is avoided for a while
EJECT_PAUSE = 1.5  # seconds
PROBATION = 0.35  # share of failures with which an avoided backend server returns


@dataclass(slots=True)
class BackendView:
    """What one router knows of a backend server.

    :param running: requests of this router that run there
    :param work: their tokens, outputs weighted
    :param peers_running: requests of other routers, as they said last
    :param peers_work: tokens of these
    :param refused: refused channels in a row
    :param not_before: monotonic time before which it gets no new work
    :param failures: share of recent requests that it failed, from 0 to 1
    :param avoid_until: monotonic time before which it is used only if there is no other
    :param left: whether its entry is gone or says that it leaves
    """

    server: BackendServer
    running: int = 0
    work: int = 0
    peers_running: int = 0
    peers_work: int = 0
    refused: int = 0
    not_before: float = 0.0
    failures: float = 0.0
    avoid_until: float = 0.0
    left: bool = False

    @property
    def all_running(self) -> int:
        """Requests of all routers that run there."""
        return self.running + self.peers_running

    @property
    def all_work(self) -> int:
        """Tokens of these, outputs weighted."""
        return self.work + self.peers_work


@dataclass(slots=True, frozen=True)
class Demand:
    """What a request asks of a backend server.

    :param affinity: identifies the shared parts of its prompt, empty for a plain request
    :param work: tokens, outputs weighted; 1 for a plain request
    """

    affinity: str
    work: int


class BackendPool:
    """Backend servers by id.

    :param zone: availability zone of this router, preferred for plain requests
    """

    __slots__ = ("zone", "views", "peer_loads")

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.views: dict[str, BackendView] = {}
        self.peer_loads: dict[str, tuple[ServerLoad, ...]] = {}

    def loads(self) -> tuple[ServerLoad, ...]:
        """Return what this router has at backend servers, for its peers."""
        return tuple(
            ServerLoad(id_, view.running, view.work)
            for id_, view in self.views.items()
            if view.running
        )

    def hear(self, peer: str, loads: tuple[ServerLoad, ...]) -> None:
        """Take in what a peer has at backend servers."""
        self.peer_loads[peer] = loads
        self._add_up()

    def forget_peer(self, peer: str) -> None:
        """Forget a peer that no longer tells its load."""
        if self.peer_loads.pop(peer, None) is not None:
            self._add_up()

    def _add_up(self) -> None:
        for view in self.views.values():
            view.peers_running = view.peers_work = 0
        told = (load for loads in self.peer_loads.values() for load in loads)
        for load in told:
            if load.server in self.views:
                self.views[load.server].peers_running += load.running
                self.views[load.server].peers_work += load.work

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
        return (new.born, new.address, new.service) != (old.born, old.address, old.service)

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
            return self._by_affinity(sound, demand)
        return min(sound, key=lambda v: (v.all_running, v.server.zone != self.zone, v.server.id))

    def _by_affinity(self, views: list[BackendView], demand: Demand) -> BackendView:
        mean = (sum(view.all_work for view in views) + demand.work) / len(views)
        limit = LOAD_MARGIN * mean + LOAD_SLACK
        by_id = {view.server.id: view for view in views}
        light = [view.server.id for view in views if view.all_work + demand.work <= limit]
        chosen = owner(demand.affinity, light)
        if chosen is None:
            return min(views, key=lambda view: view.all_work)
        return by_id[chosen]

    def begin(self, view: BackendView, demand: Demand) -> None:
        """Count a request as running there."""
        view.running += 1
        view.work += demand.work

    def end(self, view: BackendView, demand: Demand) -> None:
        """Count a request as ended there."""
        view.running -= 1
        view.work -= demand.work

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
