"""Groups of routers and their hubs.

With one link in use between every two routers, the control traffic of each router grows with the
fleet, and a customer's tokens are split into more and more small holdings. So routers of an
availability zone form groups. The hub of a group, on one of the zone's larger VMs, holds prepaid
tokens for its members and relays their loads. Every router computes the groups from the routers
that it is linked to; views that differ for a moment are harmless, since a hub serves every router
that asks it.
"""

import math
from collections.abc import Iterable, Mapping

from bilberryshed.coordination._rendezvous import owner, rank

MIN_GROUPED = 4  # routers in a zone below which each is its own hub
MAX_GROUP = 16  # routers in one group
LARGE_SHARE = 0.5  # of the capacity of the largest VM in a zone; smaller ones are no hubs


class Hubs:
    """The hubs of a fleet as one router sees them.

    :param name: this router
    :param zone: its availability zone
    :param zones: availability zones of the routers that it is linked to, by name
    :param capacities: capacities of their VMs, in comparable units; 0 for one that is not listed
    :param unavailable: routers that are draining, which cannot be hubs
    :param suspected: hubs that did not respond recently, which this router does not use
    """

    __slots__ = (
        "name",
        "zone",
        "zones",
        "capacities",
        "unavailable",
        "suspected",
        "_names",
        "_own",
        "_outdated",
    )

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.zones: dict[str, str] = {}
        self.capacities: dict[str, float] = {}
        self.unavailable: set[str] = set()
        self.suspected: set[str] = set()
        self._names: frozenset[str] = frozenset()
        self._own = name
        self._outdated = True

    def add(self, name: str, zone: str) -> None:
        """Add a linked router."""
        self.zones[name] = zone
        self._outdated = True

    def remove(self, name: str) -> None:
        """Remove a router whose link is closed."""
        self.zones.pop(name, None)
        self.unavailable.discard(name)
        self.suspected.discard(name)
        self._outdated = True

    def set_capacity(self, name: str, capacity: float) -> None:
        """Record the capacity of a router's VM; this router itself can be named, too."""
        if self.capacities.get(name) != capacity:
            self.capacities[name] = capacity
            self._outdated = True

    def set_suspected(self, name: str, suspected: bool) -> None:
        """Record whether a hub did not respond; while it is suspected, another one is used."""
        if suspected:
            self.suspected.add(name)
        else:
            self.suspected.discard(name)
        self._outdated = True

    def set_available(self, name: str, available: bool) -> None:
        """Record whether a router can be a hub; this router itself can be named, too."""
        if available is (name not in self.unavailable):
            return
        if available:
            self.unavailable.discard(name)
        else:
            self.unavailable.add(name)
        self._outdated = True

    @property
    def names(self) -> frozenset[str]:
        """All hubs, including this router if it is one."""
        self._update()
        return self._names

    @property
    def own(self) -> str:
        """The hub of this router, its own name if it is its own hub."""
        self._update()
        return self._own

    @property
    def is_hub(self) -> bool:
        """Whether this router is its own hub."""
        return self.own == self.name

    def others(self) -> list[str]:
        """Return the other hubs, in a fixed order."""
        return sorted(self.names - {self.name})

    def _update(self) -> None:
        """Compute the hubs after a change, which often comes together with others."""
        if not self._outdated:
            return
        self._outdated = False
        zones = {**self.zones, self.name: self.zone}
        self._names = all_hubs(zones, self.capacities, self.unavailable)
        self._own = hub_of(self.name, zones, self._names, self.suspected)


def all_hubs(
    zones: Mapping[str, str], capacities: Mapping[str, float], unavailable: Iterable[str] = ()
) -> frozenset[str]:
    """Return the hubs of all zones.

    :param zones: availability zone by router
    :param capacities: capacity of the VM by router, 0 if it is missing
    :param unavailable: routers that cannot be hubs
    """
    members: dict[str, list[str]] = {}
    excluded = set(unavailable)
    for name, zone in zones.items():
        members.setdefault(zone, []).append(name)
    hubs: set[str] = set()
    for zone, names in members.items():
        candidates = [name for name in names if name not in excluded]
        if len(names) < MIN_GROUPED:
            hubs.update(candidates)
        else:
            count = math.ceil(len(names) / MAX_GROUP)
            hubs.update(_by_rank(f"hub {zone}", candidates, capacities)[:count])
    return frozenset(hubs)


def _by_rank(key: str, names: list[str], capacities: Mapping[str, float]) -> list[str]:
    """Return the names, those of large VMs first, each part by its weight for a key."""
    largest = max((capacities.get(name, 0.0) for name in names), default=0.0)
    large = [name for name in names if capacities.get(name, 0.0) >= LARGE_SHARE * largest]
    return rank(key, large) + rank(key, set(names) - set(large))


def hub_of(
    name: str, zones: Mapping[str, str], hubs: Iterable[str], suspected: Iterable[str] = ()
) -> str:
    """Return the hub of a router: one of its zone, or else any other; without any, itself.

    :param zones: availability zone by router
    :param suspected: hubs that are used only if there is no other
    """
    if name in hubs:
        return name
    in_zone = [hub for hub in hubs if zones[hub] == zones[name]]
    if not in_zone:
        return name
    trusted = set(hubs) - set(suspected)
    return owner(name, trusted & set(in_zone) or trusted or in_zone) or name
