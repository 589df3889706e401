"""Tells the other gateways what this one has at backend servers."""

from bilberryshed.coordination import is_urgent
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import LoadNotice, ServerLoad
from bilberryshed.transport import Link

LOOK_INTERVAL = 0.02  # seconds between looks for a long prompt, which peers hear of at once
TELL_LOOKS = 5  # looks after which peers hear of any other change
FEW_PEERS = 4  # peers for each further look between notices, so that their bytes are bounded


class LoadSharing:
    """Both sides of :class:`LoadNotice`."""

    __slots__ = ("context", "looks", "told")

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.looks = 0
        self.told: tuple[ServerLoad, ...] = ()

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(LOOK_INTERVAL, lambda now: self._look())

    def _look(self) -> None:
        """Tell peers what has changed, less often the more they are."""
        self.looks += 1
        slowness = self.context.slowness(FEW_PEERS)
        if self.looks % slowness:
            return
        pool = self.context.backends
        loads = pool.loads()
        is_due = self.looks % (TELL_LOOKS * slowness) == 0 and (
            loads != self.told or pool.new_prefixes
        )
        if is_due or is_urgent(loads, self.told):
            self.told = loads
            self.context.broadcast(LoadNotice(loads, pool.pop_new_prefixes()))

    def on_notice(self, link: Link, notice: LoadNotice) -> None:
        """Take in what a peer has."""
        self.context.backends.on_load_notice(self.context.timers.now(), link.peer.name, notice)
