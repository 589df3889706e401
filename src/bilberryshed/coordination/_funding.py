"""Where to get more of a budget from, in which order, and when to give up.

One round for each budget at a time: the zone's holder, the table service, then what other routers
have in hand. A round ends in :class:`Funded` or :class:`Unfunded`, and only the latter refuses.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from bilberryshed.protocol import FundsAnswer, FundsRequest

PEER_TIMEOUT = 0.5  # seconds before a peer counts as unreachable
FAILURE_BACKOFF = 0.25  # seconds before an exhausted budget is asked for again


class Stage(StrEnum):
    """What a round waits for."""

    HOLDER = "holder"
    STORE = "store"
    RECALL = "recall"


class FundingFailure(StrEnum):
    """Why a round found nothing."""

    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"


@dataclass(slots=True, frozen=True)
class RequestFromPeer:
    """Action: send a question to a router."""

    peer: str
    request: FundsRequest


@dataclass(slots=True, frozen=True)
class AcquireFromStore:
    """Action: take a grant from the table service."""

    budget: str
    need: int


@dataclass(slots=True, frozen=True)
class Funded:
    """Action: tokens arrived; try the waiting reservations."""

    budget: str


@dataclass(slots=True, frozen=True)
class Unfunded:
    """Action: the round is over and found too little.

    :param releasable: tokens that other routers hold for running requests
    """

    budget: str
    failure: FundingFailure
    releasable: int


Action = RequestFromPeer | AcquireFromStore | Funded | Unfunded


@dataclass(slots=True)
class _Round:
    customer: str
    name: str
    need: int
    wanted: int
    stage: Stage = Stage.HOLDER
    deadline: float = 0.0
    pending: dict[str, str] = field(default_factory=dict)
    unanswered: int = 0
    releasable: int = 0
    store_empty: bool = False


class Funding:
    """Funding rounds of one router.

    :param boot: boot id of the router; prefixes the ids of its questions
    """

    __slots__ = ("boot", "rounds", "next_request", "backoffs")

    def __init__(self, boot: str) -> None:
        self.boot = boot
        self.rounds: dict[str, _Round] = {}
        self.next_request = 1
        self.backoffs: dict[str, tuple[float, Unfunded]] = {}

    def need(
        self, now: float, customer: str, name: str, tokens: int, wanted: int, holder: str | None
    ) -> list[Action]:
        """Start a round unless one is running.

        :param tokens: tokens lacking
        :param wanted: tokens that would cover the forecast
        :param holder: router to ask first, ``None`` to go to the table service
        """
        budget = f"{customer}/{name}"
        if budget in self.rounds:
            self.rounds[budget].need = max(self.rounds[budget].need, tokens)
            return []
        backoffs = self.backoffs.pop(budget, None)
        if backoffs is not None and now < backoffs[0]:
            self.backoffs[budget] = backoffs
            return [backoffs[1]]
        round_ = _Round(customer, name, tokens, wanted)
        self.rounds[budget] = round_
        if holder is None:
            return self._to_store(budget, round_)
        round_.deadline = now + PEER_TIMEOUT
        return [self._request_from(round_, holder, recall=False)]

    def on_answer(
        self, now: float, budget: str, answer: FundsAnswer, peers: tuple[str, ...]
    ) -> list[Action]:
        """Handle a peer's answer; its transfers were credited already."""
        round_ = self.rounds.get(budget)
        if round_ is None or answer.ask not in round_.pending:
            return []
        del round_.pending[answer.ask]
        round_.releasable += answer.reserved
        if answer.tokens > 0:
            return self._funded(budget, round_, answer.tokens)
        if round_.stage is Stage.HOLDER:
            if answer.exhausted:
                round_.store_empty = True
                return self._recall(now, budget, round_, peers)
            return self._to_store(budget, round_)
        return [] if round_.pending else self._give_up(now, budget, round_)

    def on_store(
        self, now: float, budget: str, taken: int, reached: bool, peers: tuple[str, ...]
    ) -> list[Action]:
        """Handle the table service's answer.

        :param taken: tokens taken, already credited
        :param reached: whether the table service answered
        :param peers: routers that may hold some of the budget
        """
        round_ = self.rounds.get(budget)
        if round_ is None or round_.stage is not Stage.STORE:
            return []
        if taken >= round_.need:
            return self._funded(budget, round_, taken)
        round_.need -= taken
        round_.store_empty = reached
        return self._recall(now, budget, round_, peers)

    def on_tick(self, now: float, peers: tuple[str, ...]) -> list[Action]:
        """Give up on peers that have not answered in time."""
        actions: list[Action] = []
        for budget, round_ in list(self.rounds.items()):
            if not round_.pending or now < round_.deadline:
                continue
            round_.unanswered += len(round_.pending)
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
        ask = f"{self.boot}.a{self.next_request}"
        self.next_request += 1
        round_.pending[ask] = peer
        wanted = max(round_.need, round_.wanted)
        request = FundsRequest(ask, round_.customer, round_.name, round_.need, wanted, recall)
        return RequestFromPeer(peer, request)

    def _funded(self, budget: str, round_: _Round, tokens: int) -> list[Action]:
        round_.need -= tokens
        if round_.need <= 0 or not round_.pending:
            del self.rounds[budget]
        return [Funded(budget)]

    def _give_up(self, now: float, budget: str, round_: _Round) -> list[Action]:
        del self.rounds[budget]
        certain = round_.store_empty and not round_.unanswered
        failure = FundingFailure.EXHAUSTED if certain else FundingFailure.UNREACHABLE
        unfunded = Unfunded(budget, failure, round_.releasable)
        self.backoffs[budget] = (now + FAILURE_BACKOFF, unfunded)
        return [unfunded]
