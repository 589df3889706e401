"""Links between processes of the fleet: WebSocket connections that carry CBOR messages.

A link starts with a :class:`Hello` in each direction. One writer task sends the messages in order;
a link whose peer does not read is closed once its send queue is full.
"""

import asyncio
import hmac
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import websockets
from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve

from bilberryshed.coordination.admission import ByteCounter
from bilberryshed.protocol import FrameError, Hello, LinkProbe, decode, encode
from bilberryshed.state import Address
from bilberryshed.transport._logs import logger
from bilberryshed.transport._timers import TimerService

MAX_MESSAGE_BYTES = 16 * 1024 * 1024  # bytes of a received message
MAX_QUEUED_MESSAGES = 20_000  # messages in the send queue of one link
HELLO_TIMEOUT = 2.0  # responsive seconds for a connection to open, and for the peer's Hello
INITIAL_RECONNECT_DELAY = 0.05  # seconds
MAX_RECONNECT_DELAY = 1.0  # seconds


@dataclass(slots=True)
class LinkHandlers:
    """Callbacks for the events of links.

    :param on_up: called when a link is established
    :param on_message: called for each received message
    :param on_down: called when an established link has closed
    :param counter: counts the bytes sent and received
    """

    on_up: Callable[["Link"], None]
    on_message: Callable[["Link", Any], None]
    on_down: Callable[["Link"], None]
    counter: ByteCounter = field(default_factory=ByteCounter)


class Link:
    """One established link.

    :param peer: the Hello received from the other side
    :param enqueued: number of messages that were enqueued
    :param sent: number of messages that were sent
    :param received_at: responsive time of the last message received, in seconds
    :param probed_at: responsive time at which the last probe was sent, or, while it waits in the
        queue, a message before it; ``None`` if it has been answered
    :param probe: number of the message that is the last probe
    """

    __slots__ = (
        "peer",
        "websocket",
        "timers",
        "queue",
        "closed",
        "enqueued",
        "sent",
        "received_at",
        "probed_at",
        "probe",
    )

    def __init__(self, peer: Hello, websocket: Any, timers: TimerService) -> None:
        self.peer = peer
        self.websocket = websocket
        self.timers = timers
        self.queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self.closed = False
        self.enqueued = self.sent = self.probe = 0
        self.received_at = timers.responsive_time()
        self.probed_at: float | None = None

    def send(self, message: Any) -> bool:
        """Encode and enqueue a message; see :meth:`send_encoded`."""
        return self.send_encoded(encode(message))

    def send_encoded(self, data: bytes) -> bool:
        """Enqueue an encoded message; closes the link if its queue is full.

        :returns: whether the message was enqueued, which does not guarantee delivery
        """
        if self.closed:
            return False
        try:
            self.queue.put_nowait(data)
        except asyncio.QueueFull:
            self.abort()
            return False
        self.enqueued += 1
        return True

    def send_probe(self) -> None:
        """Enqueue a probe, which the peer answers."""
        if self.send(LinkProbe()):
            self.probe = self.enqueued
            self.probed_at = self.timers.responsive_time()

    def abort(self) -> None:
        """Close the link immediately; queued messages are lost."""
        self.closed = True
        self.websocket.transport.abort()

    async def flush(self) -> None:
        """Wait until every queued message has been written to the socket."""
        await self.queue.join()

    async def run(self, handlers: LinkHandlers) -> None:
        """Send and receive messages until the link closes."""
        writer = asyncio.create_task(self._write(handlers.counter))
        handlers.on_up(self)
        try:
            async for data in self.websocket:
                self.received_at = self.timers.responsive_time()
                self.probed_at = None
                handlers.counter.on_received(len(data))
                handlers.on_message(self, decode(data))
        except websockets.ConnectionClosed:
            pass
        except FrameError as error:
            logger().warning("link_bad_frame", peer=self.peer.name, error=str(error))
        finally:
            self.closed = True
            writer.cancel()
            self.websocket.transport.abort()
            handlers.on_down(self)

    async def _write(self, counter: ByteCounter) -> None:
        try:
            while True:
                data = await self.queue.get()
                counter.on_sent(len(data))
                await self.websocket.send(data)
                self.queue.task_done()
                self.sent += 1
                if self.probed_at is not None and self.sent <= self.probe:
                    self.probed_at = self.timers.responsive_time()
        except websockets.ConnectionClosed:
            self.closed = True


class MessageDispatcher:
    """Dispatches messages by class; a message without a handler is logged and dropped."""

    __slots__ = ("handlers",)

    def __init__(self, handlers: dict[type, Callable[["Link", Any], Any]]) -> None:
        self.handlers = handlers

    def handle(self, link: "Link", message: Any) -> None:
        """Call the handler for the class of a message."""
        handler = self.handlers.get(type(message))
        if handler is None:
            logger().warning("unexpected_message", message=type(message).__name__)
            return
        handler(link, message)


class LinkServer:
    """Accepts links on one address; a :class:`LinkMonitor` notices those that go silent."""

    __slots__ = ("hello", "handlers", "tls", "timers", "server", "links")

    def __init__(
        self,
        hello: Hello,
        handlers: LinkHandlers,
        tls: ssl.SSLContext | None,
        timers: TimerService,
    ) -> None:
        self.hello = hello
        self.handlers = handlers
        self.tls = tls
        self.timers = timers
        self.server: Server | None = None
        self.links: dict[Link, None] = {}  # insertion order, so that they are closed in it

    async def start(self, address: Address) -> None:
        """Start listening.

        :raises OSError: if the address cannot be bound
        """
        self.server = await serve(
            self._accept,
            address.host,
            address.port,
            ssl=self.tls,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=None,
        )

    async def close(self) -> None:
        """Stop listening and close all links."""
        for link in tuple(self.links):
            link.abort()
        if self.server is not None:
            self.server.close()

    async def _accept(self, websocket: ServerConnection) -> None:
        try:
            peer = await _receive_hello(websocket, self.hello.secret, self.timers)
            await websocket.send(encode(self.hello))
        except (TimeoutError, FrameError, websockets.ConnectionClosed) as error:
            logger().warning("link_refused", error=str(error) or type(error).__name__)
            return
        link = Link(peer, websocket, self.timers)
        self.links[link] = None
        try:
            await link.run(self.handlers)
        finally:
            self.links.pop(link, None)


class LinkClient:
    """Maintains one outgoing link; reconnects with exponential backoff until it is closed.

    A :class:`LinkMonitor` notices that it has gone silent.
    """

    __slots__ = ("address", "hello", "handlers", "tls", "timers", "task")

    def __init__(
        self,
        address: Address,
        hello: Hello,
        handlers: LinkHandlers,
        tls: ssl.SSLContext | None,
        timers: TimerService,
    ) -> None:
        self.address = address
        self.hello = hello
        self.handlers = handlers
        self.tls = tls
        self.timers = timers
        self.task = asyncio.create_task(self._maintain())

    def close(self) -> None:
        """Close the link and do not reconnect."""
        self.task.cancel()

    async def _maintain(self) -> None:
        delay = INITIAL_RECONNECT_DELAY
        while True:
            if await self._connect_once():
                delay = INITIAL_RECONNECT_DELAY
            await asyncio.sleep(delay)
            delay = min(MAX_RECONNECT_DELAY, delay * 2)

    async def _connect_once(self) -> bool:
        scheme = "wss" if self.tls else "ws"
        try:
            async with self.timers.timeout(HELLO_TIMEOUT):
                websocket = await connect(
                    f"{scheme}://{self.address}",
                    ssl=self.tls,
                    compression=None,
                    max_size=MAX_MESSAGE_BYTES,
                    open_timeout=None,
                    ping_interval=None,
                    proxy=None,
                )
        except (OSError, TimeoutError, websockets.WebSocketException):
            return False
        try:
            await websocket.send(encode(self.hello))
            peer = await _receive_hello(websocket, self.hello.secret, self.timers)
        except (TimeoutError, FrameError, websockets.ConnectionClosed):
            websocket.transport.abort()
            return False
        await Link(peer, websocket, self.timers).run(self.handlers)
        return True


async def _receive_hello(websocket: Any, secret: str, timers: TimerService) -> Hello:
    async with timers.timeout(HELLO_TIMEOUT):
        data = await websocket.recv()
    hello = decode(data)
    if not isinstance(hello, Hello):
        raise FrameError(f"expected Hello, received {type(hello).__name__}")
    if not hmac.compare_digest(hello.secret.encode(), secret.encode()):
        raise FrameError(f"{hello.name!r} sent a wrong link secret")
    return hello
