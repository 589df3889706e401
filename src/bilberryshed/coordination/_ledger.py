"""Writer of one ledger shard.

The ledger of a shard is a chain of immutable segments, numbered without gaps. A segment is created
only if its number is free, so of two writers one wins and the other reads what won. A record is
kept once for each bill id; the writer reports the record that the ledger holds, whoever wrote it.
"""

from dataclasses import dataclass

from bilberryshed.protocol import FrameError, UsageRecord, decode, encode, message
from bilberryshed.state import StoreError

MAX_RECORDS = 5_000  # records in one segment


@message(60)
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

    :param shard: shard number
    :param boot: boot id of the router
    """

    __slots__ = ("shard", "boot", "next", "kept", "waiting", "writing", "busy", "caught_up", "puts")

    def __init__(self, shard: int, boot: str) -> None:
        self.shard = shard
        self.boot = boot
        self.next = 1
        self.kept: dict[str, UsageRecord] = {}
        self.waiting: dict[str, UsageRecord] = {}
        self.writing: Segment | None = None
        self.busy = False
        self.caught_up = False
        self.puts = 0

    def offer(self, record: UsageRecord) -> UsageRecord | None:
        """Add a record to be kept.

        :returns: the record kept under this bill id, or ``None`` if that is not decided yet
        """
        kept = self.kept.get(record.bill_id)
        if kept is None:
            self.waiting.setdefault(record.bill_id, record)
        return kept

    def next_action(self) -> Action | None:
        """Return what to do now, or ``None`` while an action is outstanding or nothing waits."""
        if self.busy or (not self.waiting and self.writing is None and self.caught_up):
            return None
        self.busy = True
        if not self.caught_up:
            return GetSegment(self.next)
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
            raise FrameError(f"ledger segment {self.shard}/{self.next} is a {type(segment)}")
        return self._accept(segment)

    def _fill(self) -> None:
        batch = tuple(self.waiting.values())[:MAX_RECORDS]
        self.puts += 1
        self.writing = Segment(f"{self.boot}.{self.shard}.{self.puts}", batch)

    def _accept(self, segment: Segment) -> tuple[UsageRecord, ...]:
        self.next += 1
        for record in segment.records:
            self.kept.setdefault(record.bill_id, record)
            self.waiting.pop(record.bill_id, None)
        # A number is created once, so our own put of it can no longer succeed.
        self.writing = None
        return segment.records
