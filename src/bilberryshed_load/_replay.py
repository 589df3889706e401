"""Replays load patterns against placement policies, in model time.

Several routers place prompts on model engines that read prompts one after another, keep shared
parts while they have room, and generate more slowly the more requests run. Routers hear of each
other's load with a delay. Each policy sees the same prompts; one that knows nothing of the others
is a baseline.
"""

import heapq
import itertools
import random
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial

from bilberryshed.coordination import (
    OUTPUT_WEIGHT,
    BackendDemand,
    BackendPool,
    InFlightRequest,
    owner,
)
from bilberryshed.protocol import LoadNotice
from bilberryshed.state import BackendServer

ROUTERS = 6
ENGINES = 9
READ_SPEED = 49_600.0  # tokens a second
STEP = 0.0052  # seconds in which an idle engine generates one token of each request
STEP_GROWTH = 0.02  # by which each running request lengthens a step
SLOTS = 32
MEMORY = 335_000  # tokens of shared parts that an engine keeps at most
SHARED, OWN, OUTPUT = 6_300, 2_890, 52  # tokens of a long prompt, and of its answer
AIM = 0.6  # seconds to the first event
LATE_WORTH = 0.5  # of the worth of an answer that comes in time
TELL_INTERVAL = 0.1  # seconds between notices of load
SECONDS = 20.0  # length of a replay
RATE = 50.0  # prompts a second
READ_AGAIN_PRICE = 7.5e-5  # answers that are worth as much as not to read one token again
PARTS = 24  # shared parts in use
NOBODY: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class Arrival:
    """A prompt that reaches a router."""

    at: float
    router: int
    part: str


Pattern = Callable[[random.Random], Iterator[Arrival]]
patterns: dict[str, Pattern] = {}


def pattern(name: str) -> Callable[[Pattern], Pattern]:
    """Register a load pattern."""

    def register(function: Pattern) -> Pattern:
        patterns[name] = function
        return function

    return register


def _arrivals(
    dice: random.Random, rate: Callable[[float], float], hot: Callable[[float], float]
) -> Iterator[Arrival]:
    """Yield prompts.

    :param rate: prompts a second at a time
    :param hot: share of prompts that are about one part at a time
    """
    now = 0.0
    while (now := now + dice.expovariate(rate(now))) < SECONDS:
        part = 0 if dice.random() < hot(now) else dice.randrange(PARTS)
        yield Arrival(now, dice.randrange(ROUTERS), f"part-{part}")


@pattern("steady")
def _steady(dice: random.Random) -> Iterator[Arrival]:
    return _arrivals(dice, lambda now: RATE, lambda now: 0.0)


@pattern("hot key")
def _hot_key(dice: random.Random) -> Iterator[Arrival]:
    return _arrivals(dice, lambda now: RATE, lambda now: 0.5 if 6 < now < 14 else 0.0)


@pattern("burst")
def _burst(dice: random.Random) -> Iterator[Arrival]:
    return _arrivals(dice, lambda now: 3 * RATE if 8 < now < 11 else RATE, lambda now: 0.0)


@pattern("burst on a hot key")
def _hot_burst(dice: random.Random) -> Iterator[Arrival]:
    return _arrivals(
        dice,
        lambda now: 2.5 * RATE if 8 < now < 11 else RATE,
        lambda now: 0.6 if 8 < now < 11 else 0.1,
    )


@dataclass(slots=True)
class Engine:
    """A model engine.

    :param read_until: time at which all prompts that came are read
    """

    id: str
    read_until: float = 0.0
    running: int = 0
    kept: "OrderedDict[str, int]" = field(default_factory=OrderedDict)

    def begin(self, now: float, part: str) -> tuple[float, float, int]:
        """Take a prompt.

        :returns: times of its first and its last event, and tokens read of its shared part
        """
        shared = 0 if part in self.kept else SHARED
        self.kept[part] = SHARED
        self.kept.move_to_end(part)
        if len(self.kept) * SHARED > MEMORY:
            self.kept.popitem(last=False)
        self.running += 1
        self.read_until = max(now, self.read_until) + (shared + OWN) / READ_SPEED
        step = STEP * (1 + STEP_GROWTH * self.running)
        return self.read_until + step, self.read_until + OUTPUT * step, shared


class PlacementPolicy(ABC):
    """How the routers choose engines."""

    def __init__(self, engines: list[str], dice: random.Random) -> None:
        self.engines = engines
        self.dice = dice

    @abstractmethod
    def choose(self, now: float, arrival: Arrival) -> str:
        """Return the engine that a prompt goes to, and count it there."""

    def on_first_event(self, arrival: Arrival) -> None:  # noqa: B027
        """Note that a prompt was read."""

    def on_end(self, arrival: Arrival, engine: str) -> None:  # noqa: B027
        """Note that an answer is complete."""

    def tell(self, now: float) -> None:  # noqa: B027  most policies tell nothing
        """Exchange notices between the routers."""


placements: dict[str, type[PlacementPolicy]] = {}


def placement(name: str) -> Callable[[type[PlacementPolicy]], type[PlacementPolicy]]:
    """Register a policy."""

    def register(cls: type[PlacementPolicy]) -> type[PlacementPolicy]:
        placements[name] = cls
        return cls

    return register


@placement("random")
class RandomPlacement(PlacementPolicy):
    """Any engine."""

    def choose(self, now: float, arrival: Arrival) -> str:
        return self.dice.choice(self.engines)


@placement("round robin")
class RoundRobin(PlacementPolicy):
    """Each router's next engine."""

    def __init__(self, engines: list[str], dice: random.Random) -> None:
        super().__init__(engines, dice)
        self.next = [itertools.cycle(dice.sample(engines, len(engines))) for _ in range(ROUTERS)]

    def choose(self, now: float, arrival: Arrival) -> str:
        return next(self.next[arrival.router])


@placement("least loaded")
class LeastLoaded(PlacementPolicy):
    """The engine on which the router itself runs least."""

    def __init__(self, engines: list[str], dice: random.Random) -> None:
        super().__init__(engines, dice)
        self.running = [dict.fromkeys(engines, 0) for _ in range(ROUTERS)]

    def choose(self, now: float, arrival: Arrival) -> str:
        own = self.running[arrival.router]
        chosen = min(self.engines, key=lambda engine: (own[engine], self.dice.random()))
        own[chosen] += 1
        return chosen

    def on_end(self, arrival: Arrival, engine: str) -> None:
        self.running[arrival.router][engine] -= 1


@placement("plain affinity")
class PlainAffinity(PlacementPolicy):
    """The engine that rendezvous hashing names, whatever its load."""

    def choose(self, now: float, arrival: Arrival) -> str:
        return owner(arrival.part, self.engines) or self.engines[0]


@placement("bilberryshed")
class OwnPlacement(PlacementPolicy):
    """The routers' own decision."""

    def __init__(self, engines: list[str], dice: random.Random) -> None:
        super().__init__(engines, dice)
        servers = {id_: BackendServer(id_, "model", id_, "quay", SLOTS, False) for id_ in engines}
        self.pools = [BackendPool("quay") for _ in range(ROUTERS)]
        for pool in self.pools:
            pool.set_servers(servers)
        self.runs: dict[int, InFlightRequest] = {}

    def choose(self, now: float, arrival: Arrival) -> str:
        work = SHARED + OWN + OUTPUT_WEIGHT * OUTPUT
        demand = BackendDemand(arrival.part, work, SHARED, OWN)
        pool = self.pools[arrival.router]
        view = pool.choose(now, "model", demand, NOBODY)
        assert view is not None, "no engine is open"
        self.runs[id(arrival)] = pool.begin(now, view, demand)
        return view.server.id

    def on_first_event(self, arrival: Arrival) -> None:
        self.pools[arrival.router].on_prefill_done(self.runs[id(arrival)])

    def on_end(self, arrival: Arrival, engine: str) -> None:
        self.pools[arrival.router].end(self.runs.pop(id(arrival)))

    def tell(self, now: float) -> None:
        for sender, pool in enumerate(self.pools):
            notice = LoadNotice(pool.loads(), pool.pop_new_prefixes())
            for other in self.pools:
                if other is not pool:
                    other.on_load_notice(now, f"router-{sender}", notice)


@dataclass(slots=True)
class ReplayResult:
    """What a policy made of a pattern.

    :param in_time: answers whose first event came within the aim
    :param read_again: tokens of shared parts read beyond once
    """

    asked: int = 0
    in_time: int = 0
    read_again: int = 0

    @property
    def credit(self) -> float:
        """Share of the worth that was earned, less the price of reading again."""
        late = self.asked - self.in_time
        earned = self.in_time + LATE_WORTH * late - READ_AGAIN_PRICE * self.read_again
        return earned / self.asked

    @property
    def late_share(self) -> float:
        """Share of answers that came late."""
        return 1 - self.in_time / self.asked


def replay(pattern_name: str, policy_name: str, seed: int) -> ReplayResult:
    """Play one pattern against one policy."""
    arrivals = list(patterns[pattern_name](random.Random(seed)))
    engines = {f"i-{n}": Engine(f"i-{n}") for n in range(ENGINES)}
    policy = placements[policy_name](list(engines), random.Random(seed + 1))
    result = ReplayResult(asked=len(arrivals))
    order = itertools.count()
    agenda: list[tuple[float, int, Callable[[float], None]]] = []

    def at(when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(agenda, (when, next(order), action))

    def arrive(now: float, arrival: Arrival) -> None:
        engine = engines[policy.choose(now, arrival)]
        first, last, shared = engine.begin(now, arrival.part)
        result.in_time += first - now <= AIM
        result.read_again += shared
        at(first, lambda now: policy.on_first_event(arrival))
        at(last, lambda now: end(arrival, engine))

    def end(arrival: Arrival, engine: Engine) -> None:
        engine.running -= 1
        policy.on_end(arrival, engine.id)

    def tell(now: float) -> None:
        policy.tell(now)
        if now < SECONDS:
            at(now + TELL_INTERVAL, tell)

    for arrival in arrivals:
        at(arrival.at, partial(arrive, arrival=arrival))
    at(TELL_INTERVAL, tell)
    while agenda:
        now, _, action = heapq.heappop(agenda)
        action(now)
    result.read_again -= SHARED * len({arrival.part for arrival in arrivals})
    return result


def run_replays(seed: int, seeds: int) -> None:
    """Print credit, late share and repeated reading of each policy on each pattern."""
    for name in patterns:
        print(f"pattern: {name}")
        for policy_name in placements:
            results = [replay(name, policy_name, seed + n) for n in range(seeds)]
            credit = sum(r.credit for r in results) / seeds
            late = sum(r.late_share for r in results) / seeds
            again = sum(r.read_again for r in results) / seeds
            print(
                f"  {policy_name:15} credit {credit:.3f}  late {late:.3f}  "
                f"tokens read again {again:,.0f}"
            )
