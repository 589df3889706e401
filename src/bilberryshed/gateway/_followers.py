"""Follows the route table and the list of backend servers."""

import asyncio
from collections.abc import Callable

from returns.result import Failure

from bilberryshed.coordination import BackendRegistry, RouteIndex
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import (
    BackendEntry,
    BackendsNotice,
    RouteTableNotice,
    RouteTableRequest,
    RouteTableVersion,
)
from bilberryshed.state import Changes
from bilberryshed.transport import Link, logger

ERROR_PAUSE = 0.15  # seconds after a failed call
TABLE_WAIT = 1.0  # seconds that a call for the route table waits for a change
FETCH_DELAY = 0.3  # seconds for the store to tell of a table before a peer is asked for it
SERVER_INTERVAL = 0.4  # seconds between looks at the backend servers
EXPIRE_INTERVAL = 0.2  # seconds between looks for entries that did not come back


class TableFollower:
    """Reads a table once, then what changes in it; begins anew where history is lost.

    :param wait: seconds that a call waits for a change
    :param pause: seconds between calls
    :param on_changes: takes the changes
    :param on_outage: called when the store does not answer
    """

    __slots__ = ("context", "table", "wait", "pause", "on_changes", "on_outage", "version", "up")

    def __init__(
        self,
        context: GatewayContext,
        table: str,
        wait: float,
        pause: float,
        on_changes: Callable[[Changes], None],
        on_outage: Callable[[], None],
    ) -> None:
        self.context = context
        self.table = table
        self.wait = wait
        self.pause = pause
        self.on_changes = on_changes
        self.on_outage = on_outage
        self.version = -1
        self.up = True

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            feed = self.context.ports.feed
            if self.version < 0:
                changes = await feed.snapshot(self.table)
            else:
                changes = await feed.changes(self.table, self.version, self.wait)
            if isinstance(changes, Failure):
                self._note(False, changes.failure().detail)
                self.on_outage()
                await asyncio.sleep(ERROR_PAUSE)
                continue
            self._note(True, "")
            found = changes.unwrap()
            self.version = found.version
            self.on_changes(found)
            await asyncio.sleep(self.pause)

    def _note(self, up: bool, detail: str) -> None:
        if up != self.up:
            self.up = up
            event = "store_regained" if up else "store_lost"
            logger().warning(event, table=self.table, detail=detail, version=self.version)


class RouteTableWatch:
    """Keeps the newest route table in force, from the store or from a peer."""

    def __init__(self, context: GatewayContext, on_table: Callable[[], None]) -> None:
        self.context = context
        self.on_table = on_table
        self.heard = 0
        self.fetching = False

    def follower(self) -> TableFollower:
        """Return what follows the store."""
        name = self.context.ports.route_table
        return TableFollower(self.context, name, TABLE_WAIT, 0.0, self._on_changes, lambda: None)

    def _on_changes(self, changes: Changes) -> None:
        for row in changes.rows:
            if row.key == self.context.ports.route_key and row.data is not None:
                self.take(row.data, "store")

    def version(self) -> int:
        """Return the version in force, -1 before the first."""
        index = self.context.index
        return index.table.version if index else -1

    def announcement(self) -> RouteTableVersion | None:
        """Return what tells a peer which table is in force, if there is one."""
        return RouteTableVersion(self.version()) if self.context.index else None

    def on_version(self, link: Link, message: RouteTableVersion) -> None:
        """Ask a peer for a newer table unless the store tells of it soon."""
        self.heard = max(self.heard, message.version)
        if message.version > self.version() and not self.fetching:
            self.fetching = True
            self.context.spawn(self._fetch(link))

    async def _fetch(self, link: Link) -> None:
        try:
            if self.context.index is not None:
                await asyncio.sleep(FETCH_DELAY)
            if self.heard > self.version():
                link.send(RouteTableRequest(self.version()))
        finally:
            self.fetching = False

    def on_request(self, link: Link, request: RouteTableRequest) -> None:
        """Send the table in force to a peer that has an older one."""
        if self.version() > request.known:
            link.send(RouteTableNotice(self.version(), self.context.table_data))

    def on_notice(self, link: Link, notice: RouteTableNotice) -> None:
        """Take in a table that a peer passes on."""
        if notice.version > self.version():
            self.take(notice.data, link.peer.name)

    def take(self, data: bytes, source: str) -> None:
        """Put a table in force if it can be read and is newer than the present one."""
        decoded = self.context.ports.decode_table(data)
        if isinstance(decoded, Failure):
            logger().error("route_table_unreadable", source=source, finding=str(decoded.failure()))
            return
        table, index = decoded.unwrap(), self.context.index
        if index is not None and table.version <= index.table.version:
            return
        known = self.context.prepaid_totals()
        self.context.index = RouteIndex(table)
        self.context.table_data = data
        logger().info(
            "route_table",
            version=table.version,
            source=source,
            routes=len(table.routes),
            customers=len(table.customers),
        )
        for name, total in self.context.prepaid_totals().items():
            if known.get(name) != total:
                logger().info("prepaid", customer=name, total=total, before=known.get(name))
        self.context.broadcast(RouteTableVersion(table.version))
        self.on_table()


class BackendWatch:
    """Keeps the pool of backend servers in line with the store's entries."""

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.registry = BackendRegistry()
        self.entries: dict[str, bytes] = {}
        self.read_once = False

    def follower(self) -> TableFollower:
        """Return what follows the store."""
        self.context.timers.subscribe(EXPIRE_INTERVAL, self._expire)
        name = self.context.ports.server_table
        return TableFollower(
            self.context, name, 0.0, SERVER_INTERVAL, self._on_changes, self.registry.on_outage
        )

    def _on_changes(self, changes: Changes) -> None:
        now = self.context.timers.now()
        self.read_once = True
        self.registry.on_reachable(now)
        for row in changes.rows:
            if row.data is None:
                self.entries.pop(row.key, None)
                self.registry.remove(now, row.key)
            else:
                self._put(now, row.key, row.data)
        if changes.whole:
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
            self.registry.put(decoded.unwrap())

    def notice(self) -> BackendsNotice | None:
        """Return the entries in use for a peer that has just linked."""
        if not self.read_once:
            return None
        known = self.registry.servers
        return BackendsNotice(
            tuple(BackendEntry(id_, data) for id_, data in self.entries.items() if id_ in known)
        )

    def on_notice(self, link: Link, notice: BackendsNotice) -> None:
        """Use a peer's entries as long as the store has told none."""
        if self.read_once:
            return
        for entry in notice.entries:
            self._put(self.context.timers.now(), entry.id, entry.data)
        logger().info("backends_from_peer", peer=link.peer.name, entries=len(notice.entries))
        self._apply()

    def _expire(self, now: float) -> None:
        if self.registry.expire(now):
            self._apply()

    def _apply(self) -> None:
        before = {id_: view.left for id_, view in self.context.backends.views.items()}
        for view in self.context.backends.set_servers(self.registry.servers):
            self.context.channels.drop(view.server.id)
            logger().info("backend_gone", server=view.server.id, service=view.server.service)
        for id_, view in self.context.backends.views.items():
            if before.get(id_) != view.left:
                logger().info("backend", server=id_, service=view.server.service, leaving=view.left)
