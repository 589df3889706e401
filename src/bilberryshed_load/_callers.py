"""Callers: they send requests, check every answer, and retry with the same key."""

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
from bilberryshed_standins import whole_text

MAX_TRIES = 6
RETRY_PAUSE = 0.3  # seconds
TIMEOUT = 30.0  # seconds


@dataclass(slots=True, frozen=True)
class Question:
    """A request for a completion or a call of a plain service.

    :param prompt: text of the one message; empty for a plain service
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

    @property
    def is_completion(self) -> bool:
        """Whether a model answers."""
        return bool(self.prompt)

    @property
    def expected_text(self) -> str:
        """The answer that the stand-in's model gives."""
        return whole_text(self.prompt.encode(), self.max_tokens)


@dataclass(slots=True)
class Answer:
    """What came back for one try.

    :param first: seconds to the first token, 0 if none came
    :param whole: whether the answer ended as it should
    """

    status: int = 0
    text: str = ""
    whole: bool = False
    code: str = ""
    outcome: str = ""
    first: float = 0.0
    elapsed: float = 0.0
    usage: dict[str, int] = field(default_factory=dict)
    body: bytes = b""


class _Stream:
    """Collects a streamed answer."""

    def __init__(self, began: float) -> None:
        self.began = began
        self.answer = Answer()
        self.rest = b""
        self.pieces: list[str] = []

    def feed(self, data: bytes) -> None:
        self.answer.body += data
        if not self.answer.first:
            self.answer.first = time.monotonic() - self.began
        *events, self.rest = (self.rest + data).split(b"\n\n")
        for event in events:
            self._event(event.removeprefix(b"data: "))

    def _event(self, text: bytes) -> None:
        if text == b"[DONE]":
            self.answer.whole = True
            return
        event = json.loads(text)
        if "error" in event:
            self.answer.code, self.answer.outcome = (
                event["error"]["code"],
                event["error"]["outcome"],
            )
            return
        self.pieces.append(event["choices"][0]["delta"].get("content", ""))
        self.answer.usage = event.get("usage", {})


async def ask(base: str, question: Question) -> Answer:
    """Send one try of a question.

    :param base: URL of a router
    """
    began = time.monotonic()
    stream = _Stream(began)
    request = _request(base, question, stream)
    answer = stream.answer
    try:
        response = await http_client().fetch(request, raise_error=False)
        answer.status = response.code
    except Exception:
        answer.status = 599
    answer.elapsed = time.monotonic() - began
    answer.text = "".join(stream.pieces)
    if answer.status != 200 or not question.stream or not question.is_completion:
        _read_whole(answer, question)
    return answer


def _request(base: str, question: Question, stream: _Stream) -> HTTPRequest:
    headers = {
        "Authorization": f"Bearer sample-key-{question.customer}",
        "Content-Type": "application/json",
    }
    if question.key:
        headers["Idempotency-Key"] = question.key
    if question.budget:
        headers["X-Budget"] = question.budget
    path, body = f"/services/{question.service}/calls", question.body
    if question.is_completion:
        path, body = "/v1/chat/completions", _completion_body(question)
        headers["X-Service"] = question.service

    def feed(data: bytes) -> None:
        if question.stream and question.is_completion and not data.startswith(b"{"):
            stream.feed(data)
        else:
            stream.answer.body += data

    return HTTPRequest(
        base + path,
        method="POST",
        body=body,
        headers=headers,
        request_timeout=TIMEOUT,
        streaming_callback=feed,
    )


def _completion_body(question: Question) -> bytes:
    body: dict[str, Any] = {
        "messages": [{"role": "user", "content": question.prompt}],
        "max_tokens": question.max_tokens,
        "stream": question.stream,
    }
    if question.model:
        body["model"] = question.model
    return json.dumps(body, ensure_ascii=False).encode()


def _read_whole(answer: Answer, question: Question) -> None:
    try:
        body = json.loads(answer.body)
    except ValueError:
        return
    if "error" in body:
        answer.code, answer.outcome = body["error"]["code"], body["error"]["outcome"]
    elif question.is_completion:
        answer.text = body["choices"][0]["message"]["content"]
        answer.usage = body["usage"]
        answer.whole = True
    else:
        answer.whole = answer.status < 400


class CallerPool:
    """Callers behind one balancer: requests go to routers in turn, and a retry to the next one.

    :param routers: base URLs
    :param seed: seed of all random choices
    """

    def __init__(self, routers: list[str], seed: int) -> None:
        self.routers = routers
        self.random = random.Random(seed)
        self.tally = Tally()
        self.turn = 0

    async def pose(self, question: Question) -> Answer:
        """Ask until an answer or a final refusal comes, always with the same key."""
        self.tally.asked += 1
        began = time.monotonic()
        answer = Answer()
        self.turn += 1
        first = self.turn
        for attempt in range(MAX_TRIES):
            answer = await ask(self.routers[(first + attempt) % len(self.routers)], question)
            if answer.whole:
                self._note(question, answer, time.monotonic() - began)
                return answer
            if answer.text or answer.status == 200:
                self.tally.cut.append(question.key)
            if answer.status != 599 and 400 <= answer.status < 500 and answer.status != 409:
                break
            if attempt + 1 < MAX_TRIES:
                self.tally.retried += 1
                await asyncio.sleep(RETRY_PAUSE * (1 + self.random.random()))
        self.tally.refused[answer.code or f"http_{answer.status}"] += 1
        return answer

    def _note(self, question: Question, answer: Answer, elapsed: float) -> None:
        self.tally.answered += 1
        self.tally.whole.record_value(max(1, int(elapsed * 1e6)))
        if not question.is_completion:
            if json.loads(answer.body).get("key") != question.key:
                self.tally.wrong.append(question.key)
            return
        if answer.first:
            self.tally.first.record_value(max(1, int(answer.first * 1e6)))
        if answer.text != question.expected_text:
            self.tally.wrong.append(question.key)


def new_key() -> str:
    """Return an idempotency key."""
    return uuid.uuid4().hex
