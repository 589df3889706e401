"""Zones whose backend servers get no requests, as operators order it in the store.

Each gateway keeps the set of evacuated zones as of a version of the operators' table. Of two sets
the one of the later epoch or version of the store is in force.

A store that is restored from a copy may lack the row of an evacuation. A zone that is missing in a
later epoch stays evacuated until the store, or a peer, still lacks it after
``REREGISTRATION_TIME``, in which operators' rows are written again.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from bilberryshed.coordination._backend_registry import REREGISTRATION_TIME

MAX_ZONE_NAME = 200  # characters


@dataclass(slots=True, frozen=True, order=True)
class TableStamp:
    """Epoch of the store and version of the operators' table; later ones are greater."""

    epoch: int = 0
    version: int = -1


def evacuated_zone(key: str, prefix: str) -> str | None:
    """Return the zone that the key of a row names, empty if it names none that is valid.

    :returns: ``None`` if the row is no order to evacuate a zone
    """
    if not key.startswith(prefix):
        return None
    zone = key.removeprefix(prefix)
    return zone if zone.isprintable() and len(zone) <= MAX_ZONE_NAME else ""


class Evacuations:
    """Evacuated zones as one gateway knows them.

    :param zones: zones that get no requests; those that a restored store lacks are in it
    :param stamp: latest state of the store that is known, of own reads and notices of peers
    :param missing_since: monotonic time since which a later epoch lacks a zone, by zone
    :param ended: state of the store with which an evacuation ended, by zone
    """

    __slots__ = ("zones", "stamp", "missing_since", "ended")

    def __init__(self) -> None:
        self.zones: frozenset[str] = frozenset()
        self.stamp = TableStamp()
        self.missing_since: dict[str, float] = {}
        self.ended: dict[str, TableStamp] = {}

    def on_changes(self, now: float, stamp: TableStamp, rows: Mapping[str, bool]) -> None:
        """Apply changed rows: whether each zone is to be evacuated.

        :param now: monotonic time in seconds at which the read began
        """
        ordered = frozenset(zone for zone, is_ordered in rows.items() if is_ordered)
        self._begin(ordered)
        self._end_those(now, stamp, frozenset(rows) - ordered, self.zones - ordered)

    def on_snapshot(self, now: float, stamp: TableStamp, ordered: frozenset[str]) -> None:
        """Apply a complete list of the zones to be evacuated.

        :param now: monotonic time in seconds at which the read began
        """
        self._begin(ordered)
        self._end_those(now, stamp, self.zones - ordered, self.zones - ordered)

    def on_notice(
        self, now: float, stamp: TableStamp, ordered: frozenset[str], missing: frozenset[str]
    ) -> bool:
        """Apply the set of a peer if it is not older than the own one.

        :param missing: zones that the peer keeps evacuated although the store lacks the order
        :returns: whether the peer should be sent the own set, as it is later
        """
        if stamp >= self.stamp:
            ended = {z for z, at in self.ended.items() if at.epoch == stamp.epoch}
            self._keep(now, missing - self.zones - ended)
            self.on_snapshot(now, stamp, ordered)
            return False
        if stamp.epoch < self.stamp.epoch:
            unknown = (ordered | missing) - self.zones
            self._keep(now, {z for z in unknown if stamp > self.ended.get(z, TableStamp())})
        return ordered | missing != self.zones

    def _keep(self, now: float, zones: Collection[str]) -> None:
        """Keep zones evacuated whose orders a restored store may lack."""
        self.zones |= frozenset(zones)
        self.missing_since |= dict.fromkeys(zones, now)

    def _begin(self, zones: frozenset[str]) -> None:
        self.zones |= zones
        for zone in zones:
            self.missing_since.pop(zone, None)
            self.ended.pop(zone, None)

    def _end_those(
        self, now: float, stamp: TableStamp, removed: frozenset[str], unnamed: frozenset[str]
    ) -> None:
        """End the evacuations that a state of the store lacks, unless it is an older state.

        :param removed: zones that it lacks by what it says
        :param unnamed: zones that it does not name
        """
        if stamp < self.stamp:
            return
        if self.stamp.version >= 0 and self.stamp.epoch < stamp.epoch:
            self._keep(now, unnamed - self.missing_since.keys())
        self.stamp = stamp
        waited = {
            z for z, since in self.missing_since.items() if now >= since + REREGISTRATION_TIME
        }
        for zone in (removed - self.missing_since.keys()) | waited:
            self.zones -= {zone}
            self.missing_since.pop(zone, None)
            self.ended[zone] = stamp
