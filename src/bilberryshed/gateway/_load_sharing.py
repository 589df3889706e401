"""Shares this gateway's load at backend servers with the other gateways."""

from bilberryshed.coordination import is_report_urgent
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import LoadNotice, ServerLoad
from bilberryshed.transport import Link

CHECK_INTERVAL = 0.02  # seconds between checks for a long prompt, which is announced at once
CHECKS_PER_NOTICE = 5  # checks after which any other change is announced
PEERS_PER_STEP = 4  # peers per additional check between notices, which bounds the traffic


class LoadSharing:
    """Sends and receives :class:`LoadNotice` messages.

    :param checks: number of checks so far
    :param last_sent: loads in the last notice
    """

    __slots__ = ("context", "checks", "last_sent")

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.checks = 0
        self.last_sent: tuple[ServerLoad, ...] = ()

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(CHECK_INTERVAL, lambda now: self._check())

    def _check(self) -> None:
        """Broadcast changed loads; the interval grows with the number of peers."""
        self.checks += 1
        interval_factor = self.context.interval_factor(PEERS_PER_STEP)
        if self.checks % interval_factor:
            return
        pool = self.context.backends
        loads = pool.loads()
        is_due = self.checks % (CHECKS_PER_NOTICE * interval_factor) == 0 and (
            loads != self.last_sent or pool.new_prefixes
        )
        if is_due or is_report_urgent(loads, self.last_sent):
            self.last_sent = loads
            self.context.broadcast(LoadNotice(loads, pool.pop_new_prefixes()))

    def on_notice(self, link: Link, notice: LoadNotice) -> None:
        """Record a peer's load."""
        self.context.backends.on_load_notice(self.context.timers.now(), link.peer.name, notice)
