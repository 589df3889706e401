"""Checks a caller's request, reserves what it may use, has it forwarded, and settles."""

import random
from dataclasses import dataclass

import xxhash
from returns.result import Failure

from bilberryshed.gateway._caller_exchange import CallerExchange
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._dialect import CallerRequest
from bilberryshed.gateway._forwarder import Forwarder, Job, Outcome
from bilberryshed.gateway._metrics import GatewayMetrics
from bilberryshed.gateway._prepaid_funds import PrepaidFunds, Shortage
from bilberryshed.state import Route, RoutedCustomer
from bilberryshed.transport import logger

SOON = 0.5  # seconds after which a refused caller should come back
ELSEWHERE = 0.1  # seconds after which a caller should come back to another gateway
FUNDS_SOON = 1.0  # seconds after which tokens that are out of reach may be back


@dataclass(slots=True, frozen=True)
class Refusal:
    """An answer of the gateway's own.

    :param status: HTTP status
    :param cause: one word for metrics
    :param reason: what happened, for the caller
    :param retry_after: seconds after which the caller should come back, ``None`` for not at all
    """

    status: int
    cause: str
    reason: str
    retry_after: float | None = None


class Admission:
    """The way of one request through the gateway."""

    __slots__ = ("context", "funds", "metrics", "forwarder")

    def __init__(
        self, context: GatewayContext, funds: PrepaidFunds, metrics: GatewayMetrics
    ) -> None:
        self.context = context
        self.funds = funds
        self.metrics = metrics
        self.forwarder = Forwarder(context)

    async def answer(self, exchange: CallerExchange) -> Refusal | None:
        """Serve a request that has been read.

        :returns: the refusal that is left to be sent, ``None`` if the caller has its answer
        """
        began = self.context.timers.now()
        headers = exchange.header_list()
        exchange.request_id = self.context.dialect.request_id(headers)
        if self.context.closing:
            # What begins this late on a kept channel might be cut off by the end of the process.
            return Refusal(503, "stopping", "this gateway is stopping", ELSEWHERE)
        if exchange.oversized:
            return Refusal(413, "body", f"the body has {exchange.size} bytes, more than allowed")
        index = self.context.index
        if index is None:
            return Refusal(503, "no_table", "no route table is in force yet", SOON)
        read = self.context.dialect.read_request(
            exchange.method, exchange.target, headers, b"".join(exchange.body)
        )
        if isinstance(read, Failure):
            fault = read.failure()
            return Refusal(fault.status, "malformed", fault.reason)
        request = read.unwrap()
        route = index.route(request.host, request.path)
        if route is None:
            return Refusal(404, "route", f"no route for {request.host!r} {request.path!r}")
        customer = None
        if index.table.keyed and not route.anonymous:
            customer = index.customer(request.key)
            if customer is None:
                return Refusal(401, "key", "the key is not known")
        return await self._fund(exchange, request, route, customer, began)

    async def _fund(
        self,
        exchange: CallerExchange,
        request: CallerRequest,
        route: Route,
        customer: RoutedCustomer | None,
        began: float,
    ) -> Refusal | None:
        """Reserve what the request may use, run it, and settle what it used."""
        index = self.context.index
        assert index is not None
        service = index.table.services[index.service(route, random.random())]
        job = Job(
            request,
            route,
            service,
            customer,
            exchange,
            _fingerprint(request),
            began,
            began + min(request.patience, route.timeout),
        )
        if self.context.crashes.is_blocked(began, job.fingerprint):
            return Refusal(503, "convicted", "requests like this one crash backend servers")
        prompt = request.prompt
        if prompt is None or customer is None or customer.prepaid is None:
            return await self._run(job)
        tokens = prompt.tokens + prompt.max_output
        if tokens > customer.prepaid:
            return Refusal(
                402, "spent", f"{tokens} tokens are more than {customer.name} has paid for"
            )
        reserved = await self.funds.reserve(customer.name, tokens)
        if isinstance(reserved, Failure):
            self._log_shortage(request.id, customer.name, tokens, reserved.failure())
            return self._unfunded(reserved.failure(), customer.name, tokens)
        try:
            return await self._run(job)
        finally:
            output = min(prompt.max_output, job.cutter.events * service.tokens_per_event)
            spent = prompt.tokens + output if job.runs else 0
            self.funds.settle(customer.name, tokens, spent)
            logger().info("tokens", request=request.id, customer=customer.name, spent=spent)

    def _log_shortage(self, id_: str, customer: str, tokens: int, shortage: Shortage) -> None:
        account, row = self.context.book.account(customer), self.funds.pool.seen.get(customer)
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
            peers=sorted(self.context.peer_links),
        )

    def _unfunded(self, shortage: Shortage, customer: str, tokens: int) -> Refusal:
        if shortage is Shortage.SPENT:
            return Refusal(402, "spent", f"{customer} has less than {tokens} tokens left")
        return Refusal(
            503, "funds", f"the tokens left of {customer} cannot be reached now", FUNDS_SOON
        )

    async def _run(self, job: Job) -> Refusal | None:
        outcome = await self.forwarder.run(job)
        took = self.context.timers.now() - job.began
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
            events=job.cutter.events,
            first_ms=job.first_ms,
            ms=round(took * 1000),
            cause=job.last_failure,
            failed=outcome is not Outcome.DONE,
        )
        self.metrics.seconds.labels(job.route.kind).observe(took)
        self.metrics.attempts.labels(outcome).inc()
        if job.first_event_at is not None:
            self.metrics.first_byte.observe(job.first_event_at - job.began)
        if outcome is Outcome.DONE:
            self.metrics.answers.labels(job.status, "answer").inc()
            return None
        if outcome is Outcome.NOT_RUN and not job.runs:
            return Refusal(
                503, "not_run", f"not run: {job.last_failure or 'no backend server'}", SOON
            )
        if job.failed_answer is not None and not job.exchange.started:
            answer, body = job.failed_answer
            job.exchange.answer(answer.status, answer.headers, body)
            return None
        if outcome is Outcome.TIMEOUT:
            return Refusal(504, "timeout", "no answer in time")
        return Refusal(502, "broken", job.last_failure)


def _fingerprint(request: CallerRequest) -> str:
    """Return what requests of the same content by the same caller share."""
    text = f"{request.key}\n{request.method} {request.target}\n".encode()
    return xxhash.xxh3_128_hexdigest(text + request.body)
