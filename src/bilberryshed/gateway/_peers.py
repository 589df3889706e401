"""Links to the other gateways, which are discovered through the store."""

from collections.abc import Callable
from typing import Any

from returns.result import Failure

from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import Hello
from bilberryshed.state import Address, Put, RowRef
from bilberryshed.transport import (
    Link,
    LinkClient,
    LinkHandlers,
    LinkMonitor,
    LinkServer,
    MessageDispatcher,
    logger,
)

GATEWAY_TABLE = "gateways"
POLL_INTERVAL = 1.0  # seconds between reads of the list of gateways
LINKED_POLL_STEP = 3  # intervals between reads while all listed gateways are linked
PAGE_SIZE = 500  # gateways per read


class Peers:
    """Maintains a link to every other gateway.

    Of two gateways, the one whose name sorts first opens the connection.

    :param messages: handlers by message class
    :param on_peer_lost: called with the name of a peer whose link is closed
    :param clients: address and client of each link that this gateway opened, by peer name
    :param registered_epoch: epoch of the store in which this gateway has written its entry, -1
        before; an entry of an earlier epoch may be lost
    :param leaving: whether its entry is being deleted, so that it is not written again
    :param initial_message_factories: create the messages for a peer that has just linked; ``None``
        is not sent
    """

    def __init__(
        self,
        context: GatewayContext,
        messages: dict[type, Any],
        on_peer_lost: Callable[[str], None],
    ) -> None:
        self.context = context
        self.on_peer_lost = on_peer_lost
        settings = context.settings
        self.hello = Hello(settings.name, context.boot, "router", settings.zone, "")
        self.monitor = LinkMonitor(lambda: context.peer_links.values(), self._is_primary)
        dispatcher = MessageDispatcher({**messages, **self.monitor.handlers()})
        self.handlers = LinkHandlers(
            self._on_link_up, dispatcher.handle, self._on_link_down, context.byte_counter
        )
        self.server = LinkServer(self.hello, self.handlers, None, context.timers)
        self.clients: dict[str, tuple[str, LinkClient]] = {}
        self.registered_epoch = -1
        self.leaving = False
        self.polling = False
        self.ticks = 0
        self.initial_message_factories: list[Any] = []

    async def start(self) -> None:
        """Listen for links, and start polling the list of gateways.

        :raises OSError: if the address cannot be bound
        """
        await self.server.start(self.context.settings.link_listen)
        self.monitor.start(self.context.timers)
        self.context.timers.subscribe(POLL_INTERVAL, lambda now: self.poll_soon())
        self.poll_soon()

    async def close(self) -> None:
        """Close all links."""
        for _, client in self.clients.values():
            client.close()
        await self.server.close()

    def poll_soon(self) -> None:
        """Start a read of the list of gateways unless one is in progress or none is due."""
        self.ticks += 1
        missing = len(self.context.peer_links) + 1 < self.context.gateway_count()
        due = missing or not self._is_registered() or self.ticks % LINKED_POLL_STEP == 0
        if due and not self.polling:
            self.polling = True
            self.context.spawn(self._poll())

    async def _poll(self) -> None:
        try:
            if not self._is_registered():
                await self._register()
            rows = await self.context.ports.tables.scan(GATEWAY_TABLE, "", "", PAGE_SIZE)
            if isinstance(rows, Failure):
                return
            self.context.listed = True
            for row in rows.unwrap():
                self.context.known_gateways.add(row.ref.key)
                capacity = row.value.get("capacity", 0.0)
                if isinstance(capacity, int | float):
                    self.context.hubs.set_capacity(row.ref.key, float(capacity))
                self._connect(row.ref.key, str(row.value.get("link", "")))
        finally:
            self.polling = False

    async def unregister(self) -> None:
        """Delete this gateway's entry, so that gateways that start later do not look for it."""
        self.leaving = True
        tables, ref = self.context.ports.tables, RowRef(GATEWAY_TABLE, self.context.settings.name)
        rows = await tables.read((ref,))
        if isinstance(rows, Failure):
            return
        row = rows.unwrap()[0]
        if row.version and row.value.get("boot") == self.context.boot:
            await tables.write((Put(ref, row.version, None),))

    def _is_registered(self) -> bool:
        return self.leaving or self.registered_epoch == self.context.ports.tables.epoch

    async def _register(self) -> None:
        settings, tables = self.context.settings, self.context.ports.tables
        ref = RowRef(GATEWAY_TABLE, settings.name)
        rows = await tables.read((ref,))
        if isinstance(rows, Failure):
            return
        epoch = tables.epoch
        value = {
            "link": str(settings.link_listen),
            "boot": self.context.boot,
            "capacity": settings.capacity,
        }
        put = Put(ref, rows.unwrap()[0].version, value)
        written = await tables.write((put,))
        if not isinstance(written, Failure) and written.unwrap():
            self.registered_epoch = epoch

    def _connect(self, name: str, link: str) -> None:
        if name <= self.context.settings.name or not link:
            return
        existing = self.clients.get(name)
        if existing is not None and existing[0] == link:
            return
        if existing is not None:
            existing[1].close()
        try:
            address = Address.parse(link)
        except ValueError as error:
            logger().warning("bad_gateway_entry", peer=name, error=str(error))
            return
        client = LinkClient(address, self.hello, self.handlers, None, self.context.timers)
        self.clients[name] = (link, client)

    def _is_primary(self, link: Link) -> bool:
        """Whether a link carries constant traffic: between a hub and its members or other hubs."""
        hubs, name = self.context.hubs, link.peer.name
        if not hubs.is_hub:
            return name == hubs.own
        return name in hubs.names or link.peer.zone == hubs.zone

    def _on_link_up(self, link: Link) -> None:
        name = link.peer.name
        replaced = self.context.peer_links.get(name)
        self.context.peer_links[name] = link
        if replaced is not None:
            replaced.abort()
        self.context.known_gateways.add(name)
        self.context.hubs.add(name, link.peer.zone)
        for factory in self.initial_message_factories:
            message = factory()
            if message is not None:
                link.send(message)
        logger().info("peer_linked", peer=link.peer.name, boot=link.peer.boot)

    def _on_link_down(self, link: Link) -> None:
        name = link.peer.name
        if self.context.peer_links.get(name) is not link:
            return
        del self.context.peer_links[name]
        self.context.peers_with_store.discard(name)
        self.context.book.remove_peer(name)
        self.context.hubs.remove(name)
        self.on_peer_lost(name)
        logger().info("peer_lost", peer=name, boot=link.peer.boot)
