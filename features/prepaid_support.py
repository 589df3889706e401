"""Simulates the prepaid accounts of several gateways with one faulty store, in simulated time."""

import asyncio
import random
import time
import uuid
from collections import deque
from dataclasses import dataclass, field
from unittest import mock

from gateway_support import build_gateway_settings
from returns.result import Failure, Success

from bilberryshed.coordination import PoolRow, RouteIndex
from bilberryshed.gateway import GatewayPorts
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._pool_table import POOL_TABLE
from bilberryshed.gateway._predecessor_cleanup import PredecessorCleanup
from bilberryshed.gateway._prepaid_funds import PrepaidFunds
from bilberryshed.protocol import Hello, decode
from bilberryshed.state import (
    Address,
    ClockedTableService,
    RoutedCustomer,
    RouteTable,
    Row,
    RowRef,
    StoreError,
)
from bilberryshed_load._simulated_time import run_in_simulated_time

GATEWAY_NAMES = ("gate-1", "gate-2", "gate-3", "gate-4")
STORE_CALL_TIME = 0.004  # seconds; a call to the store takes half to twice this time
TRANSACTION_TIME = 0.003  # seconds that the store takes for a transaction
MAX_ROWS_PER_TRANSACTION = 50  # limit of the store on conditional writes in a transaction
STORE_TIMEOUT = 1.0  # seconds until a call fails while the store is silent
LINK_DELAY = 0.002  # seconds; a message takes half to twice this time
LINK_LOSS_RATE = 0.05  # fraction of messages that are lost
REQUEST_RATE = 25.0  # requests per second
MAX_DOWNTIME = 4.0  # seconds at most between a kill and the restart
COPY_INTERVAL = 0.5  # seconds between copies of the store
MAX_COPY_AGE = 12.0  # seconds, the age of the oldest copy that the store comes back from
MAX_AWAY_TIME = 2.0  # seconds at most for which the store is away before it comes back from a copy
FAREWELL_TIME = 0.05  # seconds for which a stopped gateway's last messages are delivered
MAX_WRITE_DELAY = 6.0  # seconds at most until a write whose response was lost is applied
START_TIME = 1000.0  # seconds of simulated time at the start of a run
STORE_DOWN = StoreError(False, "down")
RESPONSE_LOST = StoreError(True, "lost")


@dataclass
class SimulatedStore:
    """Versioned rows with conditional transactions.

    :param busy_until: seconds of simulated time at which the last queued transaction ends
    """

    rows: dict = field(default_factory=dict)
    version: int = 0
    epoch: int = 1
    busy_until: float = 0.0

    def copy(self):
        """Return a copy of all rows and their version, for :meth:`restore`."""
        return dict(self.rows), self.version

    def restore(self, copy):
        """Come back from a copy, in a new epoch: all later writes are lost."""
        rows, self.version = copy
        self.rows = dict(rows)
        self.epoch += 1

    async def wait_for_transaction(self, duration):
        """Wait until a transaction has run; the store runs transactions one after another.

        :param duration: seconds that the transaction takes
        """
        now = asyncio.get_running_loop().time()
        self.busy_until = max(now, self.busy_until) + duration
        await asyncio.sleep(self.busy_until - now)

    def apply(self, puts):
        """Write all rows, or none if the version of any row differs.

        :returns: whether the rows were written
        :raises AssertionError: if the transaction has more rows than the store accepts
        """
        assert len(puts) <= MAX_ROWS_PER_TRANSACTION, f"{len(puts)} rows in one transaction"
        for put in puts:
            if self.rows.get(put.ref, (0, None))[0] != put.version:
                return False
        self.version += 1
        for put in puts:
            if put.value is None:
                self.rows.pop(put.ref, None)
            else:
                self.rows[put.ref] = (self.version, put.value)
        return True


class FaultyStore(ClockedTableService):
    """A gateway's client of the store; the simulation sets ``availability`` and ``loss_rate``.

    :param availability: ``up``; ``silent`` if calls time out; or ``busy`` if calls are refused
    :param loss_rate: fraction of writes whose responses are lost, half of which are applied later
    """

    def __init__(self, store, rng):
        self.store = store
        self.rng = rng
        self.availability = "up"
        self.loss_rate = 0.0
        self.last_clock = 0.0
        self.last_epoch = 0

    @property
    def clock(self):
        return self.last_clock

    @property
    def epoch(self):
        return self.last_epoch

    def _on_response(self):
        self.last_clock = asyncio.get_running_loop().time()
        self.last_epoch = self.store.epoch

    async def read(self, refs):
        await self._wait_for_call()
        if self.availability != "up":
            return Failure(STORE_DOWN)
        self._on_response()
        found = [(ref, self.store.rows.get(ref, (0, {}))) for ref in refs]
        return Success(tuple(Row(ref, version, dict(value)) for ref, (version, value) in found))

    async def transact(self, puts):
        await self._wait_for_call()
        await self.store.wait_for_transaction(TRANSACTION_TIME)
        if self.availability == "busy":
            return Failure(STORE_DOWN)
        if self.availability == "silent":
            return Failure(RESPONSE_LOST)
        if self.rng.random() < self.loss_rate:
            return await self._lose_response(puts)
        self._on_response()
        return Success(self.store.version if self.store.apply(puts) else None)

    async def scan(self, table, prefix, after, limit):
        await self._wait_for_call()
        if self.availability != "up":
            return Failure(STORE_DOWN)
        self._on_response()
        found = sorted(
            (ref.key, Row(ref, version, dict(value)))
            for ref, (version, value) in self.store.rows.items()
            if ref.table == table and ref.key.startswith(prefix) and ref.key > after
        )
        return Success(tuple(row for _, row in found[:limit]))

    async def _wait_for_call(self):
        await asyncio.sleep(
            STORE_TIMEOUT
            if self.availability == "silent"
            else STORE_CALL_TIME * self.rng.uniform(0.5, 2)
        )

    async def _lose_response(self, puts):
        if self.rng.random() < 0.5:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0.2, MAX_WRITE_DELAY), self.store.apply, puts
            )
        else:
            self.store.apply(puts)
        await asyncio.sleep(STORE_TIMEOUT)
        return Failure(RESPONSE_LOST)


class SimulatedLink:
    """One direction of a link between two gateways."""

    def __init__(self, simulation, sender, receiver):
        self.simulation = simulation
        self.sender = sender
        self.receiver = receiver
        self.peer = Hello(receiver.name, receiver.boot, "router", receiver.zone, "")
        self.closed = False

    def send_encoded(self, data):
        """Deliver an encoded message after a delay."""
        return self.send(decode(data))

    def send(self, message):
        """Deliver a message after a delay.

        The message is lost if either gateway was killed or is isolated by then, or by a random
        fault.
        """
        asyncio.get_running_loop().call_later(
            LINK_DELAY * self.simulation.rng.uniform(0.5, 2), self._deliver, message
        )
        return True

    async def flush(self):
        """Return at once: a message that was sent is under way."""

    def _deliver(self, message):
        if self.simulation.rng.random() < self.simulation.link_loss_rate:
            return
        endpoints = {self.sender.name, self.receiver.name}
        if not (self.sender.alive and self.receiver.alive) or endpoints & self.simulation.isolated:
            return
        reverse_link = SimulatedLink(self.simulation, self.receiver, self.sender)
        handler = self.receiver.handlers()[type(message)]
        handler(reverse_link, message)


@dataclass
class Request:
    """A request with a reservation of tokens."""

    customer: str
    reserved: int
    spent: int


class SimulatedGateway:
    """The prepaid components of one incarnation of a gateway."""

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name
        self.zone = simulation.zone_of(name)
        self.alive = True
        self.accepting = True
        self.store = FaultyStore(simulation.store, simulation.rng)
        self.store.loss_rate = simulation.loss_rate
        started_at = asyncio.get_running_loop().time()
        self.context = GatewayContext(
            settings_for(name, self.zone), ports_for(self.store), started_at
        )
        self.boot = self.context.boot
        self.recorder = BoundsRecorder(self.context)
        self.funds = PrepaidFunds(self.context, self.recorder)
        self.predecessor_cleanup = PredecessorCleanup(self.context, self.funds.pool_sync)
        self.in_flight = set()
        self.context.index = RouteIndex(simulation.table())

    def start(self):
        """Start the background tasks."""
        self.recorder.start()
        self.funds.start()
        self.context.spawn(self.predecessor_cleanup.run())
        self.context.spawn(self.funds.pool_sync.sync({}))

    def handlers(self):
        """Return the message handlers by message type."""
        return self.funds.handlers()

    def kill(self):
        """Stop immediately; the reservations of requests in flight count as fully spent."""
        self.alive = False
        self.store.availability = "silent"  # a sync under way has ended with the process
        self.context.timers.close()
        for task in tuple(self.context.tasks.tasks):
            task.cancel()
        accounts = self.funds.book.accounts
        self.simulation.used_when_killed[self.boot] = {name: a.used for name, a in accounts.items()}
        for request in self.in_flight:
            self.simulation.spent[request.customer] += request.reserved
        self.in_flight.clear()

    async def stop(self):
        """Stop as planned: finish the requests in flight and close the accounts."""
        self.accepting = False
        self.context.draining = self.context.book.draining = True
        while self.in_flight and self.alive:
            await asyncio.sleep(FAREWELL_TIME)
        if self.alive:
            await self.funds.close()
            await asyncio.sleep(FAREWELL_TIME)
        if self.alive:
            self.kill()

    async def request(self, customer, tokens, duration, fraction):
        """Reserve tokens, run a request, and settle it; count it as refused without a reservation.

        :param duration: seconds that the request runs
        :param fraction: fraction of the reservation that the request spends
        """
        reserved = await self.funds.reserve(customer, tokens)
        if isinstance(reserved, Failure):
            self.simulation.refused += 1
            return
        request = Request(customer, tokens, int(tokens * fraction))
        self.in_flight.add(request)
        self.simulation.served += 1
        self.simulation.check_invariants()
        await asyncio.sleep(duration)
        if not self.alive:
            return
        self.in_flight.discard(request)
        self.simulation.spent[customer] += request.spent
        self.funds.settle(customer, tokens, request.spent)

    def __hash__(self):
        return id(self)


Request.__hash__ = object.__hash__


def settings_for(name, zone="quay"):
    """Return settings of a gateway; its addresses are placeholders."""
    address = Address("127.0.0.1", 1)
    return build_gateway_settings(
        name, zone, address, address, address, None, None, 300, 1.0, 1.0, 1000.0,
        address, 1.0, 8.0, 0.2, 10.0, 50.0, 25.0, {}, None, None, 0.0, False,
    )  # fmt: skip


def ports_for(store):
    """Return gateway ports of which only the tables are present."""
    return GatewayPorts(store, None, None, None, None, "op", "config", "servers")


class Simulation:
    """Gateways, their store, and the tokens that customers have spent.

    :param loss_rate: fraction of the store's write responses that are lost
    :param names: names of the gateways
    :param zones: number of availability zones, ``None`` for a zone of its own for each gateway, so
        that each is its own hub
    :param restores: whether the store comes back from copies; what the accounts in the store count
        is then not checked, as they lack the latest writes
    :param removals: whether gateways are stopped or killed for good, until half are left
    """

    def __init__(
        self, seed, loss_rate, names=GATEWAY_NAMES, zones=None, restores=False, removals=False
    ):
        self.names = names
        self.restores = restores
        self.removals = removals
        self.removed = set()
        self.copies = deque(maxlen=int(MAX_COPY_AGE / COPY_INTERVAL))
        self.zones = zones or len(names)
        self.link_loss_rate = LINK_LOSS_RATE
        self.rng = random.Random(seed)
        self.loss_rate = loss_rate
        self.store = SimulatedStore()
        self.prepaid = {"harbour": 400_000, "school": 60_000}
        self.spent = dict.fromkeys(self.prepaid, 0)
        self.used_when_killed = {}
        self.served = self.refused = 0
        self.isolated = set()
        self.gateways = {}
        self.version = 1
        self.faults = []
        self.tasks = []

    def zone_of(self, name):
        """Return the availability zone of a gateway."""
        return f"zone-{self.names.index(name) % self.zones}"

    def table(self, names=None):
        """Return the current route table.

        :param names: customers in the table, all by default
        """
        customers = {
            name: RoutedCustomer(name, (), None, self.prepaid[name])
            for name in names or self.prepaid
        }
        return RouteTable(self.version, (), {}, customers, True)

    def used(self, customer):
        """Return a customer's spent tokens plus the reservations of its requests in flight."""
        in_flight = [r for g in self.gateways.values() if g.alive for r in g.in_flight]
        return self.spent[customer] + sum(r.reserved for r in in_flight if r.customer == customer)

    def check_invariants(self):
        """Check that no customer overspends and that no accounting counts too little.

        :raises AssertionError: if an invariant is violated
        """
        for customer, total in self.prepaid.items():
            used = self.used(customer)
            assert used <= total, f"{customer}: {used} of {total} tokens after {self.faults}"
        if self.restores:
            return
        for gateway in self.gateways.values():
            for boot, counted in gateway.predecessor_cleanup.used.items():
                if counted is not None:
                    self._check_closed(boot, counted)

        for gateway in self.gateways.values():
            if gateway.alive:
                self._check_granted(gateway)
        for customer in self.prepaid:
            self._check_counted(customer)

    def _check_counted(self, customer):
        """Raise if all accounts together count fewer tokens than the customer has used."""
        pool = self._pool(customer)
        live_gateways = {g.boot: g for g in self.gateways.values() if g.alive}
        counted = pool.closed
        counted += sum(g.funds.book.account(customer).used for g in live_gateways.values())
        for boot in pool.holders:
            if boot not in live_gateways:
                counted += self.used_when_killed.get(boot, {}).get(customer, 0)
        used = self.used(customer)
        assert counted >= used, f"{used} tokens of {customer} are used, {counted} are counted"

    def _pool(self, customer):
        value = self.store.rows.get(RowRef(POOL_TABLE, customer), (0, {}))[1]
        return PoolRow.from_value(value)

    def _check_granted(self, gateway):
        """Raise if a gateway's account has a larger grant than its row in the store."""
        for customer, account in gateway.funds.book.accounts.items():
            granted = self._pool(customer).holders.get(gateway.boot, 0)
            assert account.granted <= granted, f"{gateway.boot}: {account.granted} of {granted}"

    def _check_closed(self, boot, counted):
        """Raise if a successor counts fewer tokens as used than its predecessor used."""
        for customer, used in self.used_when_killed.get(boot, {}).items():
            found = counted.get(customer, 0)
            assert found >= used, f"{boot} used {used} of {customer}, {found} is counted"

    def start_gateway(self, name):
        """Start a new incarnation of a gateway."""
        gateway = SimulatedGateway(self, name)
        self.gateways[name] = gateway
        gateway.start()
        self.update_links()

    def update_links(self):
        """Connect all live gateways that are not isolated, and send a notice on each new link."""
        live_gateways = [g for g in self.gateways.values() if g.alive]
        for gateway in live_gateways:
            before = gateway.context.peer_links
            gateway.context.peer_links = {
                other.name: SimulatedLink(self, gateway, other)
                for other in live_gateways
                if other is not gateway and not {other.name, gateway.name} & self.isolated
            }
            gateway.context.known_gateways = set(self.names)
            gateway.context.listed = True
            hubs = gateway.context.hubs
            for name in before.keys() - gateway.context.peer_links.keys():
                hubs.remove(name)
            for name in gateway.context.peer_links.keys() - before.keys():
                hubs.add(name, self.zone_of(name))
            for name, link in gateway.context.peer_links.items():
                if name not in before or before[name].peer.boot != link.peer.boot:
                    link.send(gateway.funds.peers.notice())

    async def run_random_history(self, seconds):
        """Run random traffic and random faults.

        :param seconds: duration of the faults
        :raises AssertionError: if an invariant is violated
        """
        for name in GATEWAY_NAMES:
            self.start_gateway(name)
        await asyncio.sleep(0.5)
        deadline = asyncio.get_running_loop().time() + seconds
        traffic = asyncio.ensure_future(self._generate_traffic(deadline, REQUEST_RATE))
        copying = asyncio.ensure_future(self._copy_store())
        while asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(self.rng.uniform(0.3, 2.5))
            await self._inject_fault()
            self.check_invariants()
        await traffic
        copying.cancel()
        await self._exhaust_pools()
        for gateway in self.gateways.values():
            if gateway.alive:
                gateway.kill()
        self.check_invariants()

    async def _copy_store(self):
        while True:
            self.copies.append(self.store.copy())
            await asyncio.sleep(COPY_INTERVAL)

    async def restore_store(self, away, copy):
        """Have the store be away for some time, and then come back from a copy.

        :param away: seconds
        """
        for gateway in self.gateways.values():
            gateway.store.availability = "busy"
        await asyncio.sleep(away)
        self.store.restore(copy)
        self._clear_faults()
        self.update_links()

    async def _exhaust_pools(self):
        """Clear all faults and request all remaining tokens, which reveals tokens counted twice."""
        await asyncio.sleep(MAX_DOWNTIME)
        self._clear_faults()
        self.update_links()
        await asyncio.sleep(MAX_WRITE_DELAY)
        deadline = asyncio.get_running_loop().time() + 6.0
        await self._generate_traffic(deadline, 4 * REQUEST_RATE)

    def _clear_faults(self):
        self.isolated = set()
        for gateway in self.gateways.values():
            if gateway.alive:
                gateway.store.availability = "up"

    async def _generate_traffic(self, deadline, rate):
        weights = (5, 2, 1, 1)
        while asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(self.rng.expovariate(rate))
            names = self.rng.choices(self.names, weights[: len(self.names)])
            gateway = self.gateways[names[0]]
            if not (gateway.alive and gateway.accepting):
                continue
            customer = self.rng.choices(tuple(self.prepaid), (4, 1))[0]
            tokens = int(self.rng.lognormvariate(7.2, 0.8)) + 50
            duration, fraction = self.rng.uniform(0.1, 2.0), self.rng.uniform(0.4, 1.0)
            gateway.context.spawn(gateway.request(customer, tokens, duration, fraction))

    async def _inject_fault(self):
        kinds = [
            "kill",
            "kill",
            "kill_all",
            "silent",
            "all_silent",
            "isolate",
            "clear",
            "top_up",
            "busy",
        ]
        kinds += ["restore"] * 3 if self.restores else []
        kinds += ["remove"] * 2 if self.removals else []
        kind = self.rng.choice(kinds)
        name = self.rng.choice(GATEWAY_NAMES)
        self.faults.append(f"{kind} {name}")
        if kind == "kill":
            self._kill((name,))
        elif kind == "kill_all":
            self._kill(GATEWAY_NAMES)
        elif kind in ("silent", "busy"):
            self.gateways[name].store.availability = "silent" if kind == "silent" else "busy"
        elif kind == "all_silent":
            for gateway in self.gateways.values():
                gateway.store.availability = "silent"
        elif kind == "isolate":
            self.isolated = {name}
        elif kind == "clear":
            self._clear_faults()
        elif kind == "remove":
            self.remove(name, planned=self.rng.random() < 0.5)
        elif kind == "restore":
            away = self.rng.uniform(0.0, MAX_AWAY_TIME)
            copy = self.rng.choice(tuple(self.copies))
            self.tasks.append(asyncio.ensure_future(self.restore_store(away, copy)))
        else:
            self._top_up()
        self.update_links()

    def remove(self, name, planned):
        """Stop or kill a gateway for good, unless half of them are removed.

        :param planned: whether it finishes its requests and closes its accounts
        """
        gateway = self.gateways[name]
        if not gateway.alive or 2 * len(self.removed) >= len(self.names):
            return
        self.removed.add(name)
        if planned:
            self.tasks.append(asyncio.ensure_future(gateway.stop()))
        else:
            gateway.kill()

    def _kill(self, names):
        loop = asyncio.get_running_loop()
        for name in names:
            if self.gateways[name].alive and name not in self.removed:
                self.gateways[name].kill()
                loop.call_later(self.rng.uniform(0.2, MAX_DOWNTIME), self.start_gateway, name)

    def _top_up(self):
        self.version += 1
        self.prepaid = {name: int(total * 1.15) for name, total in self.prepaid.items()}
        for gateway in self.gateways.values():
            gateway.context.index = RouteIndex(self.table())


def run_random_history(
    seed, seconds=40.0, loss_rate=0.1, zones=None, restores=False, removals=False
):
    """Run one random history.

    :param zones: as for :class:`Simulation`
    :param restores: as for :class:`Simulation`
    :param removals: as for :class:`Simulation`
    :param seconds: duration of the faults, in simulated time
    :param loss_rate: fraction of the store's write responses that are lost
    :returns: the simulation
    :raises AssertionError: if an invariant is violated
    """
    simulation = Simulation(seed, loss_rate, zones=zones, restores=restores, removals=removals)
    run_simulation(simulation, lambda: simulation.run_random_history(seconds))
    return simulation


def run_simulation(simulation, make_coroutine):
    """Run a coroutine in simulated time, with UUIDs from the simulation's random generator.

    The simulation's ``duration`` is set to the elapsed real time in seconds.

    :param make_coroutine: returns the coroutine to run
    """
    started_at = time.monotonic()
    with mock.patch("uuid.uuid4", lambda: uuid.UUID(int=simulation.rng.getrandbits(128))):
        run_in_simulated_time(make_coroutine(), START_TIME)
    simulation.duration = time.monotonic() - started_at


class OutageSimulation(Simulation):
    """One gateway that is killed during a store outage; its successor waits for the store."""

    async def run_outage(self, rate):
        """Serve for 6 s and a further second of store outage, then kill and restart the gateway.

        The successor starts 1 s after the kill, and the store recovers 6 s after that.

        :param rate: requests per second
        """
        name = self.names[0]
        self.start_gateway(name)
        loop = asyncio.get_running_loop()
        traffic = asyncio.ensure_future(self._generate_traffic(loop.time() + 7.0, rate))
        await asyncio.sleep(6.0)
        self.gateways[name].store.availability = "silent"
        await asyncio.sleep(1.0)
        await traffic
        predecessor = self.gateways[name]
        predecessor.kill()
        await asyncio.sleep(1.0)
        self.start_gateway(name)
        successor = self.gateways[name]
        successor.store.availability, successor.context.index = "silent", None
        await asyncio.sleep(6.0)
        successor.store.availability, successor.context.index = "up", RouteIndex(self.table())
        successor.funds.on_table()
        await asyncio.sleep(3.0)
        self.holders_after = {boot for c in self.prepaid for boot in self._pool(c).holders}
        self.predecessor = predecessor.boot
        self.overcounted = sum(self._pool(c).closed for c in self.prepaid) - sum(
            self.used_when_killed[predecessor.boot].values()
        )
        successor.kill()


class PartialTableSimulation(Simulation):
    """One gateway whose successor's first route table lacks a customer."""

    async def run_partial_table(self, rate):
        """Serve, kill the gateway, and restart it with a route table that lacks a customer.

        The complete route table follows 3 s later.

        :param rate: requests per second
        """
        name = self.names[0]
        self.start_gateway(name)
        await self._generate_traffic(asyncio.get_running_loop().time() + 4.0, rate)
        predecessor = self.gateways[name]
        predecessor.kill()
        self.start_gateway(name)
        successor = self.gateways[name]
        successor.context.index = RouteIndex(self.table(("harbour",)))
        await asyncio.sleep(3.0)
        successor.context.index = RouteIndex(self.table())
        successor.funds.on_table()
        await asyncio.sleep(5.0)
        self.counted = {customer: self._pool(customer).closed for customer in self.prepaid}
        self.used_by_predecessor = self.used_when_killed[predecessor.boot]
        successor.kill()


def run_partial_table(seed, rate):
    """Simulate a restart with a first route table that lacks a customer.

    :param rate: requests per second
    :returns: the simulation, with tokens ``counted`` and ``used_by_predecessor`` by customer
    """
    simulation = PartialTableSimulation(seed, 0.0, ("gate-1",))
    run_simulation(simulation, lambda: simulation.run_partial_table(rate))
    return simulation


def run_outage(seed, rate):
    """Simulate a kill and a restart of a gateway during a store outage.

    :param rate: requests per second
    :returns: the simulation, with ``overcounted``, the tokens counted as used beyond actual use,
        and ``holders_after``, the incarnations that hold grants at the end
    """
    simulation = OutageSimulation(seed, 0.0, ("gate-1",))
    run_simulation(simulation, lambda: simulation.run_outage(rate))
    return simulation


class RestartSimulation(Simulation):
    """Many gateways with many customers that are all killed at the same time."""

    def __init__(self, seed, gateways, customers, zones=None):
        super().__init__(seed, 0.0, tuple(f"gate-{i}" for i in range(gateways)), zones)
        self.link_loss_rate = 0.0
        self.prepaid = {f"customer-{i}": 400_000 for i in range(customers)}
        self.spent = dict.fromkeys(self.prepaid, 0)

    async def run_restart(self, rate):
        """Serve for 6 s, kill all gateways, and restart them 1.5 s to 1.8 s later.

        :param rate: requests per second, over all gateways
        """
        for name in self.names:
            self.start_gateway(name)
        await asyncio.sleep(0.5)
        loop = asyncio.get_running_loop()
        traffic = asyncio.ensure_future(self._generate_uniform_traffic(loop.time() + 12.0, rate))
        await asyncio.sleep(6.0)
        old_boots = {gateway.boot for gateway in self.gateways.values()}
        for gateway in self.gateways.values():
            gateway.kill()
        await asyncio.sleep(1.5)
        started_at = loop.time()
        for name in self.names:
            loop.call_later(self.rng.uniform(0.0, 0.3), self.start_gateway, name)
        await asyncio.sleep(0.3)
        self.close_duration = await self._measure_close_duration(old_boots, started_at)
        served, refused = self.served, self.refused
        await asyncio.sleep(2.0)
        self.refused_fraction = (self.refused - refused) / (
            self.served + self.refused - served - refused
        )
        await traffic
        for gateway in self.gateways.values():
            gateway.kill()

    async def _measure_close_duration(self, old_boots, started_at):
        """Return the seconds from the restart until no ended incarnation holds tokens.

        The wait is limited to 4 s.
        """
        loop = asyncio.get_running_loop()
        while loop.time() < started_at + 4.0:
            holders = {boot for name in self.prepaid for boot in self._pool(name).holders}
            if not holders & old_boots:
                break
            await asyncio.sleep(0.02)
        return loop.time() - started_at

    async def _generate_uniform_traffic(self, deadline, rate):
        while asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(self.rng.expovariate(rate))
            gateway = self.gateways[self.rng.choice(self.names)]
            if gateway.alive:
                customer = self.rng.choice(tuple(self.prepaid))
                gateway.context.spawn(gateway.request(customer, 1_500, 0.5, 0.8))


def run_restart(seed, gateways, customers, rate, zones=None):
    """Simulate a simultaneous restart of all gateways.

    :param zones: as for :class:`Simulation`
    :param rate: requests per second, over all gateways
    :returns: the simulation, with ``close_duration``, the seconds until all predecessors were
        closed, and ``refused_fraction``, the fraction of requests refused in the 2 s after that
    """
    simulation = RestartSimulation(seed, gateways, customers, zones)
    run_simulation(simulation, lambda: simulation.run_restart(rate))
    return simulation


class LossSimulation(Simulation):
    """Four gateways whose customers have each paid for some time of their demand.

    :param overcounted: tokens counted as used beyond actual use, once all have restarted
    """

    SIZES = (1_100, 1_100, 9_200)  # tokens of a request
    RATE = 45.0  # requests per second
    PAID_TIME = 44.0  # seconds of demand that customers have paid for
    DOWNTIME = 1.4  # seconds from the power loss to the restart

    def __init__(self, seed):
        super().__init__(seed, 0.0)
        self.link_loss_rate = 0.0
        self.demand = self.RATE * sum(self.SIZES) / len(self.SIZES)  # tokens per second
        self.weights = (5, 3, 3, 3, 2, 2, 1, 1, 1, 1)
        self.prepaid = {
            f"customer-{i}": int(self.PAID_TIME * self.demand * weight / sum(self.weights))
            for i, weight in enumerate(self.weights)
        }
        self.spent = dict.fromkeys(self.prepaid, 0)

    async def run_power_loss(self, outage):
        """Serve for 20 s, then kill all gateways, and restart them after their downtime.

        :param outage: seconds before the kill in which the store responds to nobody
        """
        traffic = await self._serve_for(20.0, 20.0 + outage)
        for gateway in self.gateways.values():
            gateway.store.availability = "busy" if outage else "up"
        await asyncio.sleep(outage)
        await traffic
        self._kill_all()
        used = sum(sum(names.values()) for names in self.used_when_killed.values())
        await asyncio.sleep(self.DOWNTIME)
        for name in self.names:
            self.start_gateway(name)
        await asyncio.sleep(3.0)
        self.overcounted = sum(self._pool(name).closed for name in self.prepaid) - used
        self._kill_all()

    async def _serve_for(self, seconds, traffic_seconds):
        """Return the task of the traffic after some seconds."""
        for name in self.names:
            self.start_gateway(name)
        await asyncio.sleep(0.5)
        deadline = asyncio.get_running_loop().time() + traffic_seconds
        traffic = asyncio.ensure_future(self._generate_mixed_traffic(deadline))
        await asyncio.sleep(seconds)
        return traffic

    def _kill_all(self):
        for gateway in self.gateways.values():
            gateway.kill()

    async def _generate_mixed_traffic(self, deadline):
        while asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(self.rng.expovariate(self.RATE))
            gateway = self.gateways[self.rng.choice(self.names)]
            (customer,) = self.rng.choices(tuple(self.prepaid), self.weights)
            tokens = self.rng.choice(self.SIZES)
            gateway.context.spawn(gateway.request(customer, tokens, 0.2, 1.0))


def run_power_loss(seed, outage):
    """Simulate a power loss of all gateways.

    :param outage: seconds before it in which the store responds to nobody
    """
    simulation = LossSimulation(seed)
    run_simulation(simulation, lambda: simulation.run_power_loss(outage))
    return simulation
