"""The gateway: callers' requests checked, funded, forwarded or refused; and a graceful stop."""

import asyncio
import random
from dataclasses import dataclass
from typing import Any

import xxhash
from returns.result import Failure
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._caller_exchange import CallerExchange, CallerServer
from bilberryshed.gateway._context import GatewayContext, GatewayPorts
from bilberryshed.gateway._dialect import CallerRequest
from bilberryshed.gateway._followers import BackendWatch, RouteTableWatch
from bilberryshed.gateway._forwarder import Forwarder, Job, Outcome
from bilberryshed.gateway._metrics import GatewayMetrics
from bilberryshed.gateway._peers import Peers
from bilberryshed.gateway._prepaid_funds import PrepaidFunds, Shortage
from bilberryshed.gateway._succession import Succession
from bilberryshed.protocol import (
    BackendsNotice,
    CrashNotice,
    FundsAnswer,
    FundsRequest,
    HoldingsNotice,
    RouteTableNotice,
    RouteTableRequest,
    RouteTableVersion,
    Transfer,
    TransferAck,
)
from bilberryshed.state import CallerLimits, GatewaySettings, Route, RoutedCustomer
from bilberryshed.transport import Link, logger

BACKLOG = 1024  # channels waiting to be accepted
READ_FACTOR = 2  # of the largest body, up to which one is read so as to be refused in words
PRUNE_INTERVAL = 1.0  # seconds
UNREADY_TIME = 2.6  # seconds after SIGTERM until no new channel comes
DRAIN_MARGIN = 0.9  # seconds before SIGKILL by which the stop is complete
DRAIN_POLL = 0.05  # seconds
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


class ReadyHandler(RequestHandler):
    """Readiness probe."""

    def initialize(self, owner: "Gateway") -> None:
        """Keep the gateway."""
        self.owner = owner

    def get(self) -> None:
        """Answer 200 while new channels are welcome."""
        ready = self.owner.is_ready()
        self.set_status(200 if ready else 503)
        self.finish(b"ready\n" if ready else b"not ready\n")


class Gateway:
    """One gateway."""

    def __init__(self, settings: GatewaySettings, ports: GatewayPorts) -> None:
        self.settings = settings
        self.context = GatewayContext(settings, ports)
        self.recorder = BoundsRecorder(self.context)
        self.funds = PrepaidFunds(self.context, self.recorder)
        self.succession = Succession(self.context, self.funds.pool)
        self.tables = RouteTableWatch(self.context, self._on_table)
        self.servers = BackendWatch(self.context)
        self.forwarder = Forwarder(self.context)
        self.peers = Peers(self.context, self._message_handlers())
        self.peers.greeting = [self.tables.announcement, self.servers.notice]
        self.http: HTTPServer | None = None
        self.closing = False
        self.running = 0
        self.metrics = GatewayMetrics(self.context)

    # Life -----------------------------------------------------------------------------------

    async def serve_until(self, stop: asyncio.Event) -> bool:
        """Serve until told to stop, then finish what is running.

        :returns: whether all work was finished
        """
        http = self.http = self._listen()
        self._apply_limits()
        ready = self._listen_ready()
        metrics = self.metrics.listen()
        await self.peers.start()
        self.recorder.start()
        self.funds.start()
        self.spawn(self.succession.run())
        for follower in (self.tables.follower(), self.servers.follower()):
            self.spawn(follower.run())
        self.context.timers.subscribe(PRUNE_INTERVAL, self._prune)
        logger().info("started", boot=self.context.boot, listen=str(self.settings.listen))
        await stop.wait()
        finished = await self._drain(http)
        ready.stop()
        if metrics is not None:
            metrics.stop()
        return finished

    def is_ready(self) -> bool:
        """Whether new channels are welcome."""
        known = self.context.index is not None and bool(self.context.backends.views)
        return known and not self.context.draining

    def spawn(self, coroutine: Any) -> "asyncio.Future[Any]":
        """Run a coroutine on the loop."""
        return self.context.spawn(coroutine)

    async def _drain(self, http: HTTPServer) -> bool:
        """Take new channels until no more come, finish what runs, settle the tokens."""
        began = self.context.timers.now()
        self.context.draining = self.context.book.draining = True
        self.spawn(self.funds.pool.sync({}))
        http.conn_params.no_keep_alive = True
        logger().info("draining", running=self.running)
        limit = began + self.settings.drain_time - DRAIN_MARGIN
        while self.context.timers.now() < min(limit, began + UNREADY_TIME):
            await asyncio.sleep(DRAIN_POLL)
        http.stop()
        self.closing = True
        while self.running and self.context.timers.now() < limit:
            await asyncio.sleep(DRAIN_POLL)
        left = self.running
        settled = await self.funds.pool.close()
        if settled:
            await self.recorder.forget()
        logger().info("drained", unfinished=left, settled=settled)
        await self.peers.close()
        await http.close_all_connections()
        self.context.timers.close()
        return left == 0

    def _prune(self, now: float) -> None:
        self.context.channels.prune(now)
        self.context.crashes.prune(now)

    def _on_table(self) -> None:
        self.funds.on_table()
        self._apply_limits()

    def _apply_limits(self) -> None:
        """Give the callers' server the limits of the table in force."""
        index = self.context.index
        if self.http is None or index is None:
            return
        limits, params = index.table.limits, self.http.conn_params
        params.max_header_size = limits.header_bytes
        params.max_body_size = limits.body_bytes * READ_FACTOR
        params.header_timeout = limits.idle_timeout

    def use_settings(self, settings: GatewaySettings) -> None:
        """Put new settings into force; addresses and names stay until the next start."""
        self.settings = self.context.settings = settings
        retries = self.context.retries
        retries.ratio = settings.retry_ratio
        retries.window = settings.retry_window
        retries.slack = settings.retry_slack
        self.context.book.horizon = settings.grant_horizon
        logger().info("settings_applied")

    def _message_handlers(self) -> dict[type, Any]:
        return {
            HoldingsNotice: self.funds.peers.on_holdings,
            FundsRequest: self.funds.peers.on_request,
            FundsAnswer: self.funds.peers.on_answer,
            Transfer: self.funds.peers.on_transfer,
            TransferAck: self.funds.peers.on_ack,
            RouteTableVersion: self.tables.on_version,
            RouteTableRequest: self.tables.on_request,
            RouteTableNotice: self.tables.on_notice,
            BackendsNotice: self.servers.on_notice,
            CrashNotice: self._on_crash_notice,
        }

    def _on_crash_notice(self, link: Link, notice: CrashNotice) -> None:
        self.context.crashes.strike(self.context.timers.now(), notice.fingerprint, notice.run)

    # HTTP -----------------------------------------------------------------------------------

    def _listen(self) -> HTTPServer:
        limits = CallerLimits()
        server = HTTPServer(
            CallerServer(self),
            max_body_size=limits.body_bytes * READ_FACTOR,
            max_header_size=limits.header_bytes,
            idle_connection_timeout=limits.idle_timeout,
        )
        server.listen(self.settings.listen.port, self.settings.listen.host, backlog=BACKLOG)
        return server

    def _listen_ready(self) -> HTTPServer:
        application = Application([(r"/.*", ReadyHandler, {"owner": self})])
        server = HTTPServer(application)
        address = self.settings.ready_listen
        server.listen(address.port, address.host)
        return server

    def body_limit(self) -> int:
        """Return the largest body accepted, in bytes."""
        index = self.context.index
        return index.table.limits.body_bytes if index else CallerLimits().body_bytes

    async def serve(self, exchange: CallerExchange) -> None:
        """Answer a request that has been read."""
        self.running += 1
        try:
            refusal = await self._answer(exchange)
            if refusal is not None:
                self._refuse(exchange, refusal)
        except (asyncio.CancelledError, StreamClosedError):
            logger().info(
                "caller_gone",
                request=exchange.request_id,
                target=exchange.target,
                started=exchange.started,
            )
            exchange.break_off()
        except Exception:
            logger().exception("request_failed", target=exchange.target)
            self._refuse(exchange, Refusal(502, "internal", "internal error"))
        finally:
            self.running -= 1

    def _refuse(self, exchange: CallerExchange, refusal: Refusal) -> None:
        logger().info(
            "refused",
            request=exchange.request_id,
            failed=True,
            status=refusal.status,
            cause=refusal.cause,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            started=exchange.started,
        )
        self.metrics.answers.labels(refusal.status, refusal.cause).inc()
        if exchange.started:
            exchange.break_off()
            return
        headers = self.context.dialect.refusal_headers(refusal.retry_after)
        headers.append(("Content-Type", "text/plain; charset=utf-8"))
        exchange.answer(refusal.status, headers, refusal.reason.encode() + b"\n")

    # Admission ------------------------------------------------------------------------------

    async def _answer(self, exchange: CallerExchange) -> Refusal | None:
        began = self.context.timers.now()
        headers = exchange.header_list()
        exchange.request_id = self.context.dialect.request_id(headers)
        if self.closing:
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
        if self.context.crashes.is_convicted(began, job.fingerprint):
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

    def _table_version(self) -> int:
        index = self.context.index
        return index.table.version if index else 0

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
            table=self._table_version(),
            outcome=outcome,
            status=job.status,
            server=job.server,
            sent=job.sent,
            runs=job.runs,
            events=job.cutter.events,
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
