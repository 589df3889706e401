"""State shared by the components of a gateway."""

import asyncio
from collections.abc import Callable, Coroutine, Generator, Iterable
from dataclasses import dataclass, field
from typing import Any

from returns.result import Result

from bilberryshed import PROCESS_STARTED_AT
from bilberryshed.coordination import (
    BackendPool,
    Departures,
    Hubs,
    PrepaidBook,
    QuarantinePolicy,
    RetryBudget,
    RouteHistory,
    RouteIndex,
    SpendingBounds,
    shard_of,
)
from bilberryshed.coordination.admission import ByteCounter, LinkMeter
from bilberryshed.coordination.pacing import Pacing
from bilberryshed.gateway._dialect import Dialect
from bilberryshed.gateway._epoch_recovery import EpochRecovery
from bilberryshed.protocol import Finding, encode
from bilberryshed.state import (
    QUARANTINE,
    BackendServer,
    ChangeFeed,
    ClockedTableService,
    GatewaySettings,
    RouteTable,
)
from bilberryshed.transport import (
    BackgroundTasks,
    ConnectionPool,
    Link,
    Metrics,
    QuarantineExchange,
    QuarantinePorts,
    TimerService,
    new_boot_id,
)

SETTLE_TIME = 2.0  # seconds after the start in which most links are established
PHASES = 1000  # different phases of periodic work, spread over one second


@dataclass(slots=True, frozen=True)
class GatewayPorts:
    """Adapters and names that a deployment provides to its gateways.

    :param tables: the gateways' own tables
    :param feed: changes of the tables that operators and backend servers write
    :param decode_table: decodes a route table in short steps, each of which yields the version that
        it states, ``None`` if it states none
    :param route_table: name of the store table with the route table
    :param route_key: key of the route table's row
    :param server_table: name of the table of backend servers
    :param evacuation_prefix: prefix of the keys of rows that order to evacuate a zone; these rows
        are in the table with the route table
    :param byte_counter: counts the bytes on the VM's network link, which the store's client shares
    """

    tables: ClockedTableService
    feed: ChangeFeed
    dialect: Dialect
    decode_table: Callable[[bytes], Generator[int | None, None, Result[RouteTable, Finding]]]
    decode_server: Callable[[str, bytes], Result[BackendServer, Finding]]
    route_table: str
    route_key: str
    server_table: str
    evacuation_prefix: str = "evacuate/"
    byte_counter: ByteCounter = field(default_factory=ByteCounter)


class GatewayContext:
    """Settings, ports and shared state of one gateway.

    :param started_at: monotonic time in seconds at which this incarnation was running, so that its
        predecessor had ended; by default the start of the process

    ``peers_with_store`` are the gateways that last reported that they reach the store and are not
    draining. ``listed`` is whether the store has delivered the list of gateways, ``listed_at`` the
    monotonic time at which the last read of the backend servers began that the store answered, and
    ``listed_epoch`` the epoch of the store then.
    ``on_server_restart`` is called with the id of a backend server that has started again with
    another version. ``draining`` is set on SIGTERM, ``closing`` when new requests start to be
    refused. ``on_load_change`` is called after each change of this gateway's load at backend
    servers.
    """

    def __init__(
        self, settings: GatewaySettings, ports: GatewayPorts, started_at: float | None = None
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.started_at = PROCESS_STARTED_AT if started_at is None else started_at
        self.dialect = ports.dialect
        self.boot = new_boot_id(settings.name)
        self.timers = TimerService(phase=shard_of(self.boot, PHASES) / PHASES)
        self.metrics = Metrics(settings.statsd, "bilberryshed.gateway")
        self.byte_counter = ports.byte_counter
        self.link_meter = LinkMeter(self.byte_counter, settings.bandwidth)
        self.backends = BackendPool(settings.zone, settings.name)
        self.backends.pacing = Pacing(settings.name) if settings.pace else None
        self.connections = ConnectionPool(self.byte_counter, self.timers)
        self.retries = RetryBudget(
            settings.retry_ratio, settings.retry_window, settings.retry_slack
        )
        self.book = PrepaidBook(self.boot, settings.grant_horizon)
        self.spending_bounds = SpendingBounds(self.book)
        self.departures = Departures(self.started_at)
        self.recovery = EpochRecovery(ports.tables, settings.name, self.departures)
        self.index: RouteIndex | None = None
        self.route_history = RouteHistory()
        self.table_data = b""
        self.peer_links: dict[str, Link] = {}
        self.hubs = Hubs(settings.name, settings.zone)
        self.on_load_change: Callable[[], None] = lambda: None
        self.peers_with_store: set[str] = set()
        self.known_gateways: set[str] = set()
        self.listed = False
        self.listed_at = float("-inf")
        self.listed_epoch = -1
        self.on_server_restart: Callable[[str], None] = lambda server: None
        self.draining = False
        self.closing = False
        self.tasks = BackgroundTasks()
        self.quarantine = QuarantineExchange(self._quarantine_ports(), QuarantinePolicy())

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> "asyncio.Future[Any]":
        """Run a coroutine on the event loop; log its failure."""
        return self.tasks.spawn(coroutine)

    async def result_within(self, call: "asyncio.Future[bool]", seconds: float) -> bool:
        """Return the result of a call to the store, which goes on if it takes too long.

        :param seconds: responsive seconds to wait for it
        :returns: ``False`` if it takes longer
        """
        try:
            async with self.timers.timeout(seconds):
                return await asyncio.shield(call)
        except TimeoutError:
            return False

    def _quarantine_ports(self) -> QuarantinePorts:
        tables = self.ports.tables
        return QuarantinePorts(
            name=self.settings.name,
            tables=tables,
            table=QUARANTINE,
            store_clock=lambda: tables.clock,
            store_epoch=lambda: tables.epoch,
            routers=self.peer_links.keys,
            broadcast=self.broadcast,
            spawn=self.spawn,
            timers=self.timers,
            metrics=self.metrics,
        )

    def table_version(self) -> int:
        """Return the version of the active route table, 0 if there is none."""
        return self.index.table.version if self.index else 0

    def prepaid_totals(self) -> dict[str, int]:
        """Return the total of prepaid tokens by customer, for the customers that have one."""
        if self.index is None:
            return {}
        customers = self.index.table.customers.values()
        return {customer.name: customer.prepaid for customer in customers if customer.prepaid}

    def gateway_count(self) -> int:
        """Return the number of known gateways, including this one."""
        return len(self.known_gateways | {self.settings.name})

    def interval_factor(self, peers_per_step: int) -> int:
        """Return the factor by which an interval grows with the number of other hubs.

        :param peers_per_step: hubs that add one more interval
        """
        return 1 + (self.holder_count() - 1) // peers_per_step

    def broadcast(self, message: Any) -> None:
        """Send a message to every linked gateway."""
        data = encode(message)
        for link in self.peer_links.values():
            link.send_encoded(data)

    def send_to(self, names: Iterable[str], message: Any) -> None:
        """Send a message to some of the linked gateways."""
        data = encode(message)
        for name in names:
            if name in self.peer_links:
                self.peer_links[name].send_encoded(data)

    def is_holder(self) -> bool:
        """Whether this gateway holds prepaid tokens ahead of demand.

        Just after its start it does not know yet whether it is a hub. If all gateways of a large
        fleet then held tokens, a common restart would scatter them, and they would all change the
        pools at the same time.
        """
        uptime = self.timers.now() - self.started_at
        linked = 1 + len(self.peer_links)
        is_settled = self.listed and linked * 2 >= self.gateway_count()
        return self.hubs.is_hub and (is_settled or uptime >= SETTLE_TIME)

    def holder_count(self) -> int:
        """Return the number of gateways that hold prepaid tokens, including this one."""
        return len(self.hubs.names | {self.settings.name})
