"""Budgets running dry, in model time: overspend and false refusals of each admission policy.

The routers' real :class:`FundingDesk` runs against fakes of the store and of links. An oracle that
knows every balance sees the same requests. A refusal is false if the whole balance, wherever its
parts were, covered the request at that moment; requests that the oracle's own run admits and a
policy refuses are counted beside it, since after one difference the two histories part.
"""

import asyncio
import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from bilberryshed.coordination import Close, SheetInForce
from bilberryshed.protocol import (
    FundsAnswer,
    FundsRequest,
    Hello,
    Transfer,
    TransferAck,
    UsageRecord,
    split_tokens,
)
from bilberryshed.runtime import FundingDesk, RouterContext
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
from bilberryshed.transport import configure_logs
from bilberryshed_load._model_time import run_in_model_time
from bilberryshed_standins import MemoryTables

ZONES = ("a", "b", "c")
ROUTERS_PER_ZONE = 2
STORE_DELAY = 0.004  # seconds for one way to the store
ZONE_DELAY = 0.0015  # seconds for one way between zones
VERDICT_DELAY = 0.3  # seconds from the end of a request to the ledger's verdict
RECLAIM_DELAY = 20.0  # seconds from a kill until the grants are reclaimed
PATIENCE = 2.0  # seconds that a request may wait for tokens
POLL = 0.1  # seconds between looks at a balance that is too low
CUSTOMER = "council"


@dataclass(slots=True, frozen=True)
class Ask:
    """One request of the trace.

    :param bound: tokens reserved
    :param used: tokens used in the end
    :param seconds: time that it runs
    """

    at: float
    zone: int
    router: int
    budget: str
    bound: int
    used: int
    seconds: float


@dataclass(slots=True, frozen=True)
class Scenario:
    """A fault and when it holds; times in seconds of model time."""

    name: str
    length: float
    store_out: tuple[float, float] = (0.0, 0.0)
    zone_cut: tuple[float, float] = (0.0, 0.0)
    killed_at: float = 0.0


SCENARIOS = (
    Scenario("no fault", 240.0),
    Scenario("partition of one zone", 240.0, zone_cut=(60.0, 200.0)),
    Scenario("store out for 10 minutes", 900.0, store_out=(150.0, 750.0)),
    Scenario("a holder killed", 240.0, killed_at=90.0),
)


@dataclass(slots=True)
class Outcome:
    """What a policy did with the trace.

    :param refused: positions of refused requests
    :param false_refusals: those refused while paid tokens, less what was used and what running
        requests may use, covered them
    :param held: tokens that running requests may use, by budget
    :param store_writes: writes to the table service
    """

    refused: set[int] = field(default_factory=set)
    false_refusals: int = 0
    store_writes: int = 0
    held: dict[str, int] = field(default_factory=dict)
    used: dict[str, int] = field(default_factory=dict)

    def overspend(self, paid: dict[str, int]) -> int:
        """Return tokens used beyond what was paid."""
        return sum(max(0, used - paid[budget]) for budget, used in self.used.items())


def make_trace(scenario: Scenario, seed: int, budgets: int) -> tuple[list[Ask], dict[str, int]]:
    """Return requests, and paid tokens by budget name so that budgets run dry within the run."""
    chooser = random.Random(seed)
    asks: list[Ask] = []
    paid: dict[str, int] = {}
    for number in range(budgets):
        name = f"b{number}"
        rate = chooser.uniform(2.0, 12.0)
        shares = chooser.choice(((8, 1, 1), (1, 6, 3), (4, 4, 2), (1, 1, 8)))
        at, total = 0.0, 0
        while at < scenario.length:
            at += chooser.expovariate(rate)
            bound = chooser.choice((120, 300, 900))
            used = int(bound * chooser.uniform(0.15, 0.9))
            zone = chooser.choices(range(len(ZONES)), shares)[0]
            router = chooser.randrange(ROUTERS_PER_ZONE)
            asks.append(Ask(at, zone, router, name, bound, used, chooser.uniform(0.3, 3.0)))
            total += used
        paid[name] = int(total * chooser.uniform(0.75, 0.97))
    asks.sort(key=lambda ask: ask.at)
    return asks, paid


class AdmissionPolicy(ABC):
    """One way to admit requests."""

    def __init__(self, scenario: Scenario, paid: dict[str, int]) -> None:
        self.scenario = scenario
        self.paid = paid
        self.store_writes = 0

    def start(self) -> None:
        """Begin, on the running loop."""
        return

    @abstractmethod
    async def reserve(self, ask: Ask) -> Any:
        """Return a token for :meth:`finish`, or ``None`` to refuse."""

    @abstractmethod
    def finish(self, ask: Ask, token: Any) -> None:
        """Settle an admitted request."""


policies: dict[str, Callable[[Scenario, dict[str, int]], AdmissionPolicy]] = {}


def admission(name: str) -> Callable[[type[AdmissionPolicy]], type[AdmissionPolicy]]:
    """Register an admission policy."""

    def register(cls: type[AdmissionPolicy]) -> type[AdmissionPolicy]:
        policies[name] = cls
        return cls

    return register


def _now() -> float:
    return asyncio.get_running_loop().time()


def _within(span: tuple[float, float]) -> bool:
    return span[0] <= _now() < span[1]


class _Balances(AdmissionPolicy):
    """Base of policies that keep plain balances, waiting for releases like the fleet does."""

    def __init__(self, scenario: Scenario, paid: dict[str, int]) -> None:
        super().__init__(scenario, paid)
        self.balance: dict[tuple[str, int], int] = {}

    def key(self, ask: Ask) -> tuple[str, int]:
        """Return the balance that a request draws on."""
        return ask.budget, 0

    async def reserve(self, ask: Ask) -> Any:
        """Reserve the bound, waiting for a release."""
        deadline = _now() + PATIENCE
        while self.balance[self.key(ask)] < ask.bound:
            if _now() >= deadline:
                return None
            await asyncio.sleep(POLL)
        self.balance[self.key(ask)] -= ask.bound
        return ask.bound

    def finish(self, ask: Ask, token: Any) -> None:
        """Give the unused rest back."""
        self.balance[self.key(ask)] += ask.bound - ask.used


@admission("oracle")
class Oracle(_Balances):
    """Knows every balance at once."""

    def start(self) -> None:
        """Put all in one place."""
        self.balance = {(budget, 0): paid for budget, paid in self.paid.items()}


@admission("static split")
class StaticSplit(_Balances):
    """Each zone has an equal share for good."""

    def start(self) -> None:
        """Split equally."""
        for budget, paid in self.paid.items():
            for zone in range(len(ZONES)):
                self.balance[budget, zone] = paid // len(ZONES)

    def key(self, ask: Ask) -> tuple[str, int]:
        """Return the zone's share."""
        return ask.budget, ask.zone


@admission("store call per request")
class StoreCall(_Balances):
    """Each reservation and each settlement is a conditional write on the budget's row."""

    def start(self) -> None:
        """Put all in the store."""
        self.balance = {(budget, 0): paid for budget, paid in self.paid.items()}

    async def reserve(self, ask: Ask) -> Any:
        """Reserve in the store, retrying after conflicts and errors."""
        deadline = _now() + PATIENCE
        while _now() < deadline:
            await asyncio.sleep(2 * STORE_DELAY)
            seen = self.balance[self.key(ask)]
            await asyncio.sleep(2 * STORE_DELAY)
            if _within(self.scenario.store_out) or self._cut(ask):
                await asyncio.sleep(0.1)
                continue
            self.store_writes += 1
            if self.balance[self.key(ask)] != seen:
                continue
            if seen >= ask.bound:
                self.balance[self.key(ask)] -= ask.bound
                return ask.bound
            await asyncio.sleep(POLL)
        return None

    def _cut(self, ask: Ask) -> bool:
        return ask.zone == len(ZONES) - 1 and _within(self.scenario.zone_cut)


class _ModelTables(TableService):
    """A table service with delay, outages and a cut zone."""

    def __init__(self, policy: "Escrow", zone: int) -> None:
        self.scenario = policy.scenario
        self.tables = policy.tables
        self.policy = policy
        self.zone = zone

    async def read(self, refs: tuple[RowRef, ...]) -> Result[tuple[Row, ...], StoreError]:
        await asyncio.sleep(STORE_DELAY)
        if self._is_out():
            return Failure(StoreError(False, "store is out"))
        rows = self.tables.read([(ref.table, ref.key) for ref in refs])
        await asyncio.sleep(STORE_DELAY)
        return Success(tuple(Row(RowRef(t, k), version, value) for t, k, version, value in rows))

    async def write(self, puts: tuple[Put, ...]) -> Result[bool, StoreError]:
        await asyncio.sleep(STORE_DELAY)
        if self._is_out():
            return Failure(StoreError(False, "store is out"))
        rows = [(put.ref.table, put.ref.key, put.version, put.value) for put in puts]
        written = self.tables.write(rows)
        self.policy.store_writes += 1
        await asyncio.sleep(STORE_DELAY)
        return Success(written)

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> Result[tuple[Row, ...], StoreError]:
        return Failure(StoreError(False, "not used here"))

    def _is_out(self) -> bool:
        cut = self.zone == len(ZONES) - 1 and _within(self.scenario.zone_cut)
        return cut or _within(self.scenario.store_out)


class _NoObjects(ObjectStore):
    """An object store that is never there."""

    async def put_if_absent(self, name: str, data: bytes) -> Result[bool, StoreError]:
        return Failure(StoreError(False, "not used here"))

    async def get(self, name: str) -> Result[bytes | None, StoreError]:
        return Failure(StoreError(False, "not used here"))

    async def names(
        self, prefix: str, after: str, limit: int
    ) -> Result[tuple[str, ...], StoreError]:
        return Failure(StoreError(False, "not used here"))


class _NoList(VmList):
    """A VM list that is never there."""

    async def vms(self) -> Result[tuple[Vm, ...], StoreError]:
        return Failure(StoreError(False, "not used here"))


class _ModelLink:
    """A link to another router, with delay, cut by the partition and by deaths."""

    def __init__(self, fleet: "Escrow", source: str, target: str) -> None:
        self.fleet = fleet
        self.source = source
        self.target = target

    def send(self, message: Any) -> bool:
        """Deliver later, unless the way is cut."""
        asyncio.get_running_loop().call_later(ZONE_DELAY, self._arrive, message)
        return True

    def _arrive(self, message: Any) -> None:
        if self.fleet.is_open(self.source, self.target):
            self.fleet.deliver(self.source, self.target, message)


@admission("escrow")
class Escrow(AdmissionPolicy):
    """The fleet's own decisions: one :class:`FundingDesk` for each router."""

    def __init__(self, scenario: Scenario, paid: dict[str, int]) -> None:
        super().__init__(scenario, paid)
        self.tables = MemoryTables()
        self.desks: dict[str, FundingDesk] = {}
        self.dead: set[str] = set()
        self.finished = 0

    def start(self) -> None:
        """Start all routers."""
        for budget, paid in self.paid.items():
            row = BudgetRow(paid, 1, 0, 0).to_value()
            self.tables.write([(BUDGETS, f"{CUSTOMER}/{budget}", 0, row)])
        names = [(f"r{z}{n}", z) for z in range(len(ZONES)) for n in range(ROUTERS_PER_ZONE)]
        for name, zone in names:
            self.desks[name] = self._desk(name, zone)
        for name, desk in self.desks.items():
            for other, zone in names:
                if other != name:
                    hello = Hello(other, f"{other}.1", "router", ZONES[zone], "")
                    desk.context.members.on_link_up(hello)
                    link: Any = _ModelLink(self, name, other)
                    desk.context.peer_links[other] = link
            desk.start()
        if self.scenario.killed_at:
            asyncio.get_running_loop().call_later(self.scenario.killed_at, self._kill, "r00")

    def _desk(self, name: str, zone: int) -> FundingDesk:
        platform = Platform(_ModelTables(self, zone), _NoObjects(), _NoList())
        context = RouterContext(_settings(name, ZONES[zone]), platform)
        context.boot = context.book.boot = f"{name}.1"
        budgets = {
            f"{CUSTOMER}/{budget}": Budget(CUSTOMER, budget, paid)
            for budget, paid in self.paid.items()
        }
        context.rollout.apply(SheetInForce(1, "", b"", Sheet(budgets=budgets)))
        return FundingDesk(context)

    def is_open(self, source: str, target: str) -> bool:
        """Whether messages pass between two routers now."""
        if source in self.dead or target in self.dead:
            return False
        cut_zone = str(len(ZONES) - 1)
        crosses = (source[1] == cut_zone) != (target[1] == cut_zone)
        return not (crosses and _within(self.scenario.zone_cut))

    def deliver(self, source: str, target: str, message: Any) -> None:
        """Hand a message to a router's desk."""
        desk = self.desks[target]
        if isinstance(message, FundsRequest):
            desk.on_request(source, message)
        elif isinstance(message, FundsAnswer):
            desk.on_answer(source, message)
        elif isinstance(message, Transfer):
            desk.on_transfer(source, message)
        elif isinstance(message, TransferAck):
            desk.on_ack(message)

    async def reserve(self, ask: Ask) -> Any:
        """Reserve at the router that the balancer picked."""
        name = f"r{ask.zone}{ask.router}"
        if name in self.dead:
            name = f"r{ask.zone}{1 - ask.router}"
        desk = self.desks[name]
        budget = Budget(CUSTOMER, ask.budget, self.paid[ask.budget])
        reserved = await desk.reserve(budget, ask.bound, PATIENCE)
        return (name, reserved.unwrap()) if isinstance(reserved, Success) else None

    def finish(self, ask: Ask, token: Any) -> None:
        """Spend what was used and settle it a little later."""
        name, reservation = token
        book = self.desks[name].book
        charges = split_tokens(reservation.parts, ask.used)
        book.spend(reservation.budget, reservation.parts, charges)
        self.finished += 1
        fields = (CUSTOMER, ask.budget, f"k{self.finished}", "r", "a", "s", "m@1", ask.used)
        kept = UsageRecord(*fields, charges, 0.0)
        loop = asyncio.get_running_loop()
        loop.call_later(VERDICT_DELAY, book.settle, reservation.budget, charges, kept)

    def _kill(self, name: str) -> None:
        """Stop a router; the others lose their links to it."""
        self.dead.add(name)
        dead = self.desks[name]
        dead.context.timers.close()
        for other, desk in self.desks.items():
            if other != name:
                desk.context.members.on_link_down(name)
                desk.context.peer_links.pop(name, None)
        loop = asyncio.get_running_loop()
        loop.call_later(RECLAIM_DELAY, self._reclaim, dead)

    def _reclaim(self, dead: FundingDesk) -> None:
        """Close what the dead router held; requests that still run count as fully used."""
        survivor = next(desk for name, desk in self.desks.items() if name not in self.dead)
        for grant in dead.book.grants():
            if grant.adopted:
                settled = grant.settled + grant.spent + grant.reserved
                close = Close(grant.id, grant.budget, grant.amount, settled)
                survivor.worker.submit(close, lambda moved, reached: None)


def _settings(name: str, zone: str) -> RouterSettings:
    base = load_settings(RouterSettings, Path("etc/router.ini")).unwrap()
    values = {item: getattr(base, item) for item in base.__slots__}
    values.update(name=name, zone=zone, platform=Address("127.0.0.1", 9))
    return RouterSettings(**values)


async def _play(policy: AdmissionPolicy, asks: list[Ask]) -> Outcome:
    outcome = Outcome(used=dict.fromkeys(policy.paid, 0), held=dict.fromkeys(policy.paid, 0))
    policy.start()

    async def pose(position: int, ask: Ask) -> None:
        token = await policy.reserve(ask)
        if token is None:
            outcome.refused.add(position)
            whole = policy.paid[ask.budget] - outcome.used[ask.budget] - outcome.held[ask.budget]
            outcome.false_refusals += whole >= ask.bound
            return
        outcome.held[ask.budget] += ask.bound
        await asyncio.sleep(ask.seconds)
        outcome.held[ask.budget] -= ask.bound
        outcome.used[ask.budget] += ask.used
        policy.finish(ask, token)

    tasks = []
    for position, ask in enumerate(asks):
        await asyncio.sleep(max(0.0, ask.at - _now()))
        tasks.append(asyncio.ensure_future(pose(position, ask)))
    await asyncio.gather(*tasks)
    outcome.store_writes = policy.store_writes
    return outcome


def run_policies(seed: int, budgets: int) -> None:
    """Play every scenario under every policy and print overspend and false refusals.

    :param budgets: number of budgets, each of which runs dry
    """
    configure_logs("bilberryshed-load", "policy", logging.CRITICAL)
    titles = ("overspend", "refused", "false", "share", "not as oracle", "store writes")
    print(f"{'scenario':26} {'policy':24} " + " ".join(f"{title:>13}" for title in titles))
    for scenario in SCENARIOS:
        asks, paid = make_trace(scenario, seed, budgets)
        outcomes = {
            name: run_in_model_time(_play(make(scenario, paid), asks))
            for name, make in policies.items()
        }
        admitted = set(range(len(asks))) - outcomes["oracle"].refused
        for name, outcome in outcomes.items():
            differs = len(outcome.refused & admitted)
            share = outcome.false_refusals / len(admitted)
            print(
                f"{scenario.name:26} {name:24} {outcome.overspend(paid):13} "
                f"{len(outcome.refused):13} {outcome.false_refusals:13} {share:13.4%} "
                f"{differs:13} {outcome.store_writes:13}",
                flush=True,
            )
