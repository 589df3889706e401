"""Validation of callers' HTTP requests: a :class:`Call` or a :class:`Refusal`."""

import json
import uuid
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

import xxhash
from returns.result import Failure, Result, Success

from bilberryshed.protocol import Refusal, RefusalCode
from bilberryshed.runtime._execution import Call
from bilberryshed.state import Budget, Customer, Service, ServiceKind, Sheet, budget_key

MAX_KEY_LENGTH = 200  # characters of an idempotency key
MESSAGE_OVERHEAD_TOKENS = 8  # maximum excess of a message's tokens over its bytes
FORWARDED_FIELDS = ("messages", "temperature", "top_p", "seed", "stop")


@dataclass(slots=True, frozen=True)
class RawRequest:
    """Unvalidated request of a caller.

    :param service: service name, empty for the first of the customer's services
    :param budget: budget name, empty for the first of the customer's budgets
    """

    method: str
    path: str
    authorization: str
    key: str
    service: str
    budget: str
    body: bytes


@dataclass(slots=True, frozen=True)
class _Authorization:
    customer: Customer
    budget: Budget
    service: Service


class RequestValidator:
    """Validates requests against one sheet.

    :param max_tokens_limit: largest ``max_tokens`` that is accepted
    """

    __slots__ = ("sheet", "max_tokens_limit")

    def __init__(self, sheet: Sheet, max_tokens_limit: int) -> None:
        self.sheet = sheet
        self.max_tokens_limit = max_tokens_limit

    def authenticate(self, authorization: str) -> Result[Customer, Refusal]:
        """Return the customer that a bearer key identifies."""
        scheme, _, key = authorization.partition(" ")
        customer = self.sheet.customer_by_key(key.strip()) if scheme == "Bearer" else None
        if customer is None:
            return _refuse(RefusalCode.UNAUTHENTICATED, "the bearer key is missing or unknown")
        return Success(customer)

    def validate_completion(self, raw: RawRequest) -> Result[Call, Refusal]:
        """Validate a request for a completion."""
        authorization = self._authorize(raw)
        if isinstance(authorization, Failure):
            return authorization
        return self._validate_completion(raw, authorization.unwrap())

    def validate_plain(self, raw: RawRequest) -> Result[Call, Refusal]:
        """Validate a call to a plain service."""
        authorization = self._authorize(raw)
        if isinstance(authorization, Failure):
            return authorization
        authorized = authorization.unwrap()
        if authorized.service.kind is not ServiceKind.PLAIN:
            reason = f"service {raw.service!r} answers POST /v1/chat/completions"
            return _refuse(RefusalCode.UNKNOWN_SERVICE, reason)
        if not authorized.service.idempotent and not raw.key:
            reason = f"calls of {raw.service!r} need an Idempotency-Key header"
            return _refuse(RefusalCode.KEY_REQUIRED, reason)
        return Success(
            _build_call(raw, authorized, "", b"", (), {}, 0, authorized.service.price, False)
        )

    def _authorize(self, raw: RawRequest) -> Result[_Authorization, Refusal]:
        authenticated = self.authenticate(raw.authorization)
        if isinstance(authenticated, Failure):
            return authenticated
        customer = authenticated.unwrap()
        if len(raw.key) > MAX_KEY_LENGTH or not raw.key.isprintable():
            reason = f"Idempotency-Key is longer than {MAX_KEY_LENGTH} characters or not printable"
            return _refuse(RefusalCode.BAD_REQUEST, reason)
        budget = self._find_budget(customer, raw.budget)
        if budget is None:
            requested = raw.budget or "(default)"
            reason = f"customer {customer.name!r} has no budget {requested!r}"
            return _refuse(RefusalCode.UNKNOWN_BUDGET, reason)
        return self._find_service(customer, raw.service).map(
            lambda service: _Authorization(customer, budget, service)
        )

    def _find_budget(self, customer: Customer, name: str) -> Budget | None:
        if not name:
            return self.sheet.default_budget(customer.name)
        return self.sheet.budgets.get(budget_key(customer.name, name))

    def _find_service(self, customer: Customer, name: str) -> Result[Service, Refusal]:
        if not name:
            name = customer.services[0] if customer.services else ""
        if name not in self.sheet.services:
            return _refuse(RefusalCode.UNKNOWN_SERVICE, f"there is no service {name!r}")
        if name not in customer.services:
            reason = f"customer {customer.name!r} may not use service {name!r}"
            return _refuse(RefusalCode.FORBIDDEN, reason)
        return Success(self.sheet.services[name])

    def _validate_completion(
        self, raw: RawRequest, authorized: _Authorization
    ) -> Result[Call, Refusal]:
        if authorized.service.kind is not ServiceKind.MODEL:
            reason = f"service {authorized.service.name!r} has no models"
            return _refuse(RefusalCode.UNKNOWN_SERVICE, reason)
        try:
            body = json.loads(raw.body)
        except (ValueError, RecursionError) as error:
            return _refuse(RefusalCode.BAD_REQUEST, f"body is not JSON: {error}")
        if not isinstance(body, dict):
            return _refuse(RefusalCode.BAD_REQUEST, "body is not a JSON object")
        body_error = _body_error(body, self.max_tokens_limit)
        if body_error:
            return _refuse(RefusalCode.BAD_REQUEST, body_error)
        return self._find_model(authorized.service, body.get("model", "")).map(
            lambda model: _build_completion_call(raw, authorized, model, body)
        )

    def _find_model(self, service: Service, requested: str) -> Result[str, Refusal]:
        if not requested:
            return Success(service.models[0])
        for label in service.models:
            if requested in (label, label.partition("@")[0]):
                return Success(label)
        known = any(requested in (m.label, m.name) for m in self.sheet.models.values())
        if known:
            reason = f"service {service.name!r} may not use model {requested!r}"
            return _refuse(RefusalCode.FORBIDDEN, reason)
        return _refuse(RefusalCode.UNKNOWN_MODEL, f"there is no model {requested!r}")


def _refuse(code: RefusalCode, reason: str) -> Failure[Refusal]:
    return Failure(Refusal(code, reason))


def _body_error(body: dict[str, Any], max_tokens_limit: int) -> str:
    """Return the first error in the body of a completion request, empty if it is valid."""
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return "'messages' must be a list with at least one message"
    for position, item in enumerate(messages):
        if not isinstance(item, dict) or not isinstance(item.get("content"), str):
            return f"'messages[{position}].content' must be a string"
        if not isinstance(item.get("role"), str):
            return f"'messages[{position}].role' must be a string"
    if "max_tokens" not in body:
        return "'max_tokens' is missing; it bounds what the request may use of the budget"
    limit = body["max_tokens"]
    if type(limit) is not int or not 1 <= limit <= max_tokens_limit:
        return f"'max_tokens' is {limit!r}; it must be a whole number from 1 to {max_tokens_limit}"
    if not isinstance(body.get("stream", False), bool):
        return "'stream' must be true or false"
    if not isinstance(body.get("model", ""), str):
        return "'model' must be a string"
    return ""


def _build_completion_call(
    raw: RawRequest, authorized: _Authorization, model: str, body: dict[str, Any]
) -> Call:
    messages = body["messages"]
    prompt = "\n".join(item["content"] for item in messages).encode()
    payload = {name: body[name] for name in FORWARDED_FIELDS if name in body}
    max_tokens = body["max_tokens"]
    token_bound = len(prompt) + MESSAGE_OVERHEAD_TOKENS * len(messages) + max_tokens
    stream = body.get("stream", False)
    parts = tuple(_fingerprint(item["content"].encode()) for item in messages[:-1])
    return _build_call(
        raw, authorized, model, prompt, parts, payload, max_tokens, token_bound, stream
    )


def _build_call(
    raw: RawRequest,
    authorized: _Authorization,
    model: str,
    prompt: bytes,
    parts: tuple[str, ...],
    payload: dict[str, Any],
    max_tokens: int,
    token_bound: int,
    stream: bool,
) -> Call:
    request = uuid.uuid4().hex
    target = model or authorized.service.name
    content = _fingerprint(target.encode() + b"\n" + (prompt or raw.body))
    fingerprint = sha256(f"{raw.method} {raw.path}\n".encode() + raw.body).hexdigest()
    return Call(
        request=request,
        customer=authorized.customer,
        budget=authorized.budget,
        service=authorized.service,
        model=model,
        key=raw.key or request,
        has_client_key=bool(raw.key),
        fingerprint=fingerprint,
        content=content,
        parts=parts,
        method=raw.method,
        path=raw.path,
        body=raw.body,
        prompt=prompt,
        payload=payload,
        max_tokens=max_tokens,
        token_bound=token_bound,
        stream=stream,
    )


def _fingerprint(data: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(data)
