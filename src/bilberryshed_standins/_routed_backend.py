"""Stand-in for a backend server of the users' platform, with scripted faults in its bytes.

Each request takes the next fault of the script, or none: ``full`` says not run; ``other`` is
another backend server; ``cut N`` breaks off after N events or in mid-body; ``reset`` closes before
any answer; ``extra`` sends a second answer after the first; ``unsigned`` leaves the signature out;
``garbage`` sends bytes that are no answer; ``unframed`` has no length; ``error`` is a signed 500;
``hang`` is silent; ``early`` answers before it has read the body; ``foreign`` sends another
request's answer first.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field

import h11

EVENTS = 5  # events of a whole stream
PIECE = 65_536  # bytes
TORN = 12  # bytes of an event that is cut


@dataclass(slots=True)
class Seen:
    """A request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class RoutedBackend:
    """A backend server.

    :param script: faults of the requests to come
    :param ran: ids of requests that it ran, in order
    :param delay: seconds between events
    """

    id: str
    streams: bool = True
    script: deque[str] = field(default_factory=deque)
    seen: list[Seen] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    left: list[str] = field(default_factory=list)
    delay: float = 0.0
    server: asyncio.Server | None = None
    tasks: set["asyncio.Task[None] | None"] = field(default_factory=set)
    address: str = ""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, host, port)
        number = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{number}"

    def stop(self) -> None:
        """Stop listening and close all channels."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            if task is not None:
                task.cancel()

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
                framing.receive_data(await reader.read(PIECE))
            elif isinstance(event, h11.Request):
                request = event
                fault = self.script.popleft() if self.script else ""
                if fault == "early":
                    break
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        assert request is not None
        headers = {k.decode(): v.decode() for k, v in request.headers}
        seen = Seen(request.method.decode(), request.target.decode(), headers, body)
        self.seen.append(seen)
        return await self._answer(seen, fault, reader, writer)

    async def _answer(
        self, seen: Seen, fault: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        id_ = seen.headers.get("x-attempt-id", "")
        if fault == "full":
            writer.write(_head(503, id_, "X-Not-Executed: 1\r\nContent-Length: 0"))
            return True
        if fault == "other" or seen.headers.get("x-target-instance", self.id) != self.id:
            writer.write(_head(421, id_, "X-Instance-Id: i-other\r\nContent-Length: 0"))
            return True
        if fault != "early":
            self.ran.append(id_)
        if fault == "reset":
            writer.transport.abort()
            return False
        if fault == "garbage":
            writer.write(b"\x00\x01 this is no answer\r\n\r\n")
            return False
        if fault == "hang":
            await asyncio.sleep(60)
        if fault == "foreign":
            writer.write(_whole("0000000000000000", b"another request's answer"))
        if self.streams and fault not in ("error", "early"):
            return await self._stream(seen, fault, reader, writer)
        return self._plain(id_, fault, writer)

    def _plain(self, id_: str, fault: str, writer: asyncio.StreamWriter) -> bool:
        body = f"answer to {id_}".encode()
        if fault == "error":
            writer.write(_whole(id_, body, 500))
        elif fault == "early":
            writer.write(_whole(id_, b"too long", 413))
            return False
        elif fault == "unsigned":
            writer.write(_head(200, id_, f"Content-Length: {len(body)}", signed=False) + body)
        elif fault == "unframed":
            writer.write(_head(200, id_, "Connection: close") + body)
            return False
        elif fault.startswith("cut"):
            writer.write(_head(200, id_, f"Content-Length: {len(body)}") + body[:5])
            return False
        else:
            writer.write(_whole(id_, body))
            if fault == "extra":
                writer.write(_whole("ffffffffffffffff", b"a second answer"))
        return True

    async def _stream(
        self, seen: Seen, fault: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        id_ = seen.headers.get("x-attempt-id", "")
        kind, _, count = fault.partition(" ")
        first = int(seen.headers.get("last-event-id", "0")) + 1
        last = first + int(count or 0) - 1 if kind == "cut" else EVENTS
        framing = "Connection: close" if kind == "unframed" else "Transfer-Encoding: chunked"
        head = "Content-Type: text/event-stream\r\n" + framing
        writer.write(_head(200, id_, head, signed=kind != "unsigned"))
        for number in range(first, min(last, EVENTS) + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(event if kind == "unframed" else _chunk(event))
            await writer.drain()
            if self.delay:
                await self._pause(id_, reader)
        if kind == "cut":
            writer.write(_chunk(f"id: {last + 1}\ndata: piece".encode()[:TORN]))
            await writer.drain()
            return False
        if kind != "unframed":
            writer.write(b"0\r\n\r\n")
        return kind != "unframed"

    async def _pause(self, id_: str, reader: asyncio.StreamReader) -> None:
        await asyncio.sleep(self.delay)
        if reader.at_eof():
            self.left.append(id_)
            raise ConnectionResetError("the caller has left")


def _head(status: int, id_: str, fields: str, signed: bool = True) -> bytes:
    signature = f"X-Response-Signature: sig-{id_}\r\n" if signed else ""
    text = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {id_}\r\n{signature}{fields}\r\n\r\n"
    return text.encode()


def _whole(id_: str, body: bytes, status: int = 200) -> bytes:
    return _head(status, id_, f"Content-Length: {len(body)}") + body


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)
