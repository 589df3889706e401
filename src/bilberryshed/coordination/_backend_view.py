"""A router's view of one backend server and of the requests in flight there."""

import math
from dataclasses import dataclass, field

from bilberryshed.coordination.placement._estimate import ServerEstimate
from bilberryshed.state import BackendServer

PREFIX_CACHE_TIME = 10.0  # seconds for which a shared prefix is assumed cached after it was sent
MAX_CACHED_PREFIXES = 2_000  # shared prefixes tracked for one backend server


@dataclass(slots=True, frozen=True)
class BackendDemand:
    """The load that a request puts on a backend server.

    :param affinity: identifies the shared prefix of its prompt, empty for a plain request
    :param work: weighted sum of prompt and output tokens; 1 for a plain request
    :param shared: tokens of the shared prefix, which are prefilled unless the server has it cached
    :param own: tokens of the prompt that are prefilled in any case
    :param held: tokens of the prompt and the longest output, which stay in the server's memory
    :param capacity: tokens that fit into the memory of a server, 0 if that is no limit
    """

    affinity: str
    work: int
    shared: int = 0
    own: int = 0
    held: int = 0
    capacity: int = 0


@dataclass(slots=True)
class BackendView:
    """One router's view of a backend server.

    :param tie_rank: preference of this router among equal backend servers, highest first
    :param estimate: the time in which it prefills prompts
    :param running: requests of this router that run there
    :param work: tokens of these requests, with outputs weighted
    :param unread: tokens of their prompts that are not yet prefilled
    :param held: tokens that they hold in its memory at most
    :param peers_running: requests of other routers, according to their last reports
    :param peers_work: tokens of these requests, with outputs weighted
    :param peers_unread: tokens of their prompts that are not yet prefilled
    :param sent_prefixes: monotonic time of the last send, by shared prefix, oldest first
    :param refused_connections: number of consecutive refused connections
    :param backoff_until: monotonic time before which it is sent no new work
    :param quiet_until: monotonic time before which it wants no requests, as it says
    :param limited_until: monotonic time before which the limit that it names admits no request
    :param failed_at: monotonic time of its last failure
    :param failure_rate: moving average of the share of failed requests, from 0 to 1
    :param ejected_until: monotonic time before which it is used only if no other is available
    :param is_cold: whether it is cold, so that it is used only if the others are busy
    :param wrong_sequence: sequence number of the entry when another backend server responded at its
        address; the mark lasts until the entry is renewed, which only a live server does
    :param omits_ids: whether it has rejected a request without naming it
    :param says_leaving: whether it says in its responses that it leaves
    :param is_leaving: whether it gets no more requests, as its entry was removed or is marked as
        draining, as it says that it leaves, or as its address belongs to another backend server
    """

    server: BackendServer
    tie_rank: int = 0
    estimate: ServerEstimate = field(default_factory=ServerEstimate)
    running: int = 0
    work: int = 0
    unread: int = 0
    held: int = 0
    peers_running: int = 0
    peers_work: int = 0
    peers_unread: int = 0
    sent_prefixes: dict[str, float] = field(default_factory=dict)
    refused_connections: int = 0
    backoff_until: float = 0.0
    quiet_until: float = -math.inf
    limited_until: float = 0.0
    failed_at: float = -math.inf
    failure_rate: float = 0.0
    ejected_until: float = 0.0
    omits_ids: bool = False
    says_leaving: bool = False
    is_leaving: bool = False
    wrong_sequence: int | None = None
    is_cold: bool = False

    @property
    def admits_at(self) -> float:
        """Monotonic time from which on it takes requests, by what it has said."""
        return max(self.quiet_until, self.limited_until)

    @property
    def available_at(self) -> float:
        """Monotonic time from which on it may be sent a request."""
        return max(self.admits_at, self.backoff_until)

    @property
    def total_running(self) -> int:
        """Requests of all routers that run there."""
        return self.running + self.peers_running

    @property
    def total_work(self) -> int:
        """Tokens of the requests of all routers, with outputs weighted."""
        return self.work + self.peers_work

    @property
    def total_unread(self) -> int:
        """Prompt tokens of the requests of all routers that are not yet prefilled."""
        return self.unread + self.peers_unread

    def mark_wrong_server(self) -> None:
        """Record that another backend server responded at the address of this one."""
        self.wrong_sequence = self.server.sequence
        self.is_leaving = True

    def update(self, server: BackendServer) -> None:
        """Replace the registered entry."""
        self.server = server
        has_moved = server.sequence == self.wrong_sequence
        self.is_leaving = server.draining or self.says_leaving or has_moved

    def has_cached(self, now: float, affinity: str) -> bool:
        """Whether a shared prefix was sent there within ``PREFIX_CACHE_TIME``."""
        return now - self.sent_prefixes.get(affinity, -math.inf) < PREFIX_CACHE_TIME

    def record_prefix_sent(self, now: float, affinity: str) -> None:
        """Record that a shared prefix is sent there; the least recently sent one is evicted."""
        self.sent_prefixes.pop(affinity, None)
        self.sent_prefixes[affinity] = now
        if len(self.sent_prefixes) > MAX_CACHED_PREFIXES:
            del self.sent_prefixes[next(iter(self.sent_prefixes))]


@dataclass(slots=True)
class InFlightRequest:
    """A request in flight at a backend server.

    :param unread: tokens of its prompt that are not yet prefilled
    :param until_first: tokens that the backend server prefills until its first event
    """

    view: BackendView
    demand: BackendDemand
    unread: int
    until_first: int = 0
