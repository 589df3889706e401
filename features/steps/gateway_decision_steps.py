"""Steps for the gateway's decisions on retries, placement, crashes and event streams."""

import collections
import time
from dataclasses import replace

from behave import given, then, when

from bilberryshed.coordination import (
    BackendDemand,
    BackendPool,
    EventSplitter,
    Quarantine,
    RetryBudget,
    is_report_urgent,
)
from bilberryshed.protocol import CrashedRun, LoadNotice, ServerLoad
from bilberryshed.state import BackendServer

NOW = 100.0  # seconds
# The ratio is retries per request; the window is in seconds; the slack is retries per window.
RETRY_RATIO, RETRY_WINDOW, RETRY_SLACK = 0.2, 10.0, 50.0
NO_EXCLUSIONS = frozenset()
PLAIN_DEMAND = BackendDemand("", 1)


@given("{count:d} requests in the window")
def given_requests(context, count):
    context.retry_budget = RetryBudget(RETRY_RATIO, RETRY_WINDOW, RETRY_SLACK)
    for _ in range(count):
        context.retry_budget.count_request(NOW, "desk")
    context.now = NOW


def routers(context):
    """Return the number of routers in the outline's row, or 1 outside an outline."""
    row = getattr(context, "active_outline", None)
    return int(row["routers"]) if row is not None else 1


@when("all allowed retries are made and {seconds:d} s pass")
def when_retried(context, seconds):
    while context.retry_budget.try_retry(NOW, "desk", 1):
        pass
    context.now = NOW + seconds


@then("{count:d} retries are allowed with a ratio of 0.2 and a slack of 50")
def then_allowed(context, count):
    retries = 0
    while context.retry_budget.try_retry(context.now, "desk", routers(context)):
        retries += 1
    assert retries == count, retries


@given("{count:d} backend servers")
def given_servers(context, count):
    context.pool = BackendPool("zone-1")
    context.entries = {
        f"i-{n}": BackendServer(f"i-{n}", "model", f"127.0.0.1:{n}", f"zone-{n}", 8, False)
        for n in range(1, count + 1)
    }
    context.pool.set_servers(context.entries)


@given("{count:d} backend servers and {routers:d} routers")
def given_servers_and_routers(context, count, routers):
    given_servers(context, count)
    context.pools = [BackendPool("zone-1") for _ in range(routers)]
    for pool in context.pools:
        pool.set_servers(context.entries)


def place_round_robin(context, count, demand, notices):
    """Place requests at the routers in turn and leave them in flight.

    :param notices: ``always`` to send load notices to all peers after each request
    """
    context.in_flight = collections.Counter()
    for number in range(count):
        sender = number % len(context.pools)
        pool = context.pools[sender]
        view = pool.choose(NOW, "model", demand, NO_EXCLUSIONS)
        pool.begin(NOW, view, demand)
        context.in_flight[view.server.id] += 1
        if notices == "always":
            notice = LoadNotice(pool.loads(), pool.pop_new_prefixes())
            for other in context.pools:
                if other is not pool:
                    other.on_load_notice(NOW, f"router-{sender}", notice)


@when(
    "{count:d} prompts of one conversation of {tokens:d} tokens reach the routers in turn, "
    "load notices sent: {notices}"
)
def when_prompts_round_robin(context, count, tokens, notices):
    place_round_robin(context, count, BackendDemand("hot", tokens), notices)


@when("{count:d} plain requests reach the routers in turn, load notices sent: {notices}")
def when_requests_round_robin(context, count, notices):
    place_round_robin(context, count, PLAIN_DEMAND, notices)


@then("the most loaded backend server has at most {maximum:d} of them in flight")
def then_max_in_flight(context, maximum):
    assert max(context.in_flight.values()) <= maximum, context.in_flight


@then("the change is reported immediately: {urgent}")
def then_urgent(context, urgent):
    row = context.active_outline
    reported, loads = (
        (ServerLoad("i-1", 1, 10_000, int(row[name])),) for name in ("reported", "unread")
    )
    assert is_report_urgent(loads, reported) == (urgent == "yes")


@then("the most loaded backend server has at least {minimum:d} of them in flight")
def then_min_in_flight(context, minimum):
    assert max(context.in_flight.values()) >= minimum, context.in_flight


def place_request(context, demand, now=NOW):
    """Choose a backend server and count the request as in flight there; return its view."""
    view = context.pool.choose(now, "model", demand, NO_EXCLUSIONS)
    context.pool.begin(now, view, demand)
    return view


@when("{count:d} prompts of {conversations:d} conversations are placed one at a time")
def when_placed(context, count, conversations):
    context.servers_by_conversation = {}
    for number in range(count):
        demand = BackendDemand(f"part-{number % conversations}", 9_000)
        view = context.pool.choose(NOW, "model", demand, NO_EXCLUSIONS)
        context.pool.end(context.pool.begin(NOW, view, demand))
        context.servers_by_conversation.setdefault(demand.affinity, set()).add(view.server.id)


@then("each conversation is on one backend server")
def then_one_server_each(context):
    assert all(
        len(ids) == 1 for ids in context.servers_by_conversation.values()
    ), context.servers_by_conversation


@then("no backend server has more than {factor:d} times the average number of conversations")
def then_even_distribution(context, factor):
    ids = [next(iter(servers)) for servers in context.servers_by_conversation.values()]
    maximum = max(ids.count(id_) for id_ in set(ids))
    assert maximum <= factor * len(ids) / len(context.entries), maximum


@when("{count:d} prompts of 1 conversation of {tokens:d} tokens run concurrently")
def when_concurrent_prompts(context, count, tokens):
    demand = BackendDemand("hot", tokens)
    context.used_servers = {place_request(context, demand).server.id for _ in range(count)}


@then("at least {count:d} backend servers run some of them")
def then_min_servers(context, count):
    assert len(context.used_servers) >= count, context.used_servers


@then("at most {count:d} backend servers run some of them")
def then_max_servers(context, count):
    assert len(context.used_servers) <= count, context.used_servers


@then("the first plain request goes to the backend server in its zone")
def then_same_zone(context):
    assert place_request(context, PLAIN_DEMAND).server.id == "i-1"


@then("the next two plain requests go to the other two backend servers")
def then_other_servers(context):
    assert {place_request(context, PLAIN_DEMAND).server.id for _ in range(2)} == {"i-2", "i-3"}


@when("the first backend server {event}")
def when_first_server(context, event):
    pool = context.pool
    first = pool.views["i-1"]
    if event.startswith("refuses"):
        for _ in range(5 if "5" in event else 1):
            pool.on_connection_refused(NOW, first)
    elif event == "reports that it is full":
        pool.on_overloaded(NOW, first)
    elif event == "reports that it is draining":
        entry = context.entries["i-1"]
        draining_server = BackendServer(
            entry.id, entry.service, entry.address, entry.zone, 8, draining=True, sequence=2
        )
        pool.set_servers({**context.entries, "i-1": draining_server})
    else:
        if "alone" in event:
            pool.set_servers({"i-1": context.entries["i-1"]})
        for _ in range(int("".join(filter(str.isdigit, event)))):
            pool.on_outcome(NOW, first, failed=True)


def is_chosen(context, now):
    """Whether at least one of six concurrent plain requests goes to the first backend server."""
    in_flight = []
    for _ in range(6):
        view = context.pool.choose(now, "model", PLAIN_DEMAND, NO_EXCLUSIONS)
        in_flight.append(context.pool.begin(now, view, PLAIN_DEMAND))
    for request in in_flight:
        context.pool.end(request)
    return any(request.view.server.id == "i-1" for request in in_flight)


@then("it is {now} immediately and {later} after {seconds:g} s")
def then_chosen(context, now, later, seconds):
    assert is_chosen(context, NOW) == (now == "chosen")
    assert is_chosen(context, NOW + seconds) == (later == "chosen")


@when("{crashes:d} attempts of a request crash within {seconds:d} s")
def when_crashes(context, crashes, seconds):
    context.quarantine, context.now = Quarantine(), NOW
    for number in range(crashes):
        context.now = NOW + seconds * number / max(1, crashes - 1)
        context.quarantine.prune(context.now)
        context.quarantine.record_crashes(context.now, [crashed_run(f"run-{number}")])


def crashed_run(id_):
    """Return a run of the request, at a backend server that only has connections reset."""
    return CrashedRun(id_, "i-1/0", "f", (), False, 0.0)


@when("one crashed attempt is reported {reports:d} times")
def when_crash_reported(context, reports):
    context.quarantine, context.now = Quarantine(), NOW
    run = crashed_run("run-1")
    results = [bool(context.quarantine.record_crashes(NOW, [run])) for _ in range(reports)]
    assert results == [True] + [False] * (reports - 1)


@when("the request completes and then crashes {crashes:d} times")
def when_completed(context, crashes):
    context.quarantine.record_answer(NOW, NOW, {"f"}, ())
    for number in range(crashes):
        context.quarantine.record_crashes(NOW, [crashed_run(f"later-{number}")])


@then("requests with its fingerprint are {crash_state:w}")
def then_state(context, crash_state):
    blocked = context.quarantine.standing(context.now, "f") == "convicted"
    assert blocked == (crash_state == "blocked")


@when("an event stream arrives in the chunks {chunks}")
def when_stream(context, chunks):
    context.splitter = EventSplitter()
    for chunk in chunks.split(","):
        context.splitter.feed(chunk.replace("/", "\n").encode())


@then("complete events are returned up to id {last}, and {buffered:d} bytes stay buffered")
def then_complete_events(context, last, buffered):
    assert context.splitter.last_id == ("" if last == "none" else last), context.splitter.last_id
    assert len(context.splitter.buffer) == buffered, context.splitter.buffer


@then(
    "{size:d} bytes that are no event, in pieces of {piece:d} bytes, are buffered in less than "
    "{limit:d} s"
)
def then_buffered_in_time(context, size, piece, limit):
    splitter = EventSplitter()
    started_at = time.process_time()
    for _ in range(size // piece):
        assert splitter.feed(b"x" * piece) == b""
        assert time.process_time() < started_at + limit, f"{len(splitter.buffer)} bytes"
    assert len(splitter.buffer) == size


@then("a stream of {count:d} events split at any byte yields events 1 to {last:d}")
def then_split_anywhere(context, count, last):
    data = b"".join(b"id: %d\ndata: piece\n\n" % n for n in range(1, count + 1))
    for split_at in range(len(data) + 1):
        splitter = EventSplitter()
        complete = splitter.feed(data[:split_at]) + splitter.feed(data[split_at:])
        assert (complete, splitter.last_id, splitter.events) == (data, str(last), count), split_at


@when("another server responds at the address of i-1, and its entry has sequence {sequence:d} then")
def when_wrong_server(context, sequence):
    entries = {id_: replace(server, sequence=1) for id_, server in context.entries.items()}
    context.pool.set_servers(entries)
    context.pool.views["i-1"].mark_wrong_server()
    context.pool.set_servers({**entries, "i-1": replace(entries["i-1"], sequence=sequence)})


@then("i-1 gets new requests: {used}")
def then_used(context, used):
    ids = {view.server.id for view in context.pool.usable("model")}
    assert ("i-1" in ids) is (used == "yes"), ids
