"""Responses that are sent before the body of their request has been read."""

from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)

from bilberryshed.transport._caller_streams import DRAIN_BYTES, CallerStream, Phase

STATUS_TOO_LARGE = 413
MAX_LENGTH_DIGITS = 18  # of a Content-Length; int() raises ValueError above 4,300 digits


def announces_body(headers: HTTPHeaders) -> bool:
    """Whether the head of a request says that a body follows."""
    return "Transfer-Encoding" in headers or headers.get("Content-Length", "0").strip("0") != ""


def cap_length(headers: HTTPHeaders) -> None:
    """Replace a Content-Length of more digits than a number takes; it stays over any limit."""
    length = headers.get("Content-Length", "")
    if length.isdecimal() and len(length) > MAX_LENGTH_DIGITS:
        headers["Content-Length"] = "9" * MAX_LENGTH_DIGITS


class EarlyRefusal:
    """A refusal after which the rest of the request is discarded and the connection closed.

    The connection is not closed at once: a reset, caused by bytes that were not read, could make
    the caller lose the response.

    :param method: method of the request; a response to HEAD has no body
    :param request_headers: headers of the request, of which Expect is removed, as tornado would
        send another response to it
    :param discarded: bytes that arrived after the refusal
    """

    __slots__ = ("connection", "method", "discarded")

    def __init__(
        self, connection: HTTPConnection, method: str, request_headers: HTTPHeaders
    ) -> None:
        assert isinstance(connection, HTTP1Connection)
        request_headers.pop("Expect", None)
        self.connection = connection
        self.method = method
        self.discarded = 0

    @property
    def stream(self) -> CallerStream:
        """The connection's stream."""
        stream = self.connection.stream
        assert isinstance(stream, CallerStream)
        return stream

    def send(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send the response; the connection stays open for what the caller still sends."""
        headers["Connection"] = "close"
        headers["Content-Length"] = str(len(body))
        content = None if self.method == "HEAD" else body
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        self.stream.enter(Phase.REFUSED)
        self.connection.write_headers(line, headers, content).add_done_callback(_retrieve_exception)
        self.stream.is_answered = True

    def discard(self, chunk: bytes) -> None:
        """Count bytes of the body; close the connection when they are too many."""
        self.discarded += len(chunk)
        if self.discarded > DRAIN_BYTES:
            self.stream.close()

    def finish(self) -> None:
        """Close the connection, as the whole body has arrived."""
        if not self.stream.writing():
            self.stream.close()


def _retrieve_exception(future: Any) -> None:
    """Keep asyncio from logging a failed write."""
    if not future.cancelled():
        future.exception()


class _BodylessExchange(HTTPMessageDelegate):
    """Passes a request without a body on, and refuses any other on its head."""

    __slots__ = ("connection", "inner", "refusal")

    def __init__(self, connection: HTTPConnection, inner: HTTPMessageDelegate) -> None:
        self.connection = connection
        self.inner = inner
        self.refusal: EarlyRefusal | None = None

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> Any:
        cap_length(headers)
        if not announces_body(headers):
            return self.inner.headers_received(start_line, headers)
        self.refusal = EarlyRefusal(self.connection, start_line.method, headers)
        self.refusal.stream.on_cut("page_body")
        self.refusal.send(STATUS_TOO_LARGE, HTTPHeaders(), b"this address takes no bodies\n")
        return None

    def data_received(self, chunk: bytes) -> None:
        if self.refusal is not None:
            self.refusal.discard(chunk)

    def finish(self) -> None:
        if self.refusal is not None:
            self.refusal.finish()
        else:
            self.inner.finish()

    def on_connection_close(self) -> None:
        if self.refusal is None:
            self.inner.on_connection_close()


class BodylessServer(HTTPServerConnectionDelegate):
    """Serves an application whose requests have no bodies."""

    __slots__ = ("application",)

    def __init__(self, application: HTTPServerConnectionDelegate) -> None:
        self.application = application

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> Any:
        """Return a delegate for a new request."""
        inner = self.application.start_request(server_conn, request_conn)
        return _BodylessExchange(request_conn, inner)
