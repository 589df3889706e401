"""Tells the other gateways what this one has at backend servers."""

from bilberryshed.coordination import is_news
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import LoadNotice, ServerLoad
from bilberryshed.transport import Link

CHECK_INTERVAL = 0.02  # seconds between looks for a long prompt, which peers hear of at once
CHECKS_PER_NOTICE = 5  # looks after which peers hear of any other change
PEERS_PER_STEP = 4  # peers for each further look between notices, so that their bytes are bounded


class LoadSharing:
    """Both sides of :class:`LoadNotice`."""

    __slots__ = ("context", "checks", "last_sent")

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.checks = 0
        self.last_sent: tuple[ServerLoad, ...] = ()

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(CHECK_INTERVAL, lambda now: self._check())

    def _check(self) -> None:
        """Tell peers what has changed, less often the more they are."""
        self.checks += 1
        interval_factor = self.context.interval_factor(PEERS_PER_STEP)
        if self.checks % interval_factor:
            return
        pool = self.context.backends
        loads = pool.loads()
        is_due = self.checks % (CHECKS_PER_NOTICE * interval_factor) == 0 and (
            loads != self.last_sent or pool.new_parts
        )
        if is_due or is_news(loads, self.last_sent):
            self.last_sent = loads
            self.context.broadcast(LoadNotice(loads, pool.take_new_parts()))

    def on_notice(self, link: Link, notice: LoadNotice) -> None:
        """Take in what a peer has."""
        self.context.backends.hear(self.context.timers.now(), link.peer.name, notice)
