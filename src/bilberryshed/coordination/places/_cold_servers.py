"""Backend servers that are cold: they crash if all routers together send them too much."""

import math
import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bilberryshed.coordination._permits import MAX_PERMITS, PERMIT_TIME
from bilberryshed.state import BackendServer, RoutedService

if TYPE_CHECKING:
    from bilberryshed.coordination._backend_view import BackendView

DELAY_MARGIN = 0.9  # of the bound, as network delays move requests into one second
ENTRY_AGE = 1.6  # seconds from the write of an entry to its use: it is written each 1.2 s, read
# each 0.4 s
MAX_LEFT = 3_600.0  # seconds; a notice of a longer time is ignored
MAX_COLD_TIME = 600.0  # seconds; a longer time is taken for an invalid value
UNREADABLE = math.inf  # cold time of a response with an invalid value
WARM_LOAD = 0.5  # share of the slots in use up to which warm backend servers get all requests

_MILLISECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,400})?")


def parse_cold_time(text: str) -> float | None:
    """Return the seconds for which a response says that its server stays cold.

    :returns: ``None`` if it says nothing, ``UNREADABLE`` for an invalid value
    """
    if not text:
        return None
    if not _MILLISECONDS.fullmatch(text.strip()):
        return UNREADABLE
    seconds = float(text) / 1000
    return seconds if seconds <= MAX_COLD_TIME else UNREADABLE


def cold_rate(service: RoutedService, overrun: float, slack: float) -> float:
    """Return the permits per second for a cold backend server.

    A permit may be used until it expires. The permits of ``1 + PERMIT_TIME`` seconds and the saved
    ones may therefore fall into one second.

    :param overrun: multiple of the service's rate that is tolerated in any second
    :param slack: requests that are tolerated in addition
    """
    bound = (service.cold_rate * overrun + slack) * DELAY_MARGIN
    return max(0.0, min(service.cold_rate, (bound - MAX_PERMITS) / (1 + PERMIT_TIME)))


def prefer_warm(views: "Sequence[BackendView]") -> "Sequence[BackendView]":
    """Return the warm backend servers that are not busy, else all."""
    if not any(view.is_cold for view in views):
        return views
    warm = [
        view
        for view in views
        if not view.is_cold and view.total_running < WARM_LOAD * view.server.slots
    ]
    return warm or views


@dataclass(slots=True)
class _ColdState:
    """Why a backend server is taken for cold; times are monotonic, in seconds.

    :param until: time at which it becomes warm by itself
    :param noted_at: time of the news, ``-inf`` if it came from an entry
    :param sequence: sequence number of the entry that was known then
    """

    until: float
    noted_at: float
    sequence: int


class ColdServers:
    """The cold backend servers as one router knows them, by incarnation.

    :param states: backend servers that are cold
    :param listed: last used entry, and its service
    :param services: names of the services whose backend servers are known completely
    :param warm_at: monotonic time at which an entry said that a backend server is warm again
    """

    __slots__ = ("states", "listed", "services", "warm_at")

    def __init__(self) -> None:
        self.states: dict[str, _ColdState] = {}
        self.listed: dict[str, tuple[BackendServer, RoutedService]] = {}
        self.services: set[str] = set()
        self.warm_at: dict[str, float] = {}

    def is_cold(self, now: float, server: str) -> bool:
        """Whether a backend server is cold.

        :param server: its incarnation
        """
        state = self.states.get(server)
        return state is not None and now < state.until

    def time_left(self, now: float, server: str) -> float:
        """Return the seconds for which a backend server stays cold, 0 if it is warm."""
        state = self.states.get(server)
        return 0.0 if state is None else max(0.0, state.until - now)

    def on_entries(
        self, now: float, servers: Iterable[BackendServer], services: Mapping[str, RoutedService]
    ) -> None:
        """Apply all entries; entries of services without a cold time have no effect."""
        current = [s for s in servers if is_protected(services.get(s.service))]
        for server in current:
            self.on_entry(now, server, services[server.service])
        names = {server.incarnation for server in current}
        self.listed = {name: item for name, item in self.listed.items() if name in names}
        self.warm_at = {name: at for name, at in self.warm_at.items() if name in names}
        self.services = {server.service for server in current}

    def on_entry(self, now: float, server: BackendServer, service: RoutedService) -> None:
        """Apply an entry, unless it is known or older than the one that is known."""
        name = server.incarnation
        known = self.listed.get(name)
        if known is not None and (
            known == (server, service) or server.sequence < known[0].sequence
        ):
            return
        has_started = known is None and server.service in self.services
        self.listed[name] = (server, service)
        left = service.cold_time if server.cold_ms is None else server.cold_ms / 1000
        state = self.states.get(name)
        if left > 0:
            if has_started:
                left = max(left, service.cold_time)
            self._set_by_entry(now, server, left)
        elif state is not None and _is_newer(now, server, state):
            del self.states[name]
            self.warm_at[name] = now

    def _set_by_entry(self, now: float, server: BackendServer, left: float) -> None:
        state = self.states.get(server.incarnation)
        if state is not None and not _is_newer(now, server, state):
            state.until = max(state.until, now + left)
            return
        self.states[server.incarnation] = _ColdState(now + left, -math.inf, server.sequence)

    def on_response(
        self, now: float, server: BackendServer, service: RoutedService, cold_time: float
    ) -> None:
        """Record that a response says that its backend server is cold.

        :param cold_time: seconds, ``UNREADABLE`` for an invalid value
        """
        left = service.cold_time if cold_time == UNREADABLE else cold_time
        if left > 0:
            self._note(now, server.incarnation, now + left)

    def on_zone_restored(self, now: float, zone: str) -> None:
        """Take the backend servers of a zone whose evacuation has ended for cold."""
        for name, (server, service) in self.listed.items():
            if server.zone == zone:
                self._note(now, name, now + service.cold_time)

    def news(self, now: float, server: str) -> tuple[float, float, int | None]:
        """Return what the other routers should know of a cold backend server.

        :returns: seconds for which it stayed cold at the news, age of the news in seconds, and
            sequence number of the entry with the news, ``None`` if it came in another way
        """
        state = self.states[server]
        if state.noted_at == -math.inf:
            return state.until - now, 0.0, state.sequence
        return state.until - state.noted_at, now - state.noted_at, None

    def on_notice(
        self, now: float, server: str, left: float, age: float, sequence: int | None
    ) -> None:
        """Record what another router knows, see :meth:`news`, unless a newer entry is known."""
        at = now - age
        if not (0 < left <= MAX_LEFT and 0 <= age < left):
            return
        if sequence is None:
            if at > self.warm_at.get(server, -math.inf) - ENTRY_AGE:
                self._note(at, server, at + left)
            return
        listed = self.listed.get(server)
        if server not in self.states and (listed is None or listed[0].sequence < sequence):
            self.states[server] = _ColdState(at + left, -math.inf, sequence)

    def _note(self, at: float, server: str, until: float) -> None:
        listed, state = self.listed.get(server), self.states.get(server)
        sequence = listed[0].sequence if listed else 0
        if state is not None:
            until, at = max(until, state.until), max(at, state.noted_at)
        self.states[server] = _ColdState(until, at, sequence)

    def prune(self, now: float) -> None:
        """Forget the backend servers that have become warm by themselves."""
        self.states = {name: s for name, s in self.states.items() if now < s.until}


def is_protected(service: RoutedService | None) -> bool:
    """Whether the backend servers of a service can be cold."""
    return service is not None and service.cold_time > 0 and service.cold_rate > 0


def _is_newer(now: float, server: BackendServer, state: _ColdState) -> bool:
    """Whether an entry was certainly written after the news that its backend server is cold."""
    return server.sequence > state.sequence and now >= state.noted_at + ENTRY_AGE
