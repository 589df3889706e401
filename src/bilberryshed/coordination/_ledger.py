"""Writer of one ledger shard.

The ledger of a shard is a chain of immutable segments, numbered without gaps. A segment is created
only if its number is free, so of two writers one wins and the other reads what won. A record is
kept once for each bill id; the writer reports the record that the ledger holds, whoever wrote it.
"""

from dataclasses import dataclass

import xxhash

from bilberryshed.protocol import FrameError, UsageRecord, decode, encode, register_message
from bilberryshed.state import StoreError

MAX_RECORDS = 5_000  # records in one segment
MAX_WHOLE = 10_000  # records of one shard kept whole


@register_message(60)
@dataclass(slots=True, frozen=True)
class Segment:
    """One segment.

    :param writer: id of the writer and its put, unique for all time
    :param records: usage records, each of a bill id that no earlier segment has
    """

    writer: str
    records: tuple[UsageRecord, ...]


@dataclass(slots=True, frozen=True)
class PutSegment:
    """Action: create a segment unless its number is taken."""

    number: int
    data: bytes


@dataclass(slots=True, frozen=True)
class GetSegment:
    """Action: read a segment."""

    number: int


Action = PutSegment | GetSegment


class ShardWriter:
    """One shard's chain as this router knows it; one action is outstanding at a time.

    The newest records are kept whole. Of older ones only a 64-bit hash of the bill id and the
    number of the segment are kept; an old bill that is offered again is read from there.

    :param shard: shard number
    :param boot: boot id of the router
    :param whole: records kept whole
    """

    __slots__ = (
        "shard",
        "boot",
        "whole",
        "next",
        "kept",
        "older",
        "waiting",
        "repeats",
        "fresh",
        "writing",
        "busy",
        "reading",
        "caught_up",
        "puts",
    )

    def __init__(self, shard: int, boot: str, whole: int = MAX_WHOLE) -> None:
        self.shard = shard
        self.boot = boot
        self.whole = whole
        self.next = 1
        self.kept: dict[str, tuple[UsageRecord, int]] = {}
        self.older: dict[int, int] = {}
        self.waiting: dict[str, UsageRecord] = {}
        self.repeats: dict[str, int] = {}
        self.fresh: set[str] = set()
        self.writing: Segment | None = None
        self.busy = False
        self.reading = 0
        self.caught_up = False
        self.puts = 0

    def offer(self, record: UsageRecord) -> UsageRecord | None:
        """Add a record to be kept.

        :returns: the record kept under this bill id, or ``None`` if that is not decided yet
        """
        kept = self.kept.get(record.bill_id)
        if kept is not None:
            return kept[0]
        self.waiting.setdefault(record.bill_id, record)
        self._note_repeat(record.bill_id)
        return None

    def next_action(self) -> Action | None:
        """Return what to do now, or ``None`` while an action is outstanding or nothing waits."""
        if self.busy or (not self.waiting and self.writing is None and self.caught_up):
            return None
        self.busy = True
        if not self.caught_up:
            self.reading = self.next
            return GetSegment(self.next)
        if self.repeats:
            self.reading = next(iter(self.repeats.values()))
            return GetSegment(self.reading)
        if self.writing is None:
            self._fill()
        assert self.writing is not None
        return PutSegment(self.next, encode(self.writing))

    def on_put(self, created: bool | StoreError) -> tuple[UsageRecord, ...]:
        """Handle the answer to :class:`PutSegment`.

        :returns: records newly known to be kept
        """
        self.busy = False
        if created is True and self.writing is not None:
            return self._accept(self.writing)
        self.caught_up = False
        return ()

    def on_got(self, data: bytes | None | StoreError) -> tuple[UsageRecord, ...]:
        """Handle the answer to :class:`GetSegment`.

        :returns: records newly known to be kept
        :raises FrameError: if the segment is damaged
        """
        self.busy = False
        if isinstance(data, StoreError):
            return ()
        if data is None:
            self.caught_up = True
            return ()
        segment = decode(data)
        if not isinstance(segment, Segment):
            raise FrameError(f"ledger segment {self.shard}/{self.reading} is a {type(segment)}")
        return self._accept(segment) if self.reading == self.next else self._recall(segment)

    def _fill(self) -> None:
        batch = tuple(self.waiting.values())[:MAX_RECORDS]
        self.puts += 1
        self.writing = Segment(f"{self.boot}.{self.shard}.{self.puts}", batch)

    def _accept(self, segment: Segment) -> tuple[UsageRecord, ...]:
        """Take in the segment that has the next number."""
        number, self.next = self.next, self.next + 1
        for record in segment.records:
            self.kept.setdefault(record.bill_id, (record, number))
            self.waiting.pop(record.bill_id, None)
            self.fresh.discard(record.bill_id)
        self._shorten()
        for bill in self.waiting:
            self._note_repeat(bill)
        # A number is created once, so our own put of it can no longer succeed.
        self.writing = None
        return segment.records

    def _shorten(self) -> None:
        """Keep only hashes of the oldest records."""
        while len(self.kept) > self.whole:
            bill = next(iter(self.kept))
            self.older[_hash(bill)] = self.kept.pop(bill)[1]

    def _note_repeat(self, bill: str) -> None:
        """Have a waiting bill looked up if an older record may have its id."""
        number = self.older.get(_hash(bill))
        if number is not None and bill not in self.fresh:
            self.repeats[bill] = number

    def _recall(self, segment: Segment) -> tuple[UsageRecord, ...]:
        """Take in an older segment that may hold bills that were offered again."""
        sought = {bill for bill, number in self.repeats.items() if number == self.reading}
        found = tuple(record for record in segment.records if record.bill_id in sought)
        for bill in sought:
            del self.repeats[bill]
        for record in found:
            self.waiting.pop(record.bill_id, None)
        # A bill that is not found shares only its hash with an older one: it is new.
        self.fresh |= sought - {record.bill_id for record in found}
        return found


def _hash(bill: str) -> int:
    return xxhash.xxh3_64_intdigest(bill.encode())
