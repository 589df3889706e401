"""Sums of the loads of many routers, which a hub relays in place of a mesh of reports."""

from collections import Counter
from collections.abc import Iterable, Iterator

from bilberryshed.protocol import PrefixSent, ServerLoad

REPORT_LIFETIME = 6.0  # seconds for which a report counts unless it is renewed

Loads = tuple[ServerLoad, ...]


class LoadSum:
    """Sum of loads by backend server."""

    __slots__ = ("running", "work", "unread")

    def __init__(self) -> None:
        self.running: Counter[str] = Counter()
        self.work: Counter[str] = Counter()
        self.unread: Counter[str] = Counter()

    def add(self, loads: Iterable[ServerLoad], sign: int = 1) -> "LoadSum":
        """Add loads, or subtract them with a ``sign`` of -1; return this sum."""
        for load in loads:
            self.running[load.server] += sign * load.running
            self.work[load.server] += sign * load.work
            self.unread[load.server] += sign * load.unread
        return self

    def loads(self) -> Loads:
        """Return the sum without the backend servers that have no load."""
        return tuple(
            ServerLoad(server, count, self.work[server], self.unread[server])
            for server, count in self.running.items()
            if count
        )


class LoadRelay:
    """Loads that a hub has received, and the sums that it relays.

    Nothing is sent back to its sender, so no load is counted twice.

    :param members: loads of the members of its group
    :param reported_at: responsive time of each member's last report, in seconds
    :param groups: loads of the groups of other hubs
    :param parts_for_hubs: new shared prefixes in this group that other hubs do not know yet
    :param parts_for_members: new shared prefixes that the members do not know yet
    """

    __slots__ = ("members", "reported_at", "groups", "parts_for_hubs", "parts_for_members")

    def __init__(self) -> None:
        self.members: dict[str, Loads] = {}
        self.reported_at: dict[str, float] = {}
        self.groups: dict[str, Loads] = {}
        self.parts_for_hubs: list[PrefixSent] = []
        self.parts_for_members: list[PrefixSent] = []

    def on_member(self, now: float, name: str, loads: Loads, parts: Iterable[PrefixSent]) -> None:
        """Record the load of a member.

        :param now: responsive time in seconds
        """
        self.groups.pop(name, None)
        self.members[name] = loads
        self.reported_at[name] = now
        self.add_parts(parts)

    def on_group(self, name: str, loads: Loads, parts: Iterable[PrefixSent]) -> None:
        """Record the load of another hub's group."""
        self.members.pop(name, None)
        self.reported_at.pop(name, None)
        self.groups[name] = loads
        self.parts_for_members += parts

    def add_parts(self, parts: Iterable[PrefixSent]) -> None:
        """Add new shared prefixes of this group, which concern hubs and members alike."""
        new = tuple(parts)
        self.parts_for_hubs += new
        self.parts_for_members += new

    def remove(self, name: str) -> None:
        """Drop the load of a router whose link is closed, or which has another hub now."""
        self.members.pop(name, None)
        self.reported_at.pop(name, None)
        self.groups.pop(name, None)

    def expired(self, now: float) -> list[str]:
        """Return the members that have not reported for ``REPORT_LIFETIME``.

        :param now: responsive time in seconds
        """
        return [name for name, at in self.reported_at.items() if now - at > REPORT_LIFETIME]

    def group(self, own: Loads) -> Loads:
        """Return the load of this group: of the hub itself and its members."""
        if not self.members:
            return own
        return self._group_sum(own).loads()

    def for_members(self, own: Loads) -> Iterator[tuple[str, Loads]]:
        """Yield each member and the load of all routers but that one."""
        total = self._group_sum(own)
        for loads in self.groups.values():
            total.add(loads)
        for name, loads in self.members.items():
            yield name, total.add(loads, -1).loads()
            total.add(loads)

    def _group_sum(self, own: Loads) -> LoadSum:
        total = LoadSum().add(own)
        for loads in self.members.values():
            total.add(loads)
        return total

    def pop_parts_for_hubs(self) -> tuple[PrefixSent, ...]:
        """Return and clear the prefixes to be reported to other hubs."""
        parts = tuple(self.parts_for_hubs)
        self.parts_for_hubs.clear()
        return parts

    def pop_parts_for_members(self) -> tuple[PrefixSent, ...]:
        """Return and clear the prefixes to be reported to the members."""
        parts = tuple(self.parts_for_members)
        self.parts_for_members.clear()
        return parts
