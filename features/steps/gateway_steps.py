"""Steps for a gateway before stand-ins of the users' platform."""

import asyncio
import re
from collections import deque

from behave import given, then, when
from gateway_support import CUSTOMER, HOST, KEY, Rig, config, read_reply, route

from bilberryshed_standins import EVENTS

KEYS = {"its key": KEY, "another key": "k-nobody", "no key": ""}


def run(context, coroutine):
    """Run a coroutine on the scenario's loop."""
    return context.loop.run_until_complete(coroutine)


@given("a platform with {engines:d} model engines and {plain:d} plain servers")
def given_platform(context, engines, plain):
    async def start():
        await context.rig.start()
        for number in range(1, engines + 1):
            await context.rig.add_backend(f"i-model-{number}", "model", streams=True)
        for number in range(1, plain + 1):
            await context.rig.add_backend(f"i-desk-{number}", "desk")
        await context.rig.add_gateway()

    context.rig = Rig()
    context.replies = []
    run(context, start())
    context.add_cleanup(lambda: run(context, context.rig.close()))


def version(context):
    """Return the version of the config in the store."""
    return context.rig.store.value("op", "config")["version"]


def put_config(context, **more):
    """Write a config and wait until the gateway has it."""
    number = version(context) + 3
    context.rig.store.put("op", "config", config(number, **more))
    gateway = context.rig.gateways["gate-1"]
    run(context, context.rig.until(lambda: gateway.context.index.table.version == number))


@given('a route "{prefix}" to service "{service}"')
def given_route(context, prefix, service):
    routes = config()["routeTable"]
    kind = "streaming" if service == "model" else "idempotent"
    put_config(context, routeTable=[*routes, route("added", prefix, service, kind)])


@given("the customer has paid for {tokens:d} tokens")
def given_paid(context, tokens):
    tenant = {"name": CUSTOMER, "apiKeys": [KEY], "prepaid": tokens}
    put_config(context, tenants=[tenant])
    gateways = context.rig.gateways.values()

    def is_in_force():
        accounts = [gateway.context.book.account(CUSTOMER) for gateway in gateways]
        totals = {gateway.context.prepaid_totals()[CUSTOMER] for gateway in gateways}
        return totals == {tokens} and sum(account.granted for account in accounts) <= tokens

    run(context, context.rig.until(is_in_force))


@given("the customer's key is replaced")
def given_new_key(context):
    tenant = {"name": CUSTOMER, "apiKeys": ["k-new"], "prepaid": 1000}
    put_config(context, tenants=[tenant])


@given("the operator writes a config that is damaged")
def given_damaged_config(context):
    context.rig.store.put("op", "config", b'{"version": 99, "routeTable": 5}')
    run(context, asyncio.sleep(0.3))


@given('the store forgets its history and a route "{prefix}" is added')
def given_compaction(context, prefix):
    context.rig.store.truncate_history()
    given_route(context, prefix, "desk")


@given("the {kind} next answers are: {faults}")
def given_faults(context, kind, faults):
    service = "desk" if kind.startswith("plain") else "model"
    shared = deque(part.strip() for part in faults.split(",") if part.strip() != "none")
    for id_, backend in context.rig.backends.items():
        if service in id_:
            backend.script = shared


@given("the model engines take {seconds:f} s for each event")
def given_delay(context, seconds):
    for backend in context.rig.backends.values():
        backend.delay = seconds


@given("an entry of another writer: {entry}")
def given_foreign_entry(context, entry):
    good = context.rig.store.value("servers", "i-desk-1")
    entries = {
        "not JSON": b"\xff\x00",
        "no address": {k: v for k, v in good.items() if k != "address"},
        "an address that is no number": {**good, "address": "desk.example:80"},
        "an unknown state": {**good, "state": "resting"},
        "a list": [1, 2],
    }
    context.rig.store.put("servers", "i-foreign", entries[entry])
    run(context, asyncio.sleep(0.6))


@given("plain server {number:d} says that it drains")
def given_draining(context, number):
    context.rig.register(f"i-desk-{number}", "desk", state="draining", sequence=2)


@given("all plain servers' entries are gone")
def given_no_entries(context):
    for id_ in context.rig.backends:
        if "desk" in id_:
            context.rig.store.remove("servers", id_)


@when("{seconds:d} s have passed")
def when_passed(context, seconds):
    run(context, asyncio.sleep(seconds))


@when("a caller calls {method:w} {path:S} with {key}")
def when_call(context, method, path, key):
    async def call():
        began = asyncio.get_running_loop().time()
        reply = await context.rig.call(path, method=method, key=KEYS[key])
        context.took = asyncio.get_running_loop().time() - began
        return reply

    context.replies = [run(context, call())]


@when("a caller calls {count:d} times {method:w} {path:S} with its key")
def when_calls(context, count, method, path):
    async def calls():
        replies, loop = [], asyncio.get_running_loop()
        context.times = []
        for _ in range(count):
            id_, began = context.rig.request_id(), loop.time()
            replies.append((id_, await context.rig.call(path, method=method, id=id_)))
            context.times.append(loop.time() - began)
        return replies

    context.pairs = run(context, calls())
    context.replies = [reply for _, reply in context.pairs]


@when("a caller prompts {prompt:d} tokens for {most:d} to {path:S}")
def when_prompt(context, prompt, most, path):
    context.replies = [run(context, context.rig.call(path, tokens=f"{prompt},{most}"))]


@when(
    "a caller adds to a prompt of {prompt:d} tokens for {most:d} to {path:S} the headers {headers}"
)
def when_prompt_with(context, prompt, most, path, headers):
    extra = dict(part.strip().split(": ", 1) for part in headers.split(";"))
    call = context.rig.call(path, tokens=f"{prompt},{most}", headers=extra)
    context.replies = [run(context, call)]


@when("a caller repeats a prompt {count:d} times to {path:S}")
def when_same_prompt(context, count, path):
    async def calls():
        return [await context.rig.call(path, tokens="30,20", body=b"x") for _ in range(count)]

    context.replies = run(context, calls())


@when("a caller sends a body of {size:d} bytes to {path}")
def when_big_body(context, size, path):
    context.replies = [run(context, context.rig.call(path, body=b"x" * size))]


RAW = {
    "both lengths": "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a chunk size that is no number": "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    "a space before a header's colon": "Content-Length : 0\r\n\r\n",
    "two attempt ids": "X-Attempt-Id: 0000000000000002\r\nContent-Length: 0\r\n\r\n",
    "a deadline that is no number": "X-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n",
    "tokens that are no numbers": "X-Token-Usage: 1e3,-2\r\nContent-Length: 0\r\n\r\n",
    "no attempt id": "Content-Length: 0\r\n\r\n",
}


@when("a caller sends raw: {what}")
def when_raw(context, what):
    id_ = "" if what == "no attempt id" else "X-Attempt-Id: 0000000000000001\r\n"
    text = f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\n{id_}{RAW[what]}"
    address = context.rig.gateways["gate-1"].settings.listen
    context.replies = [run(context, context.rig.send_raw(address, text.encode()))]


async def open_stream(context, path):
    """Send a prompt and read up to the first event; return the reader and the writer."""
    address = context.rig.gateways["gate-1"].settings.listen
    reader, writer = await asyncio.open_connection(address.host, address.port)
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\nX-Deadline-Ms: 3000\r\n"
        f"X-Attempt-Id: {context.rig.request_id()}\r\nX-Token-Usage: 30,20\r\n"
        "X-Prompt-Prefix: aa:10,bb:20\r\nContent-Length: 0\r\n\r\n"
    )
    writer.write(head.encode())
    first = await reader.readuntil(b"piece 1\n\n")
    return reader, writer, first


@when("a caller streams {path:S} and leaves after the first event")
def when_leaves(context, path):
    async def leave():
        _, writer, _ = await open_stream(context, path)
        writer.transport.abort()

    run(context, leave())


@when("a caller streams {path:S} and the gateway is told to stop")
def when_stopped(context, path):
    async def stop():
        reader, writer, first = await open_stream(context, path)
        context.rig.stops["gate-1"].set()
        rest = await asyncio.wait_for(reader.readuntil(b"\r\n0\r\n\r\n"), 5)
        context.finished = await context.rig.tasks["gate-1"]
        writer.close()
        return first + rest

    context.body, context.whole = run(context, stop()), True


# Outcomes -----------------------------------------------------------------------------------


@then("the status is {status:d}")
def then_status(context, status):
    reply = context.replies[-1]
    assert reply.status == status, (reply.status, reply.body)


@then("the statuses are {statuses}")
def then_statuses(context, statuses):
    found = [reply.status for reply in context.replies]
    assert found == [int(part) for part in statuses.split(",")], found


@then("{count:d} servers ran it")
def then_ran(context, count):
    executed = [id_ for backend in context.rig.backends.values() for id_ in backend.executed]
    assert len(executed) == count, executed


@then("a model engine ran it")
def then_model_ran(context):
    executed = [id_ for id_, backend in context.rig.backends.items() if backend.executed]
    assert executed and "model" in executed[0], executed


def last_seen(context):
    """Return the backend server that got a request, and the request."""
    return next((b, b.received[-1]) for b in context.rig.backends.values() if b.received)


@then("the backend server got its own id as {name}")
def then_got_id(context, name):
    backend, received = last_seen(context)
    assert received.headers[name] == backend.id, received.headers


@then("the backend server got none of: {names}")
def then_got_none(context, names):
    _, received = last_seen(context)
    assert (
        not {name.strip() for name in names.split(",")} & received.headers.keys()
    ), received.headers


@then("the backend server got {name:S}: {value}")
def then_got(context, name, value):
    _, received = last_seen(context)
    assert received.headers.get(name) == value, received.headers


@then("it was given at most {ms:d} ms")
def then_time(context, ms):
    _, received = last_seen(context)
    assert 0 < int(received.headers["x-deadline-ms"]) <= ms, received.headers


@then("every answer is its own request's")
def then_own(context):
    for id_, reply in context.pairs:
        assert reply.whole and reply.body == f"answer to {id_}".encode(), (id_, reply)


@then("the caller has events 1 to 5 once each, and a whole answer")
def then_events(context):
    body = getattr(context, "body", None)
    if body is None:
        body = context.replies[-1].body
        assert context.replies[-1].whole
    found = re.findall(rb"id: (\d+)", body)
    assert found == [b"%d" % n for n in range(1, EVENTS + 1)], found


@then("the answer is {answer}")
def then_answer(context, answer):
    reply = context.replies[-1]
    events = len(re.findall(rb"^id: ", reply.body, re.MULTILINE))
    if answer.startswith("broken off after"):
        assert not reply.whole and events == int(answer.split()[-1]), reply
    elif answer.startswith("whole"):
        assert reply.whole and events == EVENTS, reply
    else:
        assert reply.status == int(answer), reply


@then("it says when to come back")
def then_retry_after(context):
    assert 0 < float(context.replies[-1].headers["retry-after"]) < 5, context.replies[-1].headers


@then("the answer took less than {seconds:f} s")
def then_fast(context, seconds):
    assert context.took < seconds, context.took


@then("the engine's channel is closed within {seconds:f} s")
def then_left(context, seconds):
    def disconnected():
        return any(backend.disconnected for backend in context.rig.backends.values())

    run(context, context.rig.until(disconnected, seconds))


@then("{method:w} {path:S} answers {status:d} within {seconds:d} s")
def then_soon(context, method, path, status, seconds):
    async def answers():
        end = asyncio.get_running_loop().time() + seconds
        while (await context.rig.call(path, method=method)).status != status:
            assert asyncio.get_running_loop().time() < end
            await asyncio.sleep(0.05)

    run(context, answers())


@then("plain server {number:d} ran none of them")
def then_none(context, number):
    assert not context.rig.backends[f"i-desk-{number}"].executed


@then("the gateway has left the tokens to the pool")
def then_settled(context):
    assert context.finished
    rows = context.rig.store.values("prepaid")
    assert all(not row["holders"] for row in rows.values()), rows
    assert rows[CUSTOMER]["closed"] == 30 + EVENTS * 4, rows


@given("a second gateway")
def given_second(context):
    async def start():
        gateway = await context.rig.add_gateway("gate-2")
        await context.rig.until(lambda: gateway.context.peer_links)

    run(context, start())


@given("the store has the gateways' list and refuses calls of a second gateway")
def given_refused(context):
    async def start():
        first = context.rig.gateways["gate-1"]
        await context.rig.until(lambda: context.rig.store.values("gateways"))
        gateway = await context.rig.add_gateway("gate-0", ready=False)
        port, gateway.context.ports.tables.base_url = context.rig.store_port, "http://127.0.0.1:1"
        gateway.peers._connect("gate-1", str(first.settings.link_listen))
        assert port

    run(context, start())


@then("the second gateway serves {method:w} {path:S} within {seconds:d} s")
def then_second(context, method, path, seconds):
    async def serves():
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            try:
                reply = await context.rig.call(path, "gate-0", method)
                if reply.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise AssertionError("not served in time")

    run(context, serves())


async def prompts(context, gateways, count, tokens, seconds=0.0):
    """Send prompts to gateways in turn, spread over some seconds; return the answers."""
    replies = []
    for number in range(count):
        name = gateways[number % len(gateways)]
        replies.append(await context.rig.call("/chat/1", name, tokens=tokens))
        await asyncio.sleep(seconds / count)
    return replies


@when("{count:d} prompts of {size:d} tokens for {most:d} go to both gateways in turn")
def when_both(context, count, size, most):
    call = prompts(context, ("gate-1", "gate-2"), count, f"{size},{most}")
    context.replies = run(context, call)


@when("both gateways have recorded bounds since")
def when_recorded(context):
    async def recorded():
        now = asyncio.get_running_loop().time()
        schedules = [gateway.context.schedule for gateway in context.rig.gateways.values()]
        await context.rig.until(lambda: all(s.stored.composed_at > now for s in schedules))

    run(context, recorded())


@when(
    "the store falls silent and {count:d} prompts of {size:d} for {most:d} "
    "reach the second gateway in {seconds:d} s"
)
def when_cut(context, count, size, most, seconds):
    context.rig.store.fault = "silent"
    call = prompts(context, ("gate-2",), count, f"{size},{most}", float(seconds))
    context.replies = run(context, call)


@then("{count:d} of them are answered {status:d}")
def then_count(context, count, status):
    found = [reply.status for reply in context.replies]
    assert found.count(status) == count, found


@then("at least {count:d} of them are answered {status:d}")
def then_least(context, count, status):
    found = [reply.status for reply in context.replies]
    assert found.count(status) >= count, found


@when("a caller prompts without parts to {path:S}")
def when_no_parts(context, path):
    headers = {"X-Prompt-Prefix": None}
    context.replies = [run(context, context.rig.call(path, tokens="30,20", headers=headers))]


@when("a caller keeps a channel, the gateway stops, and {seconds:g} s later it streams {path}")
def when_late(context, seconds, path):
    async def late():
        address = context.rig.gateways["gate-1"].settings.listen
        first, second = [await kept_channel(context, address) for _ in range(2)]
        context.rig.stops["gate-1"].set()
        await asyncio.sleep(seconds / 2)
        given_faults(context, "plain", "hang")
        second[1].write(plain_head(context, "POST", "/book/1"))
        await asyncio.sleep(seconds / 2)
        first[1].write(plain_head(context, "POST", path))
        reply = await read_reply(first[0])
        for _, writer in (first, second):
            writer.close()
        return reply

    context.replies = [run(context, late())]


def plain_head(context, method, path):
    """Return the bytes of a request without a body."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\nContent-Length: 0\r\n"
        f"X-Attempt-Id: {context.rig.request_id()}\r\n\r\n"
    ).encode()


async def kept_channel(context, address):
    """Open a channel and have one request answered on it."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(plain_head(context, "GET", "/look/1"))
    await read_reply(reader, "GET")
    return reader, writer


@then("{count:d} model engines ran it")
def then_engines(context, count):
    executed = [b.id for b in context.rig.backends.values() if "model" in b.id and b.executed]
    assert len(executed) == count, executed


@given("the first gateway holds all tokens and its bounds are not recorded")
def given_locked(context):
    async def lock():
        first, second = (context.rig.gateways[name] for name in ("gate-1", "gate-2"))
        row = {"closed": 0, "holders": {first.context.boot: 1000}}
        context.rig.store.put("prepaid", CUSTOMER, row)
        for gateway in (first, second):
            gateway.funds.pool.read_at = float("-inf")
            await gateway.funds.pool.sync({})
        first.recorder.closed = True
        first.context.schedule.stored = None

    run(context, lock())


@when("{count:d} prompts of {size:d} for {most:d} reach the second gateway")
def when_second(context, count, size, most):
    context.replies = run(context, prompts(context, ("gate-2",), count, f"{size},{most}"))
