"""The backend servers that one gateway paces, and how their peers of the service answer."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bilberryshed.coordination._backend_view import BackendView
from bilberryshed.coordination._rendezvous import shard_of
from bilberryshed.coordination.pacing._server_pace import FAILED_FACTOR, SLOW_FACTOR, ServerPace

DEFAULT_FIRST_EVENT = 0.1  # seconds, of a service that has not answered yet
AVERAGE_WEIGHT = 0.1  # weight of the newest time to the first event in the moving average
SLOW_ANSWER_FACTOR = 1.5  # times the peers' time to the first event above which an answer is slow
SLOW_ANSWER_SLACK = 0.05  # seconds in addition, as very short times vary more
PHASES = 1000  # different phases of the first requests of gateways


@dataclass(slots=True, frozen=True)
class PaceChange:
    """A backend server that is paced from now on, or no longer.

    :param cause: why it is paced, empty at the end
    :param seconds: time for which it was paced, 0 at the beginning
    """

    server: str
    service: str
    cause: str
    seconds: float = 0.0


class Pacing:
    """Paces backend servers that have started or recovered.

    :param name: name of this gateway
    :param gateways: number of known gateways, including this one
    :param is_started: whether the first entries of backend servers are known; these are not paced
    :param paces: pace by id of the backend server
    :param first_events: moving average of the seconds to the first event, by service, of its
        backend servers that are not paced
    :param changes: what has begun and ended, for the log
    """

    __slots__ = ("name", "gateways", "is_started", "paces", "first_events", "changes")

    def __init__(self, name: str) -> None:
        self.name = name
        self.gateways = 1
        self.is_started = False
        self.paces: dict[str, ServerPace] = {}
        self.first_events: dict[str, float] = {}
        self.changes: list[PaceChange] = []

    def pop_changes(self) -> list[PaceChange]:
        """Return and clear what has begun and ended."""
        changes, self.changes = self.changes, []
        return changes

    def begin(self, now: float, view: BackendView, cause: str) -> None:
        """Pace a backend server from the lowest window on."""
        id_, service = view.server.id, view.server.service
        if id_ not in self.paces:
            self.changes.append(PaceChange(id_, service, cause))
        pace = self.paces[id_] = ServerPace(now, now)
        pace.on_sent(now, self.gateways, self._first_event(service))
        pace.next_at = now + (pace.next_at - now) * self._phase(id_)

    def _phase(self, server: str) -> float:
        """Return when this gateway's first request is due, as a share of the usual interval."""
        return shard_of(f"{self.name} {server}", PHASES) / PHASES if self.gateways > 1 else 0.0

    def _first_event(self, service: str) -> float:
        return self.first_events.get(service, DEFAULT_FIRST_EVENT)

    def on_servers(self, now: float, added: Iterable[BackendView], known: Iterable[str]) -> None:
        """Pace the backend servers that have started since the first entries were known.

        :param known: ids of all backend servers
        """
        ids = set(known)
        self.paces = {id_: pace for id_, pace in self.paces.items() if id_ in ids}
        if self.is_started:
            for view in added:
                self.paces.pop(view.server.id, None)
                self.begin(now, view, "started")
        self.is_started = self.is_started or bool(ids)

    # Choice ---------------------------------------------------------------------------------

    def candidates(self, now: float, views: Sequence[BackendView]) -> Sequence[BackendView]:
        """Return the backend servers that the pace admits.

        If it admits none, or all of these are full, the request goes where the load is smallest by
        window and slots: the pace alone refuses no request.

        :param views: the available backend servers of one service, at least one
        """
        if not self.paces:
            return views
        admitted = [view for view in views if self._admits(now, view, views)]
        if any(_has_slot(view) for view in admitted) or len(admitted) == len(views):
            return admitted
        return [min(views, key=self._relative_load)]

    def _admits(self, now: float, view: BackendView, views: Sequence[BackendView]) -> bool:
        pace = self.paces.get(view.server.id)
        if pace is None:
            return True
        if view.peers_running:
            pace.is_used_by_peers = True
        if pace.is_round_over(now, self._first_event(view.server.service)):
            target = sum(v.total_running for v in views) / len(views)
            if pace.end_round(now, view.total_running, target):
                self._end(now, view, pace)
                return True
        return pace.has_room(now, view.total_running)

    def _relative_load(self, view: BackendView) -> float:
        pace = self.paces.get(view.server.id)
        limit = pace.window if pace is not None else view.server.slots
        return view.total_running / max(limit, 1)

    def _end(self, now: float, view: BackendView, pace: ServerPace) -> None:
        del self.paces[view.server.id]
        seconds = now - pace.started_at
        self.changes.append(PaceChange(view.server.id, view.server.service, "", seconds))

    # Requests -------------------------------------------------------------------------------

    def on_sent(self, now: float, view: BackendView) -> None:
        """Record that a request is sent."""
        pace = self.paces.get(view.server.id)
        if pace is not None:
            pace.on_sent(now, self.gateways, self._first_event(view.server.service))

    def on_first_event(self, now: float, view: BackendView, seconds: float) -> None:
        """Compare the time to the first event of an answer with that of the server's peers."""
        service, pace = view.server.service, self.paces.get(view.server.id)
        usual = self.first_events.get(service)
        if pace is None:
            before = seconds if usual is None else usual
            self.first_events[service] = before + AVERAGE_WEIGHT * (seconds - before)
            return
        pace.on_ratio(1.0 if usual is None else seconds / max(usual, SLOW_ANSWER_SLACK))
        if usual is not None and seconds > SLOW_ANSWER_FACTOR * usual + SLOW_ANSWER_SLACK:
            pace.lower(SLOW_FACTOR)
        else:
            pace.on_good(now, seconds)

    def on_rejected(self, view: BackendView) -> None:
        """Record that a backend server rejected or failed a request."""
        pace = self.paces.get(view.server.id)
        if pace is not None:
            pace.lower(FAILED_FACTOR)


def _has_slot(view: BackendView) -> bool:
    return view.server.slots <= 0 or view.total_running < view.server.slots
