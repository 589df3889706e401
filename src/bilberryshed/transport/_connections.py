"""HTTP/1.1 channels to backend servers, kept open between requests.

A channel carries one request at a time. Whatever arrives on an idle channel belongs to no request,
and closes it. Framing is h11's; the streams are tornado's.
"""

import asyncio
import socket
from collections import deque
from dataclasses import dataclass
from typing import Any

import h11
from tornado.iostream import IOStream, StreamClosedError

from bilberryshed.state import Address

READ_SIZE = 65_536  # bytes
MAX_HEADER_BYTES = 65_536  # bytes of an answer's headers
DEFAULT_IDLE_TIMEOUT = 4.0  # seconds that a channel is kept if the backend server states no timeout
IDLE_TIMEOUT_MARGIN = 1.0  # seconds before the stated timeout at which a channel is no longer used
MAX_IDLE_PER_SERVER = 32  # idle channels to one backend server
TCP_USER_TIMEOUT_MS = 4_000  # milliseconds after which unacknowledged bytes break a channel

HeaderList = list[tuple[str, str]]


class ConnectError(Exception):
    """No channel could be opened: nothing was sent."""


class ResponseError(Exception):
    """The answer broke off or is not one; the request may have run."""


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: HeaderList

    def get(self, name: str) -> str:
        """Return the first header of a name in lower case, empty if there is none."""
        return next((value for key, value in self.headers if key == name), "")


class BackendConnection:
    """One open channel.

    :param key: what the pool keeps it under
    """

    __slots__ = (
        "key",
        "stream",
        "h11_connection",
        "pending_read",
        "request",
        "idle_since",
        "idle_timeout",
        "eof_received",
    )

    def __init__(self, key: str, stream: IOStream) -> None:
        self.key = key
        self.stream = stream
        self.h11_connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.pending_read = self._read()
        self.request: h11.Request | None = None
        self.eof_received = False
        self.idle_since = 0.0
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT

    def send(self, method: str, target: str, headers: HeaderList, body: bytes) -> None:
        """Queue a request; an answer may be read before all of it has been sent.

        :raises BrokenAnswerError: if the channel is closed
        """
        self.request = h11.Request(method=method, target=target, headers=headers)
        data = self._serialize(self.request, body)
        try:
            self.stream.write(data).add_done_callback(_retrieve_exception)
        except StreamClosedError as error:
            raise ResponseError("the channel is closed") from error

    def _serialize(self, request: h11.Request, body: bytes) -> bytes:
        data = self.h11_connection.send(request) or b""
        if body:
            data += self.h11_connection.send(h11.Data(data=body)) or b""
        return data + (self.h11_connection.send(h11.EndOfMessage()) or b"")

    async def read_head(self) -> ResponseHead:
        """Read the head of the next answer.

        :raises BrokenAnswerError: if there is none
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers]
                return ResponseHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise ResponseError("the channel ended before an answer")

    async def read_body(self) -> bytes:
        """Read the next piece of the body, empty at its end.

        :raises BrokenAnswerError: if the body broke off
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return b""
            else:
                raise ResponseError("the channel ended within an answer")

    async def skip_response(self) -> None:
        """Read past an answer that belongs to another request, up to its own request's answer.

        :raises BrokenAnswerError: if the channel cannot carry another answer
        """
        while await self.read_body():
            pass
        rest, closed = self.h11_connection.trailing_data
        if closed or self.request is None:
            raise ResponseError("the channel ended after another request's answer")
        self.h11_connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        self._serialize(_without_body(self.request), b"")
        if rest:
            self.h11_connection.receive_data(rest)

    def prepare_reuse(self, must_close: bool) -> bool:
        """Prepare for the next request after a whole answer.

        :param must_close: whether either side said that the channel closes
        :returns: whether the channel can carry another request
        """
        trailing = self.h11_connection.trailing_data != (b"", False)
        if must_close or trailing or self.stream.writing() or self.stream.closed():
            return False
        try:
            self.h11_connection.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    def is_usable(self) -> bool:
        """Whether nothing has arrived on the idle channel and it is open."""
        return not self.pending_read.done() and not self.stream.closed()

    def abort(self) -> None:
        """Close the channel at once."""
        self.stream.close()

    async def _next_event(self) -> object:
        while True:
            try:
                event = self.h11_connection.next_event()
            except h11.RemoteProtocolError as error:
                cause = (
                    "the channel was closed within the answer" if self.eof_received else str(error)
                )
                raise ResponseError(cause) from error
            if event is not h11.NEED_DATA:
                return event
            self.h11_connection.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        """Return the bytes that came next, empty at an orderly end."""
        try:
            data = await asyncio.shield(self.pending_read)
        except StreamClosedError as error:
            if error.real_error is not None:
                raise ResponseError(f"the channel was reset: {error.real_error}") from error
            self.eof_received = True
            return b""
        self.pending_read = self._read()
        return data

    def _read(self) -> "asyncio.Future[bytes]":
        future = asyncio.ensure_future(self._read_once())
        future.add_done_callback(_retrieve_exception)
        return future

    async def _read_once(self) -> bytes:
        return await self.stream.read_bytes(READ_SIZE, partial=True)


class ConnectionPool:
    """Idle channels by key."""

    __slots__ = ("idle",)

    def __init__(self) -> None:
        self.idle: dict[str, deque[BackendConnection]] = {}

    def acquire(
        self, key: str, now: float, max_idle_fraction: float = 1.0
    ) -> BackendConnection | None:
        """Return an idle channel, the one used last first.

        :param max_idle_fraction: part of its idle limit for which it may have been idle
        """
        idle_connections = self.idle.get(key)
        while idle_connections:
            connection = idle_connections.pop()
            if (
                connection.is_usable()
                and now - connection.idle_since < connection.idle_timeout * max_idle_fraction
            ):
                return connection
            connection.abort()
        return None

    async def open(self, key: str, address: Address, timeout: float) -> BackendConnection:
        """Open a new channel.

        :param timeout: seconds
        :raises ChannelRefusedError: if that is not possible
        """
        raw_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        stream = IOStream(raw_socket)
        try:
            async with asyncio.timeout(timeout):
                await stream.connect((address.host, address.port))
        except (TimeoutError, OSError, StreamClosedError) as error:
            stream.close()
            raise ConnectError(str(error) or "timed out") from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return BackendConnection(key, stream)

    def release(
        self, connection: BackendConnection, now: float, server_idle_timeout: float | None
    ) -> None:
        """Keep a channel for the next request.

        :param server_idle_timeout: idle timeout that the backend server stated, in seconds
        """
        connection.idle_since = now
        if server_idle_timeout is not None:
            connection.idle_timeout = max(0.0, server_idle_timeout - IDLE_TIMEOUT_MARGIN)
        idle_connections = self.idle.setdefault(connection.key, deque())
        idle_connections.append(connection)
        if len(idle_connections) > MAX_IDLE_PER_SERVER:
            idle_connections.popleft().abort()

    def close_idle(self, key: str) -> None:
        """Close the idle channels of a backend server that has left."""
        for connection in self.idle.pop(key, ()):
            connection.abort()

    def prune(self, now: float) -> None:
        """Close channels that have been idle too long or were closed by the other side."""
        for key, idle_connections in list(self.idle.items()):
            retained = deque(
                c for c in idle_connections if c.is_usable() and now - c.idle_since < c.idle_timeout
            )
            for connection in idle_connections:
                if connection not in retained:
                    connection.abort()
            if retained:
                self.idle[key] = retained
            else:
                del self.idle[key]


def _without_body(request: h11.Request) -> h11.Request:
    """Return a request that leaves the framing where the sent one did, without its body."""
    headers = [(k, v) for k, v in request.headers if k != b"content-length"]
    return h11.Request(method=request.method, target=request.target, headers=headers)


def _retrieve_exception(future: "asyncio.Future[Any]") -> None:
    """Mark the outcome of a read or write as seen; the next read reports a closed channel."""
    if not future.cancelled():
        future.exception()
