"""Steps for streams at model engines of several software versions."""

import asyncio
import re
from collections import deque
from dataclasses import dataclass

from behave import given, then, when
from crashing_part_steps import when_all_restart
from gateway_steps import run
from gateway_support import API_KEY, HOST, GatewayHarness, build_config, build_route

from bilberryshed.coordination import Origin

VERSION = re.compile(rb"of (v\d+)")
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
ENTRY_TIME = 1.0  # seconds in which a gateway reads a changed entry
EVENTS = 5  # events of a complete stream
AWAY_TIME = 0.7  # seconds for which the store is away in a drill


@dataclass
class BrokenStream:
    """A stream that broke off.

    :param answers: the responses to all attempts of its caller
    """

    id: str
    last_event_id: str
    answers: list


def versions(answers):
    """Return the software versions that wrote the events of answers."""
    return {version for answer in answers for version in VERSION.findall(answer.body)}


@given("a platform with model engines of the versions {listed}")
def given_engines(context, listed):
    async def start():
        harness = context.harness
        await harness.start()
        routes = build_config()["routeTable"]
        routes += [
            build_route("single", "/single/", "model", "streaming", resumable=True, maxAttempts=1)
        ]
        harness.store.put("op", "config", build_config(2, routeTable=routes))
        for number, version in enumerate(listed.split(", "), 1):
            await add_engine(harness, f"i-model-{number}", version)
        await harness.add_gateway()

    context.harness = GatewayHarness()
    run(context, start())
    context.add_cleanup(lambda: run(context, context.harness.close()))


async def add_engine(harness, id_, version):
    """Start a model engine whose events name its version."""
    backend = await harness.add_backend(id_, "model", streams=True, version=version, born=1)
    backend.software = version


@given("a customer that does not pay in advance")
def given_unpaid(context):
    store = context.harness.store
    config = store.value("op", "config")
    tenants = [
        {name: value for name, value in tenant.items() if name != "prepaid"}
        for tenant in config["tenants"]
    ]
    store.put("op", "config", {**config, "version": config["version"] + 1, "tenants": tenants})
    run(context, asyncio.sleep(ENTRY_TIME))


@given("a second gateway that is linked to the first")
def given_second_gateway(context):
    async def add():
        await context.harness.add_gateway("gate-2")
        gateways = context.harness.gateways.values()
        await context.harness.wait_until(lambda: all(g.context.peer_links for g in gateways))
        await asyncio.sleep(0.3)

    run(context, add())


def stream_path(context):
    """Return the path of the streams of a scenario."""
    return getattr(context, "stream_path", "/single/1")


def set_faults(context, faults):
    """Have the next requests meet these faults, at whichever engines they reach."""
    shared = deque(faults)
    for backend in context.harness.backends.values():
        backend.script = shared


def send_streams(context, count, fault, path):
    """Send streams one after the other, the first attempt of each with a fault."""
    answers = []
    for number in range(count):
        set_faults(context, [fault])
        answers.append(run(context, send_prompt(context.harness, path, number)))
    return answers


def send_prompt(harness, path, number, gateway="gate-1", **overrides):
    """Send a prompt that shares no part with those of other numbers."""
    parts = ",".join(f"{part}{number:03x}:10" for part in "abc")
    body = str(number).encode()
    return harness.call(path, gateway, body=body, tokens="30,20", parts=parts, **overrides)


@when("{count:d} streams break off after 2 events each, and the gateway may send each to 2 engines")
def when_streams_break(context, count):
    context.answers = send_streams(context, count, "cut 2", "/chat/1")


@when(
    "{count:d} streams break off before their first event, and the gateway may send each to 2 "
    "engines"
)
def when_streams_break_early(context, count):
    context.answers = send_streams(context, count, "cut 0", "/chat/1")


@then("each answer has events of one version")
def then_one_version(context):
    assert all(len(versions([answer])) == 1 for answer in context.answers), [
        answer.body for answer in context.answers
    ]


@then("{count:d} of the answers are complete")
def then_complete(context, count):
    assert sum(answer.complete for answer in context.answers) == count


def split_config(version, shares):
    """Return a config whose route /split/ is split between the services model and other."""
    weights = [
        {"service": name, "weight": weight}
        for name, weight in zip(("model", "other"), shares, strict=True)
    ]
    split = build_route(
        "split",
        "/split/",
        "model",
        "streaming",
        resumable=True,
        maxAttempts=1,
        trafficSplit=weights,
    )
    config = build_config(version)
    model = next(service for service in config["services"] if service["name"] == "model")
    services = [*config["services"], {**model, "name": "other"}]
    return {**config, "routeTable": [*config["routeTable"], split], "services": services}


@given(
    "a route that is split between them and {count:d} engines of another service, which write v9"
)
def given_split_route(context, count):
    async def add():
        harness = context.harness
        harness.store.put("op", "config", split_config(3, (60, 40)))
        for number in range(count):
            backend = await harness.add_backend(f"i-other-{number}", "other", streams=True, born=1)
            backend.software = "v9"
        await asyncio.sleep(ENTRY_TIME)

    context.stream_path = "/split/1"
    run(context, add())


@when("the first gateway begins {count:d} streams of the split route that break off after 2 events")
def when_split_streams_begin(context, count):
    when_streams_begin(context, count)


@when("the operator swaps the services' shares")
def when_shares_swapped(context):
    context.harness.store.put("op", "config", split_config(4, (40, 60)))
    run(context, asyncio.sleep(ENTRY_TIME))


ODD_VERSIONS = {
    "100 000 characters": "v" * 100_000,
    "a lone surrogate": "\ud800",
    "a line break": "v1\nv2",
    "a list": [1, [2]],
    "null": None,
}


@when("another writer leaves an entry with {version} as version")
def when_odd_entry(context, version):
    harness = context.harness
    entry = harness.store.value("servers", "i-model-1")
    odd = {**entry, "address": "127.0.0.1:1", "version": ODD_VERSIONS[version]}
    harness.store.put("servers", "i-odd", odd)
    run(context, asyncio.sleep(ENTRY_TIME))


@given("{count:d} gateways that are linked")
def given_linked_gateways(context, count):
    async def add():
        harness = context.harness
        for number in range(2, count + 1):
            await harness.add_gateway(f"gate-{number}")
        gateways = harness.gateways.values()
        await harness.wait_until(
            lambda: all(len(g.context.peer_links) == count - 1 for g in gateways)
        )
        await asyncio.sleep(1.0)  # seconds in which all agree who the hubs are

    run(context, add())


@given("{count:d} gateways that are linked, and were all restarted")
def given_restarted_gateways(context, count):
    given_linked_gateways(context, count)
    when_all_restart(context)
    run(context, asyncio.sleep(1.0))  # seconds in which all agree who the hubs are


@when("{count:d} engines of version {version} join")
def when_engines_join(context, count, version):
    async def join():
        harness = context.harness
        for number in range(1, count + 1):
            await add_engine(harness, f"i-new-{number}", version)
        gateways = harness.gateways.values()
        await harness.wait_until(
            lambda: all(g.streams.records.is_stored("model", version) for g in gateways)
        )

    run(context, join())


def named_gateway(context, role):
    """Return the first gateway with a role, other than the one that relays the streams."""
    gateways = context.harness.gateways
    others = [name for name in sorted(gateways) if name != getattr(context, "relaying", "")]
    hubs = gateways["gate-1"].context.hubs.names
    choices = {
        "a hub": [name for name in others if name in hubs],
        "a member": [name for name in others if name not in hubs],
        "another member": [name for name in others if name not in hubs],
        "another gateway": others,
    }
    return choices[role][0]


def stop_reports(context, role):
    """Have a gateway begin the next streams, and report none of them."""
    context.relaying = named_gateway(context, role)
    streams = context.harness.gateways[context.relaying].streams
    streams._is_mixed = lambda: False
    return streams


@when("{role} reports no streams")
def when_not_reported(context, role):
    stop_reports(context, role)


@when("{role} neither responds to the others nor reports its streams")
def when_silent(context, role):
    streams = stop_reports(context, role)
    dispatcher = context.harness.gateways[context.relaying].peers.handlers.on_message.__self__
    for message_class in streams.handlers():
        dispatcher.handlers[message_class] = lambda link, message: None


@when("another gateway does not reach the store")
def when_other_turned_away(context):
    turn_away(context, named_gateway(context, "another gateway"))


@when("it begins {count:d} streams that break off after 2 events")
def when_silent_begins(context, count):
    begin_streams(context, count, context.relaying)


@when("the first gateway begins {count:d} streams that break off after 2 events")
def when_streams_begin(context, count):
    begin_streams(context, count, "gate-1")


def begin_streams(context, count, gateway, server=None):
    """Have callers of a gateway begin streams that break off after two events.

    :param server: id of the only server that may begin them, any by default
    """
    context.streams = []
    for id_, view in context.harness.gateways[gateway].context.backends.views.items():
        if server is not None and id_ != server:
            view.limited_until = context.loop.time() + ENTRY_TIME
    for number in range(count):
        id_ = context.harness.request_id()
        set_faults(context, ["cut 2"])
        call = send_prompt(context.harness, stream_path(context), number, gateway, id=id_)
        answer = run(context, call)
        assert answer.status == 200 and not answer.complete, answer
        context.streams.append(BrokenStream(id_, "2", [answer]))
    set_faults(context, [])


@when("{seconds:g} s passes")
def when_time_passes(context, seconds):
    run(context, asyncio.sleep(seconds))


@when("the first gateway is killed")
def when_first_killed(context):
    when_first_killed_after(context, 0.5)


@when("the first gateway is killed {delay:g} s later")
def when_first_killed_after(context, delay):
    when_killed_after(context, "gate-1", delay)


@given("a third gateway")
def given_third_gateway(context):
    async def add():
        gateway = await context.harness.add_gateway("gate-3")
        await context.harness.wait_until(lambda: len(gateway.context.peer_links) == 2)
        await asyncio.sleep(0.6)  # seconds in which all report that they reach the store

    run(context, add())


@when("the second gateway does not reach the store")
def when_second_turned_away(context):
    turn_away(context, "gate-2")


def turn_away(context, name):
    """Keep a gateway from reaching the store."""
    context.harness.gateways[name].context.ports.tables.base_url = "http://127.0.0.1:1"


@when("the second gateway reads no servers for {seconds:d} s")
def when_second_stands_still(context, seconds):
    stop_polling(context.harness.gateways["gate-2"], seconds)
    run(context, asyncio.sleep(ENTRY_TIME))


@when("the gateway reads no servers for {seconds:d} s")
def when_gateway_stands_still(context, seconds):
    stop_polling(context.harness.gateways["gate-1"], seconds)
    run(context, asyncio.sleep(ENTRY_TIME))


def stop_polling(gateway, seconds):
    """Have a gateway read the servers so late as if it had stood still meanwhile."""
    gateway.backend_updater.follower.poll_interval = seconds


@when("{count:d} engines of version {version} replace two others")
def when_some_replaced(context, count, version):
    async def replace():
        harness = context.harness
        for number in range(1, count + 1):
            await add_engine(harness, f"i-new-{number}", version)
            harness.store.remove("servers", f"i-model-{number}")
        first = harness.gateways["gate-1"]
        await harness.wait_until(
            lambda: first.streams.records.is_stored("model", version)
            and "i-model-1" not in first.context.backends.views
        )

    run(context, replace())


@when("a stream of the first engine breaks off after the other one came back as version {version}")
def when_other_restarts(context, version):
    harness = context.harness
    harness.backends["i-model-2"].software = version
    harness.register("i-model-2", "model", version=version, born=2)
    context.answers = []
    for number in range(4):
        harness.backends["i-model-1"].script = deque(["cut 2"])
        harness.backends["i-model-2"].script = deque()
        context.answers.append(run(context, send_prompt(harness, "/chat/1", number)))


@when("the first gateway begins {count:d} other streams, one row each")
def when_rows_written(context, count):
    records = context.harness.gateways["gate-1"].streams.records
    origin = Origin("model", "v1")
    for key in range(count):
        assert run(context, records.write({origin: [key]}))


@when("a copy of the store is made")
def when_copied(context):
    context.copy = context.harness.store.copy()


KILLED = {
    "all gateways": ("gate-1", "gate-2"),
    "the first gateway": ("gate-1",),
    "no gateway": (),
}


@when("the store comes back from the copy, with {who} killed meanwhile")
def when_restored_with_kills(context, who):
    async def drill():
        harness = context.harness
        harness.store.fault = "busy"
        for name in KILLED[who]:
            await harness.kill_gateway(name)
        await asyncio.sleep(AWAY_TIME)
        harness.store.restore(context.copy)
        harness.store.fault = "ok"
        for name in KILLED[who]:
            await harness.add_gateway(name)
        await harness.wait_until(
            lambda: all(g.context.peer_links for g in harness.gateways.values())
        )

    run(context, drill())


@when("the engines of version {version} leave but for one")
def when_some_leave(context, version):
    harness = context.harness
    for id_ in [i for i, b in sorted(harness.backends.items()) if b.software == version][1:]:
        harness.store.remove("servers", id_)
        harness.backends.pop(id_).stop()
    run(context, asyncio.sleep(ENTRY_TIME))


@when("all gateways are killed and return")
def when_all_killed(context):
    run(context, asyncio.sleep(0.5))
    when_all_restart(context)


@when("engines of version {version} replace all others, all gateways are killed and return")
def when_replaced_and_killed(context, version):
    async def replace():
        harness = context.harness
        for id_ in tuple(harness.backends):
            await add_engine(harness, f"{id_}-new", version)
            harness.store.remove("servers", id_)

    run(context, asyncio.sleep(0.5))
    run(context, replace())
    run(context, asyncio.sleep(0.1))
    for id_ in [id_ for id_ in context.harness.backends if not id_.endswith("-new")]:
        context.harness.backends.pop(id_).stop()
    when_all_restart(context)


@when("the first engine has started again as version {version}, which its entry does not show yet")
def when_engine_restarted_unseen(context, version):
    context.harness.backends["i-model-1"].software = version


@when(
    "the first gateway begins {count:d} streams at the first engine that break off after 2 events"
)
def when_streams_begin_at_first(context, count):
    context.relaying = "gate-1"
    begin_streams(context, count, "gate-1", server="i-model-1")


@when("its entry shows version {version}")
def when_entry_shows(context, version):
    context.harness.register("i-model-1", "model", version=version, born=2)
    run(context, asyncio.sleep(ENTRY_TIME))


@when("the engine starts again as version {version}")
def when_engine_restarts(context, version):
    context.harness.backends["i-model-1"].software = version
    context.harness.register("i-model-1", "model", version=version, born=2)
    run(context, asyncio.sleep(ENTRY_TIME))


def take_up(context, gateways, names_request=True):
    """Have the callers take their streams up again, at the gateways in turn."""
    for number, stream in enumerate(context.streams):
        gateway = gateways[number % len(gateways)]
        headers = {"Last-Event-Id": stream.last_event_id}
        if names_request:
            headers["Resumes"] = stream.id
        call = send_prompt(context.harness, stream_path(context), number, gateway, headers=headers)
        stream.answers.append(run(context, call))


@when("their callers take them up again at {gateway}, and they break off after one event more")
def when_taken_up_and_broken(context, gateway):
    for number, stream in enumerate(context.streams):
        set_faults(context, ["cut 1"])
        headers = {"Last-Event-Id": stream.last_event_id, "Resumes": stream.id}
        call = send_prompt(context.harness, stream_path(context), number, gateway, headers=headers)
        answer = run(context, call)
        stream.answers.append(answer)
        stream.last_event_id = EVENT_ID.findall(answer.body)[-1].decode()
    set_faults(context, [])


@when("{gateway} is killed {delay:g} s later")
def when_killed_after(context, gateway, delay):
    run(context, asyncio.sleep(delay))
    run(context, context.harness.kill_gateway(gateway))


@when("their callers take them up again at {where}")
def when_taken_up(context, where):
    gateways = {
        "the first gateway": ("gate-1",),
        "the second gateway": ("gate-2",),
        "both gateways": ("gate-1", "gate-2"),
    }
    named = (where,) if where in context.harness.gateways else gateways.get(where)
    take_up(context, named or (named_gateway(context, where),))


@when("their callers take them up again without naming these requests")
def when_taken_up_unnamed(context):
    take_up(context, ("gate-1",), names_request=False)


@then("no stream has events of two versions")
def then_no_mixture(context):
    mixed = [stream for stream in context.streams if len(versions(stream.answers)) > 1]
    assert not mixed, f"{len(mixed)} of {len(context.streams)} streams, as {mixed[0]}"


def count_continued(context):
    """Return the number of streams whose take-up brought all the rest."""
    found = 0
    for stream in context.streams:
        rest = [b"%d" % number for number in range(int(stream.last_event_id) + 1, EVENTS + 1)]
        answer = stream.answers[-1]
        found += answer.complete and EVENT_ID.findall(answer.body) == rest
    return found


@then("at least {least:d} of the take-ups go on")
def then_go_on(context, least):
    assert count_continued(context) >= least, count_continued(context)


@then("none of the take-ups go on")
def then_none_go_on(context):
    assert count_continued(context) == 0, count_continued(context)


@then("the take-ups have the status {status:d}")
def then_take_up_status(context, status):
    found = [stream.answers[-1].status for stream in context.streams]
    assert set(found) == {status}, found


@when("a caller takes a stream up and names two requests")
def when_two_names(context):
    lines = [f"Host: {HOST}", "X-Attempt-Id: 01", f"X-Key: {API_KEY}", "Last-Event-Id: 2"]
    lines += ["Resumes: 02", "Resumes: 03", "Content-Length: 0"]
    data = "POST /single/1 HTTP/1.1\r\n" + "\r\n".join(lines) + "\r\n\r\n"
    address = context.harness.gateways["gate-1"].settings.listen
    context.response = run(context, context.harness.send_raw(address, data.encode()))


@then("the caller gets {status:d}")
def then_caller_gets(context, status):
    assert context.response.status == status, context.response
