"""Validates a caller's request, reserves its tokens, forwards it and settles the reservation."""

from dataclasses import dataclass, replace

import xxhash
from returns.result import Failure

from bilberryshed.coordination import RouteIndex, Shortage, shard_of, split_point
from bilberryshed.coordination.admission import LinkDemand
from bilberryshed.coordination.places import home_regions, is_allowed
from bilberryshed.gateway._caller_exchange import CallerExchange
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._dialect import CallerRequest
from bilberryshed.gateway._forwarder import Forwarder
from bilberryshed.gateway._job import AttemptOutcome, Job, milliseconds
from bilberryshed.gateway._link_load import LinkLoad
from bilberryshed.gateway._metrics import GatewayMetrics
from bilberryshed.gateway._prepaid_funds import PrepaidFunds
from bilberryshed.gateway._server_limits import ServerLimits
from bilberryshed.gateway._stream_directory import StreamDirectory
from bilberryshed.state import Route, RoutedCustomer
from bilberryshed.transport import logger

RETRY_AFTER_UNAVAILABLE = 0.5  # seconds until a refused caller should retry
MIN_RETRY_AFTER = 0.1  # seconds
MAX_RETRY_AFTER = 3_600.0  # seconds; a backend server may ask for any time
RETRY_AFTER_STOPPING = 0.1  # seconds until a caller should retry at another gateway
MIN_RETRY_AFTER_LINK = 0.02  # seconds; a retry may reach another gateway at once
RETRY_SPREAD = 0.2  # seconds over which the retries of callers refused for the link are spread
RETRY_STEPS = 100  # different times of such retries
RETRY_AFTER_UNFUNDED = 1.0  # seconds until a caller should retry, as tokens may be reachable then


@dataclass(slots=True, frozen=True)
class Judged:
    """A request that was judged on its head, without its body.

    :param index: route table by which it was judged
    """

    index: RouteIndex
    request: CallerRequest
    route: Route
    customer: RoutedCustomer | None


@dataclass(slots=True, frozen=True)
class Refusal:
    """An error response that the gateway itself generates.

    :param status: HTTP status
    :param cause: metric label
    :param reason: error text for the caller
    :param retry_after: seconds until the caller should retry, ``None`` if it should not
    """

    status: int
    cause: str
    reason: str
    retry_after: float | None = None


class Admission:
    """Processes callers' requests from validation to settlement."""

    __slots__ = ("context", "funds", "metrics", "streams", "link_load", "forwarder")

    def __init__(
        self,
        context: GatewayContext,
        funds: PrepaidFunds,
        metrics: GatewayMetrics,
        limits: ServerLimits,
        streams: StreamDirectory,
        link_load: LinkLoad,
    ) -> None:
        self.context = context
        self.funds = funds
        self.metrics = metrics
        self.streams = streams
        self.link_load = link_load
        self.forwarder = Forwarder(context, limits, streams, link_load)

    async def respond(self, exchange: CallerExchange) -> Refusal | None:
        """Process a request that has been read completely.

        :returns: the refusal to send, ``None`` if the caller has been sent a response
        """
        started_at = self.context.timers.now()
        judged = exchange.judged
        if not isinstance(judged, Judged) or self._is_outdated(judged):
            verdict = self.judge(exchange)
            if isinstance(verdict, Refusal):
                return verdict
            judged = verdict
        request = replace(judged.request, body=exchange.take_body())
        return await self._admit(exchange, request, judged.route, judged.customer, started_at)

    def _is_outdated(self, judged: Judged) -> bool:
        return self.context.closing or judged.index is not self.context.index

    def judge(self, exchange: CallerExchange) -> Refusal | Judged:
        """Judge a request on its head; returns the refusal to send if it cannot be served."""
        headers = exchange.header_list()
        exchange.request_id = self.context.dialect.request_id(headers)
        if self.context.closing:
            # A late request on a kept-alive connection could be aborted when the process exits.
            return Refusal(503, "stopping", "this gateway is stopping", RETRY_AFTER_STOPPING)
        if exchange.oversized:
            size = max(exchange.length, exchange.body_size)
            return Refusal(413, "body", f"the body has {size} bytes, more than allowed")
        index = self.context.index
        if index is None:
            return Refusal(
                503, "no_table", "no route table is in force yet", RETRY_AFTER_UNAVAILABLE
            )
        parsed = self.context.dialect.parse_request(exchange.method, exchange.target, headers, b"")
        if isinstance(parsed, Failure):
            error = parsed.failure()
            return Refusal(error.status, "malformed", error.reason)
        request = parsed.unwrap()
        route = index.route(request.host, request.path)
        if route is None:
            return Refusal(404, "route", f"no route for {request.host!r} {request.path!r}")
        customer = None
        if index.table.requires_keys and not route.anonymous:
            customer = index.customer(request.key)
            if customer is None:
                return Refusal(401, "key", "the key is not known")
        return Judged(index, request, route, customer)

    async def _admit(
        self,
        exchange: CallerExchange,
        request: CallerRequest,
        route: Route,
        customer: RoutedCustomer | None,
        started_at: float,
    ) -> Refusal | None:
        """Find the service and, for a stream that is taken up, its origin; then run the request."""
        index = self.context.index
        assert index is not None
        origin = None
        name = index.service(route, split_point(request.id))
        if request.last_event_id and route.resumable:
            services = self.context.route_history.services(
                started_at,
                index,
                route,
                request.resumed_request,
                self.context.recovery.system_age(),
            )
            origin = await self.streams.find(services, request.resumed_request)
            if origin is None or origin.service not in {share.service for share in route.shares}:
                reason = "it is not known which version began the stream"
                return Refusal(503, "origin", reason, RETRY_AFTER_UNAVAILABLE)
            name = origin.service
        service = index.table.services[name]
        job = Job(
            request,
            route,
            service,
            customer,
            exchange,
            _fingerprint(request),
            started_at,
            started_at + min(request.caller_timeout, route.timeout),
            origin=origin,
            broken_at=started_at,
        )
        if self.link_load.must_refuse(_link_demand(job)):
            return _link_refusal(job)
        admittance = self.context.quarantine.admit(job.fingerprint, job.shared_parts)
        if admittance.wait > 0:
            reason = "requests with this content or part of a prompt crash backend servers"
            return Refusal(503, "convicted", reason, admittance.wait)
        job.is_probe = admittance.is_probe
        try:
            return await self._reserve_and_forward(job)
        finally:
            if job.is_probe and not job.runs:
                self.context.quarantine.end_unused_probe(job.fingerprint, job.shared_parts)

    async def _reserve_and_forward(self, job: Job) -> Refusal | None:
        """Reserve the maximum tokens of a request, forward it, and settle the actual use."""
        request, customer = job.request, job.customer
        prompt = request.prompt
        if prompt is None or customer is None or customer.prepaid is None:
            return await self._forward(job)
        tokens = prompt.tokens + prompt.max_output
        if tokens > customer.prepaid:
            return Refusal(
                402, "spent", f"{tokens} tokens are more than {customer.name} has paid for"
            )
        reserved = await self.funds.reserve(customer.name, tokens)
        if isinstance(reserved, Failure):
            self._log_shortage(request.id, customer.name, tokens, reserved.failure())
            return self._shortage_refusal(reserved.failure(), customer.name, tokens)
        job.reserved = tokens
        try:
            return await self._forward(job)
        finally:
            spent = job.used_tokens
            self.funds.settle(customer.name, tokens, spent)
            logger().info(
                "tokens",
                request=request.id,
                customer=customer.name,
                reserved=tokens,
                spent=spent,
                events=job.event_splitter.events,
            )

    def _log_shortage(self, id_: str, customer: str, tokens: int, shortage: Shortage) -> None:
        account, row = (
            self.context.book.account(customer),
            self.funds.pool_sync.known_rows.get(customer),
        )
        logger().info(
            "unfunded",
            request=id_,
            failed=True,
            customer=customer,
            need=tokens,
            shortage=shortage,
            held=account.held,
            free=account.free,
            holders=row.holders if row else None,
            closed=row.closed if row else None,
            hub=self.context.hubs.own,
            peers=sorted(self.context.peer_links),
        )

    def _shortage_refusal(self, shortage: Shortage, customer: str, tokens: int) -> Refusal:
        if shortage is Shortage.EXHAUSTED:
            return Refusal(402, "spent", f"{customer} has less than {tokens} tokens left")
        return Refusal(
            503,
            "funds",
            f"the tokens left of {customer} cannot be reached now",
            RETRY_AFTER_UNFUNDED,
        )

    async def _forward(self, job: Job) -> Refusal | None:
        outcome = await self.forwarder.run(job)
        duration = self.context.timers.now() - job.started_at
        logger().info(
            "request",
            request=job.request.id,
            route=job.route.name,
            customer=job.customer.name if job.customer else None,
            table=self.context.table_version(),
            outcome=outcome,
            status=job.status,
            server=job.server,
            sent=job.sent,
            runs=job.runs,
            events=job.event_splitter.events,
            first_ms=job.first_ms,
            parts="/".join(job.shared_parts),
            limit=job.limit,
            ms=milliseconds(duration),
            cause=job.last_failure,
            failed=outcome is not AttemptOutcome.DONE,
        )
        self.metrics.request_seconds.labels(job.route.kind).observe(duration)
        self.metrics.attempts.labels(outcome).inc()
        if job.first_event_at is not None:
            self.metrics.first_event_seconds.observe(job.first_event_at - job.started_at)
        if outcome is AttemptOutcome.DONE:
            self.metrics.responses.labels(job.status, "answer").inc()
            return None
        if outcome is AttemptOutcome.NOT_RUN and not job.runs:
            return self._not_run_refusal(job)
        if job.failed_response is not None and not job.exchange.started:
            response, body = job.failed_response
            job.exchange.respond(response.status, response.headers, body)
            return None
        if outcome is AttemptOutcome.TIMEOUT:
            return Refusal(504, "timeout", "no answer in time")
        return Refusal(502, "broken", job.last_failure)

    def _not_run_refusal(self, job: Job) -> Refusal:
        """Return the refusal of a request that reached no backend server that took it."""
        if job.is_link_full:
            return _link_refusal(job)
        reason = f"not run: {job.last_failure or 'no backend server'}"
        if job.admitted_at is None:
            return Refusal(503, self._not_run_cause(job), reason, RETRY_AFTER_UNAVAILABLE)
        rest = job.admitted_at - self.context.timers.now()
        wait = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, rest))
        if job.admitted_at >= job.deadline:
            reason += f", for {wait:.1f} s, longer than the caller waits"
        return Refusal(503, "not_run", reason, wait)

    def _not_run_cause(self, job: Job) -> str:
        """Return the cause of a refusal: no server is in a place where the request may go."""
        pool, regions = self.context.backends, self.context.settings.regions
        homes = home_regions(job.route, job.customer)
        serving = pool.serving(job.service.name)
        if homes is not None and not any(
            is_allowed(view.server.zone, homes, regions) for view in serving
        ):
            return "homes"
        return "evacuated" if serving and not pool.usable(job.service.name) else "not_run"


def _link_demand(job: Job) -> LinkDemand:
    """Return what a new request needs of the gateway's network link."""
    is_urgent = job.priority == 0 or bool(job.request.last_event_id)
    return LinkDemand(job.route.latency_target, job.deadline - job.started_at, is_urgent)


def _link_refusal(job: Job) -> Refusal:
    """Return the refusal of a request for which the link is too full; retries are spread by id."""
    delay = RETRY_SPREAD * shard_of(job.request.id, RETRY_STEPS) / RETRY_STEPS
    reason = "not run: the network link of this gateway is full"
    return Refusal(503, "link", reason, MIN_RETRY_AFTER_LINK + delay)


def _fingerprint(request: CallerRequest) -> str:
    """Return a hash that requests with the same key, target and body share."""
    text = f"{request.key}\n{request.method} {request.target}\n".encode()
    return xxhash.xxh3_128_hexdigest(text + request.body)
