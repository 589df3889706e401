"""Route tables that were in force a short time ago, and where they sent a request.

The service of a request on a split route follows from the id of the request, so that any router can
tell it afterwards.
"""

import xxhash

from bilberryshed.coordination._route_index import RouteIndex
from bilberryshed.coordination._stream_origins import ORIGIN_TIME
from bilberryshed.state import Route

HASH_RANGE = 2**64


def split_point(request: str) -> float:
    """Return the point in [0, 1) at which a request falls into the shares of a split route."""
    return xxhash.xxh3_64_intdigest(request.encode()) / HASH_RANGE


class RouteHistory:
    """Tables that one router has replaced; times are monotonic, in seconds.

    :param known_since: time from which on it knows the tables in force, ``None`` before the first
    :param replaced: tables without their customers, and the time at which each was replaced, oldest
        first
    """

    __slots__ = ("known_since", "replaced")

    def __init__(self) -> None:
        self.known_since: float | None = None
        self.replaced: list[tuple[float, RouteIndex]] = []

    def on_table(self, now: float, before: RouteIndex | None) -> None:
        """Record that a table has come into force.

        :param before: the table that it replaces
        """
        if self.known_since is None:
            self.known_since = now
        if before is not None:
            self.replaced.append((now, before.routes_only()))
        self.replaced = [item for item in self.replaced if item[0] >= now - ORIGIN_TIME]

    def services(
        self, now: float, index: RouteIndex, route: Route, request: str, system_age: float | None
    ) -> tuple[str, ...]:
        """Return the services to which a request may have been sent that began a stream.

        :param route: the route in force, of a request that takes the stream up
        :param request: id of the request that began it, empty if it is not known
        :param system_age: seconds since any router started first, ``None`` if that is not known
        """
        all_services = tuple(share.service for share in route.shares)
        if not request or not self._covers(now, system_age):
            return all_services
        point = split_point(request)
        found = {index.service(route, point)}
        for replaced_at, table in self.replaced:
            if replaced_at >= now - ORIGIN_TIME:
                earlier = table.route(route.host, route.prefix)
                found |= {table.service(earlier, point)} if earlier else set()
        return tuple(sorted(found))

    def _covers(self, now: float, system_age: float | None) -> bool:
        """Whether all tables are known under which the stream may have begun."""
        if self.known_since is None:
            return False
        oldest = ORIGIN_TIME if system_age is None else min(ORIGIN_TIME, system_age)
        return now - self.known_since >= oldest
