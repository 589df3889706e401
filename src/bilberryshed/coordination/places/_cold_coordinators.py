"""Part of the permits for cold backend servers that one router may issue as their coordinator.

Two routers that take themselves for the coordinator of a cold backend server could together exceed
what it tolerates. A router therefore issues permits only after it has been the coordinator for so
long that all others have noticed it, and it issues no more than the part of the routers that can
ask no other coordinator.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

from bilberryshed.coordination._permits import PERMIT_TIME, limit_coordinator
from bilberryshed.coordination._rendezvous import rank

LINKS_PER_SECOND = 8.0  # links that one process probes in a second, see the monitor of the links
MIN_PROBE_INTERVAL = 1.0  # seconds without a message before a link is probed
PROBE_TIME = 2.5  # responsive seconds until a link that does not reply to a probe is closed
LAG_MARGIN = 0.5  # seconds of lag in the time of a takeover with which a router stays coordinator


def takeover_time(routers: int) -> float:
    """Return the seconds after which a coordinator's predecessor issues no more permits.

    It notices a silent link or its own lag in that time, and the permits that it issued expire.
    """
    notice_time = max(MIN_PROBE_INTERVAL, routers / LINKS_PER_SECOND) + PROBE_TIME
    return notice_time + LAG_MARGIN + PERMIT_TIME


@dataclass(slots=True, frozen=True)
class _Reading:
    """Links of a router from a time on.

    :param since: monotonic time in seconds
    :param zones: availability zone by router that can be coordinator, which is linked or itself
    :param known: names of all routers that it knows
    """

    since: float
    zones: dict[str, str]
    known: frozenset[str]


class CoordinatorHistory:
    """The candidates for coordinator that one router has recently seen.

    A router whose event loop lagged notices silent links late: others may have taken over.

    :param lag: seconds by which its loop had lagged in all at the time ``lag_at``
    """

    __slots__ = ("name", "readings", "lag", "lag_at")

    def __init__(self, name: str) -> None:
        self.name = name
        self.readings: deque[_Reading] = deque()
        self.lag = 0.0
        self.lag_at = float("-inf")

    def record(
        self, now: float, zones: dict[str, str], known: Collection[str], lag: float = 0.0
    ) -> None:
        """Record the candidates, and the routers that are known.

        :param zones: availability zone by candidate
        :param lag: seconds by which the own event loop has lagged in all
        """
        names = frozenset(known) | zones.keys()
        if lag > self.lag + LAG_MARGIN:
            self.readings.clear()
        if lag > self.lag + LAG_MARGIN or now >= self.lag_at + takeover_time(len(names)):
            self.lag, self.lag_at = lag, now
        last = self.readings[-1] if self.readings else None
        if last is None or (last.zones, last.known) != (zones, names):
            self.readings.append(_Reading(now, dict(zones), names))
        start = now - takeover_time(len(names))
        while len(self.readings) > 1 and self.readings[1].since <= start:
            self.readings.popleft()

    def share(self, now: float, server: str, zone: str, askers: int) -> float:
        """Return the part of a rate that this router may issue for a backend server.

        :param server: incarnation of the backend server
        :param zone: its availability zone
        :param askers: routers that have recently asked this one for its permits
        """
        if not self.readings:
            return 0.0
        start = now - takeover_time(len(self.readings[-1].known))
        if self.readings[0].since > start:
            return 0.0
        return min(self._share(reading, server, zone, askers) for reading in self.readings)

    def _share(self, reading: _Reading, server: str, zone: str, askers: int) -> float:
        if limit_coordinator(server, zone, reading.zones) != self.name:
            return 0.0
        linked, known = len(reading.zones), len(reading.known)
        if self._may_be_deputy(reading, server, zone):
            return min(linked, askers) / known
        return linked / known

    def _may_be_deputy(self, reading: _Reading, server: str, zone: str) -> bool:
        """Whether a router without a link to this one may be the coordinator for others.

        Those that are linked to both ask that one, so only actual askers count here.
        """
        missing = reading.known - reading.zones.keys()
        if not missing:
            return False
        if reading.zones.get(self.name) != zone:
            return True
        return rank(f"limit {server}", {*missing, self.name})[0] != self.name
