"""Logs which backend servers are paced, and tells the pacing the number of gateways."""

from prometheus_client import CollectorRegistry, Gauge

from bilberryshed.coordination.pacing import PaceChange, Pacing
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.transport import logger

REPORT_INTERVAL = 0.25  # seconds between updates of the number of gateways


class PaceReports:
    """Log lines and the gauge of the pacing; nothing at all if it is off.

    :param registry: metrics registry of the gateway
    """

    __slots__ = ("context", "registry")

    def __init__(self, context: GatewayContext, registry: CollectorRegistry) -> None:
        self.context = context
        self.registry = registry

    def start(self) -> None:
        """Register the gauge and subscribe to timers, unless the setting is off."""
        pacing = self.context.backends.pacing
        if pacing is None:
            return
        gauge = Gauge(
            "bilberryshed_paced_servers", "Backend servers that are paced", registry=self.registry
        )
        gauge.set_function(lambda: len(pacing.paces))
        self.context.timers.subscribe(REPORT_INTERVAL, lambda now: self._report(pacing))

    def _report(self, pacing: Pacing) -> None:
        pacing.gateways = self.context.gateway_count()
        for change in pacing.pop_changes():
            _log(change)


def _log(change: PaceChange) -> None:
    if change.cause:
        logger().info(
            "server_pacing", server=change.server, service=change.service, cause=change.cause
        )
    else:
        logger().info(
            "server_paced",
            server=change.server,
            service=change.service,
            seconds=round(change.seconds, 3),
        )
