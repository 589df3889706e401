"""Headers of requests, answers and refusals on the platform."""

import re

from returns.result import Failure, Result, Success

from bilberryshed.gateway import (
    BackendAnswer,
    CallerRequest,
    Dialect,
    Dispatch,
    Fault,
    Prompt,
)
from bilberryshed.transport import HeaderList, ResponseHead

REQUEST_ID = "x-attempt-id"  # each attempt of a caller has an id of its own
PATIENCE = "x-deadline-ms"  # how long the caller waits, not a moment
KEY = "x-key"
MODEL = "x-model-name"
TOKENS = "x-token-usage"  # prompt tokens and most output tokens
PARTS = "x-prompt-prefix"  # all parts of the prompt, not only a prefix
RESUME = "last-event-id"
SERVER = "x-target-instance"
CUSTOMER = "x-tenant"
PRIORITY = "x-request-priority"
NOT_RUN = "x-not-executed"
SIGNATURE = "x-response-signature"

DEFAULT_PATIENCE = 30_000  # milliseconds
MOST_PRIORITY = 9
MISDIRECTED = 421

# Headers that concern one channel, and those that the system sets itself.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)
OWN = frozenset(
    {
        KEY,
        PATIENCE,
        SERVER,
        CUSTOMER,
        PRIORITY,
        RESUME,
        "x-pin-ms",
        "x-cache-retention",
        "x-kv-replica",
        "kv-from",
        "kv-fetch",
        "x-expected-version",
    }
)
ONCE = (REQUEST_ID, PATIENCE, KEY, TOKENS, PARTS, MODEL, RESUME, "host", "content-length")
_ID = re.compile(r"[\x21-\x7e]{1,200}")
_KEEP_ALIVE = re.compile(r"timeout\s*=\s*(\d+)")


class PlatformDialect(Dialect):
    """The platform's headers."""

    __slots__ = ()

    def request_id(self, headers: HeaderList) -> str:
        id_ = dict(headers).get(REQUEST_ID, "")
        return id_ if _ID.fullmatch(id_) else ""

    def read_request(
        self, method: str, target: str, headers: HeaderList, body: bytes
    ) -> Result[CallerRequest, Fault]:
        names = [name for name, _ in headers]
        for name in ONCE:
            if names.count(name) > 1:
                return Failure(Fault(400, f"header {name} stands {names.count(name)} times"))
        found = dict(headers)
        id_ = found.get(REQUEST_ID, "")
        if not _ID.fullmatch(id_):
            return Failure(Fault(400, f"header {REQUEST_ID} is {id_!r}"))
        if not target.startswith("/"):
            return Failure(Fault(400, f"the target is {target!r}, not a path"))
        try:
            patience = _number(found.get(PATIENCE, str(DEFAULT_PATIENCE)), PATIENCE)
            prompt = _prompt(found)
        except ValueError as error:
            return Failure(Fault(400, str(error)))
        dropped = HOP_BY_HOP | OWN | _named_by_connection(found.get("connection", ""))
        passed = [(name, value) for name, value in headers if name not in dropped]
        return Success(
            CallerRequest(
                id=id_,
                host=found.get("host", ""),
                method=method,
                target=target,
                headers=passed,
                body=body,
                key=found.get(KEY, ""),
                patience=patience / 1000,
                prompt=prompt,
                resume_after=found.get(RESUME, ""),
            )
        )

    def dispatch_headers(self, request: CallerRequest, dispatch: Dispatch) -> HeaderList:
        headers = list(request.headers)
        headers.append((PATIENCE, str(max(1, int(dispatch.time_left * 1000)))))
        headers.append((SERVER, dispatch.server))
        if dispatch.customer is not None:
            headers.append((CUSTOMER, dispatch.customer.name))
        if request.prompt is not None and dispatch.priority is not None:
            headers.append((PRIORITY, str(min(MOST_PRIORITY, dispatch.priority))))
        resume = dispatch.resume_after or request.resume_after
        if resume:
            headers.append((RESUME, resume))
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append(("content-length", str(len(request.body))))
        return headers

    def read_answer(self, head: ResponseHead) -> BackendAnswer:
        closes = "close" in head.get("connection").lower()
        idle = _KEEP_ALIVE.search(head.get("keep-alive"))
        return BackendAnswer(
            status=head.status,
            request=head.get(REQUEST_ID),
            not_run=bool(head.get(NOT_RUN)),
            signed=bool(head.get(SIGNATURE)),
            wrong_server=head.status == MISDIRECTED,
            closes=closes,
            idle_timeout=float(idle.group(1)) if idle else None,
            headers=[(k, v) for k, v in head.headers if k not in HOP_BY_HOP],
        )

    def refusal_headers(self, retry_after: float | None) -> HeaderList:
        return [] if retry_after is None else [("Retry-After", f"{retry_after:.2f}")]


def _prompt(found: dict[str, str]) -> Prompt | None:
    if TOKENS not in found:
        return None
    tokens, _, most = found[TOKENS].partition(",")
    parts = [
        part.strip().partition(":") for part in found.get(PARTS, "").split(",") if part.strip()
    ]
    ids = tuple(id_ for id_, _, _ in parts)
    shared = sum(_number(size, PARTS) for _, _, size in parts[:-1])
    return Prompt(_number(tokens, TOKENS), _number(most, TOKENS), ids, shared)


def _number(text: str, name: str) -> int:
    cleaned = text.strip()
    if not cleaned.isascii() or not cleaned.isdigit() or len(cleaned) > 12:
        raise ValueError(f"header {name} holds {text!r}, not a whole number")
    return int(cleaned)


def _named_by_connection(value: str) -> frozenset[str]:
    """Return the headers that the Connection header says concern this channel only.

    Headers that identify the request are passed on even if they are named there.
    """
    named = {name.strip().lower() for name in value.split(",")}
    return frozenset(named - {REQUEST_ID, MODEL, TOKENS, PARTS, "host"})
