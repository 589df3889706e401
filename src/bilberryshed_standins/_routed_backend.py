"""Stand-in for a backend server of the users' platform, with scripted faults in its responses.

Each request consumes the next fault of the script, if there is one. ``full`` responds that the
request was not executed; ``other`` responds as another backend server; ``cut N`` closes the
connection after N events and a part of the next, or within the body; ``reset`` aborts it before any
response; ``extra`` sends a second response after the first, unless that is a stream; ``unsigned``
omits the signature; ``garbage`` sends bytes that are not HTTP; ``unframed`` sends a body without
length or chunks, which ends with its connection, ``unframed cut N`` after N events and a part of
the next; ``unframed reset`` resets the connection within the body; ``error`` is a signed 500;
``hang`` delays the response by a minute, ``slow SECONDS`` by some time (``slow SECONDS error``
for a signed 500); ``pause SECONDS`` pauses
once in the middle of a stream, ``pause SECONDS cut`` then closes the connection;
``empty`` is a 200 of length 0, ``no events`` a stream that ends well without any;
``error text N`` sends the text of a whole error response as a piece of the stream after N events;
``half head`` closes, and ``half head reset`` resets, the connection in the middle of a 200's head;
``status N`` is a signed answer with any status; ``interim N`` sends
N interim responses (1xx) before the answer;
``early`` responds before it has read the body; ``early part FRAMING END`` sends a part of a 200
then, with a ``length``, in ``chunks`` or with ``neither``, and ends the connection: ``reset``,
``close``, or ``shut``, which ends its own direction and reads no further;
``shed SECONDS`` is a rejection with Retry-After; ``foreign`` sends the response of another request
first; ``unnamed full`` is a rejection that names no request (``twice`` for a copy), and ``stray``
sends such a one before the response;
``full cut`` is ``full`` with a body that breaks off; ``trickle`` sends a byte of the second event
now and then; ``endless PART`` sends a status, head, size (of a chunk), body, event, pieces (small
chunks of a body) or interim responses (1xx) without end, or a large body of a 500 (``failure``).

Independently of the script, a prompt with the crashing part crashes the server once it has begun
the answer: all connections are reset, and the server is back after its restart time as a new
incarnation. A server with a limit names it in all its responses, and goes on to serve all requests.
"""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

EVENTS = 5  # events of a complete stream
READ_SIZE = 65_536  # bytes, at most, in one read
TRICKLE_INTERVAL = 0.1  # seconds between the bytes of a stalled stream
ENDLESS_BLOCK = b"7" * 65_536  # repeated until the client closes the connection
UNNAMED_REJECTION = b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
ENDLESS_PIECES = b"8\r\nabcdefgh\r\n" * 5_000
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
ENDLESS_INTERIM = INTERIM * 2_000
LARGE_BODY = 7_500_000  # bytes of a response that is not without end, but large
ENDLESS_LIMIT = 64_000_000  # bytes of one response after which the stand-in gives up
ERROR_TEXT = b"HTTP/1.1 500 X\r\nContent-Length: 5\r\nX-Attempt-Id: 7\r\n\r\noops\n\n"
EARLY_PART = b"part of an answer"
EARLY_TIME = 0.02  # seconds from a part of an early answer to the reset
SHUT_TIME = 1.0  # seconds for which a connection stays open after its server's direction has ended
PARTIAL_EVENT_BYTES = 12  # bytes sent of an event at which a stream is cut
BEGIN_TIME = 0.03  # seconds from the head of an answer to the crash that its prompt causes


@dataclass(slots=True)
class ReceivedRequest:
    """A request as the server received it.

    :param at: monotonic time in seconds
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = 0.0

    @property
    def shared_parts(self) -> list[str]:
        """Ids of the prompt's parts but the last."""
        listed = self.headers.get("x-prompt-prefix", "").split(",")
        return [part.strip().partition(":")[0] for part in listed[:-1]]


@dataclass(slots=True)
class RoutedBackend:
    """A backend server.

    :param script: faults of the next requests
    :param executed: ids of requests that it executed, in order
    :param disconnected: ids of requests whose client disconnected during the stream
    :param events: events of a complete stream
    :param delay: seconds between events
    :param endless_bytes: bytes sent of responses without end
    :param crashing_part: id of the part of a prompt that crashes the server, empty for none
    :param crash_after: events of such a prompt's answer that are sent before the crash
    :param restart_time: seconds for which the server is away after a crash
    :param on_restart: called when the server is back
    :param crashes: monotonic times of the crashes, in seconds
    :param says: header lines with what it says of itself in all its responses, without line ends
    :param limit: requests a second that it names as its limit, ``None`` for none
    :param software: version of its software, which its events name if it is not empty
    """

    id: str
    is_streaming: bool = True
    script: deque[str] = field(default_factory=deque)
    received: list[ReceivedRequest] = field(default_factory=list)
    executed: list[str] = field(default_factory=list)
    disconnected: list[str] = field(default_factory=list)
    events: int = EVENTS
    delay: float = 0.0
    endless_bytes: int = 0
    crashing_part: str = ""
    crash_after: int = 0
    restart_time: float = 1.0
    on_restart: Callable[[], None] = lambda: None
    crashes: list[float] = field(default_factory=list)
    says: str = ""
    limit: float | None = None
    software: str = ""
    server: asyncio.Server | None = None
    tasks: set["asyncio.Task[None] | None"] = field(default_factory=set)
    address: str = ""

    def _write(self, writer: asyncio.StreamWriter, response: bytes) -> None:
        """Write a response, with what the server says of itself in its head."""
        said = f"{self.says}\r\n".encode() if self.says else b""
        status, line_end, rest = response.partition(b"\r\n")
        writer.write(status + line_end + said + rest)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start listening; port 0 selects a free port."""
        self.server = await asyncio.start_server(self._serve, host, port)
        number = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{number}"

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            if task is not None:
                task.cancel()

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections, so that it has not crashed."""
        return self.server is not None and self.server.is_serving()

    def crash(self) -> None:
        """Reset all connections, and start again after the restart time.

        :raises ConnectionResetError: always, which ends the task of the calling connection
        """
        loop = asyncio.get_running_loop()
        self.crashes.append(loop.time())
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in self.tasks:
            if task is not None and task is not asyncio.current_task():
                task.cancel()
        loop.call_later(self.restart_time, self._restart)
        raise ConnectionResetError("the server crashed")

    def _restart(self) -> None:
        host, _, port = self.address.partition(":")
        starting = asyncio.ensure_future(self.start(host, int(port)))
        starting.add_done_callback(lambda done: self.on_restart())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.CancelledError, h11.RemoteProtocolError):
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        framing = h11.Connection(h11.SERVER)
        request: h11.Request | None = None
        body = b""
        fault = ""
        while True:
            event = framing.next_event()
            if event is h11.NEED_DATA:
                framing.receive_data(await reader.read(READ_SIZE))
            elif isinstance(event, h11.Request):
                request = event
                fault = self.script.popleft() if self.script else ""
                if fault.startswith("early"):
                    break
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        assert request is not None
        headers = {k.decode(): v.decode() for k, v in request.headers}
        received = ReceivedRequest(
            request.method.decode(),
            request.target.decode(),
            headers,
            body,
            asyncio.get_running_loop().time(),
        )
        self.received.append(received)
        return await self._respond(received, fault, reader, writer)

    async def _respond(
        self,
        received: ReceivedRequest,
        fault: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        id_ = received.headers.get("x-attempt-id", "")
        if fault == "full":
            fields = "X-Not-Executed: 1\r\nContent-Length: 0"
            self._write(writer, _response_head(503, id_, fields, limit=self.limit))
            return True
        if fault.startswith("shed "):
            seconds = fault.removeprefix("shed ")
            fields = f"X-Not-Executed: 1\r\nRetry-After: {seconds}\r\nContent-Length: 0"
            self._write(writer, _response_head(503, id_, fields, limit=self.limit))
            return True
        if fault.startswith("unnamed full"):
            writer.write(UNNAMED_REJECTION * (2 if fault.endswith("twice") else 1))
            return True
        if fault == "stray":
            writer.write(UNNAMED_REJECTION)
        if fault == "full cut":
            writer.write(_response_head(503, id_, "X-Not-Executed: 1\r\nContent-Length: 9") + b"fu")
            return False
        if fault == "other" or received.headers.get("x-target-instance", self.id) != self.id:
            writer.write(_response_head(421, id_, "X-Instance-Id: i-other\r\nContent-Length: 0"))
            return True
        if fault != "early":
            self.executed.append(id_)
        if fault == "reset":
            writer.transport.abort()
            return False
        if fault.startswith("early part"):
            return await self._send_early_part(id_, fault, writer)
        if fault.startswith("endless"):
            return await self._send_endless(id_, fault.removeprefix("endless "), writer)
        if fault == "garbage":
            writer.write(b"\x00\x01 this is no answer\r\n\r\n")
            return False
        if fault.startswith("status "):
            head = _response_head(200, id_, "Content-Length: 0")
            writer.write(head.replace(b"200", fault.removeprefix("status ").encode(), 1))
            return True
        if fault.startswith("interim "):
            writer.write(INTERIM * int(fault.removeprefix("interim ")))
        if fault == "hang":
            await asyncio.sleep(60)
        if fault.startswith("slow "):
            await asyncio.sleep(float(fault.split()[1]))
            fault = "error" if fault.endswith("error") else fault
        if fault.startswith("half head"):
            head = _response_head(200, id_, "Content-Length: 10")
            writer.write(head[: len(head) // 2])
            await writer.drain()
            if fault.endswith("reset"):
                reset(writer)
            return False
        if fault == "empty":
            self._write(writer, _complete_response(id_, b""))
            return True
        if fault == "foreign":
            writer.write(_complete_response("0000000000000000", b"another request's answer"))
        if self.is_streaming and fault not in ("error", "early"):
            return await self._send_stream(received, fault, reader, writer)
        return self._send_plain(id_, fault, writer)

    async def _send_early_part(self, id_: str, fault: str, writer: asyncio.StreamWriter) -> bool:
        """Send a part of an answer while the request still comes, and end the connection."""
        framing, end = fault.removeprefix("early part ").split(" ")
        fields = {
            "length": "Content-Length: 1000",
            "chunks": "Transfer-Encoding: chunked",
            "neither": "Connection: close",
        }
        part = _chunk(EARLY_PART) if framing == "chunks" else EARLY_PART
        raw: socket.socket = writer.get_extra_info("socket")
        writer.write(_response_head(200, id_, fields[framing]) + part)
        await writer.drain()
        if end == "reset":
            await asyncio.sleep(EARLY_TIME)
            reset(writer)
        elif end == "shut":
            raw.shutdown(socket.SHUT_WR)
            await asyncio.sleep(SHUT_TIME)
        return False

    async def _send_endless(self, id_: str, part: str, writer: asyncio.StreamWriter) -> bool:
        """Send a response without end in one of its parts until the client closes."""
        if part == "failure":
            self.endless_bytes += LARGE_BODY
            self._write(writer, _complete_response(id_, b"7" * LARGE_BODY, 500))
            await writer.drain()
            return True
        starts = {
            "status": b"HTTP/1.1 200 ",
            "head": b"HTTP/1.1 200 X\r\nX-Padding: ",
            "size": _response_head(200, id_, "Transfer-Encoding: chunked"),
            "body": _response_head(200, id_, "Connection: close"),
            "event": _response_head(200, id_, "Content-Type: text/event-stream"),
            "pieces": _response_head(200, id_, "Transfer-Encoding: chunked"),
            "interim": b"",
        }
        blocks = {"pieces": ENDLESS_PIECES, "interim": ENDLESS_INTERIM}
        block = blocks.get(part, ENDLESS_BLOCK)
        writer.write(starts[part])
        for _ in range(ENDLESS_LIMIT // len(block)):
            writer.write(block)
            self.endless_bytes += len(block)
            await writer.drain()
        return False

    def _send_plain(self, id_: str, fault: str, writer: asyncio.StreamWriter) -> bool:
        body = f"answer to {id_}".encode()
        if fault == "error":
            self._write(writer, _complete_response(id_, body, 500, self.limit))
        elif fault == "early":
            writer.write(_complete_response(id_, b"too long", 413))
            return False
        elif fault == "unsigned":
            writer.write(
                _response_head(200, id_, f"Content-Length: {len(body)}", signed=False) + body
            )
        elif fault.startswith("unframed"):
            sent = body[:5] if fault.endswith("reset") else body
            writer.write(_response_head(200, id_, "Connection: close") + sent)
            if fault.endswith("reset"):
                reset(writer)
            return False
        elif fault.startswith("cut"):
            writer.write(_response_head(200, id_, f"Content-Length: {len(body)}") + body[:5])
            return False
        else:
            self._write(writer, _complete_response(id_, body, limit=self.limit))
            if fault == "extra":
                writer.write(_complete_response("ffffffffffffffff", b"a second answer"))
        return True

    async def _send_stream(
        self,
        received: ReceivedRequest,
        fault: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        id_ = received.headers.get("x-attempt-id", "")
        is_framed = not fault.startswith("unframed")
        kind, _, count = fault.removeprefix("unframed ").partition(" ")
        first = int(received.headers.get("last-event-id", "0")) + 1
        last = first + int(count) - 1 if kind == "cut" else self.events
        if kind == "no":
            first = self.events + 1
        if kind == "error":
            last = first + int(count.split()[-1]) - 1
        will_crash = self.crashing_part in received.shared_parts
        if will_crash:
            last = first + self.crash_after - 1
        framing = "Transfer-Encoding: chunked" if is_framed else "Connection: close"
        head = "Content-Type: text/event-stream\r\n" + framing
        self._write(writer, _response_head(200, id_, head, kind != "unsigned", self.limit))
        for number in range(first, min(last, self.events) + 1):
            source = f" of {self.software}" if self.software else ""
            event = f"id: {number}\ndata: piece {number}{source}\n\n".encode()
            writer.write(_chunk(event) if is_framed else event)
            await writer.drain()
            if self.delay:
                await self._wait_between_events(id_, reader)
            if kind == "pause" and number == self.events // 2:
                await asyncio.sleep(float(count.split()[0]))
                if count.endswith("cut"):
                    return False
            if kind == "trickle":
                await self._trickle(id_, number + 1, reader, writer)
        if will_crash:
            await asyncio.sleep(BEGIN_TIME)
            self.crash()
        if kind == "error":
            writer.write(_chunk(ERROR_TEXT))
        if kind == "cut":
            partial = f"id: {last + 1}\ndata: piece".encode()[:PARTIAL_EVENT_BYTES]
            writer.write(_chunk(partial) if is_framed else partial)
            await writer.drain()
            return False
        if is_framed:
            writer.write(b"0\r\n\r\n")
        return is_framed

    async def _trickle(
        self, id_: str, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send a byte now and then of an event that never ends."""
        writer.write(_chunk(f"id: {number}\ndata: ".encode()))
        while not reader.at_eof():
            writer.write(_chunk(b"."))
            await asyncio.sleep(TRICKLE_INTERVAL)
        self.disconnected.append(id_)
        raise ConnectionResetError("the client disconnected")

    async def _wait_between_events(self, id_: str, reader: asyncio.StreamReader) -> None:
        await asyncio.sleep(self.delay)
        if reader.at_eof():
            self.disconnected.append(id_)
            raise ConnectionResetError("the client disconnected")


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, not with an orderly end of its data."""
    raw: socket.socket = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _response_head(
    status: int, id_: str, fields: str, signed: bool = True, limit: float | None = None
) -> bytes:
    signature = f"X-Response-Signature: sig-{id_}\r\n" if signed else ""
    named = f"Server-Limit: {limit}\r\n" if limit is not None else ""
    text = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {id_}\r\n{signature}{named}{fields}\r\n\r\n"
    return text.encode()


def _complete_response(
    id_: str, body: bytes, status: int = 200, limit: float | None = None
) -> bytes:
    return _response_head(status, id_, f"Content-Length: {len(body)}", limit=limit) + body


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)
