"""Rows of the store that tell, after a restart of all gateways, which version began a stream.

One row lists the versions of each service. A gateway writes a version there before it has it begin
a stream that can be resumed. While a service has several versions, each gateway also writes the
keys of the streams that it relays, in a ring of rows.
"""

import asyncio
from collections.abc import Iterable, Mapping

from returns.result import Failure

from bilberryshed.coordination import ORIGIN_TIME, Origin, ServedVersions, StreamOrigins
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.state import Put, Row, RowRef
from bilberryshed.transport import logger

STREAM_TABLE = "streams"
VERSIONS_REF = RowRef("versions", "served")
RECORD_INTERVAL = 0.1  # seconds between writes of keys; a death loses those of the last ones
RECORD_TIME = 30.0  # seconds for which a row is kept
RING_ROWS = int(RECORD_TIME / RECORD_INTERVAL)  # rows after which the oldest is replaced
SLOT_DIGITS = 3  # digits of a row's number in its key
KEY_DIGITS = 12  # hexadecimal digits of a key
MAX_KEYS = 4_000  # keys in one row, so that it fits the store's limit
MAX_ROWS = 20_000  # rows read at most
READ_INTERVAL = 0.3  # seconds between reads of all rows
MAX_CONFLICTS = 8  # consecutive write conflicts before an attempt is given up


class StreamRecords:
    """Reads and writes these rows for one gateway.

    :param served: versions as this gateway knows them, by its own and by others' observation
    :param stored: versions that the store lists, by service
    :param epoch: epoch of the store in which it does, -1 before the first read
    :param row_versions: versions of this gateway's rows, ``None`` before they are read
    :param slot: number of the next row
    :param read_at: monotonic time of the last read of all rows
    """

    def __init__(self, context: GatewayContext, origins: StreamOrigins) -> None:
        self.context = context
        self.tables = context.ports.tables
        self.origins = origins
        self.served = ServedVersions()
        self.stored: dict[str, set[str]] = {}
        self.epoch = -1
        self.row_versions: dict[str, int] | None = None
        self.rows_epoch = -1
        self.slot = 0
        self.read_at = float("-inf")
        self.lock = asyncio.Lock()

    # Versions -------------------------------------------------------------------------------

    def is_stored(self, service: str, version: str) -> bool:
        """Whether the store lists a version of a service in its current epoch."""
        return self.epoch == self.tables.epoch and version in self.stored.get(service, ())

    def is_current(self) -> bool:
        """Whether the store lists in its current epoch what this gateway knows to be in service."""
        return self.epoch == self.tables.epoch and self.stored == self._serving()

    def observe(self, listed: Mapping[str, set[str]]) -> None:
        """Note the listed versions, once those are known that the store listed before.

        What a process lists first tells nothing of the time before.

        :param listed: versions by service
        """
        if self.served.epoch == self.tables.epoch:
            self.served.observe(self.tables.clock, listed)

    def _serving(self) -> dict[str, set[str]]:
        return {
            service: {version for version, span in versions.items() if span.gone_at is None}
            for service, versions in self.served.spans.items()
        }

    async def store_versions(self, listed: Mapping[str, set[str]]) -> bool:
        """Merge the observed versions with those that the store lists.

        Servers that were listed in another epoch of the store tell nothing of the current one.

        :param listed: versions by service
        :returns: whether the store lists them
        """
        async with self.lock:
            for _ in range(MAX_CONFLICTS):
                done = await self._store_versions_once(listed)
                if done is not None:
                    return done
            return False

    async def _store_versions_once(self, listed: Mapping[str, set[str]]) -> bool | None:
        rows = await self.tables.read((VERSIONS_REF,))
        if isinstance(rows, Failure):
            return False
        row, epoch, clock = rows.unwrap()[0], self.tables.epoch, self.tables.clock
        if self.context.listed_epoch != epoch:
            return False
        stored = ServedVersions.from_value(row.value)
        stored.follow_epoch(epoch, clock)
        self.served.follow_epoch(epoch, clock)
        self.served.merge(stored)
        self.served.observe(clock, listed)
        value = self.served.to_value()
        if value != row.value:
            written = await self.tables.write((Put(VERSIONS_REF, row.version, value),))
            if isinstance(written, Failure) or self.tables.epoch != epoch:
                return False
            if not written.unwrap():
                return None
            logger().info("versions_stored", services=value["services"])
        self.stored, self.epoch = self._serving(), epoch
        return True

    # Streams --------------------------------------------------------------------------------

    async def write(self, groups: Mapping[Origin, list[int]]) -> bool:
        """Write the keys of streams to the next row of the ring, at most ``MAX_KEYS`` of them.

        :returns: whether they are stored
        """
        async with self.lock:
            return await self._write_row(
                [
                    [origin.service, origin.version, _pack_keys(keys[:MAX_KEYS])]
                    for origin, keys in groups.items()
                ]
            )

    async def _write_row(self, groups: list[list[str]]) -> bool:
        if self.row_versions is None or self.rows_epoch != self.tables.epoch:
            rows = await self.tables.scan(STREAM_TABLE, f"{self._vm()}/", "", RING_ROWS)
            if isinstance(rows, Failure):
                return False
            self.row_versions = {row.ref.key: row.version for row in rows.unwrap()}
            self.rows_epoch = self.tables.epoch
            self.slot = _next_slot(rows.unwrap())
        key = f"{self._vm()}/{self.slot:0{SLOT_DIGITS}d}"
        self.slot = (self.slot + 1) % RING_ROWS
        value = {"clock": self.tables.clock, "groups": groups}
        put = Put(RowRef(STREAM_TABLE, key), self.row_versions.get(key, 0), value)
        written = await self.tables.transact((put,))
        if isinstance(written, Failure) or written.unwrap() is None:
            self.row_versions = None
            logger().warning("streams_not_stored", groups=len(groups))
            return False
        self.row_versions[key] = written.unwrap() or 0
        return True

    def _vm(self) -> str:
        return self.context.settings.name

    async def read(self) -> bool:
        """Learn the origins of the streams that the store lists.

        :returns: whether the store responded now, or a moment ago
        """
        async with self.lock:
            now = self.context.timers.now()
            if now < self.read_at + READ_INTERVAL:
                return True
            rows = await self.tables.scan(STREAM_TABLE, "", "", MAX_ROWS)
            if isinstance(rows, Failure):
                return False
            self.read_at = now
            for row in rows.unwrap():
                self._learn(now, row)
            return True

    def _learn(self, now: float, row: Row) -> None:
        try:
            clock = float(row.value["clock"])
            groups = [
                (Origin(str(service), str(version)), _unpack_keys(str(keys)))
                for service, version, keys in row.value["groups"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            logger().error("stream_row_unreadable", key=row.ref.key, error=repr(error))
            return
        if clock < self.tables.clock - ORIGIN_TIME:
            return
        for origin, keys in groups:
            self.origins.learn(now, keys, origin)


def _next_slot(rows: Iterable[Row]) -> int:
    """Return the number of the row after the latest of a ring, which may be a predecessor's."""
    clocks = {
        int(row.ref.key[-SLOT_DIGITS:]): row.value.get("clock")
        for row in rows
        if row.ref.key[-SLOT_DIGITS:].isdecimal()
    }
    written = {slot: clock for slot, clock in clocks.items() if isinstance(clock, int | float)}
    return (max(written, key=written.__getitem__) + 1) % RING_ROWS if written else 0


def _pack_keys(keys: Iterable[int]) -> str:
    return "".join(f"{key:0{KEY_DIGITS}x}" for key in keys)


def _unpack_keys(text: str) -> list[int]:
    """Return the keys in a text.

    :raises ValueError: if it holds anything else
    """
    starts = range(0, len(text), KEY_DIGITS)
    return [int(text[start : start + KEY_DIGITS], 16) for start in starts]
