"""HTTP handlers of the caller-facing API."""

import json
import time
from typing import Any, Protocol

from returns.result import Failure, Result
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from bilberryshed.coordination import ActiveSheet
from bilberryshed.protocol import Outcome, Refusal, RefusalCode
from bilberryshed.runtime._execution import Call, Execution
from bilberryshed.runtime._request_validator import RawRequest, RequestValidator
from bilberryshed.runtime._runner import Runner

RETRY_AFTER_SECONDS = 1


class ApiOwner(Protocol):
    """Part of the router that the handlers use."""

    runner: Runner
    max_tokens_limit: int
    max_body: int

    @property
    def is_draining(self) -> bool:
        """Whether new requests are rejected."""

    @property
    def active_sheet(self) -> ActiveSheet | None:
        """Active sheet, ``None`` before the first one has been applied."""


class ApiHandler(RequestHandler):
    """Base class of the caller-facing handlers; sends refusals as JSON."""

    def initialize(self, owner: ApiOwner) -> None:
        """Store the router that owns this handler."""
        self.owner = owner
        self.execution: Execution | None = None

    def prepare(self) -> None:
        """Reject an oversized body before it is parsed."""
        size = len(self.request.body)
        if size > self.owner.max_body:
            reason = f"the body has {size} bytes; the limit is {self.owner.max_body}"
            self.refuse(Refusal(RefusalCode.BODY_TOO_LARGE, reason))

    def refuse(self, refusal: Refusal, request: str = "") -> None:
        """Send a refusal as the complete response."""
        self.set_status(refusal.status)
        self.set_header("Content-Type", "application/json")
        if refusal.retry_after is not None:
            self.set_header("Retry-After", str(refusal.retry_after))
        self.finish(json.dumps({"error": refusal_body(refusal, request)}))

    def validator(self) -> RequestValidator | None:
        """Return a validator for the active sheet, or send a refusal and return ``None``."""
        if self.owner.is_draining:
            reason = "this router is stopping; another one takes requests"
            self.refuse(Refusal(RefusalCode.DRAINING, reason, retry_after=RETRY_AFTER_SECONDS))
            return None
        sheet = self.owner.active_sheet
        if sheet is None:
            reason = "no sheet is in force at this router yet"
            self.refuse(Refusal(RefusalCode.NO_SHEET, reason, retry_after=RETRY_AFTER_SECONDS))
            return None
        return RequestValidator(sheet.sheet, self.owner.max_tokens_limit)

    def raw_request(self, path: str, service: str) -> RawRequest:
        """Return the parts of the HTTP request that validation uses."""
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

    def start_or_join(self, call: Result[Call, Refusal]) -> Execution | None:
        """Start or join the execution of a call, or send a refusal and return ``None``."""
        execution_result = call.bind(self.owner.runner.start_or_join)
        if isinstance(execution_result, Failure):
            self.refuse(execution_result.failure())
            return None
        self.execution = execution_result.unwrap()
        self.set_header("X-Request-Id", self.execution.call.request)
        return self.execution

    def on_connection_close(self) -> None:
        """Unsubscribe a caller that has disconnected."""
        self._unsubscribe()

    def on_finish(self) -> None:
        """Unsubscribe a caller whose response was sent."""
        self._unsubscribe()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an unexpected error as JSON."""
        code = RefusalCode.BAD_REQUEST if status_code < 500 else RefusalCode.OUTCOME_UNKNOWN
        outcome = Outcome.NOT_RUN if status_code < 500 else Outcome.UNKNOWN
        self.set_header("Content-Type", "application/json")
        body = refusal_body(Refusal(code, self._reason, outcome), "")
        self.finish(json.dumps({"error": body}))

    def _unsubscribe(self) -> None:
        execution, self.execution = self.execution, None
        if execution is not None:
            execution.unsubscribe()


class CompletionHandler(ApiHandler):
    """``POST /v1/chat/completions``."""

    async def post(self) -> None:
        """Run a completion and send its response, streamed or complete."""
        validator = self.validator()
        if validator is None:
            return
        service = self.request.headers.get("X-Service", "")
        raw_request = self.raw_request("/v1/chat/completions", service)
        execution = self.start_or_join(validator.validate_completion(raw_request))
        if execution is None:
            return
        if execution.call.stream:
            await self._send_stream(execution)
        else:
            await self._send_complete(execution)

    async def _send_complete(self, execution: Execution) -> None:
        await execution.wait()
        call = execution.call
        if execution.refusal is not None:
            self.refuse(execution.refusal, call.request)
            return
        assert execution.usage is not None
        text = b"".join(execution.chunks).decode()
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

    async def _send_stream(self, execution: Execution) -> None:
        call, headers_pending = execution.call, True
        prefix = _event_prefix(call)
        try:
            async for chunk in execution.iter_chunks():
                if headers_pending:
                    self.set_header("Content-Type", "text/event-stream")
                    self.set_header("Cache-Control", "no-cache")
                    headers_pending = False
                text = json.dumps(chunk.decode(), ensure_ascii=False)
                self.write(f'{prefix}{{"content": {text}}}, "finish_reason": null}}]}}\n\n')
                await self.flush()
        except StreamClosedError:
            return
        if execution.refusal is not None:
            if headers_pending:
                self.refuse(execution.refusal, call.request)
                return
            body = {"error": refusal_body(execution.refusal, call.request)}
            self.finish(f"data: {json.dumps(body)}\n\n")
            return
        assert execution.usage is not None
        finish, usage = json.dumps(execution.usage.finish), json.dumps(_usage(execution))
        self.write(f'{prefix}{{}}, "finish_reason": {finish}}}], "usage": {usage}}}\n\n')
        self.finish("data: [DONE]\n\n")


def _event_prefix(call: Call) -> str:
    """Return the common prefix of all events of a stream, up to the value of ``delta``."""
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
        """List the models of all services that the customer may use."""
        validator = self.validator()
        if validator is None:
            return
        customer = validator.authenticate(self.request.headers.get("Authorization", ""))
        if isinstance(customer, Failure):
            self.refuse(customer.failure())
            return
        labels: dict[str, None] = {}
        for name in customer.unwrap().services:
            labels.update(dict.fromkeys(validator.sheet.services[name].models))
        data = [{"id": label, "object": "model", "owned_by": "bilberryshed"} for label in labels]
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"object": "list", "data": data}))


class ServiceHandler(ApiHandler):
    """``/services/{service}/...``: calls to plain services."""

    async def get(self, service: str, path: str) -> None:
        """Forward a GET request."""
        await self._forward(service, path)

    async def post(self, service: str, path: str) -> None:
        """Forward a POST request."""
        await self._forward(service, path)

    async def put(self, service: str, path: str) -> None:
        """Forward a PUT request."""
        await self._forward(service, path)

    async def delete(self, service: str, path: str) -> None:
        """Forward a DELETE request."""
        await self._forward(service, path)

    async def _forward(self, service: str, path: str) -> None:
        validator = self.validator()
        if validator is None:
            return
        query = f"?{self.request.query}" if self.request.query else ""
        execution = self.start_or_join(
            validator.validate_plain(self.raw_request(f"/{path}{query}", service))
        )
        if execution is None:
            return
        await execution.wait()
        if execution.refusal is not None:
            self.refuse(execution.refusal, execution.call.request)
            return
        self.set_status(execution.status)
        self.set_header("Content-Type", execution.content_type)
        self.finish(b"".join(execution.chunks))


class UnknownPathHandler(ApiHandler):
    """Fallback for all other paths."""

    def prepare(self) -> None:
        """Reject the request."""
        reason = f"there is no {self.request.method} {self.request.path}"
        self.refuse(Refusal(RefusalCode.BAD_REQUEST, reason))


def refusal_body(refusal: Refusal, request: str) -> dict[str, Any]:
    """Return the JSON object that callers receive for a refusal."""
    return {
        "code": refusal.code,
        "message": refusal.reason,
        "outcome": refusal.outcome,
        "retry_after": refusal.retry_after,
        "request_id": request,
    }
