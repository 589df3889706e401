"""HTTP API for callers."""

import json
import time
from typing import Any, Protocol

from returns.result import Failure, Result
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from bilberryshed.coordination import ActiveSheet
from bilberryshed.protocol import Outcome, Refusal, RefusalCode
from bilberryshed.runtime._calls import CallReader, RawRequest
from bilberryshed.runtime._execution import Call, Execution
from bilberryshed.runtime._runner import Runner

RETRY_SOON = 1  # seconds


class ApiOwner(Protocol):
    """What the handlers need of the router."""

    runner: Runner
    max_tokens_limit: int
    max_body: int

    @property
    def is_draining(self) -> bool:
        """Whether new requests are refused."""

    @property
    def sheet_in_force(self) -> ActiveSheet | None:
        """The sheet in force, if any."""


class ApiHandler(RequestHandler):
    """Base of all caller handlers: refusals as JSON."""

    def initialize(self, owner: ApiOwner) -> None:
        """Keep the router."""
        self.owner = owner
        self.execution: Execution | None = None

    def prepare(self) -> None:
        """Refuse a body that is too large before anything looks at it."""
        size = len(self.request.body)
        if size > self.owner.max_body:
            reason = f"the body has {size} bytes; the limit is {self.owner.max_body}"
            self.refuse(Refusal(RefusalCode.BODY_TOO_LARGE, reason))

    def refuse(self, refusal: Refusal, request: str = "") -> None:
        """Send a refusal as the whole answer."""
        self.set_status(refusal.status)
        self.set_header("Content-Type", "application/json")
        if refusal.retry_after is not None:
            self.set_header("Retry-After", str(refusal.retry_after))
        self.finish(json.dumps({"error": refusal_body(refusal, request)}))

    def reader(self) -> CallReader | None:
        """Return a reader of calls, or refuse and return ``None``."""
        if self.owner.is_draining:
            reason = "this router is stopping; another one takes requests"
            self.refuse(Refusal(RefusalCode.DRAINING, reason, retry_after=RETRY_SOON))
            return None
        sheet = self.owner.sheet_in_force
        if sheet is None:
            reason = "no sheet is in force at this router yet"
            self.refuse(Refusal(RefusalCode.NO_SHEET, reason, retry_after=RETRY_SOON))
            return None
        return CallReader(sheet.sheet, self.owner.max_tokens_limit)

    def raw(self, path: str, service: str) -> RawRequest:
        """Return what the caller sent."""
        headers = self.request.headers
        return RawRequest(
            method=self.request.method or "GET",
            path=path,
            authorization=headers.get("Authorization", ""),
            key=headers.get("Idempotency-Key", ""),
            service=service,
            budget=headers.get("X-Budget", ""),
            body=self.request.body,
        )

    def open(self, call: Result[Call, Refusal]) -> Execution | None:
        """Start or join the execution of a call, or refuse and return ``None``."""
        opened = call.bind(self.owner.runner.open)
        if isinstance(opened, Failure):
            self.refuse(opened.failure())
            return None
        self.execution = opened.unwrap()
        self.set_header("X-Request-Id", self.execution.call.request)
        return self.execution

    def on_connection_close(self) -> None:
        """Note that the caller has gone."""
        self._leave()

    def on_finish(self) -> None:
        """Note that the caller has its answer."""
        self._leave()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an unexpected error as JSON."""
        code = RefusalCode.BAD_REQUEST if status_code < 500 else RefusalCode.OUTCOME_UNKNOWN
        outcome = Outcome.NOT_RUN if status_code < 500 else Outcome.UNKNOWN
        self.set_header("Content-Type", "application/json")
        body = refusal_body(Refusal(code, self._reason, outcome), "")
        self.finish(json.dumps({"error": body}))

    def _leave(self) -> None:
        execution, self.execution = self.execution, None
        if execution is not None:
            execution.leave()


class CompletionHandler(ApiHandler):
    """``POST /v1/chat/completions``."""

    async def post(self) -> None:
        """Answer a completion, streamed or whole."""
        reader = self.reader()
        if reader is None:
            return
        service = self.request.headers.get("X-Service", "")
        raw = self.raw("/v1/chat/completions", service)
        execution = self.open(reader.completion(raw))
        if execution is None:
            return
        if execution.call.stream:
            await self._stream(execution)
        else:
            await self._whole(execution)

    async def _whole(self, execution: Execution) -> None:
        await execution.wait()
        call = execution.call
        if execution.refusal is not None:
            self.refuse(execution.refusal, call.request)
            return
        assert execution.usage is not None
        text = b"".join(execution.pieces).decode()
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": execution.usage.finish}
        self.set_header("Content-Type", "application/json")
        self.finish(
            json.dumps(
                {
                    "id": call.request,
                    "object": "chat.completion",
                    "created": int(time.time()),
                    "model": call.model,
                    "choices": [choice],
                    "usage": _usage(execution),
                },
                ensure_ascii=False,
            )
        )

    async def _stream(self, execution: Execution) -> None:
        call, first = execution.call, True
        head = _event_head(call)
        try:
            async for piece in execution.follow():
                if first:
                    self.set_header("Content-Type", "text/event-stream")
                    self.set_header("Cache-Control", "no-cache")
                    first = False
                text = json.dumps(piece.decode(), ensure_ascii=False)
                self.write(f'{head}{{"content": {text}}}, "finish_reason": null}}]}}\n\n')
                await self.flush()
        except StreamClosedError:
            return
        if execution.refusal is not None:
            if first:
                self.refuse(execution.refusal, call.request)
                return
            body = {"error": refusal_body(execution.refusal, call.request)}
            self.finish(f"data: {json.dumps(body)}\n\n")
            return
        assert execution.usage is not None
        finish, usage = json.dumps(execution.usage.finish), json.dumps(_usage(execution))
        self.write(f'{head}{{}}, "finish_reason": {finish}}}], "usage": {usage}}}\n\n')
        self.finish("data: [DONE]\n\n")


def _event_head(call: Call) -> str:
    """Return what every event of a stream begins with, up to the delta."""
    event = {"id": call.request, "object": "chat.completion.chunk", "model": call.model}
    return f'data: {json.dumps(event)[:-1]}, "choices": [{{"index": 0, "delta": '


def _usage(execution: Execution) -> dict[str, int]:
    usage = execution.usage
    assert usage is not None
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    }


class ModelsHandler(ApiHandler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """List the models that the customer's services may use."""
        reader = self.reader()
        if reader is None:
            return
        customer = reader.authenticate(self.request.headers.get("Authorization", ""))
        if isinstance(customer, Failure):
            self.refuse(customer.failure())
            return
        labels: dict[str, None] = {}
        for name in customer.unwrap().services:
            labels.update(dict.fromkeys(reader.sheet.services[name].models))
        data = [{"id": label, "object": "model", "owned_by": "bilberryshed"} for label in labels]
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"object": "list", "data": data}))


class ServiceHandler(ApiHandler):
    """``/services/{service}/...``: calls of plain services."""

    async def get(self, service: str, path: str) -> None:
        """Pass a GET on."""
        await self._call(service, path)

    async def post(self, service: str, path: str) -> None:
        """Pass a POST on."""
        await self._call(service, path)

    async def put(self, service: str, path: str) -> None:
        """Pass a PUT on."""
        await self._call(service, path)

    async def delete(self, service: str, path: str) -> None:
        """Pass a DELETE on."""
        await self._call(service, path)

    async def _call(self, service: str, path: str) -> None:
        reader = self.reader()
        if reader is None:
            return
        query = f"?{self.request.query}" if self.request.query else ""
        execution = self.open(reader.plain(self.raw(f"/{path}{query}", service)))
        if execution is None:
            return
        await execution.wait()
        if execution.refusal is not None:
            self.refuse(execution.refusal, execution.call.request)
            return
        self.set_status(execution.status)
        self.set_header("Content-Type", execution.content_type)
        self.finish(b"".join(execution.pieces))


class UnknownPathHandler(ApiHandler):
    """Any other path."""

    def prepare(self) -> None:
        """Refuse."""
        reason = f"there is no {self.request.method} {self.request.path}"
        self.refuse(Refusal(RefusalCode.BAD_REQUEST, reason))


def refusal_body(refusal: Refusal, request: str) -> dict[str, Any]:
    """Return a refusal as callers see it."""
    return {
        "code": refusal.code,
        "message": refusal.reason,
        "outcome": refusal.outcome,
        "retry_after": refusal.retry_after,
        "request_id": request,
    }
