"""A request in flight and the state of its attempts at backend servers."""

import math
from dataclasses import dataclass, field
from enum import StrEnum

from bilberryshed.coordination import (
    OUTPUT_WEIGHT,
    BackendDemand,
    EventSplitter,
    Origin,
)
from bilberryshed.gateway._caller_exchange import CallerExchange
from bilberryshed.gateway._dialect import BackendResponse, CallerRequest
from bilberryshed.state import Route, RoutedCustomer, RoutedService, RouteKind


class AttemptOutcome(StrEnum):
    """Outcome of one attempt at a backend server; the values are metric labels."""

    DONE = "done"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    FAILED = "failed"
    TIMEOUT = "timeout"


@dataclass(slots=True)
class Job:
    """A request in flight and the state of its attempts.

    :param started_at: monotonic time at which the request had been read completely
    :param deadline: monotonic time by which the response must be complete
    :param reserved: prepaid tokens that are reserved for it
    :param sent: number of times the request was sent
    :param runs: number of sends that may have been executed
    :param refused: number of refused connections
    :param excluded: ids of backend servers that are not tried again
    :param failed_response: last 5xx response, returned to the caller if no retry succeeds
    :param server: id of the backend server of the current attempt
    :param failed_answer: number of that response in the account of answers
    :param origin: version that began the stream, ``None`` before its first event
    :param broken_at: monotonic time by which the stream to be resumed had broken off, or was silent
    :param admitted_at: monotonic time at which a backend server takes requests again by what it
        has said, ``None`` if that was not why the request was not sent
    :param is_link_full: whether it was not sent because of the load of the gateway's network link
    :param send_by: monotonic time at which the permit to send it to a cold server expires
    :param limit: limit in requests per second that the last response named
    :param status: HTTP status of the response to the caller
    :param is_delivered: whether the caller has been sent any part of a successful response
    :param first_event_at: monotonic time at which the first event was relayed to the caller
    :param is_probe: whether it is the one request that runs after the expiry of a block
    """

    request: CallerRequest
    route: Route
    service: RoutedService
    customer: RoutedCustomer | None
    exchange: CallerExchange
    fingerprint: str
    started_at: float
    deadline: float
    reserved: int = 0
    sent: int = 0
    runs: int = 0
    refused: int = 0
    excluded: set[str] = field(default_factory=set)
    event_splitter: EventSplitter = field(default_factory=EventSplitter)
    last_failure: str = ""
    failed_response: tuple[BackendResponse, bytes] | None = None
    failed_answer: int | None = None
    server: str = ""
    origin: Origin | None = None
    broken_at: float = math.inf
    admitted_at: float | None = None
    is_link_full: bool = False
    send_by: float = math.inf
    limit: float | None = None
    status: int = 0
    is_delivered: bool = False
    first_event_at: float | None = None
    is_probe: bool = False

    def drop_failed_response(self) -> None:
        """Forget the error response that would be sent if no retry brings a better one."""
        self.failed_response = None

    @property
    def priority(self) -> int:
        """Priority of the customer, or else of the route; 0 is the highest."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def is_stream(self) -> bool:
        """Whether the response is an event stream."""
        return self.route.kind is RouteKind.STREAM

    @property
    def stream_id(self) -> str:
        """Id of the caller's request that received the first event of the stream."""
        return self.request.resumed_request or self.request.id

    @property
    def is_resumable(self) -> bool:
        """Whether the response is an event stream that may go on at another backend server."""
        return self.is_stream and self.route.resumable

    @property
    def first_ms(self) -> int | None:
        """Milliseconds from the start of the request to the first event relayed to the caller."""
        return (
            None
            if self.first_event_at is None
            else milliseconds(self.first_event_at - self.started_at)
        )

    @property
    def used_tokens(self) -> int:
        """Prepaid tokens used: those of the prompt and of the events, if anything was delivered."""
        prompt = self.request.prompt
        if prompt is None or not self.is_delivered:
            return 0
        output = self.event_splitter.events * self.service.tokens_per_event
        return prompt.tokens + min(prompt.max_output, output)

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt's parts but the last, which belongs to this request alone."""
        return () if self.request.prompt is None else self.request.prompt.parts[:-1]

    @property
    def demand(self) -> BackendDemand:
        """Load that the request places on a backend server."""
        prompt = self.request.prompt
        if prompt is None:
            return BackendDemand("", 1)
        shared = prompt.parts[:-1] or prompt.parts
        affinity = shared[-1] if shared else ""
        work = prompt.tokens + OUTPUT_WEIGHT * prompt.max_output
        own = max(0, prompt.tokens - prompt.shared)
        held = prompt.tokens + prompt.max_output
        return BackendDemand(affinity, work, prompt.shared, own, held, self.service.cache_tokens)


def milliseconds(seconds: float) -> int:
    """Return a duration in whole milliseconds."""
    return round(seconds * 1000)
