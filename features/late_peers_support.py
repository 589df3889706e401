"""Simulates two gateways with prepaid tokens, of which one stands still for some time."""

import asyncio
import random

from prepaid_support import (
    FaultyStore,
    SimulatedStore,
    Simulation,
    ports_for,
    run_simulation,
    settings_for,
)

from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._load_sharing import LoadSharing
from bilberryshed.gateway._pool_table import POOL_TABLE
from bilberryshed.protocol import Hello, LoadNotice, ServerLoad
from bilberryshed_load._simulated_time import run_in_simulated_time

LATE, OTHER = "gate-1", "gate-2"
SETTLE_TIME = 3.0  # seconds until the first event
STILL_TIME = 7.0  # seconds for which a gateway stands still
USE_TIME = 2.5  # seconds for which the other gateway is granted tokens
OBSERVED_TIME = 8.0  # seconds after the restore without the other gateway
REQUEST_RATE = 60.0  # requests per second and gateway


class Stopper:
    """Has a gateway stand still: its timers do not fire, and responses of the store wait.

    :param running: set while the gateway runs
    :param at_pool_read: whether it stops when the store has read pools for it
    """

    def __init__(self, timers, store=None):
        self.timers = timers
        self.running = asyncio.Event()
        self.running.set()
        self.at_pool_read = False
        for name in ("read", "transact", "scan") if store else ():
            setattr(store, name, self._delayed(name, getattr(store, name)))

    def _delayed(self, name, call):
        async def wait(*args):
            result = await call(*args)
            if self.at_pool_read and name == "read" and args[0][0].table == POOL_TABLE:
                self.stop()
            await self.running.wait()
            return result

        return wait

    def stop(self):
        """Stop the gateway."""
        self.at_pool_read = False
        self.running.clear()
        for subscription in self.timers.subscriptions:
            subscription.handle.cancel()

    def go_on(self):
        """Let it run again; timers that are overdue fire at once."""
        self.running.set()
        for subscription in self.timers.subscriptions:
            asyncio.get_running_loop().call_soon(self.timers._fire, subscription)


class LateGatewaySimulation(Simulation):
    """Two gateways, of which one stands still; the store then comes back from a copy.

    :param granted_after: seconds from the return of the other gateway until the pools grant tokens
        again, ``None`` if they do not
    :param taken_for_departed: whether the late gateway takes the other one for departed
    """

    def __init__(self, seed):
        super().__init__(seed, 0.0, (LATE, OTHER), restores=True)
        self.link_loss_rate = 0.0
        self.granted_after = None
        self.taken_for_departed = False

    async def run_restart(self):
        """Stop a gateway while it reads the pools, and start the other one anew meanwhile.

        What that one is granted is missing in the copy. It goes on serving, but reaches neither the
        store nor the late gateway for some time.
        """
        stopper = await self._start()
        self.gateways[OTHER].kill()
        self.update_links()
        await asyncio.sleep(SETTLE_TIME)
        copy = self.store.copy()
        stopper.at_pool_read = True
        while stopper.running.is_set():
            await asyncio.sleep(0.01)
        self.isolated = {OTHER}
        self.start_gateway(OTHER)
        late, other = self.gateways[LATE], self.gateways[OTHER]
        await asyncio.sleep(STILL_TIME - USE_TIME)
        await self._use(other, USE_TIME)
        other.store.availability = "silent"
        self.store.restore(copy)
        stopper.go_on()
        await asyncio.gather(self._use(late, OBSERVED_TIME), self._use(other, OBSERVED_TIME))
        self._clear_faults()
        self.update_links()
        await self._wait_until_granting()
        self._kill_all()

    async def run_unlinked(self):
        """Stop a gateway while its link to the other one closes, and restore the store at once.

        The other one has no route table yet, so that it holds no tokens, and is not watched in the
        store.
        """
        stopper = await self._start(has_table=False)
        stopper.stop()
        self.isolated = {OTHER}
        self.update_links()
        await asyncio.sleep(STILL_TIME)
        stopper.go_on()
        await asyncio.sleep(0.1)
        departures = self.gateways[LATE].context.departures
        departures.on_restored()
        self.taken_for_departed = departures.has_departed(OTHER)
        self._kill_all()

    async def _start(self, has_table=True):
        for name in self.names:
            self.start_gateway(name)
        if not has_table:
            self.gateways[OTHER].context.index = None
        late = self.gateways[LATE]
        late.context.timers.watch_loop()
        stopper = Stopper(late.context.timers, late.store)
        await asyncio.sleep(SETTLE_TIME)
        return stopper

    def _kill_all(self):
        for gateway in self.gateways.values():
            gateway.kill()

    async def _use(self, gateway, seconds):
        """Send requests to a gateway."""
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.rng.expovariate(REQUEST_RATE))
            gateway.context.spawn(gateway.request("harbour", 1_500, 0.5, 1.0))

    async def _wait_until_granting(self):
        loop = asyncio.get_running_loop()
        returned_at = loop.time()
        while loop.time() < returned_at + OBSERVED_TIME:
            pool = self._pool("harbour")
            if pool.epoch == self.store.epoch and pool.restoration is None:
                self.granted_after = loop.time() - returned_at
                return
            await asyncio.sleep(0.02)


def run_late_gateway(seed, run):
    """Run one case.

    :param run: method of the simulation, without arguments
    :returns: the simulation
    """
    simulation = LateGatewaySimulation(seed)
    run_simulation(simulation, lambda: run(simulation))
    return simulation


class MemberLink:
    """Link to a member of the group of a hub."""

    peer = Hello(OTHER, f"{OTHER}.a", "router", "quay", "")


async def stop_hub(report_age, still_time):
    """Have a hub stand still some time after a report of a member.

    :param report_age: seconds since the report
    :param still_time: seconds for which the hub stands still
    :returns: the loads of the members that it counts just afterwards
    """
    started_at = asyncio.get_running_loop().time()
    store = FaultyStore(SimulatedStore(), random.Random(1))
    context = GatewayContext(settings_for(LATE), ports_for(store), started_at)
    context.timers.watch_loop()
    sharing = LoadSharing(context)
    sharing.start()
    sharing.on_notice(MemberLink(), LoadNotice((ServerLoad("i-1", 3, 100, 0),), ()))
    await asyncio.sleep(report_age)
    stopper = Stopper(context.timers)
    stopper.stop()
    await asyncio.sleep(still_time)
    stopper.go_on()
    await asyncio.sleep(0.05)
    members = dict(sharing.relay.members)
    context.timers.close()
    return members


def run_late_hub(report_age, still_time):
    """Return the result of :func:`stop_hub` in simulated time."""
    return run_in_simulated_time(stop_hub(report_age, still_time), 1000.0)
