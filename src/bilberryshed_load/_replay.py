"""Replays load patterns against placement policies, in simulated time.

Several routers place prompts on model engines. An engine prefills prompts one after another, caches
shared prefixes up to a capacity, and generates more slowly the more requests it runs. Routers
exchange their loads at intervals, so that each has a delayed view of the others. Each policy
processes the same prompts; the policies without a view of the other routers are baselines.
"""

import heapq
import itertools
import random
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
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
PREFILL_RATE = 49_600.0  # tokens per second
STEP_TIME = 0.0052  # seconds to generate one token of each request, before ``STEP_GROWTH``
STEP_GROWTH = 0.02  # relative increase of the step time for each running request
SLOTS = 32  # slots of each engine
CACHE_TOKENS = 335_000  # maximum tokens of shared prefixes in an engine's cache
# Tokens of a long prompt (shared prefix and its own suffix) and of its response.
PREFIX_TOKENS, SUFFIX_TOKENS, OUTPUT_TOKENS = 6_300, 2_890, 52
TARGET_LATENCY = 0.6  # seconds to the first event, at most, for a response to be on time
LATE_CREDIT = 0.5  # credit of a late response, relative to one on time
NOTICE_INTERVAL = 0.1  # seconds between load notices
DURATION = 20.0  # seconds of arrivals in a replay
ARRIVAL_RATE = 50.0  # prompts per second
REPREFILL_COST = 7.5e-5  # credit, in responses on time, that one token prefilled again costs
SHORT_TOKENS, LONG_TOKENS = 900, 18_000  # tokens of the suffixes of short and long prompts
LONG_SHARE = 0.35  # share of long prompts in a burst of them
PREFIXES = 24  # distinct shared prefixes
NO_EXCLUSIONS: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class Arrival:
    """A prompt that arrives at a router."""

    arrival_time: float
    router: int
    prefix: str
    suffix_tokens: int = SUFFIX_TOKENS


Pattern = Callable[[random.Random], Iterator[Arrival]]
patterns: dict[str, Pattern] = {}


def register_pattern(name: str) -> Callable[[Pattern], Pattern]:
    """Register a load pattern under a name."""

    def register(function: Pattern) -> Pattern:
        patterns[name] = function
        return function

    return register


def _generate_arrivals(
    rng: random.Random, rate: Callable[[float], float], hot_share: Callable[[float], float]
) -> Iterator[Arrival]:
    """Yield prompts in order of arrival.

    :param rate: prompts per second, as a function of time
    :param hot_share: share of prompts with the one hot prefix, as a function of time
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


@register_pattern("long prompts over short ones")
def _long_over_short(rng: random.Random) -> Iterator[Arrival]:
    """Yield short prompts, and in a burst long ones among them."""
    now = 0.0
    while (now := now + rng.expovariate(ARRIVAL_RATE)) < DURATION:
        is_long = 8 < now < 12 and rng.random() < LONG_SHARE
        tokens = LONG_TOKENS if is_long else SHORT_TOKENS
        yield Arrival(now, rng.randrange(ROUTERS), f"part-{rng.randrange(PREFIXES)}", tokens)


@dataclass(slots=True)
class Engine:
    """A model engine.

    :param prefill_done_at: time at which all prompts received so far are prefilled
    :param running: requests that have not ended
    :param speed: multiple of the rates of an ordinary engine
    :param cached_prefixes: token counts by prefix, least recently used first
    """

    id: str
    prefill_done_at: float = 0.0
    running: int = 0
    speed: float = 1.0
    cached_prefixes: "OrderedDict[str, int]" = field(default_factory=OrderedDict)

    def begin(self, now: float, arrival: Arrival) -> tuple[float, float, int]:
        """Start a prompt.

        :returns: times of its first and its last event, and prefilled tokens of its shared prefix
        """
        prefix = arrival.prefix
        prefilled = 0 if prefix in self.cached_prefixes else PREFIX_TOKENS
        self.cached_prefixes[prefix] = PREFIX_TOKENS
        self.cached_prefixes.move_to_end(prefix)
        if len(self.cached_prefixes) * PREFIX_TOKENS > CACHE_TOKENS:
            self.cached_prefixes.popitem(last=False)
        self.running += 1
        self.prefill_done_at = (
            max(now, self.prefill_done_at)
            + (prefilled + arrival.suffix_tokens) / PREFILL_RATE / self.speed
        )
        step = STEP_TIME * (1 + STEP_GROWTH * self.running) / self.speed
        return self.prefill_done_at + step, self.prefill_done_at + OUTPUT_TOKENS * step, prefilled


class PlacementPolicy(ABC):
    """Base of the policies by which the routers choose engines."""

    def __init__(self, engines: list[str], rng: random.Random) -> None:
        self.engines = engines
        self.rng = rng

    @abstractmethod
    def choose(self, now: float, arrival: Arrival) -> str:
        """Return the engine for a prompt and count the prompt as running on it."""

    def on_first_event(self, now: float, arrival: Arrival) -> None:  # noqa: B027
        """Record that a prompt was prefilled."""

    def on_end(self, arrival: Arrival, engine: str) -> None:  # noqa: B027
        """Record that a response is complete."""

    def exchange_notices(self, now: float) -> None:  # noqa: B027  most policies send none
        """Exchange load notices between the routers."""


placements: dict[str, type[PlacementPolicy]] = {}


def register_placement(name: str) -> Callable[[type[PlacementPolicy]], type[PlacementPolicy]]:
    """Register a placement policy under a name."""

    def register(cls: type[PlacementPolicy]) -> type[PlacementPolicy]:
        placements[name] = cls
        return cls

    return register


@register_placement("random")
class RandomPlacement(PlacementPolicy):
    """Choose a random engine."""

    def choose(self, now: float, arrival: Arrival) -> str:
        return self.rng.choice(self.engines)


@register_placement("round robin")
class RoundRobin(PlacementPolicy):
    """Choose the engines in turn, in a random order for each router."""

    def __init__(self, engines: list[str], rng: random.Random) -> None:
        super().__init__(engines, rng)
        self.next = [itertools.cycle(rng.sample(engines, len(engines))) for _ in range(ROUTERS)]

    def choose(self, now: float, arrival: Arrival) -> str:
        return next(self.next[arrival.router])


@register_placement("least loaded")
class LeastLoaded(PlacementPolicy):
    """Choose the engine with the fewest requests of the router itself."""

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
    """Choose the engine by rendezvous hashing of the prefix, regardless of load."""

    def choose(self, now: float, arrival: Arrival) -> str:
        return owner(arrival.prefix, self.engines) or self.engines[0]


@register_placement("bilberryshed")
class PoolPlacement(PlacementPolicy):
    """Choose with the routers' own :class:`BackendPool`, one for each router."""

    def __init__(self, engines: list[str], rng: random.Random) -> None:
        super().__init__(engines, rng)
        servers = {id_: BackendServer(id_, "model", id_, "quay", SLOTS, False) for id_ in engines}
        self.pools = [BackendPool("quay", f"router-{n}") for n in range(ROUTERS)]
        for pool in self.pools:
            pool.set_servers(servers)
        self.in_flight: dict[int, InFlightRequest] = {}

    def choose(self, now: float, arrival: Arrival) -> str:
        own = arrival.suffix_tokens
        work = PREFIX_TOKENS + own + OUTPUT_WEIGHT * OUTPUT_TOKENS
        demand = BackendDemand(arrival.prefix, work, PREFIX_TOKENS, own)
        pool = self.pools[arrival.router]
        view = pool.choose(now, "model", demand, NO_EXCLUSIONS)
        assert view is not None, "no engine is open"
        self.in_flight[id(arrival)] = pool.begin(now, view, demand)
        return view.server.id

    def on_first_event(self, now: float, arrival: Arrival) -> None:
        request = self.in_flight[id(arrival)]
        self.pools[arrival.router].on_first_event(now, request, now - arrival.arrival_time)

    def on_end(self, arrival: Arrival, engine: str) -> None:
        self.pools[arrival.router].end(self.in_flight.pop(id(arrival)))

    def exchange_notices(self, now: float) -> None:
        for sender, pool in enumerate(self.pools):
            notice = LoadNotice(pool.loads(), pool.pop_new_prefixes())
            for other in self.pools:
                if other is not pool:
                    other.on_load_notice(now, f"router-{sender}", notice)


@dataclass(slots=True)
class ReplayResult:
    """Result of a policy on a pattern.

    :param on_time: responses whose first event came within the target latency
    :param reprefilled: tokens of shared prefixes prefilled again after their first prefill
    :param first_event_time: sum of the seconds from the arrival to the first event
    """

    requests: int = 0
    on_time: int = 0
    reprefilled: int = 0
    first_event_time: float = 0.0

    @property
    def credit(self) -> float:
        """Earned share of the maximum credit, less the cost of prefilling prefixes again."""
        late = self.requests - self.on_time
        earned = self.on_time + LATE_CREDIT * late - REPREFILL_COST * self.reprefilled
        return earned / self.requests

    @property
    def mean_first_event(self) -> float:
        """Mean seconds from the arrival to the first event."""
        return self.first_event_time / self.requests

    @property
    def late_share(self) -> float:
        """Share of responses that were late."""
        return 1 - self.on_time / self.requests


def replay(
    pattern_name: str, policy_name: str, seed: int, speeds: Sequence[float] = (1.0,)
) -> ReplayResult:
    """Replay one pattern against one policy.

    :param speeds: multiples of the rates of an ordinary engine, given to the engines in turn
    """
    arrivals = list(patterns[pattern_name](random.Random(seed)))
    engines = {f"i-{n}": Engine(f"i-{n}", speed=speeds[n % len(speeds)]) for n in range(ENGINES)}
    policy = placements[policy_name](list(engines), random.Random(seed + 1))
    result = ReplayResult(requests=len(arrivals))
    sequence = itertools.count()
    event_queue: list[tuple[float, int, Callable[[float], None]]] = []

    def schedule(time: float, action: Callable[[float], None]) -> None:
        heapq.heappush(event_queue, (time, next(sequence), action))

    def arrive(now: float, arrival: Arrival) -> None:
        engine = engines[policy.choose(now, arrival)]
        first, last, prefilled = engine.begin(now, arrival)
        result.on_time += first - now <= TARGET_LATENCY
        result.reprefilled += prefilled
        result.first_event_time += first - now
        schedule(first, lambda now: policy.on_first_event(now, arrival))
        schedule(last, lambda now: end(arrival, engine))

    def end(arrival: Arrival, engine: Engine) -> None:
        engine.running -= 1
        policy.on_end(arrival, engine.id)

    def exchange_notices(now: float) -> None:
        policy.exchange_notices(now)
        if now < DURATION:
            schedule(now + NOTICE_INTERVAL, exchange_notices)

    for arrival in arrivals:
        schedule(arrival.arrival_time, partial(arrive, arrival=arrival))
    schedule(NOTICE_INTERVAL, exchange_notices)
    while event_queue:
        now, _, action = heapq.heappop(event_queue)
        action(now)
    result.reprefilled -= PREFIX_TOKENS * len({arrival.prefix for arrival in arrivals})
    return result


def run_replays(seed: int, seeds: int) -> None:
    """Print the credit, late share and repeated prefill of each policy on each pattern."""
    for name in patterns:
        print(f"pattern: {name}")
        for policy_name in placements:
            results = [replay(name, policy_name, seed + n) for n in range(seeds)]
            credit = sum(r.credit for r in results) / seeds
            late = sum(r.late_share for r in results) / seeds
            reprefilled_tokens = sum(r.reprefilled for r in results) / seeds
            print(
                f"  {policy_name:15} credit {credit:.3f}  late {late:.3f}  "
                f"tokens prefilled again {reprefilled_tokens:,.0f}"
            )
