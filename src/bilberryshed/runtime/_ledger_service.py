"""Delivery of usage records to the ledger, through the writer of each shard."""

from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Failure

from bilberryshed.coordination import PutSegment, ShardWriter, shard_of
from bilberryshed.protocol import LedgerAppendRequest, LedgerAppendResponse, UsageRecord
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._results import value_or_error
from bilberryshed.state import StoreError, segment_object_name
from bilberryshed.transport import logger

OFFER_TIMEOUT = 3.0  # seconds before records are written without the shard's writer

CommitCallback = Callable[[UsageRecord], None]


@dataclass(slots=True)
class _PendingRecord:
    """A record that is not known to be committed.

    :param since: time at which it was submitted
    :param sent: whether it was sent to the shard's writer
    """

    record: UsageRecord
    since: float
    callbacks: list[CommitCallback] = field(default_factory=list)
    sent: bool = False


@dataclass(slots=True)
class _PeerOffer:
    """Request of another router to commit records.

    :param unresolved: bill ids of records that are not committed yet
    :param kept: committed records by bill id
    """

    peer: str
    offer: LedgerAppendRequest
    unresolved: set[str] = field(default_factory=set)
    kept: dict[str, UsageRecord] = field(default_factory=dict)


class LedgerService:
    """Usage records of one router that are being committed to the ledger."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.writers: dict[int, ShardWriter] = {}
        self.waiting: dict[str, _PendingRecord] = {}
        self.peer_offers: list[_PeerOffer] = []
        self.next_offer = 1

    def start(self) -> None:
        """Start the periodic delivery."""
        self.context.timers.subscribe(self.context.settings.ledger_interval, self._on_tick)

    def offer(self, record: UsageRecord, on_committed: CommitCallback) -> None:
        """Submit a record to the ledger.

        :param on_committed: receives the record committed under this bill id, which may come from
            another attempt
        """
        waiting = self.waiting.get(record.bill_id)
        if waiting is None:
            waiting = _PendingRecord(record, self.context.timers.now())
            self.waiting[record.bill_id] = waiting
        waiting.callbacks.append(on_committed)

    @property
    def backlog(self) -> int:
        """Number of records and of peer requests that are not known to be committed."""
        return len(self.waiting) + len(self.peer_offers)

    def undelivered(self) -> list[UsageRecord]:
        """Return the local records that the ledger may not contain yet."""
        records = [waiting.record for waiting in self.waiting.values()]
        for writer in self.writers.values():
            records += writer.pending_records.values()
        return records

    async def all_records(self) -> tuple[UsageRecord, ...] | None:
        """Read every shard to its end.

        :returns: every record in the ledger, ``None`` if the store failed
        """
        records: list[UsageRecord] = []
        for shard in range(self.context.settings.ledger_shards):
            writer = ShardWriter(shard, self.context.boot)
            while not writer.caught_up:
                action = writer.next_action()
                assert action is not None
                name = segment_object_name(shard, action.number)
                fetched = await self.context.objects.get(name)
                if isinstance(fetched, Failure):
                    return None
                records += writer.on_read(fetched.unwrap())
        return tuple(records)

    # Messages from other routers ------------------------------------------------------------

    def on_offer(self, peer: str, offer: LedgerAppendRequest) -> None:
        """Handle a request of another router to commit records."""
        pending = _PeerOffer(peer, offer)
        writer = self._writer(offer.shard)
        for record in offer.records:
            kept = writer.submit(record)
            if kept is None:
                pending.unresolved.add(record.bill_id)
            else:
                pending.kept[record.bill_id] = kept
        self.peer_offers.append(pending)
        self._reply_to_offers()

    def on_verdict(self, verdict: LedgerAppendResponse) -> None:
        """Handle the response of a shard's writer with the committed records."""
        for record in verdict.kept:
            self._resolve(record)

    # Writing --------------------------------------------------------------------------------

    def _on_tick(self, now: float) -> None:
        offers: dict[tuple[str, int], list[UsageRecord]] = {}
        for waiting in self.waiting.values():
            self._route_record(now, waiting, offers)
        for (peer, shard), records in offers.items():
            offer = LedgerAppendRequest(
                f"{self.context.boot}.o{self.next_offer}", shard, tuple(records)
            )
            self.next_offer += 1
            self.context.send_to_peer(peer, offer)
        for writer in self.writers.values():
            self._start_writing(writer)

    def _route_record(
        self, now: float, waiting: _PendingRecord, offers: dict[tuple[str, int], list[UsageRecord]]
    ) -> None:
        shard = shard_of(waiting.record.bill_id, self.context.settings.ledger_shards)
        peer = self.context.members.shard_writer(shard)
        overdue = now - waiting.since >= OFFER_TIMEOUT
        if peer is None or overdue:
            kept = self._writer(shard).submit(waiting.record)
            if kept is not None:
                self.context.spawn(self._resolve_later(kept))
        elif not waiting.sent:
            waiting.sent = True
            offers.setdefault((peer, shard), []).append(waiting.record)

    async def _resolve_later(self, record: UsageRecord) -> None:
        self._resolve(record)

    def _writer(self, shard: int) -> ShardWriter:
        if shard not in self.writers:
            self.writers[shard] = ShardWriter(shard, self.context.boot)
        return self.writers[shard]

    def _start_writing(self, writer: ShardWriter) -> None:
        if not writer.busy and (writer.pending_records or writer.pending_segment):
            self.context.spawn(self._write(writer))

    async def _write(self, writer: ShardWriter) -> None:
        """Execute a writer's actions until none is left or the store fails."""
        action = writer.next_action()
        while action is not None:
            name = segment_object_name(writer.shard, action.number)
            if isinstance(action, PutSegment):
                put = value_or_error(await self.context.objects.put_if_absent(name, action.data))
                records, failed = writer.on_put(put), isinstance(put, StoreError)
                self.context.metrics.count("ledger_puts")
            else:
                fetched = value_or_error(await self.context.objects.get(name))
                records, failed = writer.on_read(fetched), isinstance(fetched, StoreError)
            self._on_committed(records)
            if failed:
                self.context.metrics.count("store_errors")
                logger().warning("ledger_store_error", shard=writer.shard)
                return
            action = writer.next_action()

    def _on_committed(self, records: tuple[UsageRecord, ...]) -> None:
        for record in records:
            self._resolve(record)
            for pending in self.peer_offers:
                if record.bill_id in pending.unresolved:
                    pending.unresolved.discard(record.bill_id)
                    pending.kept[record.bill_id] = record
        self._reply_to_offers()

    def _reply_to_offers(self) -> None:
        """Respond to the requests whose records are all committed."""
        open_offers = []
        for pending in self.peer_offers:
            if not pending.unresolved:
                kept = tuple(pending.kept.values())
                self.context.send_to_peer(
                    pending.peer, LedgerAppendResponse(pending.offer.offer, kept)
                )
            else:
                open_offers.append(pending)
        self.peer_offers = open_offers

    def _resolve(self, record: UsageRecord) -> None:
        waiting = self.waiting.pop(record.bill_id, None)
        if waiting is not None:
            for callback in waiting.callbacks:
                callback(record)
