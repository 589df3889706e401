"""Execution of one request, and the callers subscribed to its response."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from bilberryshed.protocol import Refusal, bill_id
from bilberryshed.state import Budget, Customer, Service


@dataclass(slots=True, frozen=True)
class Call:
    """A validated and authorized request of a caller.

    :param request: request id
    :param has_client_key: whether the caller supplied the idempotency key
    :param fingerprint: digest of method, path and body
    :param content: fingerprint of the input to the backend server, independent of the customer
    :param parts: fingerprints of all messages but the last, in order
    :param prompt: text of the messages, empty for a plain service
    :param payload: JSON fields forwarded to the model engine
    :param token_bound: maximum number of tokens that the request can use
    :param stream: whether the response is streamed while it is generated
    """

    request: str
    customer: Customer
    budget: Budget
    service: Service
    model: str
    key: str
    has_client_key: bool
    fingerprint: str
    content: str
    parts: tuple[str, ...]
    method: str
    path: str
    body: bytes
    prompt: bytes
    payload: dict[str, Any]
    max_tokens: int
    token_bound: int
    stream: bool

    @property
    def bill_id(self) -> str:
        """Bill id of this request."""
        return bill_id(self.customer.name, self.key)

    @property
    def target(self) -> str:
        """Model version or plain service that an agent must serve to run this."""
        return self.model or self.service.name


@dataclass(slots=True, frozen=True)
class Usage:
    """Token usage that is reported to the caller."""

    prompt_tokens: int
    completion_tokens: int
    finish: str


@dataclass(slots=True)
class Execution:
    """Response to one request, as received so far.

    :param chunks: verified chunks of the response body
    :param refusal: set once the request has failed without a complete response
    :param usage: set once the response is complete
    :param subscribers: callers that receive the response
    :param abandoned: set when no subscriber is left and the request has no client key
    :param change_waiters: futures that are resolved on the next change
    """

    call: Call
    created_at: float
    chunks: list[bytes] = field(default_factory=list)
    status: int = 0
    content_type: str = ""
    refusal: Refusal | None = None
    usage: Usage | None = None
    subscribers: int = 0
    abandoned: asyncio.Event = field(default_factory=asyncio.Event)
    change_waiters: list["asyncio.Future[None]"] = field(default_factory=list)

    @property
    def is_done(self) -> bool:
        """Whether the response is complete or the request has failed."""
        return self.refusal is not None or self.usage is not None

    def start_response(self, status: int, content_type: str) -> None:
        """Set the status and content type, unless part of the body has been received."""
        if not self.chunks:
            self.status, self.content_type = status, content_type

    def add(self, chunk: bytes) -> None:
        """Append a verified chunk."""
        self.chunks.append(chunk)
        self._notify()

    def complete(self, usage: Usage) -> None:
        """Mark the response as complete."""
        self.usage = usage
        self._notify()

    def refuse(self, refusal: Refusal) -> None:
        """Mark the request as failed."""
        self.refusal = refusal
        self._notify()

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the response body from its first byte as it arrives."""
        position = 0
        while True:
            if position < len(self.chunks):
                new_chunks = self.chunks[position:]
                position += len(new_chunks)
                yield b"".join(new_chunks)
                continue
            if self.is_done:
                return
            await self._wait_for_change()

    async def wait(self) -> None:
        """Wait until the execution is done."""
        while not self.is_done:
            await self._wait_for_change()

    def unsubscribe(self) -> None:
        """Remove a subscriber.

        A request without subscribers and without a client key is abandoned.
        """
        self.subscribers -= 1
        if self.subscribers <= 0 and not self.call.has_client_key:
            self.abandoned.set()

    async def _wait_for_change(self) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.change_waiters.append(future)
        await future

    def _notify(self) -> None:
        change_waiters, self.change_waiters = self.change_waiters, []
        for future in change_waiters:
            if not future.done():
                future.set_result(None)
