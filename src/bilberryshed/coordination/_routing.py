"""Selection of the agent for an attempt.

Policies are registered by name so that they can be compared. A policy selects among the candidates
that can serve the request, and receives its random numbers as arguments.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

FULL_LOAD = 2.0  # attempts per slot at which a backend server receives no more
EJECT_AFTER = 3  # consecutive failures after which a backend server is ejected
EJECT_SECONDS = 5.0  # after which an ejected backend server is tried again
MAX_EJECTED_SHARE = 0.5  # of one target's healthy backend servers; beyond it none counts as ejected
AFFINITY_SLACK = 4  # attempts by which a backend server chosen by affinity may be busier
PREFIX_MEMORY = 4096  # prefixes tracked for each backend server


@dataclass(slots=True)
class AgentView:
    """One router's view of an agent and its backend server.

    :param slots: requests that the backend server runs at once
    :param running: attempts of all routers that ran there at the last report
    :param own: attempts of this router that run there
    :param own_at_report: ``own`` at the time of the last report
    :param failures: consecutive failures
    :param limited_until: monotonic time before which the limit of the backend server admits nothing
    :param prefixes: prompt prefixes assumed to be cached, least recently used first
    """

    name: str
    zone: str
    services: frozenset[str] = frozenset()
    models: frozenset[str] = frozenset()
    slots: int = 1
    running: int = 0
    own: int = 0
    own_at_report: int = 0
    draining: bool = False
    healthy: bool = True
    failures: int = 0
    ejected_until: float = 0.0
    limited_until: float = 0.0
    prefixes: dict[int, None] = field(default_factory=dict)

    @property
    def load(self) -> float:
        """Attempts per slot: the last report, corrected by this router's attempts since then."""
        others = max(0, self.running - self.own_at_report)
        return (others + self.own) / max(1, self.slots)

    def serves(self, target: str) -> bool:
        """Whether it serves a model version or plain service."""
        return target in self.models or target in self.services

    def record_prefixes(self, prefixes: tuple[int, ...]) -> None:
        """Record prefixes that the backend server will cache; the oldest are evicted."""
        for prefix in prefixes:
            self.prefixes.pop(prefix, None)
            self.prefixes[prefix] = None
        while len(self.prefixes) > PREFIX_MEMORY:
            del self.prefixes[next(iter(self.prefixes))]

    def count_cached(self, prefixes: tuple[int, ...]) -> int:
        """Return the number of leading prefixes that are assumed to be cached."""
        matched = 0
        for prefix in prefixes:
            if prefix not in self.prefixes:
                break
            matched += 1
        return matched


@dataclass(slots=True, frozen=True)
class PolicyInputs:
    """Inputs of one policy decision besides the candidates.

    :param prefixes: hashes of the prompt's prefixes, shortest first
    :param draws: two random numbers in [0, 1)
    :param decisions: number of decisions, including this one
    """

    prefixes: tuple[int, ...]
    draws: tuple[float, float]
    decisions: int


Policy = Callable[[list[AgentView], PolicyInputs], AgentView]
policies: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Return a decorator that registers a routing policy."""

    def register(function: Policy) -> Policy:
        policies[name] = function
        return function

    return register


@policy("random")
def choose_random(candidates: list[AgentView], inputs: PolicyInputs) -> AgentView:
    """Choose a random candidate."""
    return candidates[int(inputs.draws[0] * len(candidates))]


@policy("round_robin")
def choose_round_robin(candidates: list[AgentView], inputs: PolicyInputs) -> AgentView:
    """Choose the candidates in rotation."""
    return candidates[inputs.decisions % len(candidates)]


@policy("least_connections")
def choose_least_connections(candidates: list[AgentView], inputs: PolicyInputs) -> AgentView:
    """Choose the candidate with the fewest attempts of this router."""
    return min(candidates, key=lambda agent: (agent.own, agent.name))


@policy("two_choices")
def choose_less_loaded_of_two(candidates: list[AgentView], inputs: PolicyInputs) -> AgentView:
    """Choose the less loaded of two random candidates (power of two choices)."""
    first = candidates[int(inputs.draws[0] * len(candidates))]
    second = candidates[int(inputs.draws[1] * len(candidates))]
    return min(first, second, key=lambda agent: agent.load)


@policy("affinity")
def choose_by_affinity(candidates: list[AgentView], inputs: PolicyInputs) -> AgentView:
    """Choose the longest cached prefix among candidates not much busier than the least loaded."""
    least = min(agent.load for agent in candidates)
    within_slack = [a for a in candidates if (a.load - least) * a.slots <= AFFINITY_SLACK]
    longest = max(agent.count_cached(inputs.prefixes) for agent in within_slack)
    if longest == 0:
        return choose_less_loaded_of_two(candidates, inputs)
    matching = [agent for agent in within_slack if agent.count_cached(inputs.prefixes) == longest]
    return min(matching, key=lambda agent: (agent.load, agent.name))


class Routing:
    """Agents known to one router, and the selection among them."""

    __slots__ = ("agents", "policy", "decisions")

    def __init__(self, policy_name: str) -> None:
        self.agents: dict[str, AgentView] = {}
        self.policy = policies[policy_name]
        self.decisions = 0

    def choose(
        self,
        now: float,
        target: str,
        prefixes: tuple[int, ...],
        excluded: frozenset[str],
        draws: tuple[float, float],
    ) -> AgentView | None:
        """Choose an agent for an attempt, or return ``None`` if none has capacity.

        :param target: model version or plain service
        :param excluded: agents that have already refused or failed this request
        :param draws: two random numbers in [0, 1)
        """
        serving = [a for a in self.agents.values() if a.serves(target) and not a.draining]
        candidates = [a for a in self._in_rotation(now, serving) if a.name not in excluded]
        candidates = [a for a in candidates if a.load < FULL_LOAD and a.limited_until <= now]
        if not candidates:
            return None
        self.decisions += 1
        chosen = self.policy(candidates, PolicyInputs(prefixes, draws, self.decisions))
        chosen.own += 1
        chosen.record_prefixes(prefixes)
        return chosen

    def finished(self, now: float, name: str, succeeded: bool) -> None:
        """Record the end of an attempt; consecutive failures eject the backend server."""
        agent = self.agents.get(name)
        if agent is None:
            return
        agent.own = max(0, agent.own - 1)
        agent.failures = 0 if succeeded else agent.failures + 1
        if agent.failures >= EJECT_AFTER:
            agent.ejected_until = now + EJECT_SECONDS

    def limited(self, now: float, name: str, wait: float) -> None:
        """Record that the limit of a backend server admits no attempt for some seconds."""
        agent = self.agents.get(name)
        if agent is not None and wait > 0:
            agent.limited_until = now + wait

    def is_limited(self, until: float, target: str) -> bool:
        """Whether the limits of all backend servers admit no attempt until a monotonic time.

        :param target: model version or plain service
        """
        serving = [a for a in self.agents.values() if a.serves(target) and not a.draining]
        return bool(serving) and all(agent.limited_until > until for agent in serving)

    def released(self, name: str) -> None:
        """Record that an attempt did not run, so that it does not count as success or failure."""
        agent = self.agents.get(name)
        if agent is not None:
            agent.own = max(0, agent.own - 1)

    def _in_rotation(self, now: float, serving: list[AgentView]) -> list[AgentView]:
        healthy = [a for a in serving if a.healthy]
        not_ejected = [a for a in healthy if a.ejected_until <= now]
        if len(not_ejected) >= len(healthy) * (1 - MAX_EJECTED_SHARE):
            return not_ejected
        return healthy
