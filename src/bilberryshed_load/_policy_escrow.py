"""The fleet's admission in simulated time: real funding services, fake store and links."""

import asyncio
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from bilberryshed.coordination import ActiveSheet, CloseGrant
from bilberryshed.protocol import (
    FundsRequest,
    FundsResponse,
    Hello,
    Transfer,
    TransferAck,
    UsageRecord,
    allocate_tokens,
)
from bilberryshed.runtime import FundingService, RouterContext
from bilberryshed.state import (
    BUDGETS,
    Address,
    Budget,
    BudgetRow,
    ObjectStore,
    Platform,
    Put,
    RouterSettings,
    Row,
    RowRef,
    Sheet,
    StoreError,
    TableService,
    Vm,
    VmList,
    load_settings,
)
from bilberryshed_load._policy_trace import (
    MAX_WAIT,
    ROUTERS_PER_ZONE,
    STORE_ONE_WAY_DELAY,
    ZONES,
    AdmissionPolicy,
    Scenario,
    TraceRequest,
    is_active,
    register_policy,
)
from bilberryshed_standins import MemoryTables

ZONE_ONE_WAY_DELAY = 0.0015  # seconds, one way between zones
LEDGER_COMMIT_DELAY = 0.3  # seconds from the end of a request until its record is committed
RECLAIM_DELAY = 20.0  # seconds from the kill of a router until its grants are reclaimed
CUSTOMER = "council"


class _SimulatedTables(TableService):
    """A table service with latency, outages and a partitioned zone."""

    def __init__(self, policy: "EscrowPolicy", zone: int) -> None:
        self.scenario = policy.scenario
        self.tables = policy.tables
        self.policy = policy
        self.zone = zone

    async def read(self, refs: tuple[RowRef, ...]) -> Result[tuple[Row, ...], StoreError]:
        await asyncio.sleep(STORE_ONE_WAY_DELAY)
        if self._is_unavailable():
            return Failure(StoreError(False, "store is out"))
        rows = self.tables.read([(ref.table, ref.key) for ref in refs])
        await asyncio.sleep(STORE_ONE_WAY_DELAY)
        return Success(tuple(Row(RowRef(t, k), version, value) for t, k, version, value in rows))

    async def write(self, puts: tuple[Put, ...]) -> Result[bool, StoreError]:
        await asyncio.sleep(STORE_ONE_WAY_DELAY)
        if self._is_unavailable():
            return Failure(StoreError(False, "store is out"))
        rows = [(put.ref.table, put.ref.key, put.version, put.value) for put in puts]
        written = self.tables.write(rows)
        self.policy.store_writes += 1
        await asyncio.sleep(STORE_ONE_WAY_DELAY)
        return Success(written)

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> Result[tuple[Row, ...], StoreError]:
        return Failure(StoreError(False, "not used here"))

    def _is_unavailable(self) -> bool:
        is_partitioned = self.zone == len(ZONES) - 1 and is_active(self.scenario.zone_partition)
        return is_partitioned or is_active(self.scenario.store_outage)


class _UnavailableObjects(ObjectStore):
    """An object store that fails every call."""

    async def put_if_absent(self, name: str, data: bytes) -> Result[bool, StoreError]:
        return Failure(StoreError(False, "not used here"))

    async def get(self, name: str) -> Result[bytes | None, StoreError]:
        return Failure(StoreError(False, "not used here"))

    async def names(
        self, prefix: str, after: str, limit: int
    ) -> Result[tuple[str, ...], StoreError]:
        return Failure(StoreError(False, "not used here"))


class _UnavailableVmList(VmList):
    """A VM list that fails every call."""

    async def vms(self) -> Result[tuple[Vm, ...], StoreError]:
        return Failure(StoreError(False, "not used here"))


class _SimulatedLink:
    """A link to another router with latency; partitions and killed routers interrupt it."""

    def __init__(self, fleet: "EscrowPolicy", source: str, target: str) -> None:
        self.fleet = fleet
        self.source = source
        self.target = target

    def send(self, message: Any) -> bool:
        """Deliver after the one-way delay, unless the link is interrupted by then."""
        asyncio.get_running_loop().call_later(ZONE_ONE_WAY_DELAY, self._deliver, message)
        return True

    def _deliver(self, message: Any) -> None:
        if self.fleet.is_connected(self.source, self.target):
            self.fleet.deliver(self.source, self.target, message)


@register_policy("escrow")
class EscrowPolicy(AdmissionPolicy):
    """The fleet's admission: one :class:`FundingService` for each router."""

    def __init__(self, scenario: Scenario, paid: dict[str, int]) -> None:
        super().__init__(scenario, paid)
        self.tables = MemoryTables()
        self.services: dict[str, FundingService] = {}
        self.killed: set[str] = set()
        self.finished = 0

    def start(self) -> None:
        """Create the budget rows and start the funding services of all routers."""
        for budget, paid in self.paid.items():
            row = BudgetRow(paid, 1, 0, 0).to_value()
            self.tables.write([(BUDGETS, f"{CUSTOMER}/{budget}", 0, row)])
        names = [(f"r{z}{n}", z) for z in range(len(ZONES)) for n in range(ROUTERS_PER_ZONE)]
        for name, zone in names:
            self.services[name] = self._create_service(name, zone)
        for name, service in self.services.items():
            for other, zone in names:
                if other != name:
                    hello = Hello(other, f"{other}.1", "router", ZONES[zone], "")
                    service.context.members.on_link_up(hello)
                    link: Any = _SimulatedLink(self, name, other)
                    service.context.peer_links[other] = link
            service.start()
        if self.scenario.killed_at:
            asyncio.get_running_loop().call_later(self.scenario.killed_at, self._kill, "r00")

    def _create_service(self, name: str, zone: int) -> FundingService:
        platform = Platform(
            _SimulatedTables(self, zone), _UnavailableObjects(), _UnavailableVmList()
        )
        context = RouterContext(_settings(name, ZONES[zone]), platform)
        context.boot = context.grant_book.boot = f"{name}.1"
        budgets = {
            f"{CUSTOMER}/{budget}": Budget(CUSTOMER, budget, paid)
            for budget, paid in self.paid.items()
        }
        context.rollout.apply(ActiveSheet(1, "", b"", Sheet(budgets=budgets)))
        return FundingService(context)

    def is_connected(self, source: str, target: str) -> bool:
        """Whether messages are delivered between two routers at present."""
        if source in self.killed or target in self.killed:
            return False
        partitioned_zone = str(len(ZONES) - 1)
        crosses_partition = (source[1] == partitioned_zone) != (target[1] == partitioned_zone)
        return not (crosses_partition and is_active(self.scenario.zone_partition))

    def deliver(self, source: str, target: str, message: Any) -> None:
        """Dispatch a message to the funding service of the target router."""
        service = self.services[target]
        if isinstance(message, FundsRequest):
            service.on_request(source, message)
        elif isinstance(message, FundsResponse):
            service.on_answer(source, message)
        elif isinstance(message, Transfer):
            service.on_transfer(source, message)
        elif isinstance(message, TransferAck):
            service.on_ack(message)

    async def reserve(self, request: TraceRequest) -> Any:
        """Reserve at the router chosen by the load balancer, or its zone peer if that is killed."""
        name = f"r{request.zone}{request.router}"
        if name in self.killed:
            name = f"r{request.zone}{1 - request.router}"
        service = self.services[name]
        budget = Budget(CUSTOMER, request.budget, self.paid[request.budget])
        reserved = await service.reserve(budget, request.bound, MAX_WAIT)
        return (name, reserved.unwrap()) if isinstance(reserved, Success) else None

    def finish(self, request: TraceRequest, handle: Any) -> None:
        """Spend the used tokens and settle them after the commit delay."""
        name, reservation = handle
        grant_book = self.services[name].grant_book
        charges = allocate_tokens(reservation.parts, request.used)
        grant_book.spend(reservation.budget, reservation.parts, charges)
        self.finished += 1
        fields = (CUSTOMER, request.budget, f"k{self.finished}", "r", "a", "s", "m@1", request.used)
        record = UsageRecord(*fields, charges, 0.0)
        loop = asyncio.get_running_loop()
        loop.call_later(LEDGER_COMMIT_DELAY, grant_book.settle, reservation.budget, charges, record)

    def _kill(self, name: str) -> None:
        """Kill a router and close the other routers' links to it."""
        self.killed.add(name)
        killed = self.services[name]
        killed.context.timers.close()
        for other, service in self.services.items():
            if other != name:
                service.context.members.on_link_down(name)
                service.context.peer_links.pop(name, None)
        loop = asyncio.get_running_loop()
        loop.call_later(RECLAIM_DELAY, self._reclaim, killed)

    def _reclaim(self, killed: FundingService) -> None:
        """Close the grants of a killed router; requests still running count as fully used."""
        survivor = next(
            service for name, service in self.services.items() if name not in self.killed
        )
        for grant in killed.grant_book.grants():
            if grant.persisted:
                settled = grant.settled + grant.spent + grant.reserved
                close = CloseGrant(grant.id, grant.budget, grant.amount, settled)
                survivor.worker.submit(close, lambda closed_tokens, store_responded: None)


def _settings(name: str, zone: str) -> RouterSettings:
    defaults = load_settings(RouterSettings, Path("etc/router.ini")).unwrap()
    values = {item: getattr(defaults, item) for item in defaults.__slots__}
    values.update(name=name, zone=zone, platform=Address("127.0.0.1", 9))
    return RouterSettings(**values)
