"""Simulates gateways whose store comes back from a copy that lacks its latest writes."""

import asyncio

from prepaid_support import COPY_INTERVAL, REQUEST_RATE, Simulation, run_simulation

TRAFFIC_TIME = 14.0  # seconds of traffic before the store is away
AWAY_TIME = 1.5  # seconds for which it is away
DOWNTIME = 0.6  # seconds between a kill of all gateways and their restart
OBSERVED_TIME = 12.0  # seconds that are observed afterwards
PREPAID_TOKENS = 2_000_000
TOP_UP_FACTOR = 1.15


class RestoreSimulation(Simulation):
    """Four gateways and one restore of the store.

    :param restored_after: seconds from the return of the store until all pools grant tokens again
    :param refused_fraction: fraction of the requests refused after that
    """

    def __init__(self, seed):
        super().__init__(seed, 0.0, restores=True)
        self.link_loss_rate = 0.0
        self.prepaid = dict.fromkeys(self.prepaid, PREPAID_TOKENS)
        self.restored_after = None
        self.refused_fraction = None

    async def run_restore(
        self, age, kill_delay=None, late_gateway=None, late_by=0.0, removal_at=None, planned=True
    ):
        """Serve, restore the store, and observe.

        :param age: age of the copy in seconds
        :param kill_delay: seconds from the return of the store until all gateways are killed,
            negative for a kill while it is away; ``None`` for no kill
        :param late_gateway: name of a gateway that does not reach the store meanwhile
        :param late_by: seconds after the return at which it does again
        :param removal_at: seconds of traffic after which one gateway is removed for good, ``None``
            if none is
        :param planned: whether that gateway is stopped as planned, otherwise killed
        """
        loop = asyncio.get_running_loop()
        for name in self.names:
            self.start_gateway(name)
        await asyncio.sleep(0.5)
        copying = asyncio.ensure_future(self._copy_store())
        end = loop.time() + TRAFFIC_TIME + AWAY_TIME + OBSERVED_TIME
        traffic = asyncio.ensure_future(self._generate_traffic(end, REQUEST_RATE))
        if removal_at is not None:
            loop.call_later(removal_at, self._remove_last, planned)
        await asyncio.sleep(TRAFFIC_TIME)
        copying.cancel()
        copy = self.copies[-int(age / COPY_INTERVAL)]
        killing = asyncio.ensure_future(self._kill_all(kill_delay))
        await self.restore_store(AWAY_TIME, copy)
        returned_at = loop.time()
        if late_gateway:
            self.gateways[late_gateway].store.availability = "silent"
            loop.call_later(late_by, self._clear_faults)
        await self._wait_until_granting(returned_at)
        served, refused = self.served, self.refused
        await traffic
        await killing
        total = self.served + self.refused - served - refused
        self.refused_fraction = (self.refused - refused) / max(1, total)
        self._measure()
        for gateway in self.gateways.values():
            gateway.kill()
        self.check_invariants()

    def _remove_last(self, planned):
        self.remove(self.names[-1], planned)
        self.update_links()

    async def _kill_all(self, delay):
        if delay is None:
            return
        await asyncio.sleep(AWAY_TIME + delay)
        self.boots_killed = {gateway.boot for gateway in self.gateways.values()}
        for gateway in self.gateways.values():
            gateway.kill()
        self.served_when_killed = self.served
        await asyncio.sleep(max(0.0, -delay) + DOWNTIME)
        for name in self.names:
            self.start_gateway(name)

    async def _wait_until_granting(self, returned_at):
        loop = asyncio.get_running_loop()
        while loop.time() < returned_at + OBSERVED_TIME - 1.0:
            pool = self._pool("harbour")
            if pool.epoch == self.store.epoch and pool.restoration is None:
                self.restored_after = loop.time() - returned_at
                return
            await asyncio.sleep(0.02)

    def _measure(self):
        """Set ``overcounted``, the tokens counted as used beyond those that are."""
        pool = self._pool("harbour")
        live = [g for g in self.gateways.values() if g.alive]
        counted = pool.closed + sum(g.funds.book.account("harbour").used for g in live)
        counted += sum(tokens for boot, tokens in pool.holders.items() if self._is_dead(boot))
        self.overcounted = counted - self.used("harbour")
        self.pool = pool

    def _is_dead(self, boot):
        return boot not in {g.boot for g in self.gateways.values() if g.alive}


class TopUpSimulation(RestoreSimulation):
    """All gateways are killed while the store is away; customers pay for more tokens later."""

    async def _wait_until_granting(self, returned_at):
        await asyncio.sleep(OBSERVED_TIME / 2)
        self.served_before_top_up = self.served - self.served_when_killed
        self.spent_before_top_up = self.used("harbour")
        before = self.prepaid["harbour"]
        self._top_up()
        self.topped_up = self.prepaid["harbour"] - before


def run_restore(seed, age, simulation_class=RestoreSimulation, **case):
    """Run one restore.

    :param case: parameters of :meth:`RestoreSimulation.run_restore`
    :returns: the simulation
    :raises AssertionError: if a customer overspends
    """
    simulation = simulation_class(seed)
    run_simulation(simulation, lambda: simulation.run_restore(age, **case))
    return simulation
