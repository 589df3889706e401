"""Service-level tallies of a router, published as objects."""

import json
from dataclasses import astuple

from bilberryshed.coordination import SloTally
from bilberryshed.protocol import Refusal, RefusalCode
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._execution import Execution

SLO_PREFIX = "slo/"
CALLER_ERROR_CODES = frozenset(
    {RefusalCode.KEY_REUSED, RefusalCode.BUDGET_EXHAUSTED, RefusalCode.IN_PROGRESS}
)


class SloMonitor:
    """Counts completed and failed requests, and writes the counts periodically."""

    def __init__(self, context: RouterContext) -> None:
        self.context = context
        self.tally = SloTally()
        self.publish_count = 0

    def start(self) -> None:
        """Start the periodic publication."""
        interval = self.context.settings.slo_interval
        self.context.timers.subscribe(interval, lambda now: self.context.spawn(self.publish()))

    def record_request(self, execution: Execution, refusal: Refusal | None) -> None:
        """Count a request, unless it was refused because of a caller error."""
        call = execution.call
        if refusal is not None and refusal.code in CALLER_ERROR_CODES:
            return
        elapsed = self.context.timers.now() - execution.created_at
        met = refusal is None and elapsed <= call.service.deadline
        self.context.metrics.timing(f"answer.{call.service.name}", elapsed)
        self.tally.add(call.service.name, call.customer.name, met)

    async def publish(self) -> None:
        """Write the tallies of the current interval; a failed write loses only statistics."""
        wall_time = self.context.timers.wall_time()
        lines = self.tally.close(wall_time)
        if not lines:
            return
        self.publish_count += 1
        name = f"{SLO_PREFIX}{int(wall_time):012d}/{self.context.boot}.{self.publish_count}"
        data = json.dumps([astuple(line) for line in lines]).encode()
        await self.context.objects.put_if_absent(name, data)
