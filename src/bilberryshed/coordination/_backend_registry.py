"""Registered backend servers, kept through outages and restores of the store that lists them.

Entries may expire during an outage of the store although their backend servers are alive. These
register again soon after the store recovers, so a removal that is read just after an outage takes
effect only once ``REREGISTRATION_TIME`` has passed.

A store that is restored from a copy lists backend servers as they were. An entry that is not newer
than what was known of a backend server when it left is out of date: the server is still leaving.
"""

from dataclasses import dataclass, replace

from bilberryshed.state import BackendServer

REREGISTRATION_TIME = 2.3  # seconds after the store recovers in which expired entries come back
OUTDATED_ENTRY_TIME = 10.0  # seconds after which an entry of a server that is gone has expired
DEPARTURE_TIME = 120.0  # seconds for which departures are kept; no copy is older


@dataclass(slots=True, frozen=True)
class _Departure:
    """What is known of a backend server that leaves or is gone.

    :param sequence: sequence number of its latest entry
    :param removed: whether its entry was removed
    :param at: monotonic time in seconds at which this was read
    """

    sequence: int
    draining: bool
    removed: bool
    at: float


class BackendRegistry:
    """Backend servers by id, according to the store's entries.

    :param departures: departures read in this epoch of the store, by incarnation
    :param earlier_departures: departures read in earlier epochs
    :param outdated: entries of servers that were gone in an earlier epoch, by id
    """

    __slots__ = (
        "servers",
        "pending_removals",
        "departures",
        "earlier_departures",
        "outdated",
        "outage",
        "recovered_at",
    )

    def __init__(self) -> None:
        self.servers: dict[str, BackendServer] = {}
        self.pending_removals: set[str] = set()
        self.departures: dict[str, _Departure] = {}
        self.earlier_departures: dict[str, _Departure] = {}
        self.outdated: dict[str, BackendServer] = {}
        self.outage = False
        self.recovered_at = float("-inf")

    def on_outage(self) -> None:
        """Record that the store did not respond."""
        self.outage = True

    def on_reachable(self, now: float) -> None:
        """Record that the store responded."""
        if self.outage:
            self.outage = False
            self.recovered_at = now

    def on_restored(self, now: float) -> None:
        """Record that the store came back from a copy, in which entries may be missing or old."""
        self.recovered_at = now
        self.earlier_departures |= self.departures
        self.departures = {}
        self.outdated = {}

    def put(self, now: float, server: BackendServer) -> None:
        """Add or replace an entry."""
        self.pending_removals.discard(server.id)
        self.outdated.pop(server.id, None)
        departure = self.earlier_departures.get(server.incarnation)
        if departure is not None and server.sequence <= departure.sequence:
            server = replace(server, draining=server.draining or departure.draining)
            if departure.removed and now < self.recovered_at + OUTDATED_ENTRY_TIME:
                self.outdated[server.id] = server
                self.servers.pop(server.id, None)
                return
        if server.draining:
            self._record_departure(now, server, removed=False)
        self.servers[server.id] = server

    def remove(self, now: float, id_: str) -> None:
        """Remove an entry; shortly after an outage of the store the removal is deferred."""
        self.outdated.pop(id_, None)
        if id_ not in self.servers:
            return
        if now < self.recovered_at + REREGISTRATION_TIME:
            self.pending_removals.add(id_)
        else:
            self._drop(now, id_)

    def retain_only(self, now: float, ids: set[str]) -> None:
        """Apply a complete list: remove the entries that are not in it."""
        for id_ in [i for i in (*self.servers, *self.outdated) if i not in ids]:
            self.remove(now, id_)

    def expire(self, now: float) -> bool:
        """Carry out the deferred removals once ``REREGISTRATION_TIME`` has passed.

        An entry of a server that was gone and that is still listed ``OUTDATED_ENTRY_TIME`` after a
        restore is renewed by its server, and is used.

        :returns: whether any entry was removed or added
        """
        self._forget_departures(now)
        if self.outage or now < self.recovered_at + REREGISTRATION_TIME:
            return False
        changed = bool(self.pending_removals)
        for id_ in self.pending_removals & self.servers.keys():
            self._drop(now, id_)
        self.pending_removals.clear()
        if self.outdated and now >= self.recovered_at + OUTDATED_ENTRY_TIME:
            self.servers |= self.outdated
            self.outdated = {}
            changed = True
        return changed

    def _drop(self, now: float, id_: str) -> None:
        self._record_departure(now, self.servers.pop(id_), removed=True)

    def _record_departure(self, now: float, server: BackendServer, removed: bool) -> None:
        departure = _Departure(server.sequence, server.draining, removed, now)
        self.departures[server.incarnation] = departure

    def _forget_departures(self, now: float) -> None:
        oldest = now - DEPARTURE_TIME
        for departures in (self.departures, self.earlier_departures):
            for incarnation in [i for i, found in departures.items() if found.at < oldest]:
                del departures[incarnation]
