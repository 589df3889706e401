"""One request being answered, and the callers that follow it."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from bilberryshed.protocol import Refusal, bill_id
from bilberryshed.state import Budget, Customer, Service


@dataclass(slots=True, frozen=True)
class Call:
    """A caller's request after all checks of its form and rights.

    :param has_client_key: whether the caller gave the idempotency key itself
    :param fingerprint: digest of method, path and body
    :param content: fingerprint of what the backend server reads, whoever sends it
    :param prompt: text that the model reads, empty for a plain service
    :param payload: JSON fields passed to the model engine
    :param token_bound: tokens that it can use at most
    :param stream: whether the caller wants the answer as it is generated
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
        """What an agent must serve to run this."""
        return self.model or self.service.name


@dataclass(slots=True, frozen=True)
class Usage:
    """Usage shown to the caller, in tokens."""

    prompt_tokens: int
    completion_tokens: int
    finish: str


@dataclass(slots=True)
class Execution:
    """Answer of one request as far as it is known.

    :param chunks: verified pieces of the answer
    :param refusal: why there is no whole answer, once that is decided
    :param usage: set once the answer is whole
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
        """Whether the answer is whole or refused."""
        return self.refusal is not None or self.usage is not None

    def start_response(self, status: int, content_type: str) -> None:
        """Note how the backend server begins its answer."""
        if not self.chunks:
            self.status, self.content_type = status, content_type

    def add(self, chunk: bytes) -> None:
        """Append a verified piece."""
        self.chunks.append(chunk)
        self._notify()

    def complete(self, usage: Usage) -> None:
        """Note that the answer is whole."""
        self.usage = usage
        self._notify()

    def refuse(self, refusal: Refusal) -> None:
        """Note that there will be no whole answer."""
        self.refusal = refusal
        self._notify()

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the answer, from its first byte, as it arrives until the execution is over."""
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
        """Wait until the execution is over."""
        while not self.is_done:
            await self._wait_for_change()

    def unsubscribe(self) -> None:
        """Note that a caller has gone; without callers and key, the work is abandoned."""
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
