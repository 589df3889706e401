"""Permits by which all routers together keep the limits that backend servers name.

A limit counts for all routers, so one of them, the coordinator of that backend server, issues a
permit for each request. Permits follow the demand, and none are tied up where there is none. A
permit may become valid a little later; what cannot be issued soon is refused, not queued.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from bilberryshed.coordination._rendezvous import owner

MAX_PERMITS = 2.0  # unused permits that accumulate
MAX_WAIT = 2.0  # seconds until a permit that is issued becomes valid, unless it is the next one
PERMIT_TIME = 1.0  # seconds for which a permit is valid
WARM_UP_TIME = 4.0  # seconds in which a new coordinator issues fewer permits
WARM_UP_SHARE = 0.5  # of the limit meanwhile, as its predecessor's permits may still be used
MIN_RETRY = 0.1  # seconds until a refused router may ask again, at least
MAX_RETRY = 10.0  # seconds until a refused router may ask again, at most
ASKERS_AHEAD = 8  # routers; if more of them ask, no permits are issued ahead of time
ASKER_MEMORY = 5.0  # seconds for which a router counts as asking


@dataclass(slots=True, frozen=True)
class Permit:
    """Permit for one request, valid for ``PERMIT_TIME``.

    :param valid_from: monotonic time in seconds
    """

    valid_from: float

    def is_valid(self, now: float) -> bool:
        """Whether it may be used now."""
        return self.valid_from <= now < self.valid_from + PERMIT_TIME


@dataclass(slots=True, frozen=True)
class PermitDecision:
    """Decision on a request for a permit.

    :param granted: whether a permit was issued
    :param wait: seconds until it is valid, or until the router may ask again
    """

    granted: bool
    wait: float


@dataclass(slots=True)
class _Bucket:
    """Permits of one backend server.

    :param rate: permits per second
    :param permits: unused ones; negative if some are issued that are not valid yet
    :param asked_at: monotonic time of the last request, by router
    """

    started_at: float
    updated_at: float
    rate: float = 1.0
    permits: float = 0.0
    asked_at: dict[str, float] = field(default_factory=dict)

    @property
    def wait(self) -> float:
        """Seconds until the next permit is valid."""
        return max(0.0, (1.0 - self.permits) / self.rate)


class PermitIssuer:
    """Issues the permits for the backend servers that one router coordinates."""

    __slots__ = ("buckets",)

    def __init__(self) -> None:
        self.buckets: dict[str, _Bucket] = {}

    def request(
        self, now: float, server: str, limit: float, asker: str, ahead: bool = True
    ) -> PermitDecision:
        """Issue a permit if one is available soon.

        :param server: incarnation of the backend server
        :param limit: its limit in requests per second
        :param asker: router that asks
        :param ahead: whether permits may be issued that are not valid yet; without them, a new
            coordinator takes over when those of its predecessor have expired, and needs no warm-up
        """
        bucket = self._filled(now, server, limit, ahead)
        bucket.asked_at[asker] = now
        wait, crowd = bucket.wait, self._crowd(now, bucket)
        longest = 0.0 if crowd > 1 or not ahead else max(MAX_WAIT, 1.0 / bucket.rate)
        if wait <= longest:
            bucket.permits -= 1.0
            return PermitDecision(True, wait)
        return PermitDecision(False, min(MAX_RETRY, max(MIN_RETRY, wait * crowd)))

    def wait(self, now: float, server: str, limit: float) -> float:
        """Return the seconds until a permit is available."""
        return self._filled(now, server, limit).wait

    def take(self, now: float, server: str, limit: float) -> None:
        """Take a permit, even if none is available yet."""
        self._filled(now, server, limit).permits -= 1.0

    def _filled(self, now: float, server: str, limit: float, warms_up: bool = True) -> _Bucket:
        """Return the bucket of a backend server with the permits that it has earned by now."""
        bucket = self.buckets.get(server)
        if bucket is None:
            bucket = self.buckets[server] = _Bucket(now, now)
        is_new = warms_up and now - bucket.started_at < WARM_UP_TIME
        bucket.rate = limit * WARM_UP_SHARE if is_new else limit
        earned = (now - bucket.updated_at) * bucket.rate
        bucket.permits = min(MAX_PERMITS, bucket.permits + earned)
        bucket.updated_at = now
        return bucket

    def _crowd(self, now: float, bucket: _Bucket) -> float:
        """Return by how much too many routers ask to issue permits ahead of time.

        Each of many routers has few requests, and would often leave such a permit unused.
        """
        bucket.asked_at = {
            name: at for name, at in bucket.asked_at.items() if now - at < ASKER_MEMORY
        }
        return max(1.0, len(bucket.asked_at) / ASKERS_AHEAD)

    def askers(self, now: float, server: str, asker: str) -> int:
        """Return how many routers have recently asked for permits, including this one."""
        bucket = self.buckets.get(server)
        asked = {} if bucket is None else bucket.asked_at
        return len({asker, *(name for name, at in asked.items() if now - at < ASKER_MEMORY)})

    def retain(self, servers: Collection[str]) -> None:
        """Forget all backend servers but these."""
        self.buckets = {s: bucket for s, bucket in self.buckets.items() if s in servers}


def limit_coordinator(server: str, zone: str, routers: dict[str, str]) -> str | None:
    """Return the router that issues the permits for a backend server, ``None`` without routers.

    :param server: incarnation of the backend server
    :param zone: its availability zone, in which the coordinator is, if any router is there
    :param routers: availability zone by router
    """
    near = [name for name, its_zone in routers.items() if its_zone == zone]
    return owner(f"limit {server}", near or routers)
