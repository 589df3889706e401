"""Replays servers that return, without a network, for each strategy that paces them.

The servers answer after ``BASE`` seconds, longer if more requests run than their slots times their
present health, which rises from a tenth while a server warms up. Gateways report their load every
0.1 s. Run as a program, it prints the table of ``docs/design/pace.md``.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, replace

from bilberryshed.coordination import BackendDemand, BackendPool, owner
from bilberryshed.coordination.pacing import Pacing, ServerPace
from bilberryshed.protocol import LoadNotice
from bilberryshed.state import BackendServer

GATEWAYS, SERVERS, SLOTS = 4, 20, 8
BASE, LATE = 0.4, 0.8  # seconds for an answer, and seconds from which on it is late
RATE = 0.6 * SERVERS * SLOTS / BASE  # requests a second
RETURN_AT, END = 2.0, 16.0  # seconds
CLOCK = 10.0  # seconds in which the clock alone raises the share, and of the constant rate
CONSTANT_RATE = 3.0  # requests a second of all gateways; a quarter of a server's share
ENOUGH = 0.8  # part of its peers' timely answers with which a server carries its share
SEEDS = range(1, 6)


class ClockPace(ServerPace):
    """A share that rises with time only."""

    def lower(self, factor):
        """Ignore bad answers."""

    def end_round(self, now, running, target):
        """Raise the window with the age of the server."""
        self.round_at, age = now, now - self.started_at
        self.window = max(1.0, target * age / CLOCK)
        return age >= CLOCK


class ConstantPace(ServerPace):
    """A constant rate, and the full load afterwards."""

    def on_sent(self, now, gateways, first_event):
        """Space the requests evenly."""
        self.next_at, self.window = now + gateways / CONSTANT_RATE, 1000.0

    def lower(self, factor):
        """Ignore bad answers."""

    def end_round(self, now, running, target):
        """End after a fixed time."""
        return now - self.started_at >= CLOCK


class AimdPace(ServerPace):
    """Additive increase from the start, and halving."""

    def end_round(self, now, running, target):
        """Raise the window by one request a round."""
        self.is_doubling = False
        return super().end_round(now, running, target)


class PacingBy(Pacing):
    """Pacing with another kind of pace."""

    __slots__ = ("kind",)

    def __init__(self, name, kind):
        super().__init__(name)
        self.kind = kind

    def begin(self, now, view, cause):
        """Pace with the given kind."""
        super().begin(now, view, cause)
        pace = self.paces[view.server.id]
        self.paces[view.server.id] = self.kind(pace.started_at, pace.next_at)


class GradientPacing(Pacing):
    """Concurrency limit by latency gradient: usual by observed time, and a queue of its root."""

    def on_first_event(self, now, view, seconds):
        """Move the window towards the one that the gradient asks for."""
        super().on_first_event(now, view, seconds)
        pace, usual = self.paces.get(view.server.id), self.first_events.get(view.server.service)
        if pace is not None and usual is not None:
            gradient = max(0.5, min(1.0, usual / seconds))
            wanted = pace.window * gradient + pace.window**0.5
            pace.window += 0.2 * (max(1.0, wanted) - pace.window)
            pace.is_lowered = False

    def _admits(self, now, view, views):
        pace = self.paces.get(view.server.id)
        if pace is None:
            return True
        if (
            pace.window >= sum(v.total_running for v in views) / len(views) + 1
            and now - pace.started_at > BASE
        ):
            self._end(now, view, pace)
            return True
        return view.total_running < pace.window


class ProbePacing(Pacing):
    """One gateway sends single requests; after three good answers all gateways send."""

    released = None  # servers that the probing gateways have found good, shared by all

    def _admits(self, now, view, views):
        id_ = view.server.id
        pace = self.paces.get(id_)
        if pace is None:
            return True
        names = [f"g-{number}" for number in range(GATEWAYS)]
        if pace.good >= 3:
            self.released.add(id_)
        if id_ in self.released:
            self._end(now, view, pace)
            return True
        return owner(id_, names) == self.name and view.running == 0

    def begin(self, now, view, cause):
        """Probe anew."""
        super().begin(now, view, cause)
        self.released.discard(view.server.id)

    def on_first_event(self, now, view, seconds):
        """Count good answers in a row."""
        super().on_first_event(now, view, seconds)
        pace = self.paces.get(view.server.id)
        if pace is not None and pace.is_lowered:
            pace.good, pace.is_lowered = 0, False


STRATEGIES = {
    "at once": lambda name: None,
    "clock alone": lambda name: PacingBy(name, ClockPace),
    "constant rate": lambda name: PacingBy(name, ConstantPace),
    "AIMD": lambda name: PacingBy(name, AimdPace),
    "latency gradient": GradientPacing,
    "probe by one": ProbePacing,
    "pacing": Pacing,
}


@dataclass
class FakeServer:
    """A server: health rises from a tenth to ``best`` in ``warm`` seconds after ``up_at``."""

    entry: BackendServer
    up_at: float = -100.0
    warm: float = 1.0
    best: float = 1.0
    down_from: float = 1e9
    running: int = 0

    def is_up(self, now):
        """Whether it accepts connections."""
        return self.up_at <= now < self.down_from

    def duration(self, now):
        """Return the seconds that a request takes which begins now."""
        health = min(self.best, max(0.1, (now - self.up_at) / self.warm * self.best))
        return BASE * max(1.0, self.running / (SLOTS * health))


SCENARIOS = {
    "zone back at once": range(0, 20, 2),
    "one of twenty": [10],
    "rolling release": range(0, 20, 2),
    "recovers half": [10],
    "crash on return": [10],
}


@dataclass
class Result:
    """Mean seconds until the returned servers carry their share, and late answers."""

    seconds: float
    late: float


class Replay:
    """One run of a scenario with a strategy and a seed."""

    def __init__(self, scenario, strategy, seed):
        self.rng = random.Random(seed)
        self.scenario = scenario
        self.events, self.order = [], itertools.count()
        self.servers = {}
        for number in range(SERVERS):
            id_ = f"s-{number:02}"
            entry = BackendServer(id_, "desk", id_, "quay", SLOTS, False, 1, 1)
            self.servers[id_] = FakeServer(entry, warm=self.rng.uniform(0.5, 2.0))
        ProbePacing.released = set()
        self.pools = [BackendPool("quay") for _ in range(GATEWAYS)]
        for number, pool in enumerate(self.pools):
            pool.pacing = STRATEGIES[strategy](f"g-{number}")
            if pool.pacing is not None:
                pool.pacing.gateways = GATEWAYS
        self.returning = [f"s-{number:02}" for number in SCENARIOS[scenario]]
        self.timely = {id_: [] for id_ in self.servers}
        self.carried_at, self.late, self.requests = {}, 0, 0

    def at(self, when, action, *args):
        """Schedule an action."""
        heapq.heappush(self.events, (when, next(self.order), action, args))

    def run(self):
        """Replay, and return the result."""
        self._set_servers(0.0, [id_ for id_ in self.servers if id_ not in self.returning])
        self._schedule_returns()
        for tick in range(1, int(END * 10)):
            self.at(tick / 10, self._report)
        for quarter in range(int(END * 4)):
            self.at(quarter / 4, self._measure)
        self.at(0.0, self._arrive)
        while self.events and self.events[0][0] < END:
            now, _, action, args = heapq.heappop(self.events)
            action(now, *args)
        waits = [self.carried_at.get(id_, END) - self.servers[id_].up_at for id_ in self.returning]
        return Result(sum(waits) / len(waits), 1000 * self.late / self.requests)

    def _schedule_returns(self):
        if self.scenario == "rolling release":
            self._set_servers(0.0, self.servers)
            for number, id_ in enumerate(self.returning):
                self.at(RETURN_AT + number * 0.5 - 1.0, self._stop, id_)
                self.at(RETURN_AT + number * 0.5, self._return, [id_])
            return
        self.at(RETURN_AT, self._return, self.returning)
        for id_ in self.returning:
            self.servers[id_].best = 0.5 if self.scenario == "recovers half" else 1.0
            if self.scenario == "crash on return":
                self.at(RETURN_AT + 0.5, self._crash, id_)

    def _set_servers(self, now, ids):
        for pool in self.pools:
            pool.set_servers({id_: self.servers[id_].entry for id_ in ids}, now)

    def _stop(self, now, id_):
        self._set_servers(now, [known for known in self.pools[0].views if known != id_])

    def _return(self, now, ids):
        for id_ in ids:
            server = self.servers[id_]
            server.up_at = now
            server.entry = replace(server.entry, started_at_ms=2)
        self._set_servers(now, [*self.pools[0].views, *ids])

    def _crash(self, now, id_):
        """Refuse connections for 1.5 s; the answers of running requests break off."""
        self.servers[id_].up_at = now + 1.5

    def _report(self, now):
        notices = [LoadNotice(pool.loads(), ()) for pool in self.pools]
        for receiver, pool in enumerate(self.pools):
            for sender, notice in enumerate(notices):
                if sender != receiver:
                    pool.on_load_notice(now, f"g-{sender}", notice)

    def _measure(self, now):
        """Note which returned servers gave enough timely answers in the last second."""
        steady = [id_ for id_ in self.servers if id_ not in self.returning]
        share = ENOUGH * sum(len(self.timely[id_]) for id_ in steady) / len(steady)
        for id_ in self.returning:
            server = self.servers[id_]
            is_back = RETURN_AT <= server.up_at <= now - 1.0
            carries = is_back and len(self.timely[id_]) >= share * server.best
            if carries and id_ not in self.carried_at:
                self.carried_at[id_] = now
        for id_, times in self.timely.items():
            self.timely[id_] = [at for at in times if at > now - 0.75]

    def _arrive(self, now):
        self.at(now + self.rng.expovariate(RATE), self._arrive)
        self.requests += 1
        self._send(now, self.rng.choice(self.pools), now, frozenset())

    def _send(self, now, pool, since, tried):
        view = pool.choose(now, "desk", BackendDemand("", 1), tried)
        if view is None or now - since > LATE:
            self.late += 1
            return
        server = self.servers[view.server.id]
        tried = tried | {view.server.id}
        if not server.is_up(now):
            pool.on_connection_refused(now, view)
            self._send(now, pool, since, tried)
        elif server.running >= 2 * SLOTS:
            pool.on_overloaded(now, view)
            self._send(now + 0.005, pool, since, tried)
        else:
            run = pool.begin(now, view, BackendDemand("", 1))
            server.running += 1
            took = server.duration(now) * self.rng.uniform(0.85, 1.15)
            self.at(now + took, self._answer, pool, run, server, now, since, server.up_at, tried)

    def _answer(self, now, pool, run, server, sent_at, since, up_at, tried):
        server.running -= 1
        pool.end(run)
        failed = up_at != server.up_at
        pool.on_outcome(now, run.view, failed)
        if failed:
            self._send(now, pool, since, tried)
            return
        pool.on_first_event(now, run, now - sent_at)
        is_late = now - since > LATE
        self.late += is_late
        if not is_late:
            self.timely[run.view.server.id].append(now)


def replay(scenario, strategy, seeds=SEEDS):
    """Return the mean result of a scenario and a strategy over the seeds."""
    results = [Replay(scenario, strategy, seed).run() for seed in seeds]
    seconds = sum(result.seconds for result in results) / len(results)
    return Result(seconds, sum(result.late for result in results) / len(results))


def print_table():
    """Print the table of the design note."""
    print("| scenario | strategy | s until its share | late of 1,000 |\n|---|---|---|---|")
    for scenario in SCENARIOS:
        for strategy in STRATEGIES:
            result = replay(scenario, strategy)
            print(f"| {scenario} | {strategy} | {result.seconds:.2f} | {result.late:.2f} |")


if __name__ == "__main__":
    print_table()
