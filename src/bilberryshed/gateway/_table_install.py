"""Decodes and activates route tables in short steps, so that they do not hold the event loop."""

import asyncio
import json
import zlib
from collections.abc import Callable, Generator
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from bilberryshed.coordination import RouteIndex
from bilberryshed.coordination.distribution import share_unchanged_parts
from bilberryshed.coordination.places import places_without_known_region
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import RouteTableVersion
from bilberryshed.state import RouteTable
from bilberryshed.transport import logger, run_in_slices

MAX_TABLE_BYTES = 16 * 1024 * 1024  # bytes of a table that a peer sends; a larger one is damaged
CHUNK_BYTES = 32 * 1024  # bytes that are compressed or decompressed in one step
MAX_LINES = 20  # log lines of one event about single parts of a table; more parts share a line
TOTALS_PER_LINE = 250  # customers in one line, so that the lines stay below the log's rate limit
MS_PER_SECOND = 1000


@dataclass(slots=True, frozen=True)
class _Arrival:
    """A table that waits to be installed.

    :param source: store or peer that it comes from
    :param at: monotonic time of its arrival in seconds
    """

    data: bytes
    source: str
    at: float


class TableInstaller:
    """Installs route tables, one at a time.

    A table that is being decoded is always finished, as otherwise none would come into force while
    tables arrive faster than they can be decoded. Of those that arrive meanwhile, only the one with
    the highest version is installed; the others are skipped, unless it turns out to be unreadable.

    :param on_table: called after a table has become active
    :param waiting: tables that have arrived, oldest first
    :param busy: whether tables are being installed
    """

    __slots__ = ("context", "on_table", "waiting", "busy")

    def __init__(self, context: GatewayContext, on_table: Callable[[], None]) -> None:
        self.context = context
        self.on_table = on_table
        self.waiting: list[_Arrival] = []
        self.busy = False

    def install(self, data: bytes, source: str) -> None:
        """Activate a table soon if it can be decoded and is newer than the active one."""
        self.waiting.append(_Arrival(data, source, self.context.timers.now()))
        if not self.busy:
            self.busy = True
            self.context.spawn(self._install_waiting())

    async def _install_waiting(self) -> None:
        try:
            while self.waiting:
                arrivals, self.waiting = self.waiting, []
                await self._install_newest(arrivals)
        finally:
            self.busy = False

    async def _install_newest(self, arrivals: list[_Arrival]) -> None:
        """Install the readable table with the highest version."""
        candidates = await run_in_slices(self._newest_first(arrivals))
        for position, (_, arrival) in enumerate(candidates):
            decoded = await run_in_slices(self.context.ports.decode_table(arrival.data))
            if isinstance(decoded, Failure):
                finding = str(decoded.failure())
                logger().error("route_table_unreadable", source=arrival.source, finding=finding)
                continue
            for version, skipped in candidates[position + 1 :]:
                logger().info("route_table_skipped", version=version, source=skipped.source)
            await self._activate(decoded.unwrap(), arrival)
            return

    def _newest_first(
        self, arrivals: list[_Arrival]
    ) -> Generator[None, None, list[tuple[int | None, _Arrival]]]:
        """Return tables with their versions, highest first; first those that state no version.

        Of tables with the same version, the one that arrived first comes first.
        """
        if len(arrivals) == 1:
            return [(None, arrivals[0])]
        candidates: list[tuple[int | None, _Arrival]] = []
        for arrival in arrivals:
            steps = self.context.ports.decode_table(arrival.data)
            candidates.append((next(steps, None), arrival))
            steps.close()
            yield
        return sorted(candidates, key=lambda item: (item[0] is not None, -(item[0] or 0)))

    async def _activate(self, table: RouteTable, arrival: _Arrival) -> None:
        """Activate a table in one step, unless the active one is as new."""
        before = self.context.index
        if before is not None:
            if table.version <= before.table.version:
                return
            table = await run_in_slices(share_unchanged_parts(table, before.table))
        index = RouteIndex(table)
        await asyncio.sleep(0)  # the activation has a turn of the event loop of its own
        now, totals = self.context.timers.now(), self.context.prepaid_totals()
        self.context.route_history.on_table(now, before)
        self.context.index = index
        self.context.table_data = arrival.data
        logger().info(
            "route_table",
            version=table.version,
            source=arrival.source,
            routes=len(table.routes),
            customers=len(table.customers),
            ms=round((now - arrival.at) * MS_PER_SECOND, 1),
        )
        self.context.broadcast(RouteTableVersion(table.version))
        self.on_table()
        await run_in_slices(log_changed_totals(totals, self.context.prepaid_totals()))
        await run_in_slices(self._log_homes(table))

    def _log_homes(self, table: RouteTable) -> Generator[None, None, None]:
        """Log the places without a known home region, each of the first ones with its own line."""
        places = list(places_without_known_region(table, self.context.settings.regions))
        for place in places[:MAX_LINES]:
            logger().warning("homes_unknown", finding=f"{place}: no known region, so no server")
            yield
        if len(places) > MAX_LINES:
            finding = f"{len(places) - MAX_LINES} more places: no known region, so no server"
            logger().warning("homes_unknown", finding=finding)


def log_changed_totals(
    before: dict[str, int], after: dict[str, int]
) -> Generator[None, None, None]:
    """Log in short steps the totals that have changed, one for each line, or many.

    A line for each of thousands of customers would hold the event loop, and exceed the log's rate
    limit.

    :param before: totals of prepaid tokens by customer
    """
    changed = [(name, total) for name, total in after.items() if before.get(name) != total]
    if len(changed) <= MAX_LINES:
        for name, total in changed:
            logger().info("prepaid", customer=name, total=total, before=before.get(name))
            yield
        return
    for start in range(0, len(changed), TOTALS_PER_LINE):
        totals = dict(changed[start : start + TOTALS_PER_LINE])
        logger().info("prepaid_totals", totals=json.dumps(totals, separators=(",", ":")))
        yield


def compress_table(data: bytes) -> Generator[None, None, bytes]:
    """Compress a table in short steps."""
    compressor, parts = zlib.compressobj(), []
    for start in range(0, len(data), CHUNK_BYTES):
        parts.append(compressor.compress(data[start : start + CHUNK_BYTES]))
        yield
    parts.append(compressor.flush())
    return b"".join(parts)


def decompress_table(data: bytes) -> Generator[None, None, Result[bytes, str]]:
    """Decompress a table in short steps.

    :returns: the table, or why it is damaged
    """
    decompressor, parts, size = zlib.decompressobj(), [], 0
    try:
        while not decompressor.eof and size < MAX_TABLE_BYTES:
            part = decompressor.decompress(data, min(CHUNK_BYTES, MAX_TABLE_BYTES - size))
            data = decompressor.unconsumed_tail
            if not part and not decompressor.eof:
                break
            parts.append(part)
            size += len(part)
            yield
    except zlib.error as error:
        return Failure(str(error))
    if not decompressor.eof:
        return Failure(f"not complete within {MAX_TABLE_BYTES} bytes")
    return Success(b"".join(parts))
