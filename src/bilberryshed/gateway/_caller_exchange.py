"""One request of a caller and its answer, on tornado's HTTP server."""

import asyncio
from collections.abc import Coroutine
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

from bilberryshed.transport import HeaderList


class ExchangeHandler(Protocol):
    """What an exchange needs of its gateway."""

    def body_limit(self) -> int:
        """Return the largest body accepted, in bytes."""

    def serve(self, exchange: "CallerExchange") -> Coroutine[Any, Any, None]:
        """Answer a request that has been read."""

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> "asyncio.Future[None]":
        """Run a coroutine on the loop."""


class CallerExchange(HTTPMessageDelegate):
    """A request and its answer.

    :param started: whether any of the answer has been sent
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
        self.task: asyncio.Future[None] | None = None

    # Called by the server -------------------------------------------------------------------

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        """Keep the head of the request."""
        assert isinstance(start_line, RequestStartLine)
        self.method, self.target, self.headers = start_line.method, start_line.path, headers

    def data_received(self, chunk: bytes) -> None:
        """Keep part of the body, as far as the limit allows."""
        self.body_size += len(chunk)
        if self.body_size <= self.handler.body_limit():
            self.body.append(chunk)
        else:
            self.body.clear()

    def finish(self) -> None:
        """Answer, now that the request is whole."""
        self.connection.set_close_callback(self.on_connection_close)  # type: ignore[attr-defined]
        self.task = self.handler.spawn(self.handler.serve(self))

    def on_connection_close(self) -> None:
        """Stop work on the request: nobody waits for its answer."""
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
        """Send the head of an answer whose body follows in pieces."""
        self._send_head(status, headers, b"")

    async def write(self, data: bytes) -> None:
        """Send part of the body; waits while the caller does not read.

        :raises StreamClosedError: if the caller has gone
        """
        await self.connection.write(data)

    def end(self) -> None:
        """End a body sent in pieces."""
        self.ended = True
        self.connection.finish()

    def respond(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a whole answer."""
        self._send_head(status, [*headers, ("Content-Length", str(len(body)))], body)
        self.end()

    def abort(self) -> None:
        """Close the channel so that the answer does not look whole."""
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
        self.connection.write_headers(line, fields, content).add_done_callback(_retrieve_exception)


class CallerServer(HTTPServerConnectionDelegate):
    """Makes an exchange for each request."""

    __slots__ = ("handler",)

    def __init__(self, handler: ExchangeHandler) -> None:
        self.handler = handler

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> CallerExchange:
        """Return the exchange of a request that begins."""
        return CallerExchange(self.handler, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Note that a channel has closed; its exchange was told by itself."""


def _retrieve_exception(future: "asyncio.Future[None]") -> None:
    """Mark a write's failure as seen: a closed channel is reported to the exchange."""
    if not future.cancelled():
        future.exception()
