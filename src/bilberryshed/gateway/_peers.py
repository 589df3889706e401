"""Links to the other gateways, which find each other in the store."""

from typing import Any

from returns.result import Failure

from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import Hello
from bilberryshed.state import Address, Put, RowRef
from bilberryshed.transport import Link, LinkClient, LinkHandlers, LinkServer, MessageTable, logger

ROUTER_TABLE = "gateways"
LOOK_INTERVAL = 1.0  # seconds between looks at the list of gateways
PAGE = 500  # gateways read at once


class Peers:
    """Keeps a link to every other gateway; of two, the one whose name is lower connects."""

    def __init__(self, context: GatewayContext, messages: dict[type, Any]) -> None:
        self.context = context
        settings = context.settings
        self.hello = Hello(settings.name, context.boot, "router", settings.zone, "")
        self.handlers = LinkHandlers(self._on_up, MessageTable(messages).handle, self._on_down)
        self.server = LinkServer(self.hello, self.handlers, None)
        self.clients: dict[str, tuple[str, LinkClient]] = {}
        self.registered = False
        self.looking = False
        self.greeting: list[Any] = []

    async def start(self) -> None:
        """Listen, and look for the others.

        :raises OSError: if the address cannot be bound
        """
        await self.server.start(self.context.settings.link_listen)
        self.context.timers.subscribe(LOOK_INTERVAL, lambda now: self.look_soon())
        self.look_soon()

    async def close(self) -> None:
        """Close all links."""
        for _, client in self.clients.values():
            client.close()
        await self.server.close()

    def look_soon(self) -> None:
        """Read the list of gateways unless that is under way."""
        if not self.looking:
            self.looking = True
            self.context.spawn(self._look())

    async def _look(self) -> None:
        try:
            if not self.registered:
                self.registered = await self._register()
            rows = await self.context.ports.tables.scan(ROUTER_TABLE, "", "", PAGE)
            if isinstance(rows, Failure):
                return
            for row in rows.unwrap():
                self.context.known_routers.add(row.ref.key)
                self._connect(row.ref.key, str(row.value.get("link", "")))
        finally:
            self.looking = False

    async def _register(self) -> bool:
        settings = self.context.settings
        ref = RowRef(ROUTER_TABLE, settings.name)
        rows = await self.context.ports.tables.read((ref,))
        if isinstance(rows, Failure):
            return False
        value = {"link": str(settings.link_listen), "boot": self.context.boot}
        put = Put(ref, rows.unwrap()[0].version, value)
        written = await self.context.ports.tables.write((put,))
        return not isinstance(written, Failure) and written.unwrap()

    def _connect(self, name: str, link: str) -> None:
        if name <= self.context.settings.name or not link:
            return
        known = self.clients.get(name)
        if known is not None and known[0] == link:
            return
        if known is not None:
            known[1].close()
        try:
            address = Address.parse(link)
        except ValueError as error:
            logger().warning("bad_gateway_entry", peer=name, error=str(error))
            return
        self.clients[name] = (link, LinkClient(address, self.hello, self.handlers, None))

    def _on_up(self, link: Link) -> None:
        self.context.peer_links[link.peer.name] = link
        self.context.known_routers.add(link.peer.name)
        for make in self.greeting:
            message = make()
            if message is not None:
                link.send(message)
        logger().info("peer_linked", peer=link.peer.name, boot=link.peer.boot)

    def _on_down(self, link: Link) -> None:
        name = link.peer.name
        if self.context.peer_links.get(name) is not link:
            return
        del self.context.peer_links[name]
        self.context.store_peers.discard(name)
        self.context.book.remove_peer(name)
        self.context.backends.remove_peer(name)
        logger().info("peer_lost", peer=name, boot=link.peer.boot)
