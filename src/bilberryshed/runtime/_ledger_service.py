"""Delivers usage records to the ledger, through the writer of each shard."""

from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Failure

from bilberryshed.coordination import PutSegment, ShardWriter, shard_of
from bilberryshed.protocol import RecordsOffer, RecordsVerdict, UsageRecord
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._results import plain
from bilberryshed.state import StoreError, segment_object
from bilberryshed.transport import logger

OFFER_TIMEOUT = 3.0  # seconds before records are written without the shard's writer

Kept = Callable[[UsageRecord], None]


@dataclass(slots=True)
class _Waiting:
    """A record that is not known to be kept.

    :param since: time of the offer
    :param sent: whether it was offered to the shard's writer
    """

    record: UsageRecord
    since: float
    callbacks: list[Kept] = field(default_factory=list)
    sent: bool = False


@dataclass(slots=True)
class _PeerOffer:
    """Records that another router wants kept."""

    peer: str
    offer: RecordsOffer
    undecided: set[str] = field(default_factory=set)
    kept: dict[str, UsageRecord] = field(default_factory=dict)


class LedgerService:
    """Records on their way into the ledger."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.writers: dict[int, ShardWriter] = {}
        self.waiting: dict[str, _Waiting] = {}
        self.peer_offers: list[_PeerOffer] = []
        self.next_offer = 1

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(self.context.settings.ledger_interval, self._on_tick)

    def offer(self, record: UsageRecord, on_kept: Kept) -> None:
        """Have a record kept.

        :param on_kept: takes the record that the ledger keeps under this bill id
        """
        waiting = self.waiting.get(record.bill_id)
        if waiting is None:
            waiting = _Waiting(record, self.context.timers.now())
            self.waiting[record.bill_id] = waiting
        waiting.callbacks.append(on_kept)

    @property
    def backlog(self) -> int:
        """Records that are not known to be kept."""
        return len(self.waiting) + len(self.peer_offers)

    def undelivered(self) -> list[UsageRecord]:
        """Return the records here that the ledger may not hold yet."""
        records = [waiting.record for waiting in self.waiting.values()]
        for writer in self.writers.values():
            records += writer.waiting.values()
        return records

    async def all_records(self) -> tuple[UsageRecord, ...] | None:
        """Read every shard to its end.

        :returns: every record that the ledger holds, ``None`` if the store failed
        """
        records: list[UsageRecord] = []
        for shard in range(self.context.settings.ledger_shards):
            writer = ShardWriter(shard, self.context.boot)
            while not writer.caught_up:
                action = writer.next_action()
                assert action is not None
                name = segment_object(shard, action.number)
                got = await self.context.objects.get(name)
                if isinstance(got, Failure):
                    return None
                records += writer.on_read(got.unwrap())
        return tuple(records)

    # Messages of other routers --------------------------------------------------------------

    def on_offer(self, peer: str, offer: RecordsOffer) -> None:
        """Write records for another router."""
        pending = _PeerOffer(peer, offer)
        writer = self._writer(offer.shard)
        for record in offer.records:
            kept = writer.offer(record)
            if kept is None:
                pending.undecided.add(record.bill_id)
            else:
                pending.kept[record.bill_id] = kept
        self.peer_offers.append(pending)
        self._answer_offers()

    def on_verdict(self, verdict: RecordsVerdict) -> None:
        """Take in which records are kept."""
        for record in verdict.kept:
            self._conclude(record)

    # Writing --------------------------------------------------------------------------------

    def _on_tick(self, now: float) -> None:
        offers: dict[tuple[str, int], list[UsageRecord]] = {}
        for waiting in self.waiting.values():
            self._place(now, waiting, offers)
        for (peer, shard), records in offers.items():
            offer = RecordsOffer(f"{self.context.boot}.o{self.next_offer}", shard, tuple(records))
            self.next_offer += 1
            self.context.send_peer(peer, offer)
        for writer in self.writers.values():
            self._pump(writer)

    def _place(
        self, now: float, waiting: _Waiting, offers: dict[tuple[str, int], list[UsageRecord]]
    ) -> None:
        shard = shard_of(waiting.record.bill_id, self.context.settings.ledger_shards)
        peer = self.context.members.shard_writer(shard)
        late = now - waiting.since >= OFFER_TIMEOUT
        if peer is None or late:
            kept = self._writer(shard).offer(waiting.record)
            if kept is not None:
                self.context.spawn(self._conclude_soon(kept))
        elif not waiting.sent:
            waiting.sent = True
            offers.setdefault((peer, shard), []).append(waiting.record)

    async def _conclude_soon(self, record: UsageRecord) -> None:
        self._conclude(record)

    def _writer(self, shard: int) -> ShardWriter:
        if shard not in self.writers:
            self.writers[shard] = ShardWriter(shard, self.context.boot)
        return self.writers[shard]

    def _pump(self, writer: ShardWriter) -> None:
        if not writer.busy and (writer.waiting or writer.unwritten):
            self.context.spawn(self._write(writer))

    async def _write(self, writer: ShardWriter) -> None:
        """Drive a writer until it has nothing to do or the store fails."""
        action = writer.next_action()
        while action is not None:
            name = segment_object(writer.shard, action.number)
            if isinstance(action, PutSegment):
                put = plain(await self.context.objects.put_if_absent(name, action.data))
                records, failed = writer.on_put(put), isinstance(put, StoreError)
                self.context.metrics.count("ledger_puts")
            else:
                got = plain(await self.context.objects.get(name))
                records, failed = writer.on_read(got), isinstance(got, StoreError)
            self._on_kept(records)
            if failed:
                self.context.metrics.count("store_errors")
                logger().warning("ledger_store_error", shard=writer.shard)
                return
            action = writer.next_action()

    def _on_kept(self, records: tuple[UsageRecord, ...]) -> None:
        for record in records:
            self._conclude(record)
            for pending in self.peer_offers:
                if record.bill_id in pending.undecided:
                    pending.undecided.discard(record.bill_id)
                    pending.kept[record.bill_id] = record
        self._answer_offers()

    def _answer_offers(self) -> None:
        """Answer offers all of whose records are decided."""
        open_offers = []
        for pending in self.peer_offers:
            if not pending.undecided:
                kept = tuple(pending.kept.values())
                self.context.send_peer(pending.peer, RecordsVerdict(pending.offer.offer, kept))
            else:
                open_offers.append(pending)
        self.peer_offers = open_offers

    def _conclude(self, record: UsageRecord) -> None:
        waiting = self.waiting.pop(record.bill_id, None)
        if waiting is not None:
            for callback in waiting.callbacks:
                callback(record)
