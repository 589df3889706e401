"""Gives orders to engines so that they serve what the sheet wants; one router holds the lease."""

from dataclasses import dataclass

from returns.result import Failure, Success

from bilberryshed.coordination import EngineView, Lease, OrderKind, PlannedOrder, plan_orders
from bilberryshed.protocol import Order, OrderResult
from bilberryshed.runtime._context import RouterContext
from bilberryshed.state import PLACEMENT_LEASE
from bilberryshed.transport import logger

DUTY = "placement"
INTERVAL = 1.0  # seconds between looks
LEASE_LENGTH = 10.0  # seconds
RENEW_BEFORE = 5.0  # seconds before the end of the lease at which it is renewed
ORDER_TIMEOUT = 120.0  # seconds after which a load counts as failed


@dataclass(slots=True, frozen=True)
class _Given:
    order: PlannedOrder
    at: float


class PlacementService:
    """Lease, plan and orders under way."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.lease = Lease(context.boot, LEASE_LENGTH)
        self.given: dict[tuple[str, str], _Given] = {}
        self.working = False

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(INTERVAL, self._on_tick)

    def _on_tick(self, now: float) -> None:
        on_duty = self.context.members.owns_task(DUTY)
        if on_duty and not self.working and not self.context.draining:
            self.context.spawn(self._work(now))

    async def _work(self, now: float) -> None:
        self.working = True
        try:
            if await self._hold():
                self._give(now)
        finally:
            self.working = False

    async def _hold(self) -> bool:
        wall = self.context.timers.wall()
        if wall < self.lease.until - RENEW_BEFORE:
            return True
        rows = await self.context.tables.read((PLACEMENT_LEASE,))
        put = None if isinstance(rows, Failure) else self.lease.acquire(wall, rows.unwrap()[0])
        if put is not None:
            written = await self.context.tables.write((put,))
            if isinstance(written, Success) and written.unwrap():
                self.lease.on_acquired(put)
        return self.lease.held(self.context.timers.wall())

    def _give(self, now: float) -> None:
        current = self.context.rollout.current
        if current is None:
            return
        self.given = {k: g for k, g in self.given.items() if now - g.at < ORDER_TIMEOUT}
        wanted = {label: model.engines for label, model in current.sheet.models.items()}
        for order in plan_orders(wanted, self._engines()):
            link = self.context.agent_links.get(order.agent)
            if link is not None:
                self.given[order.agent, order.model] = _Given(order, now)
                link.send(Order(self.lease.number, order.kind, order.model))
                logger().info(
                    "order_given",
                    agent=order.agent,
                    order=order.kind,
                    model=order.model,
                    number=self.lease.number,
                )

    def _engines(self) -> tuple[EngineView, ...]:
        views = []
        for agent in self.context.routing.agents.values():
            if agent.services:
                continue
            pending = {
                model
                for (name, model), given in self.given.items()
                if name == agent.name
                and given.order.kind is OrderKind.LOAD
                and model not in agent.models
            }
            usable = agent.healthy and not agent.draining
            views.append(EngineView(agent.name, agent.models, frozenset(pending), usable))
        return tuple(sorted(views, key=lambda view: view.name))

    def on_result(self, agent: str, result: OrderResult) -> None:
        """Note what became of an order."""
        self.given.pop((agent, result.model), None)
        if not result.done:
            self.context.metrics.count("orders_refused")
            logger().warning("order_refused", agent=agent, model=result.model, reason=result.reason)
