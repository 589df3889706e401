"""Callers that send requests, verify each response, and retry with the same idempotency key."""

import asyncio
import json
import random
import time
import uuid
from dataclasses import dataclass, field
from typing import Any

from tornado.httpclient import HTTPRequest

from bilberryshed.transport import http_client
from bilberryshed_load._tally import Tally
from bilberryshed_standins import full_text

MAX_ATTEMPTS = 6
RETRY_DELAY = 0.3  # seconds; the shortest delay, extended at random to at most twice that
REQUEST_TIMEOUT = 30.0  # seconds for one attempt


@dataclass(slots=True, frozen=True)
class LoadRequest:
    """A completion request or a call of a plain service.

    :param key: idempotency key; empty to send none
    :param prompt: content of the last message; empty for a plain service
    :param earlier: contents of the messages before it
    """

    customer: str
    key: str
    service: str
    budget: str = ""
    prompt: str = ""
    max_tokens: int = 0
    model: str = ""
    stream: bool = True
    body: bytes = b""
    earlier: tuple[str, ...] = ()

    @property
    def is_completion(self) -> bool:
        """Whether the request is for a model completion."""
        return bool(self.prompt)

    @property
    def expected_text(self) -> str:
        """The text that the stand-in model generates for this request."""
        return full_text("\n".join((*self.earlier, self.prompt)).encode(), self.max_tokens)


@dataclass(slots=True)
class AttemptResult:
    """Result of one attempt.

    :param status: HTTP status; 599 if the connection failed or the request timed out, possibly
        within the response
    :param first_token: seconds to the first token, 0 if none was received
    :param complete: whether the response ended as the protocol requires
    :param elapsed: seconds to the end of the attempt
    """

    status: int = 0
    text: str = ""
    complete: bool = False
    code: str = ""
    outcome: str = ""
    first_token: float = 0.0
    elapsed: float = 0.0
    usage: dict[str, int] = field(default_factory=dict)
    body: bytes = b""


class _StreamCollector:
    """Parses a streamed response as it is received."""

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.result = AttemptResult()
        self.buffer = b""
        self.chunks: list[str] = []

    def on_data(self, data: bytes) -> None:
        self.result.body += data
        if not self.result.first_token:
            self.result.first_token = time.monotonic() - self.started_at
        *events, self.buffer = (self.buffer + data).split(b"\n\n")
        for event in events:
            self._on_event(event.removeprefix(b"data: "))

    def _on_event(self, text: bytes) -> None:
        if text == b"[DONE]":
            self.result.complete = True
            return
        event = json.loads(text)
        if "error" in event:
            self.result.code, self.result.outcome = (
                event["error"]["code"],
                event["error"]["outcome"],
            )
            return
        self.chunks.append(event["choices"][0]["delta"].get("content", ""))
        self.result.usage = event.get("usage", {})


async def send_request(base_url: str, load_request: LoadRequest) -> AttemptResult:
    """Send one attempt of a request.

    :param base_url: URL of a router
    """
    started_at = time.monotonic()
    stream = _StreamCollector(started_at)
    request = _build_http_request(base_url, load_request, stream)
    result = stream.result
    try:
        response = await http_client().fetch(request, raise_error=False)
        result.status = response.code
    except Exception:
        result.status = 599
    result.elapsed = time.monotonic() - started_at
    result.text = "".join(stream.chunks)
    if result.status != 200 or not load_request.stream or not load_request.is_completion:
        _parse_body(result, load_request)
    return result


def _build_http_request(
    base_url: str, load_request: LoadRequest, stream: _StreamCollector
) -> HTTPRequest:
    headers = {
        "Authorization": f"Bearer sample-key-{load_request.customer}",
        "Content-Type": "application/json",
    }
    if load_request.key:
        headers["Idempotency-Key"] = load_request.key
    if load_request.budget:
        headers["X-Budget"] = load_request.budget
    path, body = f"/services/{load_request.service}/calls", load_request.body
    if load_request.is_completion:
        path, body = "/v1/chat/completions", _build_completion_body(load_request)
        headers["X-Service"] = load_request.service

    def on_data(data: bytes) -> None:
        if load_request.stream and load_request.is_completion and not data.startswith(b"{"):
            stream.on_data(data)
        else:
            stream.result.body += data

    return HTTPRequest(
        base_url + path,
        method="POST",
        body=body,
        headers=headers,
        request_timeout=REQUEST_TIMEOUT,
        streaming_callback=on_data,
    )


def _build_completion_body(load_request: LoadRequest) -> bytes:
    body: dict[str, Any] = {
        "messages": [
            {"role": "user", "content": text}
            for text in (*load_request.earlier, load_request.prompt)
        ],
        "max_tokens": load_request.max_tokens,
        "stream": load_request.stream,
    }
    if load_request.model:
        body["model"] = load_request.model
    return json.dumps(body, ensure_ascii=False).encode()


def _parse_body(result: AttemptResult, load_request: LoadRequest) -> None:
    try:
        body = json.loads(result.body)
    except ValueError:
        return
    if "error" in body:
        result.code, result.outcome = body["error"]["code"], body["error"]["outcome"]
    elif load_request.is_completion:
        result.text = body["choices"][0]["message"]["content"]
        result.usage = body["usage"]
        result.complete = True
    else:
        result.complete = result.status < 400


class CallerPool:
    """Callers behind a round-robin load balancer; a retry goes to the next router.

    :param routers: base URLs
    :param seed: seed of all random choices
    """

    def __init__(self, routers: list[str], seed: int) -> None:
        self.routers = routers
        self.random = random.Random(seed)
        self.tally = Tally()
        self.requests_started = 0

    async def send_with_retries(self, load_request: LoadRequest) -> AttemptResult:
        """Retry with the same key until a complete response or a non-retryable error arrives."""
        self.tally.requests += 1
        started_at = time.monotonic()
        result = AttemptResult()
        self.requests_started += 1
        start = self.requests_started
        for attempt in range(MAX_ATTEMPTS):
            result = await send_request(
                self.routers[(start + attempt) % len(self.routers)], load_request
            )
            if result.complete:
                self._record_success(load_request, result, time.monotonic() - started_at)
                return result
            if result.text or result.status == 200:
                self.tally.truncated.append(load_request.key)
            if result.status != 599 and 400 <= result.status < 500 and result.status != 409:
                break
            if attempt + 1 < MAX_ATTEMPTS:
                self.tally.retried += 1
                await asyncio.sleep(RETRY_DELAY * (1 + self.random.random()))
        self.tally.refused[result.code or f"http_{result.status}"] += 1
        return result

    def _record_success(
        self, load_request: LoadRequest, result: AttemptResult, elapsed: float
    ) -> None:
        self.tally.answered += 1
        self.tally.complete.record_value(max(1, int(elapsed * 1e6)))
        if not load_request.is_completion:
            if json.loads(result.body).get("key") != load_request.key:
                self.tally.incorrect.append(f"{load_request.key} got {result.body!r}")
            return
        if result.first_token:
            self.tally.first_token.record_value(max(1, int(result.first_token * 1e6)))
        if result.text != load_request.expected_text:
            expected = load_request.expected_text
            self.tally.incorrect.append(f"{load_request.key} got {result.text!r}, not {expected!r}")


def new_idempotency_key() -> str:
    """Return a new random idempotency key."""
    return uuid.uuid4().hex
