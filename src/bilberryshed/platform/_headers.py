"""Headers of requests, responses and refusals on the platform."""

import re

import xxhash
from returns.result import Failure, Result, Success

from bilberryshed.coordination import parse_limit
from bilberryshed.coordination.places import parse_cold_time
from bilberryshed.gateway import (
    BackendResponse,
    CallerRequest,
    Dialect,
    Dispatch,
    Prompt,
    RequestError,
)
from bilberryshed.transport import HeaderList, ResponseHead, read_quiet_time

REQUEST_ID = "x-attempt-id"  # unique for each attempt of a caller
TIMEOUT = "x-deadline-ms"  # a duration despite its name: how long the caller waits
KEY = "x-key"
MODEL = "x-model-name"
TOKENS = "x-token-usage"  # prompt tokens and maximum output tokens
PROMPT_PARTS = "x-prompt-prefix"  # all parts of the prompt, not only its prefix
LAST_EVENT_ID = "last-event-id"
RESUMES = "resumes"  # the attempt of the caller that brought the first event of a stream
SERVER = "x-target-instance"
CUSTOMER = "x-tenant"
PRIORITY = "x-request-priority"
NOT_RUN = "x-not-executed"
SIGNATURE = "x-response-signature"
LEAVING = "server-leaving"  # "1" in all responses of a backend server that leaves
RETRY_AFTER = "retry-after"
COLD_MS = "x-cold-ms"  # for how long the backend server stays cold
LIMIT = "server-limit"  # requests per second from all gateways together

DEFAULT_TIMEOUT_MS = 30_000  # for requests without the header
MAX_PART_ID = 64  # characters of the id of a part of a prompt
MAX_PRIORITY = 9  # largest number that is sent; 0 is the highest priority
STATUS_UNAVAILABLE = 503  # the backend server turns the request away
STATUS_MISDIRECTED = 421  # another backend server has the address

# Not forwarded: headers that apply to one connection, and headers that the system itself sets.
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
SYSTEM_HEADERS = frozenset(
    {
        KEY,
        TIMEOUT,
        SERVER,
        CUSTOMER,
        PRIORITY,
        LAST_EVENT_ID,
        "x-pin-ms",
        "x-cache-retention",
        "x-kv-replica",
        "kv-from",
        "kv-fetch",
        "x-expected-version",
    }
)
SINGLE_VALUE_HEADERS = (
    REQUEST_ID,
    TIMEOUT,
    KEY,
    TOKENS,
    PROMPT_PARTS,
    MODEL,
    LAST_EVENT_ID,
    RESUMES,
    "host",
    "content-length",
)
_ID = re.compile(r"[\x21-\x7e]{1,200}")
_KEEP_ALIVE = re.compile(r"timeout\s*=\s*(\d+)")


class PlatformDialect(Dialect):
    """Parses and creates the platform's headers."""

    __slots__ = ()

    def request_id(self, headers: HeaderList) -> str:
        id_ = dict(headers).get(REQUEST_ID, "")
        return id_ if _ID.fullmatch(id_) else ""

    def parse_request(
        self, method: str, target: str, headers: HeaderList, body: bytes
    ) -> Result[CallerRequest, RequestError]:
        names = [name for name, _ in headers]
        for name in SINGLE_VALUE_HEADERS:
            if names.count(name) > 1:
                return Failure(RequestError(400, f"header {name} stands {names.count(name)} times"))
        values = dict(headers)
        id_ = values.get(REQUEST_ID, "")
        if not _ID.fullmatch(id_):
            return Failure(RequestError(400, f"header {REQUEST_ID} is {id_!r}"))
        if not target.startswith("/"):
            return Failure(RequestError(400, f"the target is {target!r}, not a path"))
        try:
            caller_timeout = _parse_integer(values.get(TIMEOUT, str(DEFAULT_TIMEOUT_MS)), TIMEOUT)
            prompt = _parse_prompt(values)
        except ValueError as error:
            return Failure(RequestError(400, str(error)))
        dropped = HOP_BY_HOP | SYSTEM_HEADERS | _connection_options(values.get("connection", ""))
        forwarded = [(name, value) for name, value in headers if name not in dropped]
        return Success(
            CallerRequest(
                id=id_,
                host=values.get("host", ""),
                method=method,
                target=target,
                headers=forwarded,
                body=body,
                key=values.get(KEY, ""),
                caller_timeout=caller_timeout / 1000,
                prompt=prompt,
                last_event_id=values.get(LAST_EVENT_ID, ""),
                resumed_request=values.get(RESUMES, ""),
            )
        )

    def dispatch_headers(self, request: CallerRequest, dispatch: Dispatch) -> HeaderList:
        headers = list(request.headers)
        headers.append((TIMEOUT, str(max(1, int(dispatch.time_left * 1000)))))
        headers.append((SERVER, dispatch.server))
        if dispatch.customer is not None:
            headers.append((CUSTOMER, dispatch.customer.name))
        if request.prompt is not None and dispatch.priority is not None:
            headers.append((PRIORITY, str(min(MAX_PRIORITY, dispatch.priority))))
        resume_id = dispatch.last_event_id or request.last_event_id
        if resume_id:
            headers.append((LAST_EVENT_ID, resume_id))
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append(("content-length", str(len(request.body))))
        return headers

    def parse_response(self, head: ResponseHead) -> BackendResponse:
        must_close = "close" in head.get("connection").lower()
        idle = _KEEP_ALIVE.search(head.get("keep-alive"))
        return BackendResponse(
            status=head.status,
            request=head.get(REQUEST_ID),
            not_run=bool(head.get(NOT_RUN)),
            signed=bool(head.get(SIGNATURE)),
            wrong_server=head.status == STATUS_MISDIRECTED,
            must_close=must_close,
            idle_timeout=float(idle.group(1)) if idle else None,
            limit=parse_limit(head.get(LIMIT)),
            is_leaving=head.get(LEAVING).strip() == "1",
            quiet_time=_parse_quiet_time(head),
            cold_time=parse_cold_time(head.get(COLD_MS)),
            headers=[(k, v) for k, v in head.headers if k not in HOP_BY_HOP],
        )

    def refusal_headers(self, retry_after: float | None) -> HeaderList:
        return [] if retry_after is None else [("Retry-After", f"{retry_after:.2f}")]


def _parse_quiet_time(head: ResponseHead) -> float:
    """Return the seconds for which a backend server wants no requests, 0 if it says none."""
    text = head.get(RETRY_AFTER)
    if not text or head.status != STATUS_UNAVAILABLE:
        return 0.0
    return read_quiet_time(text)


def _parse_prompt(values: dict[str, str]) -> Prompt | None:
    if TOKENS not in values:
        return None
    tokens, _, max_output = values[TOKENS].partition(",")
    parts = [
        part.strip().partition(":")
        for part in values.get(PROMPT_PARTS, "").split(",")
        if part.strip()
    ]
    ids = tuple(_short(id_) for id_, _, _ in parts)
    shared = sum(_parse_integer(size, PROMPT_PARTS) for _, _, size in parts[:-1])
    return Prompt(_parse_integer(tokens, TOKENS), _parse_integer(max_output, TOKENS), ids, shared)


def _short(part: str) -> str:
    """Return the id of a part, or a digest of one that is too long to be remembered."""
    return part if len(part) <= MAX_PART_ID else xxhash.xxh3_128_hexdigest(part.encode())


def _parse_integer(text: str, name: str) -> int:
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit() or len(digits) > 12:
        raise ValueError(f"header {name} holds {text!r}, not a whole number")
    return int(digits)


def _connection_options(value: str) -> frozenset[str]:
    """Return the headers that the Connection header lists as hop-by-hop.

    Headers that identify the request are forwarded even if they are listed there.
    """
    named = {name.strip().lower() for name in value.split(",")}
    return frozenset(named - {REQUEST_ID, MODEL, TOKENS, PROMPT_PARTS, "host"})
