"""Several gateways' prepaid funds over one store, in model time, with faults."""

import asyncio
import random
import time
import uuid
from dataclasses import dataclass, field
from unittest import mock

from returns.result import Failure, Success

from bilberryshed.coordination import PoolRow, RouteIndex
from bilberryshed.gateway import GatewayPorts
from bilberryshed.gateway._bounds_recorder import BoundsRecorder
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._pool_table import POOL_TABLE
from bilberryshed.gateway._predecessor_cleanup import PredecessorCleanup
from bilberryshed.gateway._prepaid_funds import PrepaidFunds
from bilberryshed.protocol import (
    Hello,
)
from bilberryshed.state import (
    Address,
    ClockedTableService,
    GatewaySettings,
    RoutedCustomer,
    RouteTable,
    Row,
    RowRef,
    StoreError,
)
from bilberryshed_load._simulated_time import run_in_simulated_time

NAMES = ("gate-1", "gate-2", "gate-3", "gate-4")
CALL = 0.004  # seconds of a call to the store
TRANSACTION = 0.003  # seconds of a transaction
MOST_PUTS = 50  # rows that a transaction may write on a condition each
TIMEOUT = 1.0  # seconds
LINK = 0.002  # seconds of a message
LINK_LOSS = 0.05  # share of messages that are lost with their link
RATE = 25.0  # requests a second
LONGEST_DOWN = 4.0  # seconds from a kill to the next start
LONGEST_LATE = 6.0  # seconds by which a write is done late
BEGAN = 1000.0  # seconds of model time at the start of a play
DOWN = StoreError(False, "down")
LOST = StoreError(True, "lost")


@dataclass
class ModelStore:
    """Rows, with the store's clock."""

    rows: dict = field(default_factory=dict)
    version: int = 0
    busy_until: float = 0.0

    async def turn(self, took):
        """Wait for a transaction's turn: they are done one after another.

        :param took: seconds that each takes
        """
        now = asyncio.get_running_loop().time()
        self.busy_until = max(now, self.busy_until) + took
        await asyncio.sleep(self.busy_until - now)

    def apply(self, puts):
        """Write all rows or none; the store takes no larger transaction.

        :raises AssertionError: if it is too large
        """
        assert len(puts) <= MOST_PUTS, f"{len(puts)} rows in one transaction"
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
    """One gateway's way to the store; ``cut`` and ``loss`` are switched from outside.

    :param cut: ``up``, ``silent`` or ``busy``
    :param loss: share of writes whose answers are lost, some of them done later
    """

    def __init__(self, store, dice):
        self.store = store
        self.dice = dice
        self.cut = "up"
        self.loss = 0.0
        self.seen_clock = 0.0

    @property
    def clock(self):
        return self.seen_clock

    async def read(self, refs):
        await self._reach()
        if self.cut != "up":
            return Failure(DOWN)
        self.seen_clock = asyncio.get_running_loop().time()
        found = [(ref, self.store.rows.get(ref, (0, {}))) for ref in refs]
        return Success(tuple(Row(ref, version, dict(value)) for ref, (version, value) in found))

    async def transact(self, puts):
        await self._reach()
        await self.store.turn(TRANSACTION)
        if self.cut == "busy":
            return Failure(DOWN)
        if self.cut == "silent":
            return Failure(LOST)
        if self.dice.random() < self.loss:
            return await self._lose(puts)
        self.seen_clock = asyncio.get_running_loop().time()
        return Success(self.store.version if self.store.apply(puts) else None)

    async def scan(self, table, prefix, after, limit):
        return Success(())

    async def _reach(self):
        await asyncio.sleep(TIMEOUT if self.cut == "silent" else CALL * self.dice.uniform(0.5, 2))

    async def _lose(self, puts):
        if self.dice.random() < 0.5:
            asyncio.get_running_loop().call_later(
                self.dice.uniform(0.2, LONGEST_LATE), self.store.apply, puts
            )
        else:
            self.store.apply(puts)
        await asyncio.sleep(TIMEOUT)
        return Failure(LOST)


class ModelLink:
    """One direction of a link between two gateways."""

    def __init__(self, world, sender, receiver):
        self.world = world
        self.sender = sender
        self.receiver = receiver
        self.peer = Hello(receiver.name, receiver.boot, "router", "quay", "")

    def send(self, message):
        """Deliver a message later, unless one of the two has died or the link is cut."""
        asyncio.get_running_loop().call_later(
            LINK * self.world.dice.uniform(0.5, 2), self._deliver, message
        )
        return True

    def _deliver(self, message):
        if self.world.dice.random() < self.world.link_loss:
            return
        ends = {self.sender.name, self.receiver.name}
        if not (self.sender.alive and self.receiver.alive) or ends & self.world.isolated:
            return
        back = ModelLink(self.world, self.receiver, self.sender)
        handler = self.receiver.handlers()[type(message)]
        handler(back, message)


@dataclass
class Request:
    """A request that holds a reservation."""

    customer: str
    reserved: int
    spent: int


class ModelGateway:
    """The prepaid parts of one lifetime of a gateway."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.alive = True
        self.store = FaultyStore(world.store, world.dice)
        self.store.loss = world.loss
        began = asyncio.get_running_loop().time()
        self.context = GatewayContext(settings_for(name), ports_for(self.store), began)
        self.boot = self.context.boot
        self.recorder = BoundsRecorder(self.context)
        self.funds = PrepaidFunds(self.context, self.recorder)
        self.predecessor_cleanup = PredecessorCleanup(self.context, self.funds.pool)
        self.running = set()
        self.context.index = RouteIndex(world.table())

    def start(self):
        """Begin to work."""
        self.recorder.start()
        self.funds.start()
        self.context.spawn(self.predecessor_cleanup.run())
        self.context.spawn(self.funds.pool.sync({}))

    def handlers(self):
        """Return the handlers of messages."""
        return self.funds.peers.handlers()

    def kill(self):
        """End at once; what was running counts as fully used."""
        self.alive = False
        self.context.timers.close()
        for task in tuple(self.context.tasks.tasks):
            task.cancel()
        accounts = self.funds.book.accounts
        self.world.used_at_death[self.boot] = {name: a.used for name, a in accounts.items()}
        for request in self.running:
            self.world.spent[request.customer] += request.reserved
        self.running.clear()

    async def request(self, customer, tokens, took, share):
        """Run a request.

        :param took: seconds
        :param share: part of the reservation that it uses
        """
        reserved = await self.funds.reserve(customer, tokens)
        if isinstance(reserved, Failure):
            self.world.refused += 1
            return
        request = Request(customer, tokens, int(tokens * share))
        self.running.add(request)
        self.world.served += 1
        self.world.check()
        await asyncio.sleep(took)
        if not self.alive:
            return
        self.running.discard(request)
        self.world.spent[customer] += request.spent
        self.funds.settle(customer, tokens, request.spent)

    def __hash__(self):
        return id(self)


Request.__hash__ = object.__hash__


def settings_for(name):
    """Return settings; no address is used."""
    address = Address("127.0.0.1", 1)
    return GatewaySettings(
        name, "quay", address, address, address, None, None, 300, address, 1.0, 8.0, 0.2, 10.0,
        50.0, 25.0,
    )  # fmt: skip


def ports_for(store):
    """Return ports with only the tables."""
    return GatewayPorts(store, None, None, None, None, "op", "config", "servers")


class World:
    """Gateways, their store, and what the customers have used.

    :param loss: share of the store's write answers that are lost
    :param names: names of the gateways
    """

    def __init__(self, seed, loss, names=NAMES):
        self.names = names
        self.link_loss = LINK_LOSS
        self.dice = random.Random(seed)
        self.loss = loss
        self.store = ModelStore()
        self.prepaid = {"harbour": 400_000, "school": 60_000}
        self.spent = dict.fromkeys(self.prepaid, 0)
        self.used_at_death = {}
        self.served = self.refused = 0
        self.isolated = set()
        self.gateways = {}
        self.version = 1
        self.faults = []

    def table(self, names=None):
        """Return the route table in force.

        :param names: customers that it names, all by default
        """
        customers = {
            name: RoutedCustomer(name, (), None, self.prepaid[name])
            for name in names or self.prepaid
        }
        return RouteTable(self.version, (), {}, customers, True)

    def used(self, customer):
        """Return what a customer has used or may yet use of running requests."""
        running = [r for g in self.gateways.values() if g.alive for r in g.running]
        return self.spent[customer] + sum(r.reserved for r in running if r.customer == customer)

    def check(self):
        """Raise if a customer got more than it has paid for."""
        for customer, total in self.prepaid.items():
            used = self.used(customer)
            assert used <= total, f"{customer}: {used} of {total} tokens after {self.faults}"
        for gateway in self.gateways.values():
            for boot, counted in gateway.predecessor_cleanup.used.items():
                self._check_closed(boot, counted)

        for gateway in self.gateways.values():
            if gateway.alive:
                self._check_granted(gateway)
        for customer in self.prepaid:
            self._check_counted(customer)

    def _check_counted(self, customer):
        """Raise if the accounts together count less than the customer has used."""
        pool = self._pool(customer)
        living = {g.boot: g for g in self.gateways.values() if g.alive}
        counted = pool.closed
        counted += sum(g.funds.book.account(customer).used for g in living.values())
        for boot in pool.holders:
            if boot not in living:
                counted += self.used_at_death.get(boot, {}).get(customer, 0)
        used = self.used(customer)
        assert counted >= used, f"{used} tokens of {customer} are used, {counted} are counted"

    def _pool(self, customer):
        value = self.store.rows.get(RowRef(POOL_TABLE, customer), (0, {}))[1]
        return PoolRow.from_value(value)

    def _check_granted(self, gateway):
        """Raise if a gateway believes that it was granted more than the store says."""
        for customer, account in gateway.funds.book.accounts.items():
            granted = self._pool(customer).holders.get(gateway.boot, 0)
            assert account.granted <= granted, f"{gateway.boot}: {account.granted} of {granted}"

    def _check_closed(self, boot, counted):
        """Raise if a successor counts less than its predecessor used."""
        for customer, used in self.used_at_death.get(boot, {}).items():
            found = counted.get(customer, 0)
            assert found >= used, f"{boot} used {used} of {customer}, {found} is counted"

    def boot(self, name):
        """Start a lifetime of a gateway."""
        gateway = ModelGateway(self, name)
        self.gateways[name] = gateway
        gateway.start()
        self.relink()

    def relink(self):
        """Link all gateways that live and reach each other."""
        living = [g for g in self.gateways.values() if g.alive]
        for gateway in living:
            before = gateway.context.peer_links
            gateway.context.peer_links = {
                other.name: ModelLink(self, gateway, other)
                for other in living
                if other is not gateway and not {other.name, gateway.name} & self.isolated
            }
            gateway.context.known_routers = set(self.names)
            for name, link in gateway.context.peer_links.items():
                if name not in before or before[name].peer.boot != link.peer.boot:
                    link.send(gateway.funds.peers.notice())

    async def play(self, seconds):
        """Play a random history."""
        for name in NAMES:
            self.boot(name)
        await asyncio.sleep(0.5)
        end = asyncio.get_running_loop().time() + seconds
        traffic = asyncio.ensure_future(self._traffic(end, RATE))
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.dice.uniform(0.3, 2.5))
            await self._fault()
            self.check()
        await traffic
        await self._use_up()
        for gateway in self.gateways.values():
            if gateway.alive:
                gateway.kill()
        self.check()

    async def _use_up(self):
        """Heal everything and ask for all that is left, so that a token counted twice shows."""
        await asyncio.sleep(LONGEST_DOWN)
        self._heal()
        self.relink()
        await asyncio.sleep(LONGEST_LATE)
        end = asyncio.get_running_loop().time() + 6.0
        await self._traffic(end, 4 * RATE)

    def _heal(self):
        self.isolated = set()
        for gateway in self.gateways.values():
            gateway.store.cut = "up"

    async def _traffic(self, end, rate):
        weights = (5, 2, 1, 1)
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.dice.expovariate(rate))
            names = self.dice.choices(self.names, weights[: len(self.names)])
            gateway = self.gateways[names[0]]
            if not gateway.alive:
                continue
            customer = self.dice.choices(tuple(self.prepaid), (4, 1))[0]
            tokens = int(self.dice.lognormvariate(7.2, 0.8)) + 50
            took, share = self.dice.uniform(0.1, 2.0), self.dice.uniform(0.4, 1.0)
            gateway.context.spawn(gateway.request(customer, tokens, took, share))

    async def _fault(self):
        kind = self.dice.choice(
            ("kill", "kill", "kill_all", "cut", "cut_all", "isolate", "heal", "top_up", "busy")
        )
        name = self.dice.choice(NAMES)
        self.faults.append(f"{kind} {name}")
        if kind == "kill":
            self._kill((name,))
        elif kind == "kill_all":
            self._kill(NAMES)
        elif kind in ("cut", "busy"):
            self.gateways[name].store.cut = "silent" if kind == "cut" else "busy"
        elif kind == "cut_all":
            for gateway in self.gateways.values():
                gateway.store.cut = "silent"
        elif kind == "isolate":
            self.isolated = {name}
        elif kind == "heal":
            self._heal()
        else:
            self._top_up()
        self.relink()

    def _kill(self, names):
        loop = asyncio.get_running_loop()
        for name in names:
            if self.gateways[name].alive:
                self.gateways[name].kill()
                loop.call_later(self.dice.uniform(0.2, LONGEST_DOWN), self.boot, name)

    def _top_up(self):
        self.version += 1
        self.prepaid = {name: int(total * 1.15) for name, total in self.prepaid.items()}
        for gateway in self.gateways.values():
            gateway.context.index = RouteIndex(self.table())


def play(seed, seconds=40.0, loss=0.1):
    """Play one history.

    :returns: its world
    :raises AssertionError: if a customer got more than it has paid for
    """
    world = World(seed, loss)
    play_world(world, lambda: world.play(seconds))
    return world


def play_world(world, play_whole):
    """Run a world's play in model time, with ids that its dice give.

    :param play_whole: returns the coroutine to run
    """
    began = time.monotonic()
    with mock.patch("uuid.uuid4", lambda: uuid.UUID(int=world.dice.getrandbits(128))):
        run_in_simulated_time(play_whole(), BEGAN)
    world.took = time.monotonic() - began


class OutageWorld(World):
    """One gateway that dies while the store is out; its successor waits for the store."""

    async def play_outage(self, rate):
        """Serve, lose the store, die a second later, start a second later; the store is back later.

        :param rate: requests a second
        """
        name = self.names[0]
        self.boot(name)
        loop = asyncio.get_running_loop()
        traffic = asyncio.ensure_future(self._traffic(loop.time() + 7.0, rate))
        await asyncio.sleep(6.0)
        self.gateways[name].store.cut = "silent"
        await asyncio.sleep(1.0)
        await traffic
        dead = self.gateways[name]
        dead.kill()
        await asyncio.sleep(1.0)
        self.boot(name)
        successor = self.gateways[name]
        successor.store.cut, successor.context.index = "silent", None
        await asyncio.sleep(6.0)
        successor.store.cut, successor.context.index = "up", RouteIndex(self.table())
        successor.funds.on_table()
        await asyncio.sleep(3.0)
        self.holders_after = {boot for c in self.prepaid for boot in self._pool(c).holders}
        self.dead = dead.boot
        self.lost = sum(self._pool(c).closed for c in self.prepaid) - sum(
            self.used_at_death[dead.boot].values()
        )
        successor.kill()


class PartialWorld(World):
    """One gateway whose successor learns of a customer late."""

    async def play_partial(self, rate):
        """Serve, die, start with a table that lacks a customer, learn of it."""
        name = self.names[0]
        self.boot(name)
        await self._traffic(asyncio.get_running_loop().time() + 4.0, rate)
        dead = self.gateways[name]
        dead.kill()
        self.boot(name)
        successor = self.gateways[name]
        successor.context.index = RouteIndex(self.table(("harbour",)))
        await asyncio.sleep(3.0)
        successor.context.index = RouteIndex(self.table())
        successor.funds.on_table()
        await asyncio.sleep(5.0)
        self.counted = {customer: self._pool(customer).closed for customer in self.prepaid}
        self.used_before = self.used_at_death[dead.boot]
        successor.kill()


def play_partial(seed, rate):
    """Play a start with a table that lacks a customer.

    :returns: its world, with tokens ``counted`` and ``used_before`` by customer
    """
    world = PartialWorld(seed, 0.0, ("gate-1",))
    play_world(world, lambda: world.play_partial(rate))
    return world


def play_outage(seed, rate):
    """Play a death in an outage.

    :returns: its world, with ``lost`` tokens and ``holders_after``
    """
    world = OutageWorld(seed, 0.0, ("gate-1",))
    play_world(world, lambda: world.play_outage(rate))
    return world


class RestartWorld(World):
    """Many gateways with many customers, which all lose power at once."""

    def __init__(self, seed, gateways, customers):
        super().__init__(seed, 0.0, tuple(f"gate-{i}" for i in range(gateways)))
        self.link_loss = 0.0
        self.prepaid = {f"customer-{i}": 400_000 for i in range(customers)}
        self.spent = dict.fromkeys(self.prepaid, 0)

    async def play_restart(self, rate):
        """Serve for some seconds, lose power, start again.

        :param rate: requests a second, over all gateways
        """
        for name in self.names:
            self.boot(name)
        await asyncio.sleep(0.5)
        loop = asyncio.get_running_loop()
        traffic = asyncio.ensure_future(self._even_traffic(loop.time() + 12.0, rate))
        await asyncio.sleep(6.0)
        old = {gateway.boot for gateway in self.gateways.values()}
        for gateway in self.gateways.values():
            gateway.kill()
        await asyncio.sleep(1.5)
        began = loop.time()
        for name in self.names:
            loop.call_later(self.dice.uniform(0.0, 0.3), self.boot, name)
        await asyncio.sleep(0.3)
        self.closed_after = await self._closed_after(old, began)
        served, refused = self.served, self.refused
        await asyncio.sleep(2.0)
        self.refused_after = (self.refused - refused) / (
            self.served + self.refused - served - refused
        )
        await traffic
        for gateway in self.gateways.values():
            gateway.kill()

    async def _closed_after(self, old, began):
        """Return the seconds until no ended lifetime holds tokens, at most 4."""
        loop = asyncio.get_running_loop()
        while loop.time() < began + 4.0:
            holders = {boot for name in self.prepaid for boot in self._pool(name).holders}
            if not holders & old:
                break
            await asyncio.sleep(0.02)
        return loop.time() - began

    async def _even_traffic(self, end, rate):
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.dice.expovariate(rate))
            gateway = self.gateways[self.dice.choice(self.names)]
            if gateway.alive:
                customer = self.dice.choice(tuple(self.prepaid))
                gateway.context.spawn(gateway.request(customer, 1_500, 0.5, 0.8))


def play_restart(seed, gateways, customers, rate):
    """Play a common restart.

    :returns: its world, with ``closed_after`` in seconds and ``refused_after`` as a share
    """
    world = RestartWorld(seed, gateways, customers)
    play_world(world, lambda: world.play_restart(rate))
    return world
