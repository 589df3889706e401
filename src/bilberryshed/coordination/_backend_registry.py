"""The registered backend servers, through outages of the store that lists them.

Entries may lapse while the store is away although their backend servers live. They are back soon
after its return, so a deletion seen around an outage takes effect only once that time has passed.
"""

from bilberryshed.state import BackendServer

REREGISTRATION_TIME = 2.3  # seconds after the store's return in which lapsed entries come back


class BackendRegistry:
    """Backend servers by id, as the store's entries say."""

    __slots__ = ("servers", "pending_removals", "outage", "recovered_at")

    def __init__(self) -> None:
        self.servers: dict[str, BackendServer] = {}
        self.pending_removals: set[str] = set()
        self.outage = False
        self.recovered_at = float("-inf")

    def on_outage(self) -> None:
        """Note that the store did not answer."""
        self.outage = True

    def on_reachable(self, now: float) -> None:
        """Note that the store answered."""
        if self.outage:
            self.outage = False
            self.recovered_at = now

    def put(self, server: BackendServer) -> None:
        """Take in an entry."""
        self.servers[server.id] = server
        self.pending_removals.discard(server.id)

    def remove(self, now: float, id_: str) -> None:
        """Take in that an entry is gone."""
        if id_ not in self.servers:
            return
        if now < self.recovered_at + REREGISTRATION_TIME:
            self.pending_removals.add(id_)
        else:
            del self.servers[id_]

    def retain_only(self, now: float, ids: set[str]) -> None:
        """Take in a whole list: entries that are not in it are gone."""
        for id_ in [i for i in self.servers if i not in ids]:
            self.remove(now, id_)

    def expire(self, now: float) -> bool:
        """Drop entries that have not come back in time.

        :returns: whether any was dropped
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
