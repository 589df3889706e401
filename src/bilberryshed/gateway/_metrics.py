"""Prometheus metrics of a gateway."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from tornado.web import Application, RequestHandler

from bilberryshed.gateway._context import GatewayContext
from bilberryshed.transport import BodylessServer, CallerListener, log_loop_lag, logger

LATENCIES = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0)  # seconds
PREFIX = "bilberryshed"


class GatewayMetrics:
    """Counters, gauges and histograms of a gateway.

    :param context: state that the gauges report
    """

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.registry = CollectorRegistry()
        registry = self.registry
        self.responses = Counter(
            f"{PREFIX}_answers", "Answers to callers", ["status", "reason"], registry=registry
        )
        self.attempts = Counter(
            f"{PREFIX}_attempts", "Attempts at backend servers", ["result"], registry=registry
        )
        self.request_seconds = Histogram(
            f"{PREFIX}_request_seconds",
            "Time from a whole request to the end of its answer",
            ["route_kind"],
            buckets=LATENCIES,
            registry=registry,
        )
        self.first_event_seconds = Histogram(
            f"{PREFIX}_first_event_seconds",
            "Time from a whole request to the first event of its stream",
            buckets=LATENCIES,
            registry=registry,
        )
        self.table_version = Gauge(
            f"{PREFIX}_route_table_version", "Route table in force", registry=registry
        )
        self.backends = Gauge(
            f"{PREFIX}_backend_servers", "Backend servers", ["state"], registry=registry
        )
        self.tokens = Gauge(
            f"{PREFIX}_tokens", "Prepaid tokens", ["customer", "state"], registry=registry
        )
        self.load_age = Gauge(
            f"{PREFIX}_load_report_age_seconds",
            "Age of the oldest report of other gateways' loads",
            registry=registry,
        )
        self.hubs = Gauge(f"{PREFIX}_hubs", "Hubs known to this gateway", registry=registry)
        self.link_use = Gauge(
            f"{PREFIX}_link_use",
            "Use of the VM's network link, as a share of its capacity",
            registry=registry,
        )
        self.link_wait = Gauge(
            f"{PREFIX}_link_wait_seconds",
            "Estimated wait of a byte to be sent over the VM's network link",
            registry=registry,
        )
        self.evacuated = Gauge(
            f"{PREFIX}_evacuated_zone", "Evacuated zones", ["zone"], registry=registry
        )
        self.cut_callers = Counter(
            f"{PREFIX}_cut_callers",
            "Callers' connections that a limit closed",
            ["cause"],
            registry=registry,
        )
        self.held_bytes = Gauge(f"{PREFIX}_held_bytes", "Bytes held for callers", registry=registry)
        self.caller_connections = Gauge(
            f"{PREFIX}_caller_connections", "Open connections of callers", registry=registry
        )
        self.cold_servers = Gauge(
            f"{PREFIX}_cold_servers", "Cold backend servers", ["zone"], registry=registry
        )
        self.loop_lag = Counter(
            f"{PREFIX}_event_loop_lag_seconds",
            "Time by which ticks of the event loop were late",
            registry=registry,
        )
        context.timers.on_lag = self._on_loop_lag
        self.events = Gauge(f"{PREFIX}_events", "Other events", ["event"], registry=registry)

    def _on_loop_lag(self, seconds: float) -> None:
        self.loop_lag.inc(seconds)
        log_loop_lag(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self.table_version.set(self.context.table_version())
        now = self.context.timers.now()
        self.load_age.set(self.context.backends.report_age(now))
        self.hubs.set(len(self.context.hubs.names))
        if self.context.link_meter.capacity > 0:
            self.link_wait.set(self.context.link_meter.send_wait(now))
            self.link_use.set(self.context.link_meter.use)
        views = self.context.backends.views.values()
        self.backends.labels("leaving").set(sum(view.is_leaving for view in views))
        self.backends.labels("avoided").set(sum(view.ejected_until > now for view in views))
        self.backends.labels("all").set(len(views))
        self.evacuated.clear()
        for zone in self.context.backends.evacuated:
            self.evacuated.labels(zone).set(1)
        self.cold_servers.clear()
        for view in views:
            if view.is_cold:
                self.cold_servers.labels(view.server.zone).inc()
        for customer, account in self.context.book.accounts.items():
            self.tokens.labels(customer, "held").set(account.held)
            self.tokens.labels(customer, "reserved").set(account.reserved)
            self.tokens.labels(customer, "granted").set(account.granted)
        for event, count in self.context.metrics.counts.items():
            self.events.labels(event).set(count)
        return generate_latest(self.registry)

    def listen(self, max_connections: int, on_cut: Callable[[str], None]) -> CallerListener | None:
        """Serve the metrics if an address is set.

        :param max_connections: bound on the connections to the page
        :param on_cut: called with the cause when a limit closes one
        :returns: the server, ``None`` if no address is set or it cannot be bound
        """
        address = self.context.settings.metrics_listen
        if address is None:
            return None
        application = Application([(r"/.*", MetricsHandler, {"metrics": self})])
        server = CallerListener(
            BodylessServer(application),
            max_connections=max_connections,
            on_cut=on_cut,
            clock=self.context.timers.responsive_time,
            closes_oldest=True,
        )
        try:
            server.listen(address.port, address.host)
        except OSError as error:
            logger().error("metrics_not_served", address=str(address), error=str(error))
            return None
        return server


class MetricsHandler(RequestHandler):
    """Handler of the metrics page."""

    def initialize(self, metrics: GatewayMetrics) -> None:
        """Store the metrics."""
        self.metrics = metrics

    def get(self) -> None:
        """Respond with all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.metrics.render())
