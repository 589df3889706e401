"""Connections of callers: phases, bytes that wait on them, and a bound on their number."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from enum import Enum
from itertools import count
from typing import Any

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError

READ_CHUNK = 32_768  # bytes read at once, and buffered for a connection that nobody reads
MAX_BUFFER = 262_144  # bytes of the read buffer; above READ_CHUNK and the largest head together
UNLIMITED_BODY = 1 << 62  # the listener leaves the limit of bodies to its delegate
MIN_IDLE = 1.0  # seconds for which a connection without a whole request stays open at the bound
DRAIN_TIME = 5.0  # seconds in which a caller that has been refused may still send
DRAIN_BYTES = 8_388_608  # bytes that it may send; twice the largest body
DEFAULT_FIELDS = 256  # header fields of a request, if the listener sets no other bound
REFUSED_HEAD = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n"
)

_numbers = count(1)


class Phase(Enum):
    """What a connection does."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    RUNNING = "running"
    REFUSED = "refused"


# Connections that give way at the bound, lowest first; a running request does for pages only.
CLOSE_ORDER = {Phase.REFUSED: 0, Phase.IDLE: 1, Phase.HEAD: 1, Phase.BODY: 2}
RUNNING_ORDER = 3


class CallerStream(IOStream):
    """A connection of a caller.

    :param number: identifies the connection in the process
    :param phase: what the connection does, since the responsive time ``since``
    :param received_at: responsive time at which bytes last arrived
    :param sent_at: responsive time at which bytes last left, or began to wait
    :param unsent: bytes that wait for the caller to read
    :param is_answered: whether the last response has been queued, so that nothing may follow it
    """

    def __init__(self, listener: "CallerListener", connection: Any) -> None:
        super().__init__(connection, max_buffer_size=MAX_BUFFER, read_chunk_size=READ_CHUNK)
        self.number = next(_numbers)
        self.listener = listener
        self.on_cut = listener.on_cut
        self.clock = listener.clock
        self.phase = Phase.IDLE
        self.since = self.received_at = self.sent_at = self.clock()
        self.unsent = 0
        self.is_answered = False

    def enter(self, phase: Phase) -> None:
        """Change the phase."""
        self.phase = phase
        self.since = self.received_at = self.clock()

    def cut(self, cause: str) -> None:
        """Close the connection for a limit.

        :param cause: metric label
        """
        if not self.closed():
            self.on_cut(cause)
            self.close()

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket; the first bytes on an idle connection begin a head."""
        size = super().read_from_fd(buf)
        if size:
            self.received_at = self.clock()
            if self.phase is Phase.IDLE:
                self.enter(Phase.HEAD)
        return size

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """Queue data for the caller.

        :raises StreamClosedError: after the last response; tornado then closes the connection
            without a response to a malformed body
        """
        if self.is_answered:
            raise StreamClosedError()
        if not self.unsent:
            self.sent_at = self.clock()
        self.unsent += len(data)
        return super().write(data)

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket."""
        size = super().write_to_fd(data)
        if size:
            self.sent_at = self.clock()
            self.unsent = max(0, self.unsent - size)
        return size

    def read_until_regex(self, regex: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read the head of a request, unless it has too many fields."""
        self.enter(Phase.IDLE)
        return self._read_head(super().read_until_regex(regex, max_bytes))

    async def _read_head(self, head: Awaitable[bytes]) -> bytes:
        """Return the head.

        The fields are counted before they are parsed: as objects, short fields take more than ten
        times their bytes.
        """
        data = await head
        self.enter(Phase.RUNNING)
        if data.count(b"\n") - 2 <= self.listener.max_fields:
            return data
        self.on_cut("fields")
        self.enter(Phase.REFUSED)
        await self.write(REFUSED_HEAD + self.listener.refusal_fields + b"\r\n")
        await self._discard()
        self.close()
        raise StreamClosedError()

    async def _discard(self) -> None:
        """Read what the caller still sends, as a reset could make it lose the response."""
        size = 0
        while size < DRAIN_BYTES:
            size += len(await self.read_bytes(READ_CHUNK, partial=True))


class CallerListener(HTTPServer):
    """HTTP server with a bound on its connections and on the header fields of a request.

    :param streams: open connections
    :param max_connections: bound on their number
    :param max_fields: bound on the header fields of a request
    :param refusal_fields: header lines of the refusal of a request with more
    :param on_cut: called with the cause whenever a limit closes a connection
    :param clock: returns the responsive time, so that the process's own delays are not its callers'
    :param idle_timeout: seconds after which the limiter of callers closes an idle connection;
        tornado's timeout would close one whose request waits in the socket after a pause
    :param closes_oldest: whether any connection gives way at the bound, also a running or new one
    """

    def initialize(  # type: ignore[override]
        self,
        delegate: Any,
        max_connections: int,
        on_cut: Callable[[str], None],
        clock: Callable[[], float],
        idle_timeout: float = math.inf,
        max_fields: int = DEFAULT_FIELDS,
        refusal_fields: bytes = b"",
        closes_oldest: bool = False,
        **kw: Any,
    ) -> None:
        """Create a listener; further arguments are those of the HTTP server."""
        super().initialize(
            delegate,
            chunk_size=READ_CHUNK,
            max_buffer_size=MAX_BUFFER,
            max_body_size=UNLIMITED_BODY,
            **kw,
        )
        self.streams: set[CallerStream] = set()
        self.max_connections = max_connections
        self.max_fields = max_fields
        self.refusal_fields = refusal_fields
        self.on_cut = on_cut
        self.clock = clock
        self.idle_timeout = idle_timeout
        self.closes_oldest = closes_oldest

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection, or close it if the bound is reached and none is idle."""
        if len(self.streams) >= self.max_connections and not self._close_idle():
            self.on_cut("connections")
            stream.close()
            return
        own = CallerStream(self, stream.socket)
        self.streams.add(own)
        super().handle_stream(own, address)

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        super().on_close(server_conn)
        self.streams.discard(server_conn.stream)

    def _close_idle(self) -> bool:
        """Close a connection that may give way; returns whether there was one.

        Refused ones give way first, bodies that have not arrived last, otherwise the oldest. Time
        limits do not free the places of slow bodies, as a byte now and then keeps them open.
        """
        latest = self.clock() - MIN_IDLE
        idle = [
            stream
            for stream in self.streams
            if self.closes_oldest
            or stream.phase is Phase.REFUSED
            or (stream.phase in CLOSE_ORDER and stream.since < latest)
        ]
        if not idle:
            return False
        oldest = min(
            idle, key=lambda stream: (CLOSE_ORDER.get(stream.phase, RUNNING_ORDER), stream.since)
        )
        oldest.cut("connections")
        self.streams.discard(oldest)
        return True
