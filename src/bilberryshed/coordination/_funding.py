"""Protocol by which a router obtains more tokens of a budget.

A budget has at most one funding round at a time. A round requests tokens from the holder in the
availability zone, then from the table service, then recalls free tokens from all other routers. It
ends in :class:`Funded` or :class:`Unfunded`; requests are refused only after the latter.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from bilberryshed.protocol import FundsRequest, FundsResponse

PEER_TIMEOUT = 0.5  # responsive seconds without a response after which a peer counts as unreachable
FAILURE_BACKOFF = (
    0.25  # responsive seconds after a failed round before the next one for the same budget
)


class Stage(StrEnum):
    """Source from which a round awaits a response."""

    HOLDER = "holder"
    STORE = "store"
    RECALL = "recall"


class FundingFailure(StrEnum):
    """Reason for which a round failed."""

    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"


@dataclass(slots=True, frozen=True)
class RequestFromPeer:
    """Action: send a request for tokens to another router."""

    peer: str
    request: FundsRequest


@dataclass(slots=True, frozen=True)
class AcquireFromStore:
    """Action: acquire a grant from the table service."""

    budget: str
    need: int


@dataclass(slots=True, frozen=True)
class Funded:
    """Action: tokens were credited; retry the waiting reservations."""

    budget: str


@dataclass(slots=True, frozen=True)
class Unfunded:
    """Action: the round has failed.

    :param releasable: tokens that other routers have reserved for requests in flight
    """

    budget: str
    failure: FundingFailure
    releasable: int


Action = RequestFromPeer | AcquireFromStore | Funded | Unfunded


@dataclass(slots=True)
class _Round:
    """State of one funding round.

    :param need: tokens that waiting requests still lack
    :param wanted: tokens that would cover the forecast demand
    :param pending: peer by the id of each request that awaits a response
    :param timeouts: number of requests without a response in time
    :param releasable: tokens that other routers have reserved for requests in flight
    :param store_empty: whether the table service has no more tokens of the budget
    """

    customer: str
    name: str
    need: int
    wanted: int
    stage: Stage = Stage.HOLDER
    deadline: float = 0.0
    pending: dict[str, str] = field(default_factory=dict)
    timeouts: int = 0
    releasable: int = 0
    store_empty: bool = False


class Funding:
    """Funding rounds of one router; times are responsive, as they judge the peers.

    :param boot: boot id of the router, the prefix of its request ids
    :param backoff: by budget, the end of its backoff and the result of its failed round
    """

    __slots__ = ("boot", "rounds", "next_request", "backoff")

    def __init__(self, boot: str) -> None:
        self.boot = boot
        self.rounds: dict[str, _Round] = {}
        self.next_request = 1
        self.backoff: dict[str, tuple[float, Unfunded]] = {}

    def start_round(
        self, now: float, customer: str, name: str, tokens: int, wanted: int, holder: str | None
    ) -> list[Action]:
        """Start a round unless one is running or the budget is in backoff.

        :param tokens: tokens that waiting requests lack
        :param wanted: tokens that would cover the forecast demand
        :param holder: router to send the first request to, ``None`` to start at the table service
        """
        budget = f"{customer}/{name}"
        if budget in self.rounds:
            self.rounds[budget].need = max(self.rounds[budget].need, tokens)
            return []
        backoff = self.backoff.pop(budget, None)
        if backoff is not None and now < backoff[0]:
            self.backoff[budget] = backoff
            return [backoff[1]]
        round_ = _Round(customer, name, tokens, wanted)
        self.rounds[budget] = round_
        if holder is None:
            return self._to_store(budget, round_)
        round_.deadline = now + PEER_TIMEOUT
        return [self._request_from(round_, holder, recall=False)]

    def on_response(
        self, now: float, budget: str, response: FundsResponse, peers: tuple[str, ...]
    ) -> list[Action]:
        """Handle a peer's response, whose transfers the caller has already credited."""
        round_ = self.rounds.get(budget)
        if round_ is None or response.ask not in round_.pending:
            return []
        del round_.pending[response.ask]
        round_.releasable += response.reserved
        if response.tokens > 0:
            return self._funded(budget, round_, response.tokens)
        if round_.stage is Stage.HOLDER:
            if response.exhausted:
                round_.store_empty = True
                return self._recall(now, budget, round_, peers)
            return self._to_store(budget, round_)
        return [] if round_.pending else self._give_up(now, budget, round_)

    def on_store(
        self, now: float, budget: str, acquired: int, reached: bool, peers: tuple[str, ...]
    ) -> list[Action]:
        """Handle the table service's response.

        :param acquired: tokens acquired, which the caller has already credited
        :param reached: whether the table service responded
        :param peers: routers that may hold some of the budget
        """
        round_ = self.rounds.get(budget)
        if round_ is None or round_.stage is not Stage.STORE:
            return []
        if acquired >= round_.need:
            return self._funded(budget, round_, acquired)
        round_.need -= acquired
        round_.store_empty = reached
        return self._recall(now, budget, round_, peers)

    def on_tick(self, now: float, peers: tuple[str, ...]) -> list[Action]:
        """Time out the requests to peers that have not responded within ``PEER_TIMEOUT``."""
        actions: list[Action] = []
        for budget, round_ in list(self.rounds.items()):
            if not round_.pending or now < round_.deadline:
                continue
            round_.timeouts += len(round_.pending)
            round_.pending.clear()
            if round_.stage is Stage.HOLDER:
                actions += self._to_store(budget, round_)
            else:
                actions += self._give_up(now, budget, round_)
        return actions

    def _to_store(self, budget: str, round_: _Round) -> list[Action]:
        round_.stage = Stage.STORE
        return [AcquireFromStore(budget, round_.need)]

    def _recall(
        self, now: float, budget: str, round_: _Round, peers: tuple[str, ...]
    ) -> list[Action]:
        round_.stage = Stage.RECALL
        round_.deadline = now + PEER_TIMEOUT
        if not peers:
            return self._give_up(now, budget, round_)
        return [self._request_from(round_, peer, recall=True) for peer in peers]

    def _request_from(self, round_: _Round, peer: str, recall: bool) -> RequestFromPeer:
        request_id = f"{self.boot}.a{self.next_request}"
        self.next_request += 1
        round_.pending[request_id] = peer
        wanted = max(round_.need, round_.wanted)
        request = FundsRequest(
            request_id, round_.customer, round_.name, round_.need, wanted, recall
        )
        return RequestFromPeer(peer, request)

    def _funded(self, budget: str, round_: _Round, tokens: int) -> list[Action]:
        round_.need -= tokens
        if round_.need <= 0 or not round_.pending:
            del self.rounds[budget]
        return [Funded(budget)]

    def _give_up(self, now: float, budget: str, round_: _Round) -> list[Action]:
        del self.rounds[budget]
        certain = round_.store_empty and not round_.timeouts
        failure = FundingFailure.EXHAUSTED if certain else FundingFailure.UNREACHABLE
        unfunded = Unfunded(budget, failure, round_.releasable)
        self.backoff[budget] = (now + FAILURE_BACKOFF, unfunded)
        return [unfunded]
