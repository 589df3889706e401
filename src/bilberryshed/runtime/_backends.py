"""Execution of attempts on the agent's backend server.

A :class:`Backend` class is registered for each kind of backend server. It reports the response
through a :class:`ResponseSink` and returns exactly one of :class:`RunCompleted`,
:class:`RunNotStarted` and :class:`RunInterrupted`. Each attempt has a connection of its own: not
all responses name their request, and a faulty backend server may send an earlier one again.
"""

import asyncio
import json
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from bilberryshed.coordination import EventBuffer, parse_limit
from bilberryshed.protocol import Dispatch
from bilberryshed.state import Address
from bilberryshed.transport import (
    BackendConnection,
    BodyBuffer,
    ConnectError,
    ConnectionPool,
    ResponseError,
    ResponseHead,
    describe_error,
    fetch_response,
    http_client,
    read_quiet_time,
    use_new_connection,
)

LIMIT_HEADER = "server-limit"  # requests per second that the backend server takes
LEAVING_HEADER = "server-leaving"  # "1" if the backend server leaves
QUIET_HEADER = "retry-after"  # seconds for which it wants no requests, with QUIET_STATUS
QUIET_STATUS = "503"
ORDER_TIMEOUT = 100.0  # seconds; includes the time to load a model
MAX_EVENT_BYTES = 1_000_000  # bytes of one event of a stream
MAX_BODY_BYTES = 8_000_000  # bytes of a plain service's response
METHODS_WITH_BODY = ("POST", "PUT", "PATCH")
CONNECT_TIMEOUT = 1.0  # seconds
CONTROL_TIMEOUT = 1.0  # seconds for control requests, such as load queries and cancellations


@dataclass(slots=True, frozen=True)
class RunCompleted:
    """The backend server sent a complete response.

    :param status: HTTP status
    :param finish: finish reason that the backend server reported
    """

    status: int
    content_type: str
    finish: str
    prompt_tokens: int
    completion_tokens: int


@dataclass(slots=True, frozen=True)
class RunNotStarted:
    """The attempt was certainly not started."""

    reason: str


@dataclass(slots=True, frozen=True)
class RunInterrupted:
    """The attempt may have started but produced no complete response."""

    reason: str


RunResult = RunCompleted | RunNotStarted | RunInterrupted


@dataclass(slots=True, frozen=True)
class BackendLoad:
    """State that the backend server reports at ``/load``.

    :param boot: changes when the backend server restarts
    """

    models: tuple[str, ...]
    slots: int
    boot: int


@dataclass(slots=True)
class ServerStatement:
    """What a backend server says of itself in the head of a response.

    :param limit: requests per second that it takes, ``None`` if it names no limit
    :param is_leaving: whether it leaves
    :param quiet_time: seconds for which it wants no requests, 0 if it says none
    """

    limit: float | None = None
    is_leaving: bool = False
    quiet_time: float = 0.0


class ResponseSink(ABC):
    """Receiver of the response of one attempt."""

    @abstractmethod
    def started(self, status: int, content_type: str) -> None:
        """Handle the status and content type of the response."""

    @abstractmethod
    def data(self, chunk: bytes) -> None:
        """Handle one chunk of the response body."""


class Backend(ABC):
    """Client of one backend server.

    :param on_statement: called for each response to an attempt, with what it says of the backend
        server, and the monotonic time at which its request was sent
    """

    __slots__ = ("base_url", "client", "on_statement")

    def __init__(self, address: Address) -> None:
        self.base_url = f"http://{address}"
        self.client: AsyncHTTPClient = http_client()
        self.on_statement: Callable[[ServerStatement, float], None] = (
            lambda statement, sent_at: None
        )

    @abstractmethod
    async def run(self, dispatch: Dispatch, sink: ResponseSink) -> RunResult:
        """Run one attempt."""

    async def cancel(self, attempt: str) -> None:
        """Cancel an attempt; the default does nothing, for servers without cancellation."""
        return

    async def order(self, number: int, kind: str, model: str) -> bool:
        """Execute an order; the default rejects all orders.

        :returns: whether the order was executed
        """
        return False

    async def load(self) -> BackendLoad | None:
        """Return the reported load, ``None`` if the backend server does not respond."""
        body = await self._control("GET", "/load", None)
        if body is None:
            return None
        return BackendLoad(
            tuple(body.get("models", ())),
            int(body.get("slots", 1)),
            int(body.get("boot", 0)),
        )

    def _header_reader(self) -> "_HeadReader":
        """Return a callback for the header lines of a response that is about to be requested."""
        sent_at = asyncio.get_running_loop().time()
        return _HeadReader(lambda statement: self.on_statement(statement, sent_at))

    async def _control(
        self, method: str, path: str, body: Any, timeout: float = CONTROL_TIMEOUT
    ) -> Any:
        request = HTTPRequest(
            self.base_url + path,
            method=method,
            body=None if body is None else json.dumps(body),
            request_timeout=timeout,
        )
        try:
            response = await fetch_response(self.client, request)
            response.rethrow()
            return json.loads(response.body)
        except Exception:
            return None


class _HeadReader:
    """Finds what a backend server says of itself in the header lines of a response.

    :param on_end: called with it at the end of the head
    """

    __slots__ = ("on_end", "statement", "status")

    def __init__(self, on_end: Callable[[ServerStatement], None]) -> None:
        self.on_end = on_end
        self.statement = ServerStatement()
        self.status = ""

    def __call__(self, line: str) -> None:
        """Process one line, the status line and the empty one included."""
        if line.startswith("HTTP/"):
            self.status = line.split()[1] if len(line.split()) > 1 else ""
        name, _, value = line.partition(":")
        self._read_field(name.lower(), value.strip())
        if not line.strip():
            self.on_end(self.statement)

    def read_head(self, head: ResponseHead) -> None:
        """Process a whole head."""
        self.status = str(head.status)
        for name, value in head.headers:
            self._read_field(name, value)
        self.on_end(self.statement)

    def _read_field(self, name: str, value: str) -> None:
        if name == LIMIT_HEADER:
            self.statement.limit = parse_limit(value)
        elif name == LEAVING_HEADER:
            self.statement.is_leaving = value == "1"
        elif name == QUIET_HEADER and self.status == QUIET_STATUS:
            self.statement.quiet_time = read_quiet_time(value)


backend_types: dict[str, Callable[[Address], Backend]] = {}


def register_backend(kind: str) -> Callable[[type[Backend]], type[Backend]]:
    """Register a client class for a kind of backend server."""

    def register(cls: type[Backend]) -> type[Backend]:
        backend_types[kind] = cls
        return cls

    return register


@register_backend("engine")
class EngineBackend(Backend):
    """Client of a model engine that streams completions as server-sent events."""

    __slots__ = ()

    async def run(self, dispatch: Dispatch, sink: ResponseSink) -> RunResult:
        """Run one attempt."""
        stream = _CompletionStream(dispatch.attempt, sink)
        request = HTTPRequest(
            self.base_url + dispatch.path,
            method=dispatch.method,
            body=dispatch.body,
            headers={"Content-Type": "application/json"},
            request_timeout=dispatch.deadline,
            streaming_callback=stream.feed,
            header_callback=self._header_reader(),
            prepare_curl_callback=use_new_connection,
        )
        try:
            response = await fetch_response(self.client, request)
        except Exception as error:
            await self.cancel(dispatch.attempt)
            return _failed_result(error)
        if response.code != 200:
            return RunNotStarted(f"engine refused with HTTP {response.code} {response.reason}")
        return stream.result()

    async def cancel(self, attempt: str) -> None:
        """Cancel an attempt; its stream then ends with the usage up to that point."""
        await self._control("POST", "/cancel", {"request_id": attempt})

    async def order(self, number: int, kind: str, model: str) -> bool:
        """Execute an order."""
        body = {"order": kind, "model": model, "fencing": number}
        return await self._control("POST", "/orders", body, ORDER_TIMEOUT) is not None


class _CompletionStream:
    """Incremental parser of a stream of completion events."""

    __slots__ = ("attempt", "sink", "buffer", "finish", "usage", "stream_error", "chunk_count")

    def __init__(self, attempt: str, sink: ResponseSink) -> None:
        self.attempt = attempt
        self.sink = sink
        self.buffer = EventBuffer()
        self.finish = ""
        self.usage: dict[str, int] = {}
        self.stream_error = ""
        self.chunk_count = 0

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the stream."""
        for event in () if self.stream_error else self.buffer.feed(data):
            text = event.strip().removeprefix(b"data: ")
            if text == b"[DONE]" or self.stream_error:
                continue
            try:
                self._on_event(json.loads(text))
            except (ValueError, KeyError, IndexError, TypeError, RecursionError) as error:
                self.stream_error = f"engine sent a malformed event: {error!r}"
        if len(self.buffer) > MAX_EVENT_BYTES:
            self.stream_error = f"engine sent an event of more than {MAX_EVENT_BYTES} bytes"
            self.buffer.clear()

    def result(self) -> RunResult:
        """Return the result of the attempt after the end of the stream."""
        if self.stream_error:
            return RunInterrupted(self.stream_error)
        if self.buffer.pending.strip():
            return RunInterrupted("engine ended the stream within an event")
        if not self.finish:
            return RunInterrupted("engine ended the stream without a finish reason")
        prompt = int(self.usage.get("prompt_tokens", 0))
        completion = int(self.usage.get("completion_tokens", self.chunk_count))
        return RunCompleted(200, "text/event-stream", self.finish, prompt, completion)

    def _on_event(self, event: dict[str, Any]) -> None:
        if event["id"] != self.attempt:
            self.stream_error = f"engine answered for {event['id']!r}"
            return
        choice = event["choices"][0]
        text = choice["delta"].get("content") or ""
        if text:
            if self.chunk_count == 0:
                self.sink.started(200, "text/event-stream")
            self.chunk_count += 1
            self.sink.data(text.encode())
        self.finish = choice.get("finish_reason") or self.finish
        self.usage = event.get("usage") or self.usage


@register_backend("service")
class ServiceBackend(Backend):
    """Client of a plain service that sends each response as a whole.

    :param connections: opens the connection of each attempt
    """

    __slots__ = ("address", "connections")

    def __init__(self, address: Address) -> None:
        super().__init__(address)
        self.address = address
        self.connections = ConnectionPool()

    async def run(self, dispatch: Dispatch, sink: ResponseSink) -> RunResult:
        """Run one attempt."""
        try:
            connection = await self.connections.open("", self.address, CONNECT_TIMEOUT)
        except ConnectError as error:
            return RunNotStarted(str(error))
        try:
            async with asyncio.timeout(dispatch.deadline):
                return await self._exchange(connection, dispatch, sink)
        except (ResponseError, TimeoutError) as error:
            return RunInterrupted(str(error) or "no response in time")
        finally:
            connection.abort()

    async def _exchange(
        self, connection: BackendConnection, dispatch: Dispatch, sink: ResponseSink
    ) -> RunResult:
        """Send the request and read the whole response.

        :raises ResponseError: if it is incomplete, malformed or too long
        """
        read_statement = self._header_reader()
        body = dispatch.body if dispatch.method in METHODS_WITH_BODY else b""
        connection.send(dispatch.method, dispatch.path, self._headers(dispatch, body), body)
        head = await connection.read_head()
        read_statement.read_head(head)
        content = BodyBuffer()
        while chunk := await connection.read_body():
            content.append(chunk)
            if len(content) > MAX_BODY_BYTES:
                raise ResponseError(f"the answer has more than {MAX_BODY_BYTES} bytes")
        content_type = head.get("content-type") or "application/octet-stream"
        sink.started(head.status, content_type)
        if content:
            sink.data(content.take())
        return RunCompleted(head.status, content_type, "stop", 0, 0)

    def _headers(self, dispatch: Dispatch, body: bytes) -> list[tuple[str, str]]:
        headers = [
            ("Host", str(self.address)),
            ("Idempotency-Key", dispatch.key),
            ("X-Request-Id", dispatch.request),
            ("Connection", "close"),
        ]
        if dispatch.method in METHODS_WITH_BODY:
            headers.append(("Content-Length", str(len(body))))
        return headers


def _failed_result(error: Exception) -> RunResult:
    http_error = describe_error(error)
    if isinstance(error, asyncio.CancelledError) or http_error.possibly_sent:
        return RunInterrupted(http_error.detail)
    return RunNotStarted(http_error.detail)
