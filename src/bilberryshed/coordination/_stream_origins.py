"""Software versions of the backend servers that began streams.

A stream can be resumed only at the version that began it. Each router remembers the streams that it
relays.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

ORIGIN_TIME = 40.0  # seconds after its first event for which a stream may be taken up
RESTART_TIME = 3.0  # seconds by which an entry may be older than the process of its server
DOUBTFUL = ""  # version that is not certain, also in messages and rows
KEY_SHIFT = 16  # bits of a hash that a key lacks


@dataclass(slots=True, frozen=True)
class Origin:
    """Service and software version of the backend server that began a stream.

    :param version: ``DOUBTFUL`` if the server may have had another one than its entry said
    """

    service: str
    version: str

    @property
    def is_doubtful(self) -> bool:
        """Whether the version is not certain, whatever was reported before."""
        return self.version == DOUBTFUL


@dataclass(slots=True, frozen=True)
class _Record:
    origin: Origin
    server: str
    at: float


def stream_key(request: str) -> int:
    """Return the key of the stream that the caller's request with this id began, of 48 bits."""
    return xxhash.xxh3_64_intdigest(request.encode()) >> KEY_SHIFT


class StreamOrigins:
    """Origins of the streams that one router knows; times are monotonic, in seconds.

    :param records: by key of the stream, oldest first
    :param unreported: keys of the streams that were not reported to others
    """

    __slots__ = ("records", "unreported")

    def __init__(self) -> None:
        self.records: dict[int, _Record] = {}
        self.unreported: set[int] = set()

    def remember(self, now: float, key: int, origin: Origin, server: str) -> None:
        """Remember a stream that this router has begun to relay.

        :param server: id of the backend server
        """
        self.records.pop(key, None)
        self.records[key] = _Record(origin, server, now)
        self.unreported.add(key)

    def on_report(self, now: float, keys: Iterable[int], origin: Origin) -> None:
        """Learn the origin of streams from a router that leaves it to this one to store it."""
        self.learn(now, keys, origin)
        self.unreported.update(keys)

    def learn(self, now: float, keys: Iterable[int], origin: Origin) -> None:
        """Learn the origin of streams that other routers relay; a known one can only be doubted."""
        for key in keys:
            if origin.is_doubtful or key not in self.records:
                self.records[key] = _Record(origin, "", now)

    def get(self, key: int) -> Origin | None:
        """Return the origin of a stream, ``None`` if it is not known for certain."""
        record = self.records.get(key)
        return None if record is None or record.origin.is_doubtful else record.origin

    def doubt_restarted(self, now: float, server: str) -> None:
        """Doubt the streams that a server began just before its entry showed a restart.

        They may have been begun by the new process, which has another version. Others must hear of
        it, as they may have been told the version of the entry.
        """
        began = now - RESTART_TIME
        for key, record in list(self.records.items()):
            if record.server == server and record.at >= began:
                doubtful = Origin(record.origin.service, DOUBTFUL)
                self.records[key] = _Record(doubtful, server, record.at)
                self.unreported.add(key)

    def report_again(self) -> None:
        """Count all streams as not reported, as what was reported of them may be lost."""
        self.unreported.update(self.records)

    def take_unreported(self, most: int) -> dict[Origin, list[int]]:
        """Return streams that were not reported, by origin, and count them as reported.

        :param most: how many streams at most
        """
        taken = sorted(self.unreported)[:most]
        self.unreported.difference_update(taken)
        return self.grouped(taken)

    def prune(self, now: float) -> None:
        """Forget the streams that nobody takes up any more."""
        while self.records:
            key = next(iter(self.records))
            if self.records[key].at >= now - ORIGIN_TIME:
                break
            del self.records[key]
            self.unreported.discard(key)

    def grouped(self, keys: Iterable[int]) -> dict[Origin, list[int]]:
        """Return those streams that are remembered, by origin."""
        found: dict[Origin, list[int]] = {}
        for key in keys:
            if key in self.records:
                found.setdefault(self.records[key].origin, []).append(key)
        return found
