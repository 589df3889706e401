"""The gateway: components, listeners, startup and graceful shutdown."""

import asyncio
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from bilberryshed.gateway._admission import RETRY_AFTER_STOPPING, Admission, Refusal
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._caller_exchange import CallerExchange, CallerServer
from bilberryshed.gateway._caller_limits import PAGE_CONNECTIONS, CallerLimiter
from bilberryshed.gateway._context import GatewayContext, GatewayPorts
from bilberryshed.gateway._evacuation_orders import EvacuationOrders
from bilberryshed.gateway._followers import BackendUpdater, RouteTableUpdater
from bilberryshed.gateway._link_load import LinkLoad
from bilberryshed.gateway._load_sharing import LoadSharing
from bilberryshed.gateway._metrics import GatewayMetrics
from bilberryshed.gateway._pace_reports import PaceReports
from bilberryshed.gateway._peers import Peers
from bilberryshed.gateway._predecessor_cleanup import PredecessorCleanup
from bilberryshed.gateway._prepaid_funds import PrepaidFunds
from bilberryshed.gateway._server_limits import ServerLimits
from bilberryshed.gateway._stream_directory import StreamDirectory
from bilberryshed.protocol import (
    BackendsNotice,
    BackendsRequest,
    LoadNotice,
    LoadSummary,
    RouteTableRequest,
    RouteTableResponse,
    RouteTableVersion,
)
from bilberryshed.state import CallerLimits, GatewaySettings
from bilberryshed.transport import BodylessServer, CallerListener, logger

LISTEN_BACKLOG = 1024  # connections waiting to be accepted
RETRY_AFTER_MEMORY = 0.5  # seconds until a caller whose body had to give way should retry
PRUNE_INTERVAL = 1.0  # seconds between removals of idle connections
DEREGISTRATION_DELAY = 2.6  # seconds after SIGTERM until no new connections arrive
DRAIN_MARGIN = 0.9  # seconds before SIGKILL by which the shutdown must be complete
STOP_REQUESTS_TIME = 0.2  # seconds at most until requests that are stopped have ended
DRAIN_POLL_INTERVAL = 0.05  # seconds between checks during a shutdown


class ReadyHandler(RequestHandler):
    """Handler of the readiness probe."""

    def initialize(self, owner: "Gateway") -> None:
        """Store the gateway."""
        self.owner = owner

    def get(self) -> None:
        """Respond 200 while new connections should be routed here, else 503."""
        ready = self.owner.is_ready()
        self.set_status(200 if ready else 503)
        self.finish(b"ready\n" if ready else b"not ready\n")


class Gateway:
    """A gateway process.

    :param started_at: monotonic time in seconds at which this incarnation was running, so that its
        predecessor had ended; by default the start of the process
    :param exchanges: requests in flight
    """

    def __init__(
        self, settings: GatewaySettings, ports: GatewayPorts, started_at: float | None = None
    ) -> None:
        self.settings = settings
        self.context = GatewayContext(settings, ports, started_at)
        self.recorder = BoundsRecorder(self.context)
        self.funds = PrepaidFunds(self.context, self.recorder)
        self.predecessor_cleanup = PredecessorCleanup(self.context, self.funds.pool_sync)
        self.limits = ServerLimits(self.context)
        self.evacuations = EvacuationOrders(self.context, self.limits.cold.on_zone_restored)
        self.route_table_updater = RouteTableUpdater(self.context, self._on_table, self.evacuations)
        self.backend_updater = BackendUpdater(self.context)
        self.load_sharing = LoadSharing(self.context)
        self.context.on_load_change = self.load_sharing.on_change
        self.link_load = LinkLoad(self.context)
        self.streams = StreamDirectory(self.context, self.backend_updater.refresh)
        self.context.on_server_restart = self.streams.on_restart
        self.peers = Peers(self.context, self._message_handlers(), self.load_sharing.remove_peer)
        self.peers.initial_message_factories = [
            self.route_table_updater.announcement,
            self.backend_updater.request,
            self.funds.peers.notice,
            self.context.quarantine.summary,
            self.limits.summary,
            self.limits.cold.summary,
            self.link_load.summary,
            self.evacuations.notice,
        ]
        self.byte_counter = self.context.byte_counter
        self.http: CallerListener | None = None
        self.exchanges: set[CallerExchange] = set()
        self.metrics = GatewayMetrics(self.context)
        self.limiter = CallerLimiter(self.context, self.metrics, self._evict)
        self.admission = Admission(
            self.context, self.funds, self.metrics, self.limits, self.streams, self.link_load
        )

    # Lifecycle ------------------------------------------------------------------------------

    async def serve_until(self, stop: asyncio.Event) -> bool:
        """Serve until the event is set, then drain the requests in flight.

        :returns: whether all requests were finished
        """
        self.context.timers.watch_loop()
        http = self.http = self._listen()
        self._apply_limits()
        ready = self._listen_ready()
        metrics = self.metrics.listen(PAGE_CONNECTIONS, self.limiter.on_cut)
        self.limiter.start(http, ready, metrics)
        await self.peers.start()
        self.recorder.start()
        self.funds.start()
        self.spawn(self.predecessor_cleanup.run())
        for follower in (self.route_table_updater.follower, self.backend_updater):
            self.spawn(follower.run())
        self.context.timers.subscribe(PRUNE_INTERVAL, self._prune)
        self.load_sharing.start()
        self.link_load.start(http)
        self.context.quarantine.start()
        self.limits.start()
        self.evacuations.start()
        PaceReports(self.context, self.metrics.registry).start()
        self.streams.start()
        logger().info("started", boot=self.context.boot, listen=str(self.settings.listen))
        await stop.wait()
        finished = await self._drain(http)
        ready.stop()
        if metrics is not None:
            metrics.stop()
        return finished

    def is_ready(self) -> bool:
        """Whether new connections should be routed to this gateway."""
        configured = self.context.index is not None and bool(self.context.backends.views)
        return configured and not self.context.draining and not self.link_load.is_away

    def spawn(self, coroutine: Any) -> "asyncio.Future[Any]":
        """Run a coroutine on the event loop."""
        return self.context.spawn(coroutine)

    async def _drain(self, http: CallerListener) -> bool:
        """Accept connections until no more arrive, finish requests in flight, settle the tokens.

        :returns: whether all requests were finished
        """
        started_at = self.context.timers.now()
        self.context.draining = self.context.book.draining = True
        self.context.hubs.set_available(self.settings.name, False)
        self.funds.peers.announce_drain()
        self.spawn(self.funds.pool_sync.sync({}))
        http.conn_params.no_keep_alive = True
        logger().info("draining", running=len(self.exchanges))
        deadline = started_at + self.settings.drain_time - DRAIN_MARGIN
        while self.context.timers.now() < min(deadline, started_at + DEREGISTRATION_DELAY):
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        http.stop()
        self.context.closing = True
        while self.exchanges and self.context.timers.now() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        remaining = len(self.exchanges)
        await self._stop_requests()
        await self.peers.unregister()
        settled = await self.funds.close()
        logger().info("drained", unfinished=remaining, settled=settled)
        await self.peers.close()
        await http.close_all_connections()
        self.context.timers.close()
        return remaining == 0

    async def _stop_requests(self) -> None:
        """End the requests in flight, so that their callers are told and their tokens settled."""
        for exchange in self.exchanges:
            exchange.stop()
        tasks = [exchange.task for exchange in self.exchanges if exchange.task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=STOP_REQUESTS_TIME)

    def _prune(self, now: float) -> None:
        self.context.connections.prune(now)
        self.context.backends.prune(now)

    def _on_table(self) -> None:
        self.funds.on_table()
        self._apply_limits()

    def _apply_limits(self) -> None:
        """Apply the limits of the active route table to the callers' listener."""
        index = self.context.index
        if self.http is None or index is None:
            return
        limits = index.table.limits
        self.http.conn_params.max_header_size = limits.header_bytes
        self.http.idle_timeout = limits.idle_timeout
        self._apply_caller_settings()

    def _apply_caller_settings(self) -> None:
        self.limiter.apply_total()
        if self.http is not None:
            self.http.max_connections = self.limiter.max_connections()
            self.http.max_fields = self.settings.header_fields

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings; addresses and names take effect at the next start only."""
        self.settings = self.context.settings = settings
        retries = self.context.retries
        retries.ratio = settings.retry_ratio
        retries.window = settings.retry_window
        retries.slack = settings.retry_slack
        self.context.book.horizon = settings.grant_horizon
        self._apply_caller_settings()
        logger().info("settings_applied")

    def _message_handlers(self) -> dict[type, Any]:
        return {
            **self.funds.handlers(),
            **self.context.quarantine.handlers(),
            **self.limits.handlers(),
            **self.link_load.handlers(),
            **self.evacuations.handlers(),
            **self.streams.handlers(),
            RouteTableVersion: self.route_table_updater.on_version,
            RouteTableRequest: self.route_table_updater.on_request,
            RouteTableResponse: self.route_table_updater.on_response,
            BackendsNotice: self.backend_updater.on_notice,
            BackendsRequest: self.backend_updater.on_request,
            LoadNotice: self.load_sharing.on_notice,
            LoadSummary: self.load_sharing.on_summary,
        }

    # HTTP -----------------------------------------------------------------------------------

    def _listen(self) -> CallerListener:
        limits = CallerLimits()
        fields = self.context.dialect.refusal_headers(None)
        server = CallerListener(
            CallerServer(self),
            max_connections=self.limiter.max_connections(),
            on_cut=self.limiter.on_cut,
            max_fields=self.settings.header_fields,
            refusal_fields="".join(f"{name}: {value}\r\n" for name, value in fields).encode(),
            max_header_size=limits.header_bytes,
            clock=self.context.timers.responsive_time,
            idle_timeout=limits.idle_timeout,
        )
        server.listen(self.settings.listen.port, self.settings.listen.host, backlog=LISTEN_BACKLOG)
        return server

    def _listen_ready(self) -> CallerListener:
        limits = CallerLimits()
        application = Application([(r"/.*", ReadyHandler, {"owner": self})])
        server = CallerListener(
            BodylessServer(application),
            max_connections=PAGE_CONNECTIONS,
            on_cut=self.limiter.on_cut,
            closes_oldest=True,
            max_header_size=limits.header_bytes,
            clock=self.context.timers.responsive_time,
            idle_timeout=limits.idle_timeout,
        )
        address = self.settings.ready_listen
        server.listen(address.port, address.host)
        return server

    def judge(self, exchange: CallerExchange) -> None:
        """Refuse a request on its head, before its body is read, if it cannot be served."""
        judged = self.admission.judge(exchange)
        if isinstance(judged, Refusal):
            self._refuse(exchange, judged)
            self.limiter.release(exchange)
        else:
            exchange.judged = judged
            exchange.has_key = judged.customer is not None

    def hold(self, exchange: CallerExchange) -> None:
        """Account for what has arrived of a request; it may be refused."""
        self.limiter.hold(exchange)

    def _evict(self, exchange: CallerExchange) -> None:
        """Refuse a request whose body is not read completely, as too much is held."""
        reason = "not run: this gateway holds too many unfinished requests"
        self.limiter.on_cut("memory")
        self._refuse(exchange, Refusal(503, "memory", reason, RETRY_AFTER_MEMORY))

    def body_limit(self) -> int:
        """Return the largest accepted body size in bytes."""
        index = self.context.index
        return index.table.limits.body_bytes if index else CallerLimits().body_bytes

    async def serve(self, exchange: CallerExchange) -> None:
        """Respond to a request that has been read completely."""
        self.exchanges.add(exchange)
        try:
            refusal = await self.admission.respond(exchange)
            if refusal is not None:
                self._refuse(exchange, refusal)
        except (asyncio.CancelledError, StreamClosedError):
            if exchange.is_stopped and not exchange.started:
                self._refuse(exchange, _stopped_refusal(exchange))
                return
            logger().info(
                "caller_gone",
                request=exchange.request_id,
                target=exchange.target,
                started=exchange.started,
            )
            exchange.abort()
        except Exception:
            logger().exception("request_failed", target=exchange.target)
            self._refuse(exchange, Refusal(502, "internal", "internal error"))
        finally:
            self.exchanges.discard(exchange)
            self.limiter.release(exchange)

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
        self.metrics.responses.labels(refusal.status, refusal.cause).inc()
        if exchange.started:
            exchange.abort()
            return
        headers = self.context.dialect.refusal_headers(refusal.retry_after)
        headers.append(("Content-Type", "text/plain; charset=utf-8"))
        exchange.respond(refusal.status, headers, refusal.reason.encode() + b"\n")


def _stopped_refusal(exchange: CallerExchange) -> Refusal:
    """Return the refusal of a request that was not answered before the gateway had to stop."""
    if exchange.is_sent:
        return Refusal(504, "stopped", "no answer before this gateway had to stop")
    return Refusal(503, "stopped", "not run: this gateway stops", RETRY_AFTER_STOPPING)
