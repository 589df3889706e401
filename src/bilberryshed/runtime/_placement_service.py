"""Orders to engines to load and unload models as the sheet requires.

The router that holds the placement lease sends them.
"""

from dataclasses import dataclass

from returns.result import Failure, Success

from bilberryshed.coordination import EngineView, Lease, OrderKind, PlannedOrder, plan_orders
from bilberryshed.protocol import Order, OrderResult
from bilberryshed.runtime._context import RouterContext
from bilberryshed.state import PLACEMENT_LEASE
from bilberryshed.transport import logger

TASK_NAME = "placement"
PLACEMENT_INTERVAL = 1.0  # seconds between placement passes
LEASE_DURATION = 10.0  # seconds
RENEWAL_MARGIN = 5.0  # seconds before expiry at which the lease is renewed
ORDER_TIMEOUT = 120.0  # responsive seconds without a result until an order counts as failed


@dataclass(slots=True, frozen=True)
class _SentOrder:
    """An order without a result; ``sent_at`` is in responsive time."""

    order: PlannedOrder
    sent_at: float


class PlacementService:
    """Placement lease, plan and in-flight orders."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.lease = Lease(context.boot, LEASE_DURATION)
        self.in_flight: dict[tuple[str, str], _SentOrder] = {}
        self.is_running = False

    def start(self) -> None:
        """Start the periodic placement passes."""
        self.context.timers.subscribe(PLACEMENT_INTERVAL, self._on_tick)

    def _on_tick(self, now: float) -> None:
        is_owner = self.context.members.owns_task(TASK_NAME)
        if is_owner and not self.is_running and not self.context.draining:
            self.context.spawn(self._run_pass())

    async def _run_pass(self) -> None:
        self.is_running = True
        try:
            if await self._ensure_lease():
                self._send_orders(self.context.timers.responsive_time())
        finally:
            self.is_running = False

    async def _ensure_lease(self) -> bool:
        """Acquire or renew the lease if needed, and return whether it is held."""
        wall_time = self.context.timers.wall_time()
        if wall_time < self.lease.until - RENEWAL_MARGIN:
            return True
        rows = await self.context.tables.read((PLACEMENT_LEASE,))
        put = None if isinstance(rows, Failure) else self.lease.acquire(wall_time, rows.unwrap()[0])
        if put is not None:
            written = await self.context.tables.write((put,))
            if isinstance(written, Success) and written.unwrap():
                self.lease.on_acquired(put)
        return self.lease.held(self.context.timers.wall_time())

    def _send_orders(self, time: float) -> None:
        current = self.context.rollout.current
        if current is None:
            return
        self.in_flight = {
            key: sent for key, sent in self.in_flight.items() if time - sent.sent_at < ORDER_TIMEOUT
        }
        desired_engines = {label: model.engines for label, model in current.sheet.models.items()}
        for order in plan_orders(desired_engines, self._engines()):
            link = self.context.agent_links.get(order.agent)
            if link is not None:
                self.in_flight[order.agent, order.model] = _SentOrder(order, time)
                link.send(Order(self.lease.number, order.kind, order.model))
                logger().info(
                    "order_sent",
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
                for (name, model), sent in self.in_flight.items()
                if name == agent.name
                and sent.order.kind is OrderKind.LOAD
                and model not in agent.models
            }
            usable = agent.healthy and not agent.draining
            views.append(EngineView(agent.name, agent.models, frozenset(pending), usable))
        return tuple(sorted(views, key=lambda view: view.name))

    def on_result(self, agent: str, result: OrderResult) -> None:
        """Handle the result of an order."""
        self.in_flight.pop((agent, result.model), None)
        if not result.done:
            self.context.metrics.count("orders_refused")
            logger().warning("order_refused", agent=agent, model=result.model, reason=result.reason)
