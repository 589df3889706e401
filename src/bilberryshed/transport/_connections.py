"""Persistent HTTP/1.1 connections to backend servers.

A connection carries one request at a time. Bytes received on an idle connection belong to no
request, so such a connection is closed instead of being reused. Framing is done by h11, I/O by
tornado's streams.

A faulty backend server may send any number of parts of a response at once: parts of a body are
returned together, and other work gets its turn in between.
"""

import asyncio
import fcntl
import socket
import termios
from collections import deque
from dataclasses import dataclass
from typing import Any

import h11
from tornado.iostream import IOStream, StreamClosedError

from bilberryshed.coordination.admission import ByteCounter
from bilberryshed.state import Address
from bilberryshed.transport._http import MAX_STATUS
from bilberryshed.transport._timers import TimerService

READ_SIZE = 65_536  # bytes per read
MAX_HEADER_BYTES = 65_536  # bytes of a response's headers
MAX_INTERIM = 100  # informational (1xx) responses before a response
DEFAULT_IDLE_TIMEOUT = 4.0  # seconds, if the backend server announces no timeout
IDLE_TIMEOUT_MARGIN = 1.0  # seconds; reuse stops this long before the announced timeout
MAX_IDLE_PER_SERVER = 32  # idle connections to one backend server
MAX_PARTS_PER_TURN = 200  # parts of responses that one connection handles in a turn of the loop
TCP_USER_TIMEOUT_MS = 4_000  # milliseconds until unacknowledged data closes a connection

INT_SIZE = 4  # bytes of a C int

HeaderList = list[tuple[str, str]]


class ConnectError(Exception):
    """A connection could not be opened; nothing was sent."""


class ConnectTimeoutError(ConnectError):
    """A connection was neither opened nor refused in time."""


class ResponseError(Exception):
    """The response is incomplete or malformed; the request may have run."""


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: HeaderList

    def get(self, name: str) -> str:
        """Return the first value of a header, named in lower case; empty if it is missing."""
        return next((value for key, value in self.headers if key == name), "")


class _SendingStream(IOStream):
    """Stream that tells whether the other side ended it before it had received everything.

    Only a body without a length or chunks ends with its channel. If the request has not been
    received by then, the channel was broken off, and the body may be a part of an answer.

    :param was_sending: whether bytes were still to be sent or acknowledged when it was closed
    """

    was_sending = False

    def close_fd(self) -> None:
        self.was_sending = self.writing() or self._has_unacknowledged()
        super().close_fd()

    def _has_unacknowledged(self) -> bool:
        try:
            return any(fcntl.ioctl(self.fileno(), termios.TIOCOUTQ, bytes(INT_SIZE)))
        except OSError:  # the system does not tell
            return False


class BackendConnection:
    """One open connection.

    :param key: key of the connection in its pool
    :param counter: counts the bytes sent and received
    :param pending_read: the next bytes received; done on an idle connection only if it is unusable
    :param is_first_use: whether it carries its first request, so that no earlier response can come
    :param lag: seconds by which the event loop had lagged in all when it was taken for a request
    :param body_end: what ended the body of which the last data has just been returned
    :param parts: parts of responses handled in this turn of the event loop
    """

    __slots__ = (
        "key",
        "stream",
        "counter",
        "framing",
        "pending_read",
        "is_first_use",
        "lag",
        "body_end",
        "parts",
        "request",
        "idle_since",
        "idle_timeout",
        "eof_received",
    )

    def __init__(self, key: str, stream: _SendingStream, counter: ByteCounter) -> None:
        self.key = key
        self.stream = stream
        self.counter = counter
        self.framing = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.pending_read = self._read()
        self.is_first_use = True
        self.lag = 0.0
        self.body_end: h11.Event | ResponseError | None = None
        self.parts = 0
        self.request: h11.Request | None = None
        self.eof_received = False
        self.idle_since = 0.0
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT

    def send(self, method: str, target: str, headers: HeaderList, body: bytes) -> None:
        """Queue a request; its response may be read before the request is fully sent.

        :raises ResponseError: if the connection is closed
        """
        self.request = h11.Request(method=method, target=target, headers=headers)
        data = self._frame(self.request, body)
        self.counter.on_sent(len(data))
        try:
            self.stream.write(data).add_done_callback(_retrieve_exception)
        except StreamClosedError as error:
            raise ResponseError("the channel is closed") from error

    def _frame(self, request: h11.Request, body: bytes) -> bytes:
        data = self.framing.send(request) or b""
        if body:
            data += self.framing.send(h11.Data(data=body)) or b""
        return data + (self.framing.send(h11.EndOfMessage()) or b"")

    async def read_head(self) -> ResponseHead:
        """Read the head of the next response; informational (1xx) responses are skipped.

        :raises ResponseError: if the connection ends before a response, there are more than
            ``MAX_INTERIM`` informational ones before it, or its status does not exist
        """
        for _ in range(MAX_INTERIM + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise ResponseError(f"answer with the status {event.status_code}")
                headers = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers]
                return ResponseHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise ResponseError("the channel ended before an answer")
        raise ResponseError(f"more than {MAX_INTERIM} interim answers")

    async def read_body(self) -> bytes:
        """Read the next bytes of the body, all that are buffered; empty at its end.

        :raises ResponseError: if the body is incomplete
        """
        end, self.body_end = self.body_end, None
        while end is None:
            event = await self._next_event()
            if not isinstance(event, h11.Data):
                end = event
            elif event.data:
                data, self.body_end = self._buffered_data(bytes(event.data))
                return data
        if isinstance(end, ResponseError):
            raise end
        if not isinstance(end, h11.EndOfMessage):
            raise ResponseError("the channel ended within an answer")
        if self.eof_received and self.stream.was_sending:
            raise ResponseError("the channel ended while the request was still being sent")
        return b""

    def _buffered_data(self, first: bytes) -> tuple[bytes, h11.Event | ResponseError | None]:
        """Return the data of a body that needs no read, and what follows it, if it is known.

        :param first: the data before
        """
        pieces = [first]
        while self.parts < MAX_PARTS_PER_TURN:
            try:
                event = self._buffered_event()
            except ResponseError as error:
                return b"".join(pieces), error
            if not isinstance(event, h11.Data):
                return b"".join(pieces), event
            pieces.append(bytes(event.data))
        return b"".join(pieces), None

    async def skip_response(self) -> None:
        """Discard a response to another request; the response to the sent request follows.

        :raises ResponseError: if the connection cannot carry another response
        """
        while await self.read_body():
            pass
        rest, closed = self.framing.trailing_data
        if closed or self.request is None:
            raise ResponseError("the channel ended after another request's answer")
        self.framing = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        self._frame(_without_body(self.request), b"")
        if rest:
            self.framing.receive_data(rest)

    def prepare_reuse(self, must_close: bool) -> bool:
        """Prepare for the next request after a complete response.

        :param must_close: whether either side announced that it closes the connection
        :returns: whether the connection can carry another request
        """
        trailing = self.framing.trailing_data != (b"", False)
        if must_close or trailing or self.stream.writing() or self.stream.closed():
            return False
        try:
            self.framing.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self.is_first_use = False
        return True

    def is_usable(self) -> bool:
        """Whether the idle connection is open and has received nothing.

        The event loop may not have noticed yet what has arrived, above all after a long task.
        """
        if self.pending_read.done() or self.stream.closed():
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def abort(self) -> None:
        """Close the connection immediately."""
        self.stream.close()

    async def _next_event(self) -> h11.Event:
        while True:
            if self.parts >= MAX_PARTS_PER_TURN:
                await asyncio.sleep(0)
                self.parts = 0
            event = self._buffered_event()
            if event is not None:
                return event
            self.framing.receive_data(await self._receive())
            self.parts = 0

    def _buffered_event(self) -> h11.Event | None:
        """Return the next part of a response, ``None`` if it needs more bytes.

        :raises ResponseError: if the bytes are no response
        """
        self.parts += 1
        try:
            event = self.framing.next_event()
        except h11.RemoteProtocolError as error:
            cause = "the channel was closed within the answer" if self.eof_received else str(error)
            raise ResponseError(cause) from error
        if event is h11.PAUSED:
            raise ResponseError("the channel carries no more answers")
        return event if isinstance(event, h11.Event) else None

    async def _receive(self) -> bytes:
        """Return the next bytes received, empty after an orderly close by the other side."""
        try:
            data = await asyncio.shield(self.pending_read)
        except StreamClosedError as error:
            if error.real_error is not None:
                raise ResponseError(f"the channel was reset: {error.real_error}") from error
            self.eof_received = True
            return b""
        self.counter.on_received(len(data))
        self.pending_read = self._read()
        return data

    def _read(self) -> "asyncio.Future[bytes]":
        future = asyncio.ensure_future(self._read_once())
        future.add_done_callback(_retrieve_exception)
        return future

    async def _read_once(self) -> bytes:
        return await self.stream.read_bytes(READ_SIZE, partial=True)


class ConnectionPool:
    """Pool of idle connections by key.

    :param counter: counts the bytes sent and received on all connections
    :param timers: measures the time in which others accept connections
    """

    __slots__ = ("idle", "counter", "timers")

    def __init__(
        self, counter: ByteCounter | None = None, timers: TimerService | None = None
    ) -> None:
        self.counter = counter or ByteCounter()
        self.timers = timers or TimerService()
        self.idle: dict[str, deque[BackendConnection]] = {}

    def acquire(
        self, key: str, now: float, max_idle_fraction: float = 1.0
    ) -> BackendConnection | None:
        """Return an idle connection, the most recently used first, or ``None``.

        :param max_idle_fraction: longest accepted idle time as a fraction of the idle timeout
        """
        connections = self.idle.get(key)
        while connections:
            connection = connections.pop()
            if (
                connection.is_usable()
                and now - connection.idle_since < connection.idle_timeout * max_idle_fraction
            ):
                connection.lag = self._lag()
                return connection
            connection.abort()
        return None

    def _lag(self) -> float:
        return self.timers.now() - self.timers.responsive_time()

    async def open(self, key: str, address: Address, timeout: float) -> BackendConnection:
        """Open a new connection.

        :param timeout: responsive seconds
        :raises ConnectError: if the connection cannot be opened
        :raises ConnectTimeoutError: if it is not opened in time
        """
        try:
            raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # no free descriptor
            raise ConnectError(str(error)) from error
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        stream = _SendingStream(raw)
        try:
            async with self.timers.timeout(timeout):
                await stream.connect((address.host, address.port))
        except TimeoutError as error:
            stream.close()
            raise ConnectTimeoutError(str(error) or "timed out") from error
        except (OSError, StreamClosedError) as error:
            stream.close()
            raise ConnectError(str(error) or "timed out") from error
        except asyncio.CancelledError:
            stream.close()
            raise
        connection = BackendConnection(key, stream, self.counter)
        connection.lag = self._lag()
        return connection

    def release(
        self, connection: BackendConnection, now: float, server_idle_timeout: float | None
    ) -> None:
        """Return a connection to the pool; the oldest is closed if there are too many.

        The server has been idle since it sent its response, which may have waited to be read while
        the event loop lagged.

        :param server_idle_timeout: idle timeout that the backend server announced, in seconds
        """
        connection.idle_since = now - max(0.0, self._lag() - connection.lag)
        if server_idle_timeout is not None:
            connection.idle_timeout = max(0.0, server_idle_timeout - IDLE_TIMEOUT_MARGIN)
        connections = self.idle.setdefault(connection.key, deque())
        connections.append(connection)
        if len(connections) > MAX_IDLE_PER_SERVER:
            connections.popleft().abort()

    def close_idle(self, key: str) -> None:
        """Close the idle connections to a backend server that has left."""
        for connection in self.idle.pop(key, ()):
            connection.abort()

    def prune(self, now: float) -> None:
        """Close connections that timed out, were closed by the other side or received data."""
        for key, connections in list(self.idle.items()):
            retained = deque(
                c for c in connections if c.is_usable() and now - c.idle_since < c.idle_timeout
            )
            for connection in connections:
                if connection not in retained:
                    connection.abort()
            if retained:
                self.idle[key] = retained
            else:
                del self.idle[key]


def _without_body(request: h11.Request) -> h11.Request:
    """Return the request without a body; it brings a new h11 connection to the same state."""
    headers = [(k, v) for k, v in request.headers if k != b"content-length"]
    return h11.Request(method=request.method, target=request.target, headers=headers)


def _retrieve_exception(future: "asyncio.Future[Any]") -> None:
    """Keep asyncio from logging a failed read or write; the next read reports the closure."""
    if not future.cancelled():
        future.exception()
