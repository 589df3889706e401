"""Steps for the gateway's decisions."""

import collections

from behave import given, then, when

from bilberryshed.coordination import (
    BackendDemand,
    BackendPool,
    CrashTracker,
    EventSplitter,
    RetryBudget,
    is_urgent,
)
from bilberryshed.protocol import LoadNotice, ServerLoad
from bilberryshed.state import BackendServer

NOW = 100.0  # seconds
RATIO, WINDOW, SLACK = 0.2, 10.0, 50.0
NOBODY = frozenset()
PLAIN = BackendDemand("", 1)


@given("{count:d} requests in the window")
def given_requests(context, count):
    context.allowance = RetryBudget(RATIO, WINDOW, SLACK)
    for _ in range(count):
        context.allowance.count_request(NOW, "desk")
    context.now = NOW


def routers(context):
    """Return the number of routers of the scenario's row, one without a row."""
    row = getattr(context, "active_outline", None)
    return int(row["routers"]) if row is not None else 1


@when("all retries are made and {seconds:d} s pass")
def when_retried(context, seconds):
    while context.allowance.try_retry(NOW, "desk", 1):
        pass
    context.now = NOW + seconds


@then("{count:d} retries are allowed with a ratio of 0.2 and a slack of 50")
def then_allowed(context, count):
    made = 0
    while context.allowance.try_retry(context.now, "desk", routers(context)):
        made += 1
    assert made == count, made


@given("{count:d} backend servers")
def given_servers(context, count):
    context.pool = BackendPool("zone-1")
    context.entries = {
        f"i-{n}": BackendServer(f"i-{n}", "model", f"127.0.0.1:{n}", f"zone-{n}", 8, False)
        for n in range(1, count + 1)
    }
    context.pool.set_servers(context.entries)


@given("{count:d} backend servers and {routers:d} routers")
def given_routers(context, count, routers):
    given_servers(context, count)
    context.pools = [BackendPool("zone-1") for _ in range(routers)]
    for pool in context.pools:
        pool.set_servers(context.entries)


def place_in_turn(context, count, demand, told):
    """Place requests at all routers in turn; they run on."""
    context.runs = collections.Counter()
    for number in range(count):
        sender = number % len(context.pools)
        pool = context.pools[sender]
        view = pool.choose(NOW, "model", demand, NOBODY)
        pool.begin(NOW, view, demand)
        context.runs[view.server.id] += 1
        if told == "each":
            notice = LoadNotice(pool.loads(), pool.pop_new_prefixes())
            for other in context.pools:
                if other is not pool:
                    other.on_load_notice(NOW, f"router-{sender}", notice)


@when(
    "{count:d} prompts of one conversation of {tokens:d} tokens reach the routers in turn, "
    "loads told: {told}"
)
def when_burst(context, count, tokens, told):
    place_in_turn(context, count, BackendDemand("hot", tokens), told)


@when("{count:d} plain calls reach the routers in turn, loads told: {told}")
def when_plain_burst(context, count, told):
    place_in_turn(context, count, PLAIN, told)


@then("the most loaded backend server runs at most {most:d} of them")
def then_most(context, most):
    assert max(context.runs.values()) <= most, context.runs


@then("that is news: {news}")
def then_news(context, news):
    row = context.active_outline
    told, loads = ((ServerLoad("i-1", 1, 10_000, int(row[name])),) for name in ("told", "unread"))
    assert is_urgent(loads, told) == (news == "yes")


@then("the most loaded backend server runs at least {least:d} of them")
def then_least(context, least):
    assert max(context.runs.values()) >= least, context.runs


def place(context, demand, now=NOW):
    """Choose a backend server and count the request there."""
    view = context.pool.choose(now, "model", demand, NOBODY)
    context.pool.begin(now, view, demand)
    return view


@when("{count:d} prompts of {kinds:d} conversations are placed one at a time")
def when_placed(context, count, kinds):
    context.found = {}
    for number in range(count):
        demand = BackendDemand(f"part-{number % kinds}", 9_000)
        view = context.pool.choose(NOW, "model", demand, NOBODY)
        context.pool.end(context.pool.begin(NOW, view, demand))
        context.found.setdefault(demand.affinity, set()).add(view.server.id)


@then("each conversation is on one backend server")
def then_one(context):
    assert all(len(ids) == 1 for ids in context.found.values()), context.found


@then("no backend server has more than {factor:d} times its share")
def then_spread(context, factor):
    ids = [next(iter(found)) for found in context.found.values()]
    most = max(ids.count(id_) for id_ in set(ids))
    assert most <= factor * len(ids) / len(context.entries), most


@when("{count:d} prompts of 1 conversation of {tokens:d} tokens run at once")
def when_hot(context, count, tokens):
    demand = BackendDemand("hot", tokens)
    context.used = {place(context, demand).server.id for _ in range(count)}


@then("at least {count:d} backend servers run some of them")
def then_at_least(context, count):
    assert len(context.used) >= count, context.used


@then("at most {count:d} backend servers run some of them")
def then_at_most(context, count):
    assert len(context.used) <= count, context.used


@then("the first plain call goes to the one in its zone")
def then_near(context):
    assert place(context, PLAIN).server.id == "i-1"


@then("the next two go to the other two")
def then_others(context):
    assert {place(context, PLAIN).server.id for _ in range(2)} == {"i-2", "i-3"}


@when("the first one {does}")
def when_first(context, does):
    pool = context.pool
    first = pool.views["i-1"]
    if does.startswith("refuses"):
        for _ in range(5 if "5" in does else 1):
            pool.on_connection_refused(NOW, first)
    elif does == "says that it is full":
        pool.on_overloaded(NOW, first)
    elif does == "says that it leaves":
        entry = context.entries["i-1"]
        leaving = BackendServer(
            entry.id, entry.service, entry.address, entry.zone, 8, draining=True, sequence=2
        )
        pool.set_servers({**context.entries, "i-1": leaving})
    else:
        if "alone" in does:
            pool.set_servers({"i-1": context.entries["i-1"]})
        for _ in range(int("".join(filter(str.isdigit, does)))):
            pool.on_outcome(NOW, first, failed=True)


def is_chosen(context, now):
    """Return whether one of several calls at once goes to the first backend server."""
    runs = []
    for _ in range(6):
        view = context.pool.choose(now, "model", PLAIN, NOBODY)
        runs.append(context.pool.begin(now, view, PLAIN))
    for run in runs:
        context.pool.end(run)
    return any(run.view.server.id == "i-1" for run in runs)


@then("it is chosen {now} at once and {later} after {seconds:g} s")
def then_chosen(context, now, later, seconds):
    assert is_chosen(context, NOW) == (now == "again")
    assert is_chosen(context, NOW + seconds) == (later == "again")


@when("a request's runs break {strikes:d} times over {seconds:d} s")
def when_broken(context, strikes, seconds):
    context.record, context.now = CrashTracker(), NOW
    for number in range(strikes):
        context.now = NOW + seconds * number / max(1, strikes - 1)
        context.record.record_crash(context.now, "f", f"run-{number}")


@when("a run that broke is heard of {times:d} times")
def when_heard(context, times):
    context.record, context.now = CrashTracker(), NOW
    news = [context.record.record_crash(NOW, "f", "run-1") for _ in range(times)]
    assert news == [True] + [False] * (times - 1)


@when("it runs to its end and breaks {strikes:d} times")
def when_cleared(context, strikes):
    context.record.clear_crashes("f")
    for number in range(strikes):
        context.record.record_crash(NOW, "f", f"later-{number}")


@then("it is {standing:w}")
def then_standing(context, standing):
    convicted = context.record.is_blocked(context.now, "f")
    assert convicted == (standing == "convicted")


@when("an event stream comes as {pieces}")
def when_stream(context, pieces):
    context.cutter = EventSplitter()
    for piece in pieces.split(","):
        context.cutter.feed(piece.replace("/", "\n").encode())


@then("whole events are handed out up to id {last}, and {left:d} bytes are left")
def then_cut(context, last, left):
    assert context.cutter.last_id == ("" if last == "none" else last), context.cutter.last_id
    assert len(context.cutter.buffer) == left, context.cutter.buffer


@then("a stream of {count:d} events cut at every byte gives events 1 to {last:d}")
def then_cut_anywhere(context, count, last):
    data = b"".join(b"id: %d\ndata: piece\n\n" % n for n in range(1, count + 1))
    for border in range(len(data) + 1):
        cutter = EventSplitter()
        whole = cutter.feed(data[:border]) + cutter.feed(data[border:])
        assert (whole, cutter.last_id, cutter.events) == (data, str(last), count), border
