"""Writer of one ledger shard.

A shard is an append-only chain of immutable segments, numbered without gaps. A segment is created
only if its number is free, so one of two concurrent writers succeeds and the other reads the
segment of the first. The ledger has one record for each bill id; the writer returns the record that
the ledger contains, whichever process wrote it.
"""

from dataclasses import dataclass

import xxhash

from bilberryshed.protocol import FrameError, UsageRecord, decode, encode, register_message
from bilberryshed.state import StoreError

MAX_RECORDS = 5_000  # records in one segment
MAX_CACHED_RECORDS = 10_000  # complete records of one shard that are cached


@register_message(60)
@dataclass(slots=True, frozen=True)
class Segment:
    """One segment.

    :param writer: globally unique id of the writer and its put
    :param records: usage records, each with a bill id that no earlier segment contains
    """

    writer: str
    records: tuple[UsageRecord, ...]


@dataclass(slots=True, frozen=True)
class PutSegment:
    """Action: create a segment unless its number exists."""

    number: int
    data: bytes


@dataclass(slots=True, frozen=True)
class GetSegment:
    """Action: read a segment."""

    number: int


Action = PutSegment | GetSegment


class ShardWriter:
    """One shard's chain as this router has read it; one action is outstanding at a time.

    The newest records are cached completely. Of older ones only a 64-bit hash of the bill id and
    the segment number are cached; if such a bill is offered again, its record is read from the
    segment.

    :param shard: shard number
    :param boot: boot id of the router
    :param cache_size: maximum number of complete records in the cache
    :param next: number of the next segment
    :param cached: newest records with their segment numbers, by bill id
    :param evicted: segment numbers of older records, by hash of the bill id
    :param pending_records: submitted records that are not known to be in the ledger, by bill id
    :param possible_duplicates: number of the segment to search, by pending bill whose hash an
        evicted record shares
    :param confirmed_new: pending bills whose hash only collides with that of another bill
    :param pending_segment: segment whose creation is not confirmed
    :param caught_up: whether all existing segments were read
    """

    __slots__ = (
        "shard",
        "boot",
        "cache_size",
        "next",
        "cached",
        "evicted",
        "pending_records",
        "possible_duplicates",
        "confirmed_new",
        "pending_segment",
        "busy",
        "reading",
        "caught_up",
        "puts",
    )

    def __init__(self, shard: int, boot: str, cache_size: int = MAX_CACHED_RECORDS) -> None:
        self.shard = shard
        self.boot = boot
        self.cache_size = cache_size
        self.next = 1
        self.cached: dict[str, tuple[UsageRecord, int]] = {}
        self.evicted: dict[int, int] = {}
        self.pending_records: dict[str, UsageRecord] = {}
        self.possible_duplicates: dict[str, int] = {}
        self.confirmed_new: set[str] = set()
        self.pending_segment: Segment | None = None
        self.busy = False
        self.reading = 0
        self.caught_up = False
        self.puts = 0

    def submit(self, record: UsageRecord) -> UsageRecord | None:
        """Add a record to be written.

        :returns: the ledger's record with this bill id, or ``None`` if that is not decided yet
        """
        cached = self.cached.get(record.bill_id)
        if cached is not None:
            return cached[0]
        self.pending_records.setdefault(record.bill_id, record)
        self._check_duplicate(record.bill_id)
        return None

    def next_action(self) -> Action | None:
        """Return the next action, or ``None`` while one is outstanding or no record is pending."""
        if self.busy or (
            not self.pending_records and self.pending_segment is None and self.caught_up
        ):
            return None
        self.busy = True
        if not self.caught_up:
            self.reading = self.next
            return GetSegment(self.next)
        if self.possible_duplicates:
            self.reading = next(iter(self.possible_duplicates.values()))
            return GetSegment(self.reading)
        if self.pending_segment is None:
            self._build_segment()
        assert self.pending_segment is not None
        return PutSegment(self.next, encode(self.pending_segment))

    def on_put(self, created: bool | StoreError) -> tuple[UsageRecord, ...]:
        """Handle the response to :class:`PutSegment`.

        :returns: records newly confirmed to be in the ledger
        """
        self.busy = False
        if created is True and self.pending_segment is not None:
            return self._apply_next(self.pending_segment)
        self.caught_up = False
        return ()

    def on_read(self, data: bytes | None | StoreError) -> tuple[UsageRecord, ...]:
        """Handle the response to :class:`GetSegment`.

        :returns: records newly confirmed to be in the ledger
        :raises FrameError: if the segment is corrupt
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
        return (
            self._apply_next(segment)
            if self.reading == self.next
            else self._resolve_duplicates(segment)
        )

    def _build_segment(self) -> None:
        batch = tuple(self.pending_records.values())[:MAX_RECORDS]
        self.puts += 1
        self.pending_segment = Segment(f"{self.boot}.{self.shard}.{self.puts}", batch)

    def _apply_next(self, segment: Segment) -> tuple[UsageRecord, ...]:
        """Apply the segment with the next number."""
        number, self.next = self.next, self.next + 1
        for record in segment.records:
            self.cached.setdefault(record.bill_id, (record, number))
            self.pending_records.pop(record.bill_id, None)
            self.confirmed_new.discard(record.bill_id)
        self._evict_oldest()
        for bill in self.pending_records:
            self._check_duplicate(bill)
        # A segment number is created once, so this writer's own put of it can no longer succeed.
        self.pending_segment = None
        return segment.records

    def _evict_oldest(self) -> None:
        """Replace the oldest cached records by the hashes of their bill ids."""
        while len(self.cached) > self.cache_size:
            bill = next(iter(self.cached))
            self.evicted[_hash(bill)] = self.cached.pop(bill)[1]

    def _check_duplicate(self, bill: str) -> None:
        """Schedule a lookup of a pending bill if an evicted record has the same hash."""
        number = self.evicted.get(_hash(bill))
        if number is not None and bill not in self.confirmed_new:
            self.possible_duplicates[bill] = number

    def _resolve_duplicates(self, segment: Segment) -> tuple[UsageRecord, ...]:
        """Search an older segment for the pending bills whose hashes match records in it."""
        looked_up = {
            bill for bill, number in self.possible_duplicates.items() if number == self.reading
        }
        found = tuple(record for record in segment.records if record.bill_id in looked_up)
        for bill in looked_up:
            del self.possible_duplicates[bill]
        for record in found:
            self.pending_records.pop(record.bill_id, None)
        # A bill that is not found is a hash collision with an older one, and is new.
        self.confirmed_new |= looked_up - {record.bill_id for record in found}
        return found


def _hash(bill: str) -> int:
    return xxhash.xxh3_64_intdigest(bill.encode())
