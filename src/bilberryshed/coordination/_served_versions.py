"""The software versions that each service has had, and since when.

They tell which versions can have begun a stream that nobody remembers.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from bilberryshed.coordination._backend_registry import REREGISTRATION_TIME
from bilberryshed.coordination._stream_origins import ORIGIN_TIME

UNKNOWN_SINCE = 0.0  # start of a span of which only the end is known, in seconds
NO_EPOCH = -1  # of spans that were not observed in any epoch of the store


@dataclass(slots=True, frozen=True)
class VersionSpan:
    """Time in which a version of a service had backend servers, on the store's clock in seconds.

    :param gone_at: ``None`` while it has any
    """

    since: float
    gone_at: float | None = None

    def overlaps(self, since: float, until: float) -> bool:
        """Whether it had backend servers at any time of a period."""
        return self.since <= until and (self.gone_at is None or self.gone_at >= since)

    def merged(self, other: "VersionSpan") -> "VersionSpan":
        """Return the span that covers both."""
        ends = (self.gone_at, other.gone_at)
        gone_at = None if None in ends else max(end for end in ends if end is not None)
        return VersionSpan(min(self.since, other.since), gone_at)

    def widened(self, clock: float) -> "VersionSpan":
        """Return the longest span that this one can be on the clock of a later epoch.

        :param clock: clock of the store at any time of that epoch, in seconds
        """
        return VersionSpan(UNKNOWN_SINCE, None if self.gone_at is None else clock)


Spans = dict[str, dict[str, VersionSpan]]  # by service and version


@dataclass(slots=True)
class ServedVersions:
    """The versions that each service has now or had a short time ago.

    Within an epoch of the store they are complete: a version is written there before it begins a
    stream. The copy from which an epoch begins may lack versions that began streams until then, and
    times of different epochs cannot be compared. Entries of backend servers that the copy lacks
    come back in the first seconds of an epoch, so a version that is listed then may be an old one.

    :param epoch: epoch of the store in which the spans were observed
    :param complete_from: clock of the store from which a version that is not among them is new
    """

    spans: Spans = field(default_factory=dict)
    epoch: int = NO_EPOCH
    complete_from: float = 0.0

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "ServedVersions":
        """Parse the columns of a row."""
        spans = {
            str(service): {
                str(version): VersionSpan(float(since), None if end is None else float(end))
                for version, (since, end) in versions.items()
            }
            for service, versions in value.get("services", {}).items()
        }
        epoch = int(value.get("epoch", NO_EPOCH))
        return cls(spans, epoch, float(value.get("complete_from", 0.0)))

    def to_value(self) -> dict[str, Any]:
        """Return the columns of a row."""
        services = {
            service: {version: [span.since, span.gone_at] for version, span in versions.items()}
            for service, versions in self.spans.items()
        }
        return {
            "services": services,
            "epoch": self.epoch,
            "complete_from": self.complete_from,
        }

    def follow_epoch(self, epoch: int, clock: float) -> None:
        """Widen the spans if they were observed in another epoch.

        :param clock: clock of the store, in seconds
        """
        if epoch == self.epoch:
            return
        self.epoch, self.complete_from = epoch, clock + REREGISTRATION_TIME
        for versions in self.spans.values():
            versions.update({name: span.widened(clock) for name, span in versions.items()})

    def observe(self, clock: float, listed: Mapping[str, set[str]]) -> None:
        """Update the spans from the versions that are listed now.

        :param clock: clock of the store, in seconds
        :param listed: versions by service
        """
        start = clock if clock >= self.complete_from else UNKNOWN_SINCE
        for service in listed.keys() | self.spans.keys():
            known = self.spans.setdefault(service, {})
            for version in listed.get(service, set()):
                known[version] = VersionSpan(known[version].since if version in known else start)
            for version, span in list(known.items()):
                if version not in listed.get(service, set()) and span.gone_at is None:
                    known[version] = VersionSpan(span.since, clock)
                elif span.gone_at is not None and span.gone_at < clock - ORIGIN_TIME:
                    del known[version]

    def merge(self, other: "ServedVersions") -> None:
        """Add the spans that the store lists, which were observed in the same epoch."""
        self.complete_from = other.complete_from
        for service, versions in other.spans.items():
            known = self.spans.setdefault(service, {})
            for version, span in versions.items():
                known[version] = known[version].merged(span) if version in known else span

    def possible(self, service: str, until: float) -> set[str]:
        """Return the versions that may have begun a stream up to a time, and not long before."""
        return {
            version
            for version, span in self.spans.get(service, {}).items()
            if span.overlaps(until - ORIGIN_TIME, until)
        }
