"""The gateway: its parts, its servers, its life, and a graceful stop."""

import asyncio
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from bilberryshed.gateway._admission import Admission, Refusal
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._caller_exchange import CallerExchange, CallerServer
from bilberryshed.gateway._context import GatewayContext, GatewayPorts
from bilberryshed.gateway._followers import BackendWatch, RouteTableWatch
from bilberryshed.gateway._load_sharing import LoadSharing
from bilberryshed.gateway._metrics import GatewayMetrics
from bilberryshed.gateway._peers import Peers
from bilberryshed.gateway._prepaid_funds import PrepaidFunds
from bilberryshed.gateway._succession import Succession
from bilberryshed.protocol import (
    BackendsNotice,
    CrashNotice,
    LoadNotice,
    RouteTableNotice,
    RouteTableRequest,
    RouteTableVersion,
)
from bilberryshed.state import CallerLimits, GatewaySettings
from bilberryshed.transport import Link, logger

BACKLOG = 1024  # channels waiting to be accepted
READ_FACTOR = 2  # of the largest body, up to which one is read so as to be refused in words
PRUNE_INTERVAL = 1.0  # seconds
UNREADY_TIME = 2.6  # seconds after SIGTERM until no new channel comes
DRAIN_MARGIN = 0.9  # seconds before SIGKILL by which the stop is complete
DRAIN_POLL = 0.05  # seconds


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
    """One gateway.

    :param began: monotonic time at which this lifetime had begun, by default the process
    """

    def __init__(
        self, settings: GatewaySettings, ports: GatewayPorts, began: float | None = None
    ) -> None:
        self.settings = settings
        self.context = GatewayContext(settings, ports, began)
        self.recorder = BoundsRecorder(self.context)
        self.funds = PrepaidFunds(self.context, self.recorder)
        self.succession = Succession(self.context, self.funds.pool)
        self.tables = RouteTableWatch(self.context, self._on_table)
        self.servers = BackendWatch(self.context)
        self.loads = LoadSharing(self.context)
        self.peers = Peers(self.context, self._message_handlers())
        self.peers.greeting = [
            self.tables.announcement,
            self.servers.notice,
            self.funds.peers.notice,
        ]
        self.http: HTTPServer | None = None
        self.running = 0
        self.metrics = GatewayMetrics(self.context)
        self.admission = Admission(self.context, self.funds, self.metrics)

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
        self.loads.start()
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
        self.context.closing = True
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
            **self.funds.peers.handlers(),
            RouteTableVersion: self.tables.on_version,
            RouteTableRequest: self.tables.on_request,
            RouteTableNotice: self.tables.on_notice,
            BackendsNotice: self.servers.on_notice,
            CrashNotice: self._on_crash_notice,
            LoadNotice: self.loads.on_notice,
        }

    def _on_crash_notice(self, link: Link, notice: CrashNotice) -> None:
        self.context.crashes.record_crash(self.context.timers.now(), notice.fingerprint, notice.run)

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
            refusal = await self.admission.answer(exchange)
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
