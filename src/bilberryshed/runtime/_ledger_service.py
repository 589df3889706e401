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

WRITER_TIMEOUT = 3.0  # responsive seconds until a record is written without the shard's writer

CommitCallback = Callable[[UsageRecord], None]


@dataclass(slots=True)
class _PendingRecord:
    """A record that is not known to be committed.

    :param since: responsive time at which it was submitted
    :param sent: whether it was sent to the shard's writer
    """

    record: UsageRecord
    since: float
    callbacks: list[CommitCallback] = field(default_factory=list)
    sent: bool = False


@dataclass(slots=True)
class _PeerRequest:
    """Request of another router to commit records.

    :param unresolved: bill ids of records that are not committed yet
    :param committed: committed records by bill id
    """

    peer: str
    request: LedgerAppendRequest
    unresolved: set[str] = field(default_factory=set)
    committed: dict[str, UsageRecord] = field(default_factory=dict)


class LedgerService:
    """Usage records of one router that are being committed to the ledger."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.writers: dict[int, ShardWriter] = {}
        self.pending_records: dict[str, _PendingRecord] = {}
        self.peer_requests: list[_PeerRequest] = []
        self.next_request = 1

    def start(self) -> None:
        """Start the periodic delivery."""
        self.context.timers.subscribe(self.context.settings.ledger_interval, self._on_tick)

    def submit(self, record: UsageRecord, on_committed: CommitCallback) -> None:
        """Submit a record to the ledger.

        :param on_committed: receives the record committed under this bill id, which may come from
            another attempt
        """
        pending_record = self.pending_records.get(record.bill_id)
        if pending_record is None:
            pending_record = _PendingRecord(record, self.context.timers.responsive_time())
            self.pending_records[record.bill_id] = pending_record
        pending_record.callbacks.append(on_committed)

    @property
    def backlog(self) -> int:
        """Number of records and of peer requests that are not known to be committed."""
        return len(self.pending_records) + len(self.peer_requests)

    def undelivered(self) -> list[UsageRecord]:
        """Return the local records that the ledger may not contain yet."""
        records = [pending_record.record for pending_record in self.pending_records.values()]
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

    def on_append_request(self, peer: str, request: LedgerAppendRequest) -> None:
        """Handle a request of another router to commit records."""
        peer_request = _PeerRequest(peer, request)
        writer = self._writer(request.shard)
        for record in request.records:
            committed = writer.submit(record)
            if committed is None:
                peer_request.unresolved.add(record.bill_id)
            else:
                peer_request.committed[record.bill_id] = committed
        self.peer_requests.append(peer_request)
        self._respond_to_peers()

    def on_append_response(self, response: LedgerAppendResponse) -> None:
        """Handle the response of a shard's writer with the committed records."""
        for record in response.kept:
            self._resolve(record)

    # Writing --------------------------------------------------------------------------------

    def _on_tick(self, now: float) -> None:
        requests: dict[tuple[str, int], list[UsageRecord]] = {}
        time = self.context.timers.responsive_time()
        for pending_record in self.pending_records.values():
            self._route_record(time, pending_record, requests)
        for (peer, shard), records in requests.items():
            request = LedgerAppendRequest(
                f"{self.context.boot}.o{self.next_request}", shard, tuple(records)
            )
            self.next_request += 1
            self.context.send_to_peer(peer, request)
        for writer in self.writers.values():
            self._start_writing(writer)

    def _route_record(
        self,
        time: float,
        pending_record: _PendingRecord,
        requests: dict[tuple[str, int], list[UsageRecord]],
    ) -> None:
        shard = shard_of(pending_record.record.bill_id, self.context.settings.ledger_shards)
        peer = self.context.members.shard_writer(shard)
        overdue = time - pending_record.since >= WRITER_TIMEOUT
        if peer is None or overdue:
            committed = self._writer(shard).submit(pending_record.record)
            if committed is not None:
                self.context.spawn(self._resolve_later(committed))
        elif not pending_record.sent:
            pending_record.sent = True
            requests.setdefault((peer, shard), []).append(pending_record.record)

    async def _resolve_later(self, record: UsageRecord) -> None:
        """Resolve a record after ``_on_tick`` has iterated over ``pending_records``."""
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
            for peer_request in self.peer_requests:
                if record.bill_id in peer_request.unresolved:
                    peer_request.unresolved.discard(record.bill_id)
                    peer_request.committed[record.bill_id] = record
        self._respond_to_peers()

    def _respond_to_peers(self) -> None:
        """Respond to the requests whose records are all committed."""
        open_requests = []
        for peer_request in self.peer_requests:
            if not peer_request.unresolved:
                committed = tuple(peer_request.committed.values())
                self.context.send_to_peer(
                    peer_request.peer, LedgerAppendResponse(peer_request.request.offer, committed)
                )
            else:
                open_requests.append(peer_request)
        self.peer_requests = open_requests

    def _resolve(self, record: UsageRecord) -> None:
        pending_record = self.pending_records.pop(record.bill_id, None)
        if pending_record is not None:
            for callback in pending_record.callbacks:
                callback(record)
