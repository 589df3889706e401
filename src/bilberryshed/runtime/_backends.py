"""Execution of attempts on the agent's backend server.

A :class:`Backend` class is registered for each kind of backend server. It reports the response
through a :class:`ResponseSink` and returns exactly one of :class:`RunCompleted`,
:class:`RunNotStarted` and :class:`RunInterrupted`. Each attempt has a connection of its own: not
all responses name their request, and a faulty backend server may send an earlier one again.

Time limits of a backend server are measured in responsive time: after a pause of the agent, what
the backend server sent in time may still lie in the agent's sockets.
"""

import json
import math
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

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
    TimerService,
    read_quiet_time,
)

LIMIT_HEADER = "server-limit"  # requests per second that the backend server takes
LEAVING_HEADER = "server-leaving"  # "1" if the backend server leaves
QUIET_HEADER = "retry-after"  # seconds for which it wants no requests, with QUIET_STATUS
QUIET_STATUS = 503
ORDER_TIMEOUT = 100.0  # seconds; includes the time to load a model
MAX_EVENT_BYTES = 1_000_000  # bytes of one event of a stream
MAX_BODY_BYTES = 8_000_000  # bytes of a plain service's response, or one to a control request
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

    :param timers: measures the time limits of the backend server
    :param connections: opens the connection of each request
    :param on_statement: called for each response to an attempt, with what it says of the backend
        server, and the monotonic time at which its request was sent
    """

    __slots__ = ("address", "timers", "connections", "on_statement")

    def __init__(self, address: Address, timers: TimerService | None = None) -> None:
        self.address = address
        self.timers = timers or TimerService()
        self.connections = ConnectionPool()
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

    @asynccontextmanager
    async def _connection(self) -> AsyncIterator[BackendConnection]:
        """Open a connection, and close it at the end.

        :raises ConnectError: if it cannot be opened in time
        """
        try:
            async with self.timers.timeout(CONNECT_TIMEOUT):
                connection = await self.connections.open("", self.address, math.inf)
        except TimeoutError as error:
            raise ConnectError("timed out") from error
        try:
            yield connection
        finally:
            connection.abort()

    def _head_reader(self) -> "_HeadReader":
        """Return a callback for the head of a response that is about to be requested."""
        sent_at = self.timers.now()
        return _HeadReader(lambda statement: self.on_statement(statement, sent_at))

    async def _control(
        self, method: str, path: str, body: Any, timeout: float = CONTROL_TIMEOUT
    ) -> Any:
        """Send a control request and return its response, ``None`` if it fails."""
        content = b"" if body is None else json.dumps(body).encode()
        try:
            async with self.timers.timeout(timeout), self._connection() as connection:
                connection.send(method, path, self._headers(method, content), content)
                head = await connection.read_head()
                response = await _read_whole(connection)
            return json.loads(response) if 200 <= head.status < 300 else None
        except (ConnectError, ResponseError, TimeoutError, ValueError, RecursionError):
            return None

    def _headers(self, method: str, body: bytes, *others: tuple[str, str]) -> list[tuple[str, str]]:
        headers = [("Host", str(self.address)), ("Connection", "close"), *others]
        if method in METHODS_WITH_BODY:
            headers.append(("Content-Length", str(len(body))))
        return headers


async def _read_whole(connection: BackendConnection) -> bytes:
    """Return the body of a response.

    :raises ResponseError: if it is incomplete or too long
    """
    content = BodyBuffer()
    while chunk := await connection.read_body():
        content.append(chunk)
        if len(content) > MAX_BODY_BYTES:
            raise ResponseError(f"the answer has more than {MAX_BODY_BYTES} bytes")
    return content.take()


class _HeadReader:
    """Finds what a backend server says of itself in the head of a response.

    :param on_end: called with it
    """

    __slots__ = ("on_end", "statement", "status")

    def __init__(self, on_end: Callable[[ServerStatement], None]) -> None:
        self.on_end = on_end
        self.statement = ServerStatement()
        self.status = 0

    def read_head(self, head: ResponseHead) -> None:
        """Process a whole head."""
        self.status = head.status
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


backend_types: dict[str, Callable[[Address, TimerService], Backend]] = {}


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
        try:
            async with self.timers.timeout(dispatch.deadline), self._connection() as connection:
                return await self._exchange(connection, dispatch, sink)
        except ConnectError as error:
            return RunNotStarted(str(error))
        except (ResponseError, TimeoutError) as error:
            await self.cancel(dispatch.attempt)
            return RunInterrupted(str(error) or "no response in time")

    async def _exchange(
        self, connection: BackendConnection, dispatch: Dispatch, sink: ResponseSink
    ) -> RunResult:
        """Send the request and read the whole stream.

        :raises ResponseError: if it is incomplete or malformed
        """
        head_reader = self._head_reader()
        headers = self._headers(
            dispatch.method, dispatch.body, ("Content-Type", "application/json")
        )
        connection.send(dispatch.method, dispatch.path, headers, dispatch.body)
        head = await connection.read_head()
        head_reader.read_head(head)
        if head.status != 200:
            return RunNotStarted(f"engine refused with HTTP {head.status}")
        stream = _CompletionStream(dispatch.attempt, sink)
        while data := await connection.read_body():
            stream.feed(data)
            if stream.stream_error:
                raise ResponseError(stream.stream_error)
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
    """Client of a plain service that sends each response as a whole."""

    __slots__ = ()

    async def run(self, dispatch: Dispatch, sink: ResponseSink) -> RunResult:
        """Run one attempt."""
        try:
            async with self.timers.timeout(dispatch.deadline), self._connection() as connection:
                return await self._exchange(connection, dispatch, sink)
        except ConnectError as error:
            return RunNotStarted(str(error))
        except (ResponseError, TimeoutError) as error:
            return RunInterrupted(str(error) or "no response in time")

    async def _exchange(
        self, connection: BackendConnection, dispatch: Dispatch, sink: ResponseSink
    ) -> RunResult:
        """Send the request and read the whole response.

        :raises ResponseError: if it is incomplete, malformed or too long
        """
        head_reader = self._head_reader()
        body = dispatch.body if dispatch.method in METHODS_WITH_BODY else b""
        headers = self._headers(
            dispatch.method,
            body,
            ("Idempotency-Key", dispatch.key),
            ("X-Request-Id", dispatch.request),
        )
        connection.send(dispatch.method, dispatch.path, headers, body)
        head = await connection.read_head()
        head_reader.read_head(head)
        content = await _read_whole(connection)
        content_type = head.get("content-type") or "application/octet-stream"
        sink.started(head.status, content_type)
        if content:
            sink.data(content)
        return RunCompleted(head.status, content_type, "stop", 0, 0)
