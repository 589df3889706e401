"""Steps that replay placement decisions on servers that differ in speed or memory."""

import random
from collections import Counter
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from bilberryshed.coordination import (
    OUTPUT_WEIGHT,
    BackendDemand,
    BackendPool,
    _backend_pool,
    owner,
)
from bilberryshed.coordination.placement import _choice
from bilberryshed.gateway._stream_relay import StreamRelay
from bilberryshed.protocol import LoadNotice
from bilberryshed.state import BackendServer
from bilberryshed_load._replay import replay

NOW = 100.0
ZONE = "zone-1"
PLAIN = BackendDemand("", 1)


def build_pool(gateway, servers):
    """Return the pool of a gateway with idle servers of one service, by id."""
    pool = BackendPool(ZONE, gateway)
    pool.set_servers({id_: BackendServer(id_, "model", id_, ZONE, 8, False) for id_ in servers})
    return pool


def place(pool, demand, now=NOW):
    """Choose a server, count the request as in flight there, and return that entry."""
    view = pool.choose(now, "model", demand, frozenset())
    return pool.begin(now, view, demand)


@given("{count:d} gateways and the servers {ids}, all idle")
def given_gateways(context, count, ids):
    context.pools = [build_pool(f"gate-{n}", ids.split(",")) for n in range(count)]


@when("each gateway places a plain request before it knows of the others")
def when_each_places(context):
    context.placed = Counter(place(pool, PLAIN).view.server.id for pool in context.pools)


@then("no server receives more than {maximum:d} of them")
def then_spread(context, maximum):
    assert max(context.placed.values()) <= maximum, context.placed


@given("engines of the speeds {speeds}")
def given_engines(context, speeds):
    context.speeds = [float(speed) for speed in speeds.split(",")]


@when('the pattern "{name}" is replayed with and without learned speeds, {seeds:d} seeds each')
def when_replayed(context, name, seeds):
    def first_event():
        results = [replay(name, "bilberryshed", 1 + n, context.speeds) for n in range(seeds)]
        return sum(result.mean_first_event for result in results)

    context.learned = first_event()
    with mock.patch.object(_backend_pool, "update_paces", lambda now, estimates: None):
        context.counted = first_event()


@then("the mean time until the first event with them is at most {share:g} of that without")
def then_shorter(context, share):
    assert context.learned <= share * context.counted, context.learned / context.counted


def answer(pool, rng, view, now, pace, noise):
    """Let a server answer one prompt at a pace that deviates by up to a share ``noise``."""
    request = pool.begin(now, view, BackendDemand("", 9_000, 0, 9_000))
    seconds = 9_000 * 2e-5 * pace * (1 + noise * rng.uniform(-1, 1))
    pool.on_first_event(now, request, seconds)
    pool.end(request)


@given(
    "{count:d} answers of each of 3 servers at paces {paces} with deviations of {noise:d} percent"
)
def given_answers(context, count, paces, noise):
    context.pool, context.rng = build_pool("gate-1", "abc"), random.Random(7)
    for _ in range(count):
        for view, pace in zip(context.pool.views.values(), paces.split(","), strict=True):
            answer(context.pool, context.rng, view, NOW, float(pace), noise / 100)


def choose_by_tokens(views, demand):
    """Return the choice of the rule that knew no speeds, with no prefix cached anywhere."""
    mean = (sum(view.total_work for view in views) + demand.work) / len(views)
    limit = _choice.LOAD_MARGIN * mean + _choice.LOAD_SLACK
    free = [view for view in views if view.total_work + demand.work <= limit]
    home = owner(demand.affinity, [view.server.id for view in free])
    again = _choice.REPREFILL_WEIGHT * demand.shared
    costs = [view.total_unread + again * (view.server.id != home) for view in free]
    return next(
        view
        for view in sorted(free, key=lambda view: (view.server.id != home, -view.tie_rank))
        if costs[free.index(view)] == min(costs)
    )


@then("{count:d} prompts under random loads go where their tokens alone send them: {same}")
def then_same(context, count, same):
    views, rng = list(context.pool.views.values()), context.rng
    differing = 0
    for number in range(count):
        for view in views:
            view.unread = rng.randrange(0, 30_000, 1_000)
            view.work = view.unread + rng.randrange(60_000)
        demand = BackendDemand(f"part-{number}", 9_000, rng.choice((0, 2_000, 6_000)), 3_000)
        chosen = context.pool.choose(NOW, "model", demand, frozenset())
        differing += chosen is not choose_by_tokens(views, demand)
    assert (differing == 0) == (same == "yes"), differing


@when("only the others answer for {seconds:d} s")
def when_others_answer(context, seconds):
    slow, *others = context.pool.views.values()
    assert slow.estimate.slowness > 1, slow.estimate
    for number in range(seconds + 1):
        for view in others:
            answer(context.pool, context.rng, view, NOW + number, 1.0, 0.0)


@then("the slow server counts as an ordinary one")
def then_ordinary(context):
    slow = next(iter(context.pool.views.values()))
    assert slow.estimate.slowness == 1, slow.estimate


@given("2 gateways that report their load, and servers with memory for {capacity:d} tokens: {ids}")
def given_memory(context, capacity, ids):
    context.pools = [build_pool(f"gate-{n}", ids.split(",")) for n in range(2)]
    context.capacity = capacity


@when(
    "{count:d} prompts of one prefix that hold {tokens:d} tokens each run at the gateways in turn"
)
def when_prompts_run(context, count, tokens):
    output = tokens // 10
    prompt = tokens - output
    work = prompt + OUTPUT_WEIGHT * output
    demand = BackendDemand("hot", work, prompt, 0, tokens, context.capacity)
    context.held = Counter()
    for number in range(count):
        sender, receiver = context.pools[number % 2], context.pools[1 - number % 2]
        context.held[place(sender, demand).view.server.id] += tokens
        notice = LoadNotice(sender.loads(), sender.pop_new_prefixes())
        receiver.on_load_notice(NOW, sender.name, notice)


@then("the server with the most holds {most:d} tokens at most")
def then_held(context, most):
    assert max(context.held.values()) <= most, context.held


@when(
    "a stream of the first server begins {seconds:g} s after a prompt of {tokens:d} tokens "
    "was sent there"
)
def when_stream_begins(context, seconds, tokens):
    context.view = next(iter(context.pool.views.values()))
    run = context.pool.begin(NOW, context.view, BackendDemand("", tokens, 0, tokens))
    clock = lambda: NOW + seconds  # noqa: E731
    timers = SimpleNamespace(now=clock, responsive_time=clock)
    gateway = SimpleNamespace(backends=context.pool, timers=timers, on_load_change=lambda: None)
    relay = StreamRelay(gateway, None, None)
    for _ in range(2):  # only the first data counts
        relay._note_data(SimpleNamespace(run=run, awaited_since=NOW))


@then("{count:d} answers of that server are known, and none of its prompt tokens is unread")
def then_known(context, count):
    assert context.view.estimate.answers == count, context.view.estimate
    assert context.view.unread == 0, context.view
