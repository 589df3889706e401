"""Which other routers have ended or are out of reach, so that all their grants are known.

After the store came back from a copy, the pools wait for every router that may have been granted
tokens since the copy. A router that was neither linked nor active in the store for some time before
cannot have been: the pools as read last show all that it was granted. The same holds for a router
that has closed its accounts and said so.
"""

from bilberryshed.coordination._pool_restore import incarnation_vm

SILENT_TIME = 5.0  # seconds; a router in touch with the store writes to it several times a second


class Departures:
    """What one router has seen of the others; times are responsive times, in seconds.

    Time in which the router itself was not responsive shows nothing about the others.

    :param watched_since: time from which on it would have seen them
    :param seen_at: time at which each VM's router was last linked or active in the store
    :param closed: boot id of the last incarnation on each VM that said that it had closed its
        accounts, and when
    :param pools_read_at: time at which the last complete read of all pools began
    :param known_until: beginning of their last read before the store was restored
    """

    __slots__ = ("watched_since", "seen_at", "closed", "pools_read_at", "known_until")

    def __init__(self, now: float) -> None:
        self.watched_since = now
        self.seen_at: dict[str, float] = {}
        self.closed: dict[str, tuple[str, float]] = {}
        self.pools_read_at = float("-inf")
        self.known_until = float("-inf")

    def saw(self, now: float, boot: str) -> None:
        """Record that an incarnation runs; it is ignored once that has closed its accounts."""
        vm = incarnation_vm(boot)
        if vm in self.closed and self.closed[vm][0] == boot:
            return
        self.closed.pop(vm, None)
        self.seen_at[vm] = now

    def on_closed(self, now: float, boot: str) -> None:
        """Record that an incarnation has closed its accounts, and ends."""
        self.closed[incarnation_vm(boot)] = (boot, now)

    def on_pools_read(self, begun_at: float) -> None:
        """Record that all pools have been read, by a read that began at a time."""
        self.pools_read_at = begun_at

    def on_restored(self) -> None:
        """Record that the store was restored: what was read before is all that is known."""
        self.known_until = self.pools_read_at

    def recently_seen(self) -> set[str]:
        """Return the VMs whose routers may have been granted tokens since the pools were read."""
        return {vm for vm in self.seen_at if not self.has_departed(vm)}

    def has_departed(self, vm: str) -> bool:
        """Whether the pools as read before the restore show all tokens granted to a router."""
        if vm in self.closed:
            return self.closed[vm][1] <= self.known_until
        last_seen_at = self.seen_at.get(vm, self.watched_since)
        return last_seen_at + SILENT_TIME <= self.known_until
