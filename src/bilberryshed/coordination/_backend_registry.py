"""Registered backend servers, kept through outages of the store that lists them.

Entries may expire during an outage of the store although their backend servers are alive. These
register again soon after the store recovers, so a removal that is read just after an outage takes
effect only once ``REREGISTRATION_TIME`` has passed.
"""

from bilberryshed.state import BackendServer

REREGISTRATION_TIME = 2.3  # seconds after the store recovers in which expired entries come back


class BackendRegistry:
    """Backend servers by id, according to the store's entries."""

    __slots__ = ("servers", "pending_removals", "outage", "recovered_at")

    def __init__(self) -> None:
        self.servers: dict[str, BackendServer] = {}
        self.pending_removals: set[str] = set()
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

    def put(self, server: BackendServer) -> None:
        """Add or replace an entry."""
        self.servers[server.id] = server
        self.pending_removals.discard(server.id)

    def remove(self, now: float, id_: str) -> None:
        """Remove an entry; shortly after an outage of the store the removal is deferred."""
        if id_ not in self.servers:
            return
        if now < self.recovered_at + REREGISTRATION_TIME:
            self.pending_removals.add(id_)
        else:
            del self.servers[id_]

    def retain_only(self, now: float, ids: set[str]) -> None:
        """Apply a complete list: remove the entries that are not in it."""
        for id_ in [i for i in self.servers if i not in ids]:
            self.remove(now, id_)

    def expire(self, now: float) -> bool:
        """Carry out the deferred removals once ``REREGISTRATION_TIME`` has passed.

        :returns: whether any entry was removed
        """
        if (
            not self.pending_removals
            or self.outage
            or now < self.recovered_at + REREGISTRATION_TIME
        ):
            return False
        for id_ in self.pending_removals:
            self.servers.pop(id_, None)
        self.pending_removals.clear()
        return True
