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
MAX_HEADER = 65_536  # bytes of an answer's headers
DEFAULT_IDLE = 4.0  # seconds that a channel is kept if the backend server states no timeout
IDLE_MARGIN = 1.0  # seconds before the stated timeout at which a channel is no longer used
MAX_IDLE = 32  # idle channels to one backend server
USER_TIMEOUT = 4_000  # milliseconds after which unacknowledged bytes break a channel

HeaderList = list[tuple[str, str]]


class ChannelRefusedError(Exception):
    """No channel could be opened: nothing was sent."""


class BrokenAnswerError(Exception):
    """The answer broke off or is not one; the request may have run."""


@dataclass(slots=True, frozen=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    headers: HeaderList

    def get(self, name: str) -> str:
        """Return the first header of a name in lower case, empty if there is none."""
        return next((value for key, value in self.headers if key == name), "")


class Channel:
    """One open channel.

    :param key: what the pool keeps it under
    """

    __slots__ = (
        "key",
        "stream",
        "framing",
        "pending",
        "request",
        "idle_since",
        "idle_limit",
        "ended",
    )

    def __init__(self, key: str, stream: IOStream) -> None:
        self.key = key
        self.stream = stream
        self.framing = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER)
        self.pending = self._read()
        self.request: h11.Request | None = None
        self.ended = False
        self.idle_since = 0.0
        self.idle_limit = DEFAULT_IDLE

    def send(self, method: str, target: str, headers: HeaderList, body: bytes) -> None:
        """Queue a request; an answer may be read before all of it has been sent.

        :raises BrokenAnswerError: if the channel is closed
        """
        self.request = h11.Request(method=method, target=target, headers=headers)
        data = self._frame(self.request, body)
        try:
            self.stream.write(data).add_done_callback(_consume)
        except StreamClosedError as error:
            raise BrokenAnswerError("the channel is closed") from error

    def _frame(self, request: h11.Request, body: bytes) -> bytes:
        data = self.framing.send(request) or b""
        if body:
            data += self.framing.send(h11.Data(data=body)) or b""
        return data + (self.framing.send(h11.EndOfMessage()) or b"")

    async def read_head(self) -> AnswerHead:
        """Read the head of the next answer.

        :raises BrokenAnswerError: if there is none
        """
        while True:
            event = await self._next()
            if isinstance(event, h11.Response):
                headers = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers]
                return AnswerHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError("the channel ended before an answer")

    async def read_body(self) -> bytes:
        """Read the next piece of the body, empty at its end.

        :raises BrokenAnswerError: if the body broke off
        """
        while True:
            event = await self._next()
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return b""
            else:
                raise BrokenAnswerError("the channel ended within an answer")

    async def skip_answer(self) -> None:
        """Read past an answer that belongs to another request, up to its own request's answer.

        :raises BrokenAnswerError: if the channel cannot carry another answer
        """
        while await self.read_body():
            pass
        rest, closed = self.framing.trailing_data
        if closed or self.request is None:
            raise BrokenAnswerError("the channel ended after another request's answer")
        self.framing = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER)
        self._frame(_without_body(self.request), b"")
        if rest:
            self.framing.receive_data(rest)

    def finish(self, closes: bool) -> bool:
        """Prepare for the next request after a whole answer.

        :param closes: whether either side said that the channel closes
        :returns: whether the channel can carry another request
        """
        trailing = self.framing.trailing_data != (b"", False)
        if closes or trailing or self.stream.writing() or self.stream.closed():
            return False
        try:
            self.framing.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    def is_usable(self) -> bool:
        """Whether nothing has arrived on the idle channel and it is open."""
        return not self.pending.done() and not self.stream.closed()

    def abort(self) -> None:
        """Close the channel at once."""
        self.stream.close()

    async def _next(self) -> object:
        while True:
            try:
                event = self.framing.next_event()
            except h11.RemoteProtocolError as error:
                cause = "the channel was closed within the answer" if self.ended else str(error)
                raise BrokenAnswerError(cause) from error
            if event is not h11.NEED_DATA:
                return event
            self.framing.receive_data(await self._take())

    async def _take(self) -> bytes:
        """Return the bytes that came next, empty at an orderly end."""
        try:
            data = await asyncio.shield(self.pending)
        except StreamClosedError as error:
            if error.real_error is not None:
                raise BrokenAnswerError(f"the channel was reset: {error.real_error}") from error
            self.ended = True
            return b""
        self.pending = self._read()
        return data

    def _read(self) -> "asyncio.Future[bytes]":
        future = asyncio.ensure_future(self._read_once())
        future.add_done_callback(_consume)
        return future

    async def _read_once(self) -> bytes:
        return await self.stream.read_bytes(READ_SIZE, partial=True)


class ChannelPool:
    """Idle channels by key."""

    __slots__ = ("idle",)

    def __init__(self) -> None:
        self.idle: dict[str, deque[Channel]] = {}

    def take(self, key: str, now: float, most_idle: float = 1.0) -> Channel | None:
        """Return an idle channel, the one used last first.

        :param most_idle: part of its idle limit for which it may have been idle
        """
        waiting = self.idle.get(key)
        while waiting:
            channel = waiting.pop()
            if channel.is_usable() and now - channel.idle_since < channel.idle_limit * most_idle:
                return channel
            channel.abort()
        return None

    async def open(self, key: str, address: Address, timeout: float) -> Channel:
        """Open a new channel.

        :param timeout: seconds
        :raises ChannelRefusedError: if that is not possible
        """
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT)
        stream = IOStream(raw)
        try:
            async with asyncio.timeout(timeout):
                await stream.connect((address.host, address.port))
        except (TimeoutError, OSError, StreamClosedError) as error:
            stream.close()
            raise ChannelRefusedError(str(error) or "timed out") from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return Channel(key, stream)

    def put_back(self, channel: Channel, now: float, stated_idle: float | None) -> None:
        """Keep a channel for the next request.

        :param stated_idle: idle timeout that the backend server stated, in seconds
        """
        channel.idle_since = now
        if stated_idle is not None:
            channel.idle_limit = max(0.0, stated_idle - IDLE_MARGIN)
        waiting = self.idle.setdefault(channel.key, deque())
        waiting.append(channel)
        if len(waiting) > MAX_IDLE:
            waiting.popleft().abort()

    def drop(self, key: str) -> None:
        """Close the idle channels of a backend server that has left."""
        for channel in self.idle.pop(key, ()):
            channel.abort()

    def prune(self, now: float) -> None:
        """Close channels that have been idle too long or were closed by the other side."""
        for key, waiting in list(self.idle.items()):
            kept = deque(c for c in waiting if c.is_usable() and now - c.idle_since < c.idle_limit)
            for channel in waiting:
                if channel not in kept:
                    channel.abort()
            if kept:
                self.idle[key] = kept
            else:
                del self.idle[key]


def _without_body(request: h11.Request) -> h11.Request:
    """Return a request that leaves the framing where the sent one did, without its body."""
    headers = [(k, v) for k, v in request.headers if k != b"content-length"]
    return h11.Request(method=request.method, target=request.target, headers=headers)


def _consume(future: "asyncio.Future[Any]") -> None:
    """Mark the outcome of a read or write as seen; the next read reports a closed channel."""
    if not future.cancelled():
        future.exception()
