"""A caller's request and its response, on tornado's HTTP server."""

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Any, Protocol

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)

from bilberryshed.coordination.admission import ByteCounter
from bilberryshed.transport import HeaderList

SEPARATOR_BYTES = 4  # bytes after the name and after the value of a header


class ExchangeHandler(Protocol):
    """Interface through which an exchange calls its gateway.

    :param byte_counter: counts the bytes received from callers and sent to them
    """

    byte_counter: ByteCounter

    def body_limit(self) -> int:
        """Return the largest accepted body size in bytes."""

    def serve(self, exchange: "CallerExchange") -> Coroutine[Any, Any, None]:
        """Respond to a request that has been read completely."""

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> "asyncio.Future[None]":
        """Run a coroutine on the event loop."""


class CallerExchange(HTTPMessageDelegate):
    """A caller's request and its response.

    :param body: chunks of the body, none if it exceeds the limit
    :param body_size: bytes of the body received so far
    :param started: whether the head of the response has been sent
    :param ended: whether the response is complete or aborted
    :param is_sent: whether the request has been sent to a backend server
    :param is_stopped: whether it was ended because the gateway stops
    """

    __slots__ = (
        "handler",
        "connection",
        "method",
        "target",
        "headers",
        "body",
        "body_size",
        "started",
        "ended",
        "is_sent",
        "is_stopped",
        "task",
        "request_id",
    )

    def __init__(self, handler: ExchangeHandler, connection: HTTPConnection) -> None:
        self.handler = handler
        self.connection = connection
        self.method = ""
        self.target = ""
        self.headers = HTTPHeaders()
        self.body: list[bytes] = []
        self.body_size = 0
        self.request_id = ""
        self.started = False
        self.ended = False
        self.is_sent = False
        self.is_stopped = False
        self.task: asyncio.Future[None] | None = None

    # Called by the server -------------------------------------------------------------------

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        """Store the head of the request."""
        assert isinstance(start_line, RequestStartLine)
        self.method, self.target, self.headers = start_line.method, start_line.path, headers
        self.handler.byte_counter.on_received(len(start_line.path) + _size(headers.get_all()))

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body; discard the body if it exceeds the limit."""
        self.body_size += len(chunk)
        self.handler.byte_counter.on_received(len(chunk))
        if self.body_size <= self.handler.body_limit():
            self.body.append(chunk)
        else:
            self.body.clear()

    def finish(self) -> None:
        """Start processing the complete request."""
        self.connection.set_close_callback(self.on_connection_close)  # type: ignore[attr-defined]
        self.task = self.handler.spawn(self.handler.serve(self))

    def on_connection_close(self) -> None:
        """Cancel the request, as its caller has disconnected."""
        if self.task is not None and not self.ended:
            self.task.cancel()

    # Called by the gateway ------------------------------------------------------------------

    @property
    def oversized(self) -> bool:
        """Whether the body is larger than the limit."""
        return self.body_size > self.handler.body_limit()

    def header_list(self) -> HeaderList:
        """Return the request's headers, names in lower case."""
        return [(name.lower(), value) for name, value in self.headers.get_all()]

    def begin(self, status: int, headers: HeaderList) -> None:
        """Send the head of a response whose body follows in chunks."""
        self._send_head(status, headers, b"")

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body; wait while the caller does not read.

        :raises StreamClosedError: if the caller has disconnected
        """
        self.handler.byte_counter.on_sent(len(data))
        await self.connection.write(data)

    def end(self) -> None:
        """End a body that was sent in chunks."""
        self.ended = True
        self.connection.finish()

    def respond(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a complete response."""
        self._send_head(status, [*headers, ("Content-Length", str(len(body)))], body)
        self.end()

    def stop(self) -> None:
        """End the request before the process ends; its caller is told so if that is possible."""
        if self.task is not None and not self.ended:
            self.is_stopped = True
            self.task.cancel()

    def abort(self) -> None:
        """Close the connection, so that the caller detects that the response is incomplete."""
        self.ended = True
        if isinstance(self.connection, HTTP1Connection):
            self.connection.close()

    def _send_head(self, status: int, headers: HeaderList, body: bytes) -> None:
        self.started = True
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        reason = responses.get(status, "Unknown")
        line = ResponseStartLine("HTTP/1.1", status, reason)
        content = None if self.method == "HEAD" or not body else body
        self.handler.byte_counter.on_sent(_size(headers) + len(content or b""))
        self.connection.write_headers(line, fields, content).add_done_callback(_retrieve_exception)


class CallerServer(HTTPServerConnectionDelegate):
    """Creates an exchange for each request."""

    __slots__ = ("handler",)

    def __init__(self, handler: ExchangeHandler) -> None:
        self.handler = handler

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> CallerExchange:
        """Return an exchange for a new request."""
        return CallerExchange(self.handler, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Ignore a closed connection: its exchange has a close callback of its own."""


def _size(headers: Iterable[tuple[str, str]]) -> int:
    """Return the bytes of headers; tornado does not tell the size of a head."""
    return sum([len(name) + len(value) + SEPARATOR_BYTES for name, value in headers])


def _retrieve_exception(future: "asyncio.Future[None]") -> None:
    """Keep asyncio from logging a failed write; the close callback handles the closure."""
    if not future.cancelled():
        future.exception()
