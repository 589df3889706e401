"""Steps for what backend servers say of themselves."""

import asyncio
import json
import urllib.request
from collections import deque

from backend_steps import IgnoringSink, dispatch
from behave import given, then, when
from gateway_steps import run
from server_limit_steps import post_json

from bilberryshed.coordination import SelfReports, parse_seconds
from bilberryshed.runtime import EngineBackend
from bilberryshed.state import Address, BackendServer

ENTRY_TIME = 1.0  # seconds in which a gateway reads a changed entry
EXPIRY_TIME = 3.5  # seconds in which a missing entry counts as gone
CHOICE_WAIT = 0.1  # seconds for which a request waits for a server at most
NOW = 100.0  # seconds
SERVER_IDS = {"plain server 1": "i-desk-1", "model engine 1": "i-model-1"}
SERVER = BackendServer("i-1", "desk", "127.0.0.1:80", "quay", 8, False, started_at_ms=1)


@given('{server} says "{line}" in its responses')
def given_says(context, server, line):
    harness, id_ = context.harness, SERVER_IDS[server]
    harness.backends[id_].says = line
    service = "desk" if "desk" in id_ else "model"
    harness.register(id_, service, born=1)
    run(context, asyncio.sleep(ENTRY_TIME))


def send(context, path):
    """Send one request."""
    is_prompt = path.startswith("/chat/")
    return context.harness.call(path, tokens="30,20" if is_prompt else None)


@when("{server} has answered a request to {path:S}")
def when_answered(context, server, path):
    backend = context.harness.backends[SERVER_IDS[server]]

    async def send_until_answered():
        for _ in range(40):
            await send(context, path)
            if backend.received:
                return
        raise AssertionError(f"{server} got none of 40 requests")

    run(context, send_until_answered())
    context.backend, context.received_before = backend, len(backend.received)


@when("{server} has answered a stream")
def when_stream_answered(context, server):
    when_answered(context, server, "/chat/1")


@when("nothing happens")
def when_nothing(context):
    run(context, asyncio.sleep(0.1))


@when("its entry is renewed as serving")
def when_renewed(context):
    context.harness.register("i-desk-1", "desk", born=1, sequence=2)
    run(context, asyncio.sleep(ENTRY_TIME))


@when("the store is away for {seconds:g} s")
def when_store_away(context, seconds):
    context.harness.store.fault = "busy"
    run(context, asyncio.sleep(seconds))
    context.harness.store.fault = "ok"
    run(context, asyncio.sleep(ENTRY_TIME))


@when("its entry expires and comes back")
def when_entry_back(context):
    context.harness.store.remove("servers", "i-desk-1")
    run(context, asyncio.sleep(EXPIRY_TIME))
    context.harness.register("i-desk-1", "desk", born=1, sequence=3)
    run(context, asyncio.sleep(ENTRY_TIME))


@when("it starts again under its id")
def when_restarted(context):
    context.backend.says = ""
    context.harness.register("i-desk-1", "desk", born=2)
    run(context, asyncio.sleep(ENTRY_TIME))


@when("{count:d} requests to {path:S} are sent one after the other")
def when_requests(context, count, path):
    async def send_all():
        return [await send(context, path) for _ in range(count)]

    context.responses = run(context, send_all())


@when("{count:d} streams are read one after the other")
def when_streams(context, count):
    when_requests(context, count, "/chat/1")


@then("all of them were answered 200, and {server} got {some:w} of them")
def then_got(context, server, some):
    assert {response.status for response in context.responses} == {200}, context.responses
    count = len(context.backend.received) - context.received_before
    assert (count > 0) == (some == "some"), count


# Times without requests ---------------------------------------------------------------------


@when("{server} sheds a request to {path:S} for {seconds:g} s")
def when_sheds(context, server, path, seconds):
    backend = context.backend = context.harness.backends[SERVER_IDS[server]]
    backend.script = deque([f"shed {seconds}"])
    when_answered(context, server, path)
    context.shed_at = backend.received[-1].at


@when("requests to {path:S} are sent for {seconds:g} s, one each {interval:g} s")
def when_sent_steadily(context, path, seconds, interval):
    async def send_one(results):
        started_at = asyncio.get_running_loop().time()
        response = await send(context, path)
        results.append((started_at, asyncio.get_running_loop().time(), response))

    async def send_all():
        results, tasks = [], []
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            tasks.append(asyncio.ensure_future(send_one(results)))
            await asyncio.sleep(interval)
        await asyncio.gather(*tasks)
        return results

    context.results = run(context, send_all())
    context.responses = [response for _, _, response in context.results]


@then("{server} got none in the {seconds:g} s after it had shed, and some after them")
def then_quiet(context, server, seconds):
    arrivals = [received.at - context.shed_at for received in context.backend.received]
    later = [after for after in arrivals if after > 0]
    assert later and min(later) >= seconds, arrivals


@then("all of them were answered 200")
def then_all_answered(context):
    assert {response.status for response in context.responses} == {200}, context.responses


@then(
    "those refused meanwhile were refused within {limit:g} s, and told when it takes requests again"
)
def then_refused_at_once(context, limit):
    ends_at = context.shed_at + 1.5
    meanwhile = [item for item in context.results if item[0] < ends_at - CHOICE_WAIT]
    refused = [item for item in meanwhile if item[2].status == 503]
    assert len(refused) >= 10, len(refused)
    for sent_at, ended_at, response in refused:
        assert ended_at - sent_at <= limit, ended_at - sent_at
        left = ends_at - ended_at
        assert abs(float(response.headers["retry-after"]) - left) < 0.1, (response, left)


@then("the first {count:d} that it got afterwards came at least {gap:g} s apart")
def then_paced(context, count, gap):
    later = [r.at for r in context.backend.received if r.at > context.shed_at][:count]
    gaps = [after - before for before, after in zip(later, later[1:], strict=False)]
    assert len(later) == count and min(gaps) >= gap, gaps


# Decisions ----------------------------------------------------------------------------------


@given("a server that asks for {first:d} s without requests, and then for {second:d} s")
def given_asks(context, first, second):
    context.reports = SelfReports()
    for seconds in (first, second):
        context.reports.on_quiet(NOW, SERVER, float(seconds))


@then("it wants none for {seconds:d} s, and any number once it has started again")
def then_wants_none(context, seconds):
    assert context.reports.get(SERVER).quiet_until == NOW + seconds
    restarted = BackendServer("i-1", "desk", "127.0.0.1:80", "quay", 8, False, started_at_ms=2)
    assert context.reports.get(restarted).quiet_until < NOW


@then("these are {seconds} seconds")
def then_seconds(context, seconds):
    assert str(parse_seconds(context.active_outline["text"])) == seconds


# Agents -------------------------------------------------------------------------------------


@given("engine {name:w} of the fleet says in all responses that it leaves")
def given_fleet_leaving(context, name):
    post_json(context.fleet.plan.backends[name], "/self-report", {"leaving": True})


@given("engine {name:w} of the fleet turns requests away and asks for 2 s without any")
def given_fleet_quiet(context, name):
    post_json(context.fleet.plan.backends[name], "/self-report", {"quiet": 2.0})


@then(
    "engine {name:w} of the fleet got at most {most:d} of them later than {delay:g} s after the "
    "first"
)
def then_fleet_got(context, name, most, delay):
    port = context.fleet.plan.backends[name]
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/started") as response:
        arrivals = json.load(response)["times"]
    assert arrivals, "it got none"
    later = [at for at in arrivals if at > min(arrivals) + delay]
    assert len(later) <= most, (len(later), len(arrivals))


@when("an engine responds {status:d} with {header}")
def when_engine_says(context, status, header):
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 {status} X\r\n{header}\r\nContent-Length: 0\r\n\r\n".encode())
        await writer.drain()
        writer.close()

    async def attempt():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        backend = EngineBackend(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
        backend.on_statement = lambda said, sent_at: context.engine_statements.append(said)
        await backend.run(dispatch(), IgnoringSink())
        server.close()

    context.engine_statements = []
    context.loop.run_until_complete(attempt())


@then("the agent reads from it: {text}")
def then_agent_reads(context, text):
    said = context.engine_statements[0]
    found = ["leaving"] if said.is_leaving else []
    found += [f"quiet for {said.quiet_time} s"] if said.quiet_time else []
    found += [f"a limit of {said.limit}"] if said.limit is not None else []
    assert found == ([] if text == "nothing" else [text]), said
