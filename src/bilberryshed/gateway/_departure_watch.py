"""Watches which other gateways run, and tells them when this one has closed its accounts.

A gateway that is not linked may still be active in the store. While it holds tokens and reaches the
store, it renews its record of use there several times a second.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from returns.result import Failure

from bilberryshed.coordination import BoundsRecord, PoolRow, incarnation_vm
from bilberryshed.gateway._bounds_recorder import BOUNDS_TABLE
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import AccountsClosed
from bilberryshed.state import RowRef
from bilberryshed.transport import Link, logger

WATCH_INTERVAL = 1.0  # seconds between looks at the links and at the records of others
FLUSH_TIMEOUT = 0.2  # seconds for the last messages to be written to the sockets
MAX_RECORDS = 40  # records read at once


class DepartureWatch:
    """Keeps the context's :class:`Departures` current.

    :param known_rows: latest pools read, by customer; shared with :class:`PoolSync`
    :param numbers: number of the record of use last read, by boot id; ``None`` if there is none
    :param reading: whether records are being read
    """

    __slots__ = ("context", "departures", "known_rows", "numbers", "reading")

    def __init__(self, context: GatewayContext, known_rows: Mapping[str, PoolRow]) -> None:
        self.context = context
        self.departures = context.departures
        self.known_rows = known_rows
        self.numbers: dict[str, int | None] = {}
        self.reading = False

    def start(self) -> None:
        """Subscribe to timers; a router that is not seen from now on may have departed."""
        self.departures.watched_since = self.context.timers.responsive_time()
        self.context.timers.subscribe(WATCH_INTERVAL, self._watch)

    def handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        """Return the message handlers by message class."""
        return {AccountsClosed: self._on_closed}

    async def announce(self) -> None:
        """Tell the store and the other gateways that this gateway's accounts are closed."""
        if not await self.context.recovery.leave():
            return
        self.context.broadcast(AccountsClosed(self.context.boot))
        flushes = [asyncio.ensure_future(link.flush()) for link in self.context.peer_links.values()]
        if flushes:
            _, unsent = await asyncio.wait(flushes, timeout=FLUSH_TIMEOUT)
            for flush in unsent:
                flush.cancel()

    def _on_closed(self, link: Link, message: AccountsClosed) -> None:
        if message.boot != link.peer.boot:
            logger().warning("not_its_accounts", peer=link.peer.boot, boot=message.boot)
            return
        self.departures.on_closed(self.context.timers.responsive_time(), message.boot)
        self.context.known_gateways.discard(link.peer.name)

    def _watch(self, _: float) -> None:
        now = self.context.timers.responsive_time()
        for link in self.context.peer_links.values():
            self.departures.saw(now, link.peer.boot)
        boots = self._unlinked_holders()
        self.numbers = {boot: self.numbers[boot] for boot in boots if boot in self.numbers}
        if boots and not self.reading:
            self.reading = True
            self.context.spawn(self._read_records(boots[:MAX_RECORDS]))

    def _unlinked_holders(self) -> list[str]:
        """Return the boot ids of incarnations that hold tokens and are not linked."""
        present = self.context.peer_links.keys() | {self.context.settings.name}
        holders = {boot for row in self.known_rows.values() for boot in row.holders}
        return sorted(boot for boot in holders if incarnation_vm(boot) not in present)

    async def _read_records(self, boots: list[str]) -> None:
        try:
            refs = tuple(RowRef(BOUNDS_TABLE, boot) for boot in boots)
            rows = await self.context.ports.tables.read(refs)
            if isinstance(rows, Failure):
                return
            now = self.context.timers.responsive_time()
            for boot, row in zip(boots, rows.unwrap(), strict=True):
                number = BoundsRecord.from_value(row.value).number if row.version else None
                if boot not in self.numbers or self.numbers[boot] != number:
                    self.departures.saw(now, boot)
                self.numbers[boot] = number
        finally:
            self.reading = False
