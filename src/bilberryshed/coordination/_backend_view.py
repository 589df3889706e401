"""What a router knows of one backend server, and what runs there."""

import math
from dataclasses import dataclass, field

from bilberryshed.state import BackendServer

PREFIX_CACHE_TIME = (
    10.0  # seconds for which shared parts that were sent to a server are taken to be kept
)
MAX_CACHED_PREFIXES = 2_000  # shared parts that are remembered for a server


@dataclass(slots=True, frozen=True)
class BackendDemand:
    """What a request asks of a backend server.

    :param affinity: identifies the shared parts of its prompt, empty for a plain request
    :param work: tokens, outputs weighted; 1 for a plain request
    :param shared: tokens of the shared parts, which are read unless the server has kept them
    :param own: tokens of the prompt that are read in any case
    """

    affinity: str
    work: int
    shared: int = 0
    own: int = 0


@dataclass(slots=True)
class BackendView:
    """What one router knows of a backend server.

    :param running: requests of this router that run there
    :param work: their tokens, outputs weighted
    :param unread: tokens of their prompts that are still to be read
    :param peers_running: requests of other routers, as they said last
    :param peers_work: tokens of these
    :param peers_unread: tokens of their prompts that are still to be read
    :param sent_prefixes: monotonic time at which shared parts were sent there last
    :param refused: refused channels in a row
    :param backoff_until: monotonic time before which it gets no new work
    :param failure_rate: share of recent requests that it failed, from 0 to 1
    :param ejected_until: monotonic time before which it is used only if there is no other
    :param left: whether its entry is gone or says that it leaves
    """

    server: BackendServer
    running: int = 0
    work: int = 0
    unread: int = 0
    peers_running: int = 0
    peers_work: int = 0
    peers_unread: int = 0
    sent_prefixes: dict[str, float] = field(default_factory=dict)
    refused: int = 0
    backoff_until: float = 0.0
    failure_rate: float = 0.0
    ejected_until: float = 0.0
    left: bool = False

    @property
    def total_running(self) -> int:
        """Requests of all routers that run there."""
        return self.running + self.peers_running

    @property
    def total_work(self) -> int:
        """Tokens of these, outputs weighted."""
        return self.work + self.peers_work

    @property
    def total_unread(self) -> int:
        """Tokens of their prompts that are still to be read."""
        return self.unread + self.peers_unread

    def has_cached(self, now: float, affinity: str) -> bool:
        """Whether this router sent the shared parts there lately."""
        return now - self.sent_prefixes.get(affinity, -math.inf) < PREFIX_CACHE_TIME

    def record_prefix_sent(self, now: float, affinity: str) -> None:
        """Note that shared parts are sent there."""
        self.sent_prefixes.pop(affinity, None)
        self.sent_prefixes[affinity] = now
        if len(self.sent_prefixes) > MAX_CACHED_PREFIXES:
            del self.sent_prefixes[next(iter(self.sent_prefixes))]


@dataclass(slots=True)
class InFlightRequest:
    """A request that runs at a backend server.

    :param unread: tokens of its prompt that are still to be read
    """

    view: BackendView
    demand: BackendDemand
    unread: int
