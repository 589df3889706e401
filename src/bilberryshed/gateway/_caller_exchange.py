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
from bilberryshed.transport import (
    BodyBuffer,
    CallerStream,
    EarlyRefusal,
    HeaderList,
    Phase,
    announces_body,
    cap_length,
)

# Bytes that a parsed header field takes beside its text, in the headers and two lists made of them.
FIELD_BYTES = 420

SEPARATOR_BYTES = 4  # bytes after the name and after the value of a header


class ExchangeHandler(Protocol):
    """Interface through which an exchange calls its gateway.

    :param byte_counter: counts the bytes received from callers and sent to them
    """

    byte_counter: ByteCounter

    def body_limit(self) -> int:
        """Return the largest accepted body size in bytes."""

    def judge(self, exchange: "CallerExchange") -> None:
        """Refuse a request on its head, before its body is read, if it cannot be served."""

    def hold(self, exchange: "CallerExchange") -> None:
        """Account for what has arrived of a request; it may be refused."""

    def serve(self, exchange: "CallerExchange") -> Coroutine[Any, Any, None]:
        """Respond to a request that has been read completely."""

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> "asyncio.Future[None]":
        """Run a coroutine on the event loop."""


class CallerExchange(HTTPMessageDelegate):
    """A caller's request and its response.

    :param body: what has arrived of the body, nothing once the request is refused or sent on
    :param body_size: bytes of the body received so far
    :param length: bytes of the body that the head announces, 0 if it does not say
    :param head_size: bytes that the parsed header fields take
    :param is_read: whether the request has been read completely
    :param has_key: whether the key of the request is known
    :param judged: what the admission found on the head, ``None`` if there was no body to wait for
    :param early_refusal: refusal sent before the body had been read
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
        "length",
        "head_size",
        "is_read",
        "has_key",
        "judged",
        "early_refusal",
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
        self.body = BodyBuffer()
        self.body_size = 0
        self.length = 0
        self.head_size = 0
        self.is_read = False
        self.has_key = False
        self.judged: object = None
        self.early_refusal: EarlyRefusal | None = None
        self.request_id = ""
        self.started = False
        self.ended = False
        self.is_sent = False
        self.is_stopped = False
        self.task: asyncio.Future[None] | None = None

    # Called by the server -------------------------------------------------------------------

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        """Store the head of the request; with a body to come, judge it."""
        assert isinstance(start_line, RequestStartLine)
        self.method, self.target, self.headers = start_line.method, start_line.path, headers
        self.handler.byte_counter.on_received(len(start_line.path) + _size(headers.get_all()))
        cap_length(headers)
        self.head_size = sum(len(k) + len(v) + FIELD_BYTES for k, v in headers.get_all())
        if announces_body(headers):
            length = headers.get("Content-Length", "0")
            self.length = int(length) if length.isdecimal() else 0
            self.stream.enter(Phase.BODY)
            self.handler.judge(self)
            self.handler.hold(self)

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body, unless the request has been refused."""
        if self.early_refusal is not None:
            self.early_refusal.discard(chunk)
            return
        self.body_size += len(chunk)
        self.handler.byte_counter.on_received(len(chunk))
        if self.oversized:
            self.handler.judge(self)
            return
        self.body.append(chunk)
        self.handler.hold(self)

    def finish(self) -> None:
        """Start processing the complete request."""
        if self.early_refusal is not None:
            self.early_refusal.finish()
            return
        self.is_read = True
        self.stream.enter(Phase.RUNNING)
        self.handler.hold(self)
        self.connection.set_close_callback(self.on_connection_close)  # type: ignore[attr-defined]
        self.task = self.handler.spawn(self.handler.serve(self))

    def on_connection_close(self) -> None:
        """Cancel the request, as its caller has disconnected."""
        self.body.clear()
        if not self.is_read:
            self.handler.hold(self)
        if self.task is not None and not self.ended:
            self.task.cancel()

    # Called by the gateway ------------------------------------------------------------------

    @property
    def oversized(self) -> bool:
        """Whether the body is larger than the limit."""
        return max(self.length, self.body_size) > self.handler.body_limit()

    @property
    def stream(self) -> CallerStream:
        """The connection's stream."""
        stream = self.connection.stream  # type: ignore[attr-defined]
        assert isinstance(stream, CallerStream)
        return stream

    @property
    def is_running(self) -> bool:
        """Whether the request has been read completely and its response has not ended."""
        return self.task is not None and not self.task.done()

    def take_body(self) -> bytes:
        """Return the body, which is then no longer held here."""
        return self.body.take()

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
        """Send a complete response; the rest of a request that is not read yet is discarded."""
        if not self.is_read:
            self._respond_early(status, headers, body)
            return
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

    def _respond_early(self, status: int, headers: HeaderList, body: bytes) -> None:
        self.started = self.ended = True
        self.body.clear()
        self.early_refusal = EarlyRefusal(self.connection, self.method, self.headers)
        self.headers = fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        self.early_refusal.send(status, fields, body)

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
