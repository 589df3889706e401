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

from bilberryshed.coordination import OUTPUT_WEIGHT, BackendDemand, BackendPool, BackendRun, owner
from bilberryshed.protocol import LoadNotice
from bilberryshed.state import BackendServer

ROUTERS = 6
ENGINES = 9
PREFILL_RATE = 49_600.0  # tokens a second
STEP_TIME = 0.0052  # seconds in which an idle engine generates one token of each request
STEP_GROWTH = 0.02  # by which each running request lengthens a step
SLOTS = 32
CACHE_TOKENS = 335_000  # tokens of shared parts that an engine keeps at most
PREFIX_TOKENS, SUFFIX_TOKENS, OUTPUT_TOKENS = (
    6_300,
    2_890,
    52,
)  # tokens of a long prompt, and of its answer
TARGET_LATENCY = 0.6  # seconds to the first event
LATE_CREDIT = 0.5  # of the worth of an answer that comes in time
NOTICE_INTERVAL = 0.1  # seconds between notices of load
DURATION = 20.0  # length of a replay
ARRIVAL_RATE = 50.0  # prompts a second
REPREFILL_COST = 7.5e-5  # answers that are worth as much as not to read one token again
PREFIXES = 24  # shared parts in use
NO_EXCLUSIONS: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class Arrival:
    """A prompt that reaches a router."""

    at: float
    router: int
    prefix: str


Pattern = Callable[[random.Random], Iterator[Arrival]]
patterns: dict[str, Pattern] = {}


def register_pattern(name: str) -> Callable[[Pattern], Pattern]:
    """Register a load pattern."""

    def register(function: Pattern) -> Pattern:
        patterns[name] = function
        return function

    return register


def _generate_arrivals(
    rng: random.Random, rate: Callable[[float], float], hot_share: Callable[[float], float]
) -> Iterator[Arrival]:
    """Yield prompts.

    :param rate: prompts a second at a time
    :param hot_share: share of prompts that are about one part at a time
    """
    now = 0.0
    while (now := now + rng.expovariate(rate(now))) < DURATION:
        prefix = 0 if rng.random() < hot_share(now) else rng.randrange(PREFIXES)
        yield Arrival(now, rng.randrange(ROUTERS), f"part-{prefix}")


@register_pattern("steady")
def _steady(rng: random.Random) -> Iterator[Arrival]:
    return _generate_arrivals(rng, lambda now: ARRIVAL_RATE, lambda now: 0.0)


@register_pattern("hot key")
def _hot_key(rng: random.Random) -> Iterator[Arrival]:
    return _generate_arrivals(
        rng, lambda now: ARRIVAL_RATE, lambda now: 0.5 if 6 < now < 14 else 0.0
    )


@register_pattern("burst")
def _burst(rng: random.Random) -> Iterator[Arrival]:
    return _generate_arrivals(
        rng, lambda now: 3 * ARRIVAL_RATE if 8 < now < 11 else ARRIVAL_RATE, lambda now: 0.0
    )


@register_pattern("burst on a hot key")
def _hot_burst(rng: random.Random) -> Iterator[Arrival]:
    return _generate_arrivals(
        rng,
        lambda now: 2.5 * ARRIVAL_RATE if 8 < now < 11 else ARRIVAL_RATE,
        lambda now: 0.6 if 8 < now < 11 else 0.1,
    )


@dataclass(slots=True)
class Engine:
    """A model engine.

    :param prefill_done_at: time at which all prompts that came are read
    """

    id: str
    prefill_done_at: float = 0.0
    running: int = 0
    cached_prefixes: "OrderedDict[str, int]" = field(default_factory=OrderedDict)

    def begin(self, now: float, prefix: str) -> tuple[float, float, int]:
        """Take a prompt.

        :returns: times of its first and its last event, and tokens read of its shared part
        """
        prefilled = 0 if prefix in self.cached_prefixes else PREFIX_TOKENS
        self.cached_prefixes[prefix] = PREFIX_TOKENS
        self.cached_prefixes.move_to_end(prefix)
        if len(self.cached_prefixes) * PREFIX_TOKENS > CACHE_TOKENS:
            self.cached_prefixes.popitem(last=False)
        self.running += 1
        self.prefill_done_at = (
            max(now, self.prefill_done_at) + (prefilled + SUFFIX_TOKENS) / PREFILL_RATE
        )
        step = STEP_TIME * (1 + STEP_GROWTH * self.running)
        return self.prefill_done_at + step, self.prefill_done_at + OUTPUT_TOKENS * step, prefilled


class PlacementPolicy(ABC):
    """How the routers choose engines."""

    def __init__(self, engines: list[str], rng: random.Random) -> None:
        self.engines = engines
        self.rng = rng

    @abstractmethod
    def choose(self, now: float, arrival: Arrival) -> str:
        """Return the engine that a prompt goes to, and count it there."""

    def on_first_event(self, arrival: Arrival) -> None:  # noqa: B027
        """Note that a prompt was read."""

    def on_end(self, arrival: Arrival, engine: str) -> None:  # noqa: B027
        """Note that an answer is complete."""

    def exchange_notices(self, now: float) -> None:  # noqa: B027  most policies tell nothing
        """Exchange notices between the routers."""


placements: dict[str, type[PlacementPolicy]] = {}


def register_placement(name: str) -> Callable[[type[PlacementPolicy]], type[PlacementPolicy]]:
    """Register a policy."""

    def register(cls: type[PlacementPolicy]) -> type[PlacementPolicy]:
        placements[name] = cls
        return cls

    return register


@register_placement("random")
class RandomPlacement(PlacementPolicy):
    """Any engine."""

    def choose(self, now: float, arrival: Arrival) -> str:
        return self.rng.choice(self.engines)


@register_placement("round robin")
class RoundRobin(PlacementPolicy):
    """Each router's next engine."""

    def __init__(self, engines: list[str], rng: random.Random) -> None:
        super().__init__(engines, rng)
        self.next = [itertools.cycle(rng.sample(engines, len(engines))) for _ in range(ROUTERS)]

    def choose(self, now: float, arrival: Arrival) -> str:
        return next(self.next[arrival.router])


@register_placement("least loaded")
class LeastLoaded(PlacementPolicy):
    """The engine on which the router itself runs least."""

    def __init__(self, engines: list[str], rng: random.Random) -> None:
        super().__init__(engines, rng)
        self.running = [dict.fromkeys(engines, 0) for _ in range(ROUTERS)]

    def choose(self, now: float, arrival: Arrival) -> str:
        own = self.running[arrival.router]
        chosen = min(self.engines, key=lambda engine: (own[engine], self.rng.random()))
        own[chosen] += 1
        return chosen

    def on_end(self, arrival: Arrival, engine: str) -> None:
        self.running[arrival.router][engine] -= 1


@register_placement("plain affinity")
class PlainAffinity(PlacementPolicy):
    """The engine that rendezvous hashing names, whatever its load."""

    def choose(self, now: float, arrival: Arrival) -> str:
        return owner(arrival.prefix, self.engines) or self.engines[0]


@register_placement("bilberryshed")
class PoolPlacement(PlacementPolicy):
    """The routers' own decision."""

    def __init__(self, engines: list[str], rng: random.Random) -> None:
        super().__init__(engines, rng)
        servers = {id_: BackendServer(id_, "model", id_, "quay", SLOTS, False) for id_ in engines}
        self.pools = [BackendPool("quay") for _ in range(ROUTERS)]
        for pool in self.pools:
            pool.set_servers(servers)
        self.in_flight: dict[int, BackendRun] = {}

    def choose(self, now: float, arrival: Arrival) -> str:
        work = PREFIX_TOKENS + SUFFIX_TOKENS + OUTPUT_WEIGHT * OUTPUT_TOKENS
        demand = BackendDemand(arrival.prefix, work, PREFIX_TOKENS, SUFFIX_TOKENS)
        pool = self.pools[arrival.router]
        view = pool.choose(now, "model", demand, NO_EXCLUSIONS)
        assert view is not None, "no engine is open"
        self.in_flight[id(arrival)] = pool.begin(now, view, demand)
        return view.server.id

    def on_first_event(self, arrival: Arrival) -> None:
        self.pools[arrival.router].note_read(self.in_flight[id(arrival)])

    def on_end(self, arrival: Arrival, engine: str) -> None:
        self.pools[arrival.router].end(self.in_flight.pop(id(arrival)))

    def exchange_notices(self, now: float) -> None:
        for sender, pool in enumerate(self.pools):
            notice = LoadNotice(pool.loads(), pool.take_new_parts())
            for other in self.pools:
                if other is not pool:
                    other.hear(now, f"router-{sender}", notice)


@dataclass(slots=True)
class ReplayResult:
    """What a policy made of a pattern.

    :param on_time: answers whose first event came within the aim
    :param reprefilled: tokens of shared parts read beyond once
    """

    requests: int = 0
    on_time: int = 0
    reprefilled: int = 0

    @property
    def credit(self) -> float:
        """Share of the worth that was earned, less the price of reading again."""
        late = self.requests - self.on_time
        earned = self.on_time + LATE_CREDIT * late - REPREFILL_COST * self.reprefilled
        return earned / self.requests

    @property
    def late_share(self) -> float:
        """Share of answers that came late."""
        return 1 - self.on_time / self.requests


def replay(pattern_name: str, policy_name: str, seed: int) -> ReplayResult:
    """Play one pattern against one policy."""
    arrivals = list(patterns[pattern_name](random.Random(seed)))
    engines = {f"i-{n}": Engine(f"i-{n}") for n in range(ENGINES)}
    policy = placements[policy_name](list(engines), random.Random(seed + 1))
    result = ReplayResult(requests=len(arrivals))
    sequence = itertools.count()
    event_queue: list[tuple[float, int, Callable[[float], None]]] = []

    def at(when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(event_queue, (when, next(sequence), action))

    def arrive(now: float, arrival: Arrival) -> None:
        engine = engines[policy.choose(now, arrival)]
        first, last, prefilled = engine.begin(now, arrival.prefix)
        result.on_time += first - now <= TARGET_LATENCY
        result.reprefilled += prefilled
        at(first, lambda now: policy.on_first_event(arrival))
        at(last, lambda now: end(arrival, engine))

    def end(arrival: Arrival, engine: Engine) -> None:
        engine.running -= 1
        policy.on_end(arrival, engine.id)

    def exchange_notices(now: float) -> None:
        policy.exchange_notices(now)
        if now < DURATION:
            at(now + NOTICE_INTERVAL, exchange_notices)

    for arrival in arrivals:
        at(arrival.at, partial(arrive, arrival=arrival))
    at(NOTICE_INTERVAL, exchange_notices)
    while event_queue:
        now, _, action = heapq.heappop(event_queue)
        action(now)
    result.reprefilled -= PREFIX_TOKENS * len({arrival.prefix for arrival in arrivals})
    return result


def run_replays(seed: int, seeds: int) -> None:
    """Print credit, late share and repeated reading of each policy on each pattern."""
    for name in patterns:
        print(f"pattern: {name}")
        for policy_name in placements:
            results = [replay(name, policy_name, seed + n) for n in range(seeds)]
            credit = sum(r.credit for r in results) / seeds
            late = sum(r.late_share for r in results) / seeds
            reprefilled_tokens = sum(r.reprefilled for r in results) / seeds
            print(
                f"  {policy_name:15} credit {credit:.3f}  late {late:.3f}  "
                f"tokens read again {reprefilled_tokens:,.0f}"
            )
