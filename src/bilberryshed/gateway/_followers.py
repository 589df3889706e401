"""Follows the route table and the list of backend servers in the store and at peers."""

import asyncio
import contextlib
from collections.abc import Callable

from returns.result import Failure

from bilberryshed.coordination import BackendRegistry
from bilberryshed.coordination.distribution import TableFetch, TableSource
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._evacuation_orders import EvacuationOrders
from bilberryshed.gateway._table_install import TableInstaller, compress_table, decompress_table
from bilberryshed.protocol import (
    BackendEntry,
    BackendsNotice,
    BackendsRequest,
    RouteTableRequest,
    RouteTableResponse,
    RouteTableVersion,
)
from bilberryshed.state import ChangeBatch
from bilberryshed.transport import Link, logger, run_in_slices

ERROR_BACKOFF = 0.15  # seconds between a failed call and the next one
ROUTE_TABLE_LONG_POLL = 1.0  # seconds that a call waits for a change of the route table
PEER_FETCH_DELAY = 0.3  # seconds for the store to deliver a table before a peer is queried
PAUSE_CHECK_INTERVAL = 0.1  # seconds between checks whether a paused follower may go on
FETCH_INTERVAL = 0.05  # seconds between checks for a table that a peer is to send
SERVER_POLL_INTERVAL = 0.4  # seconds between reads of the backend servers
EXPIRY_CHECK_INTERVAL = 0.2  # seconds between checks for entries that did not reappear


class TableFollower:
    """Reads a snapshot of a table, then its changes; reads a new snapshot if history is lost.

    A new snapshot is also read when the store was restored from a copy: it then gives out versions
    again, so that changes since may have versions below the one that was read last.

    :param long_poll: seconds that a call waits for a change
    :param poll_interval: seconds between calls
    :param on_changes: called with each batch of changes
    :param on_outage: called when the store does not respond
    :param is_paused: whether changes reach the gateway in another way for now
    :param version: version of the table as last read, -1 if a snapshot is to be read
    :param epoch: epoch of the store in which it was read
    :param store_up: whether the store responded to the last call
    :param begun: number of calls begun so far
    :param begun_at: monotonic time at which the last one began
    :param waiting: callers of :meth:`refresh`, each with the number of the call that it waits for
    """

    __slots__ = (
        "context",
        "table",
        "long_poll",
        "poll_interval",
        "on_changes",
        "on_outage",
        "is_paused",
        "version",
        "epoch",
        "store_up",
        "begun",
        "begun_at",
        "waiting",
        "poll_now",
    )

    def __init__(
        self,
        context: GatewayContext,
        table: str,
        long_poll: float,
        poll_interval: float,
        on_changes: Callable[[ChangeBatch], None],
        on_outage: Callable[[], None],
        is_paused: Callable[[], bool] = lambda: False,
    ) -> None:
        self.context = context
        self.table = table
        self.long_poll = long_poll
        self.poll_interval = poll_interval
        self.on_changes = on_changes
        self.on_outage = on_outage
        self.is_paused = is_paused
        self.version = -1
        self.epoch = 0
        self.store_up = True
        self.begun = 0
        self.begun_at = float("-inf")
        self.waiting: list[tuple[int, asyncio.Future[bool]]] = []
        self.poll_now = asyncio.Event()

    async def refresh(self) -> bool:
        """Wait for a call that begins after this one, without waiting for its turn.

        :returns: whether the store responded to it, so that all changes up to now are applied
        """
        future = asyncio.get_running_loop().create_future()
        self.waiting.append((self.begun + 1, future))
        self.poll_now.set()
        return await future

    def _end_refreshes(self, done: bool) -> None:
        """Answer those that wait for the call that has just ended."""
        ended = [future for number, future in self.waiting if number <= self.begun]
        self.waiting = [item for item in self.waiting if item[0] > self.begun]
        for future in ended:
            if not future.done():
                future.set_result(done)

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if self.version >= 0 and self.is_paused():
                await asyncio.sleep(PAUSE_CHECK_INTERVAL)
                continue
            feed = self.context.ports.feed
            self.begun += 1
            self.begun_at = self.context.timers.now()
            self.poll_now.clear()
            if self.version < 0:
                changes = await feed.snapshot(self.table)
            else:
                changes = await feed.changes(self.table, self.version, self.long_poll)
            if isinstance(changes, Failure):
                self._set_store_up(False, changes.failure().detail)
                self.on_outage()
                self._end_refreshes(False)
                await asyncio.sleep(ERROR_BACKOFF)
                continue
            self._set_store_up(True, "")
            batch = changes.unwrap()
            if batch.epoch != self.epoch and not batch.is_snapshot:
                self.version = -1
                continue
            self.version, self.epoch = batch.version, batch.epoch
            self.on_changes(batch)
            self._end_refreshes(True)
            await self._wait_for_turn()

    async def _wait_for_turn(self) -> None:
        """Wait until the next call is due, or one is asked for."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.poll_interval):
                await self.poll_now.wait()

    def _set_store_up(self, store_up: bool, detail: str) -> None:
        if store_up != self.store_up:
            self.store_up = store_up
            event = "store_regained" if store_up else "store_lost"
            logger().warning(event, table=self.table, detail=detail, version=self.version)


class RouteTableUpdater:
    """Activates the newest route table from the store or a peer.

    On a narrow network link the hub sends the tables instead, see :class:`TableSource`.

    :param source: choice between the store and the hub
    :param fetch: versions that peers have announced
    :param fetching: whether a request to a peer is scheduled
    :param compressed: version and compressed bytes of the table sent last
    :param compressing: held while a table is compressed
    :param from_hub: whether the hub sends the tables, as last logged
    :param evacuations: gets all rows of the table
    :param follower: follower of the table in the store
    """

    def __init__(
        self,
        context: GatewayContext,
        on_table: Callable[[], None],
        evacuations: EvacuationOrders,
    ) -> None:
        self.context = context
        self.installer = TableInstaller(context, on_table)
        self.evacuations = evacuations
        self.source = TableSource(context.settings.bandwidth)
        self.fetch = TableFetch()
        self.fetching = False
        self.compressed = (-1, b"")
        self.compressing = asyncio.Lock()
        self.from_hub = False
        self.follower = TableFollower(
            context,
            context.ports.route_table,
            ROUTE_TABLE_LONG_POLL,
            0.0,
            self._on_changes,
            evacuations.on_outage,
            self._uses_hub,
        )

    def _uses_hub(self) -> bool:
        """Whether the hub sends the tables, so that the store need not be read."""
        context, hubs = self.context, self.context.hubs
        has_store = hubs.own in context.peer_links and hubs.own in context.peers_with_store
        is_behind = self.fetch.is_behind(context.timers.now(), self.version())
        # The orders to evacuate zones are in the same table, and their end must be read in time.
        uses_hub = not self.evacuations.evacuations.zones and self.source.uses_hub(
            len(context.table_data), hubs.is_hub, has_store, is_behind
        )
        self.evacuations.relies_on_peers = uses_hub
        if uses_hub != self.from_hub:
            self.from_hub = uses_hub
            logger().info(
                "route_table_source",
                hub=hubs.own if uses_hub else None,
                behind=is_behind,
                bytes=len(context.table_data),
            )
        return uses_hub

    def _on_changes(self, changes: ChangeBatch) -> None:
        self.evacuations.on_changes(changes, self.follower.begun_at)
        for row in changes.rows:
            if row.key == self.context.ports.route_key and row.data is not None:
                self.installer.install(row.data, "store")

    def version(self) -> int:
        """Return the active version, -1 if there is none."""
        index = self.context.index
        return index.table.version if index else -1

    def announcement(self) -> RouteTableVersion | None:
        """Return the announcement of the active version, ``None`` if there is none."""
        return RouteTableVersion(self.version()) if self.context.index else None

    def on_version(self, link: Link, message: RouteTableVersion) -> None:
        """Request a newer table from a peer unless the store delivers it soon."""
        self.fetch.on_version(self.context.timers.now(), link.peer.name, message.version)
        if message.version > self.version() and not self.fetching:
            self.fetching = True
            self.context.spawn(self._fetch())

    async def _fetch(self) -> None:
        """Ask peers, one after another, until the newest announced table is active."""
        try:
            if self.context.index is not None and not self.from_hub:
                await asyncio.sleep(PEER_FETCH_DELAY)
            while self.fetch.newest > self.version() and not self.context.closing:
                if self.fetch.is_exhausted(self.context.timers.now()):
                    return
                if not self.installer.busy:
                    self._ask_next()
                await asyncio.sleep(FETCH_INTERVAL)
        finally:
            self.fetching = False

    def _ask_next(self) -> None:
        links, now = self.context.peer_links, self.context.timers.now()
        name = self.fetch.next_gateway(now, self.version(), self.context.hubs.own, links)
        if name is not None:
            links[name].send(RouteTableRequest(self.version()))

    def on_request(self, link: Link, request: RouteTableRequest) -> None:
        """Send the active table to a peer that has an older one."""
        if self.version() > request.known:
            self.context.spawn(self._send_table(link))

    async def _send_table(self, link: Link) -> None:
        async with self.compressing:
            version = self.version()
            if self.compressed[0] != version:
                data = await run_in_slices(compress_table(self.context.table_data))
                self.compressed = (version, data)
        link.send(RouteTableResponse(*self.compressed))

    def on_response(self, link: Link, response: RouteTableResponse) -> None:
        """Install a table that a peer forwards."""
        if response.version > self.version():
            self.context.spawn(self._receive_table(link, response))

    async def _receive_table(self, link: Link, response: RouteTableResponse) -> None:
        data = await run_in_slices(decompress_table(response.data))
        if isinstance(data, Failure):
            logger().error("route_table_damaged", peer=link.peer.name, error=data.failure())
            return
        self.installer.install(data.unwrap(), link.peer.name)


class BackendUpdater:
    """Keeps the pool of backend servers consistent with their entries in the store.

    :param entries: encoded entries by backend server id
    :param snapshot_received: whether the store has delivered the entries
    :param epoch: epoch of the store in which it delivered them, 0 before
    :param requests: number of requests sent to peers so far
    """

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.registry = BackendRegistry()
        self.follower = TableFollower(
            context,
            context.ports.server_table,
            0.0,
            SERVER_POLL_INTERVAL,
            self._on_changes,
            self._on_outage,
        )
        self.entries: dict[str, bytes] = {}
        self.snapshot_received = False
        self.epoch = 0
        self.requests = 0

    async def run(self) -> None:
        """Follow the entries in the store until cancelled."""
        self.context.timers.subscribe(EXPIRY_CHECK_INTERVAL, self._expire)
        await self.follower.run()

    async def refresh(self) -> bool:
        """Read the entries anew, unless the last read has failed.

        :returns: whether the store responded, so that all changes up to now are applied
        """
        return self.follower.store_up and await self.follower.refresh()

    def _on_outage(self) -> None:
        """Ask a peer for the entries if neither the store nor a peer has delivered any."""
        self.registry.on_outage()
        request, links = self.request(), list(self.context.peer_links.values())
        if request is not None and links:
            self.requests += 1
            links[self.requests % len(links)].send(request)

    def request(self) -> BackendsRequest | None:
        """Return a request to a peer, ``None`` if entries are known or the store may deliver them.

        Peers do not send their entries unasked, as the entries times the links of a large fleet
        would fill the network after a common restart.
        """
        missing = not self.snapshot_received and not self.entries
        return BackendsRequest() if missing and self.registry.outage else None

    def on_request(self, link: Link, request: BackendsRequest) -> None:
        """Send the current entries to a peer that cannot reach the store."""
        notice = self.notice()
        if notice is not None:
            link.send(notice)

    def _on_changes(self, changes: ChangeBatch) -> None:
        now = self.context.timers.now()
        if self.snapshot_received and changes.epoch != self.epoch:
            logger().warning("store_restored", epoch=changes.epoch, entries=len(changes.rows))
            self.registry.on_restored(now)
        self.snapshot_received, self.epoch = True, changes.epoch
        self.context.listed_at, self.context.listed_epoch = self.follower.begun_at, changes.epoch
        self.registry.on_reachable(now)
        for row in changes.rows:
            if row.data is None:
                self.entries.pop(row.key, None)
                self.registry.remove(now, row.key)
            else:
                self._put(now, row.key, row.data)
        if changes.is_snapshot:
            self.registry.retain_only(now, {row.key for row in changes.rows})
        self._apply()

    def _put(self, now: float, id_: str, data: bytes) -> None:
        decoded = self.context.ports.decode_server(id_, data)
        if isinstance(decoded, Failure):
            logger().warning("backend_entry_unreadable", finding=str(decoded.failure()))
            self.entries.pop(id_, None)
            self.registry.remove(now, id_)
        else:
            self.entries[id_] = data
            self.registry.put(now, decoded.unwrap())

    def notice(self) -> BackendsNotice | None:
        """Return the current entries, ``None`` if the store has not delivered them."""
        if not self.snapshot_received:
            return None
        known = self.registry.servers
        return BackendsNotice(
            tuple(BackendEntry(id_, data) for id_, data in self.entries.items() if id_ in known)
        )

    def on_notice(self, link: Link, notice: BackendsNotice) -> None:
        """Use a peer's entries as long as the store has not delivered any."""
        if self.snapshot_received:
            return
        for entry in notice.entries:
            self._put(self.context.timers.now(), entry.id, entry.data)
        logger().info("backends_from_peer", peer=link.peer.name, entries=len(notice.entries))
        self._apply()

    def _expire(self, now: float) -> None:
        if self.registry.expire(now):
            self._apply()

    def _apply(self) -> None:
        before = {id_: view.is_leaving for id_, view in self.context.backends.views.items()}
        versions = {id_: v.server.version for id_, v in self.context.backends.views.items()}
        now = self.context.timers.now()
        for view in self.context.backends.set_servers(self.registry.servers, now):
            self.context.connections.close_idle(view.server.id)
            logger().info("backend_gone", server=view.server.id, service=view.server.service)
        for id_, view in self.context.backends.views.items():
            if versions.get(id_, view.server.version) != view.server.version:
                self.context.on_server_restart(id_)
            if before.get(id_) != view.is_leaving:
                logger().info(
                    "backend", server=id_, service=view.server.service, leaving=view.is_leaving
                )
