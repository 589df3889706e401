"""Turns a caller's HTTP request into a checked :class:`Call`, or says what is wrong with it."""

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
MESSAGE_OVERHEAD = 8  # tokens by which a message may exceed its bytes
PASSED_FIELDS = ("messages", "temperature", "top_p", "seed", "stop")


@dataclass(slots=True, frozen=True)
class RawRequest:
    """What a caller sent.

    :param service: named service, empty for the customer's default
    :param budget: named budget, empty for the customer's first
    """

    method: str
    path: str
    authorization: str
    key: str
    service: str
    budget: str
    body: bytes


@dataclass(slots=True, frozen=True)
class _Rights:
    customer: Customer
    budget: Budget
    service: Service


class CallReader:
    """Checks requests against one sheet.

    :param max_tokens_limit: largest ``max_tokens`` accepted
    """

    __slots__ = ("sheet", "max_tokens_limit")

    def __init__(self, sheet: Sheet, max_tokens_limit: int) -> None:
        self.sheet = sheet
        self.max_tokens_limit = max_tokens_limit

    def authenticate(self, authorization: str) -> Result[Customer, Refusal]:
        """Find the customer of a bearer key."""
        scheme, _, key = authorization.partition(" ")
        customer = self.sheet.customer_by_key(key.strip()) if scheme == "Bearer" else None
        if customer is None:
            return _refuse(RefusalCode.UNAUTHENTICATED, "the bearer key is missing or unknown")
        return Success(customer)

    def completion(self, raw: RawRequest) -> Result[Call, Refusal]:
        """Check a request for a completion."""
        rights = self._rights(raw)
        if isinstance(rights, Failure):
            return rights
        return self._completion(raw, rights.unwrap())

    def plain(self, raw: RawRequest) -> Result[Call, Refusal]:
        """Check a call of a plain service."""
        rights = self._rights(raw)
        if isinstance(rights, Failure):
            return rights
        found = rights.unwrap()
        if found.service.kind is not ServiceKind.PLAIN:
            reason = f"service {raw.service!r} answers POST /v1/chat/completions"
            return _refuse(RefusalCode.UNKNOWN_SERVICE, reason)
        if not found.service.idempotent and not raw.key:
            reason = f"calls of {raw.service!r} need an Idempotency-Key header"
            return _refuse(RefusalCode.KEY_REQUIRED, reason)
        return Success(_call(raw, found, "", b"", {}, 0, found.service.price, False))

    def _rights(self, raw: RawRequest) -> Result[_Rights, Refusal]:
        authenticated = self.authenticate(raw.authorization)
        if isinstance(authenticated, Failure):
            return authenticated
        customer = authenticated.unwrap()
        if len(raw.key) > MAX_KEY_LENGTH or not raw.key.isprintable():
            reason = f"Idempotency-Key is longer than {MAX_KEY_LENGTH} characters or not printable"
            return _refuse(RefusalCode.BAD_REQUEST, reason)
        budget = self._budget(customer, raw.budget)
        if budget is None:
            wanted = raw.budget or "(default)"
            reason = f"customer {customer.name!r} has no budget {wanted!r}"
            return _refuse(RefusalCode.UNKNOWN_BUDGET, reason)
        return self._service(customer, raw.service).map(
            lambda service: _Rights(customer, budget, service)
        )

    def _budget(self, customer: Customer, name: str) -> Budget | None:
        if not name:
            return self.sheet.default_budget(customer.name)
        return self.sheet.budgets.get(budget_key(customer.name, name))

    def _service(self, customer: Customer, name: str) -> Result[Service, Refusal]:
        if not name:
            name = customer.services[0] if customer.services else ""
        if name not in self.sheet.services:
            return _refuse(RefusalCode.UNKNOWN_SERVICE, f"there is no service {name!r}")
        if name not in customer.services:
            reason = f"customer {customer.name!r} may not use service {name!r}"
            return _refuse(RefusalCode.FORBIDDEN, reason)
        return Success(self.sheet.services[name])

    def _completion(self, raw: RawRequest, rights: _Rights) -> Result[Call, Refusal]:
        if rights.service.kind is not ServiceKind.MODEL:
            reason = f"service {rights.service.name!r} has no models"
            return _refuse(RefusalCode.UNKNOWN_SERVICE, reason)
        try:
            body = json.loads(raw.body)
        except (ValueError, RecursionError) as error:
            return _refuse(RefusalCode.BAD_REQUEST, f"body is not JSON: {error}")
        if not isinstance(body, dict):
            return _refuse(RefusalCode.BAD_REQUEST, "body is not a JSON object")
        fault = _body_fault(body, self.max_tokens_limit)
        if fault:
            return _refuse(RefusalCode.BAD_REQUEST, fault)
        return self._model(rights.service, body.get("model", "")).map(
            lambda model: _completion_call(raw, rights, model, body)
        )

    def _model(self, service: Service, wanted: str) -> Result[str, Refusal]:
        if not wanted:
            return Success(service.models[0])
        for label in service.models:
            if wanted in (label, label.partition("@")[0]):
                return Success(label)
        known = any(wanted in (m.label, m.name) for m in self.sheet.models.values())
        if known:
            reason = f"service {service.name!r} may not use model {wanted!r}"
            return _refuse(RefusalCode.FORBIDDEN, reason)
        return _refuse(RefusalCode.UNKNOWN_MODEL, f"there is no model {wanted!r}")


def _refuse(code: RefusalCode, reason: str) -> Failure[Refusal]:
    return Failure(Refusal(code, reason))


def _body_fault(body: dict[str, Any], max_tokens_limit: int) -> str:
    """Return what is wrong with the body of a completion, empty if nothing is."""
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


def _completion_call(raw: RawRequest, rights: _Rights, model: str, body: dict[str, Any]) -> Call:
    messages = body["messages"]
    prompt = "\n".join(item["content"] for item in messages).encode()
    payload = {name: body[name] for name in PASSED_FIELDS if name in body}
    max_tokens = body["max_tokens"]
    bound = len(prompt) + MESSAGE_OVERHEAD * len(messages) + max_tokens
    stream = body.get("stream", False)
    return _call(raw, rights, model, prompt, payload, max_tokens, bound, stream)


def _call(
    raw: RawRequest,
    rights: _Rights,
    model: str,
    prompt: bytes,
    payload: dict[str, Any],
    max_tokens: int,
    bound: int,
    stream: bool,
) -> Call:
    request = uuid.uuid4().hex
    target = model or rights.service.name
    content = xxhash.xxh3_128_hexdigest(target.encode() + b"\n" + (prompt or raw.body))
    fingerprint = sha256(f"{raw.method} {raw.path}\n".encode() + raw.body).hexdigest()
    return Call(
        request=request,
        customer=rights.customer,
        budget=rights.budget,
        service=rights.service,
        model=model,
        key=raw.key or request,
        keyed=bool(raw.key),
        fingerprint=fingerprint,
        content=content,
        method=raw.method,
        path=raw.path,
        body=raw.body,
        prompt=prompt,
        payload=payload,
        max_tokens=max_tokens,
        bound=bound,
        stream=stream,
    )
