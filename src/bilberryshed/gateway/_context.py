"""What the parts of a gateway share."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from returns.result import Result

from bilberryshed import BEGAN
from bilberryshed.coordination import (
    BackendPool,
    CrashTracker,
    PrepaidBook,
    RetryBudget,
    RouteIndex,
    SpendingBounds,
)
from bilberryshed.gateway._dialect import Dialect
from bilberryshed.protocol import CrashNotice, Finding
from bilberryshed.state import BackendServer, ChangeFeed, ClockedTables, GatewaySettings, RouteTable
from bilberryshed.transport import (
    BackgroundTasks,
    ChannelPool,
    Link,
    Metrics,
    TimerService,
    logger,
    new_boot_id,
)


@dataclass(slots=True, frozen=True)
class GatewayPorts:
    """What a deployment gives its gateways.

    :param tables: tables of the gateways' own
    :param feed: tables that operators and backend servers write
    :param route_table: name of the table with the route table, and the key of its row
    :param server_table: name of the table of backend servers
    """

    tables: ClockedTables
    feed: ChangeFeed
    dialect: Dialect
    decode_table: Callable[[bytes], Result[RouteTable, Finding]]
    decode_server: Callable[[str, bytes], Result[BackendServer, Finding]]
    route_table: str
    route_key: str
    server_table: str


class GatewayContext:
    """Settings, ports and decisions of one gateway.

    :param began: monotonic time at which this lifetime had begun, by default the process

    ``store_peers`` are the gateways that said last that they reach the store and go on.
    ``draining`` is set from SIGTERM on; ``closing`` once requests that begin are refused.
    """

    def __init__(
        self, settings: GatewaySettings, ports: GatewayPorts, began: float | None = None
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.began = BEGAN if began is None else began
        self.dialect = ports.dialect
        self.boot = new_boot_id(settings.name)
        self.timers = TimerService()
        self.metrics = Metrics(settings.statsd, "bilberryshed.gateway")
        self.backends = BackendPool(settings.zone)
        self.channels = ChannelPool()
        self.retries = RetryBudget(
            settings.retry_ratio, settings.retry_window, settings.retry_slack
        )
        self.crashes = CrashTracker()
        self.book = PrepaidBook(self.boot, settings.grant_horizon)
        self.schedule = SpendingBounds(self.book)
        self.index: RouteIndex | None = None
        self.table_data = b""
        self.peer_links: dict[str, Link] = {}
        self.store_peers: set[str] = set()
        self.known_routers: set[str] = set()
        self.draining = False
        self.closing = False
        self.tasks = BackgroundTasks()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> "asyncio.Future[Any]":
        """Run a coroutine on the loop; a failure is logged."""
        return self.tasks.spawn(coroutine)

    def table_version(self) -> int:
        """Return the version of the route table in force, 0 before the first."""
        return self.index.table.version if self.index else 0

    def prepaid_totals(self) -> dict[str, int]:
        """Return the tokens paid for in all, by customer, of those that have a total."""
        if self.index is None:
            return {}
        customers = self.index.table.customers.values()
        return {customer.name: customer.prepaid for customer in customers if customer.prepaid}

    def router_count(self) -> int:
        """Return the gateways of the deployment, this one included, as far as known."""
        return len(self.known_routers | {self.settings.name})

    def slowness(self, few: int) -> int:
        """Return how many times less often something is done for the peers that are linked.

        :param few: peers for each further time
        """
        return 1 + len(self.peer_links) // few

    def broadcast(self, message: Any) -> None:
        """Send to every linked gateway."""
        for link in self.peer_links.values():
            link.send(message)

    def note_crash(self, fingerprint: str, run: str) -> None:
        """Note that the channel of a request broke before its first event.

        :param fingerprint: identifies requests of the same content
        :param run: identifies the run, for peers that hear of it twice
        """
        if self.crashes.record_crash(self.timers.now(), fingerprint, run):
            self.broadcast(CrashNotice(fingerprint, run))
            logger().info("crash_strike", fingerprint=fingerprint, run=run)
