"""Steps for a gateway with stand-ins for the users' platform."""

import asyncio
import re
from collections import deque

from behave import given, then, when
from gateway_support import (
    API_KEY,
    CUSTOMER,
    HOST,
    GatewayHarness,
    build_config,
    build_route,
    read_response,
)

from bilberryshed_standins import EVENTS

API_KEYS = {"its key": API_KEY, "another key": "k-nobody", "no key": ""}


def run(context, coroutine):
    """Run a coroutine on the scenario's event loop."""
    return context.loop.run_until_complete(coroutine)


@given("a platform with {engines:d} model engines and {plain:d} plain servers")
def given_platform(context, engines, plain):
    async def start():
        await context.harness.start()
        for number in range(1, engines + 1):
            await context.harness.add_backend(f"i-model-{number}", "model", streams=True)
        for number in range(1, plain + 1):
            await context.harness.add_backend(f"i-desk-{number}", "desk")
        await context.harness.add_gateway()

    context.harness = GatewayHarness()
    context.responses = []
    run(context, start())
    context.add_cleanup(lambda: run(context, context.harness.close()))


def stored_config_version(context):
    """Return the version of the config in the store."""
    return context.harness.store.value("op", "config")["version"]


def put_config(context, **overrides):
    """Write a config and wait until the first gateway uses it."""
    number = stored_config_version(context) + 3
    context.harness.store.put("op", "config", build_config(number, **overrides))
    gateway = context.harness.gateways["gate-1"]
    run(context, context.harness.wait_until(lambda: gateway.context.index.table.version == number))


@given('a route "{prefix}" to service "{service}"')
def given_route(context, prefix, service):
    routes = build_config()["routeTable"]
    kind = "streaming" if service == "model" else "idempotent"
    put_config(context, routeTable=[*routes, build_route("added", prefix, service, kind)])


@given("the customer has paid for {tokens:d} tokens")
def given_prepaid(context, tokens):
    tenant = {"name": CUSTOMER, "apiKeys": [API_KEY], "prepaid": tokens}
    put_config(context, tenants=[tenant])
    gateways = context.harness.gateways.values()

    def is_applied():
        accounts = [gateway.context.book.account(CUSTOMER) for gateway in gateways]
        totals = {gateway.context.prepaid_totals()[CUSTOMER] for gateway in gateways}
        return totals == {tokens} and sum(account.granted for account in accounts) <= tokens

    run(context, context.harness.wait_until(is_applied))


@given("requests may take {seconds:d} s")
def given_timeout(context, seconds):
    routes = [{**route, "timeoutMs": seconds * 1000} for route in build_config()["routeTable"]]
    put_config(context, routeTable=routes)
    gateway = context.harness.gateways["gate-1"]

    def is_applied():
        return gateway.context.index.route(HOST, "/look/1").timeout == seconds

    run(context, context.harness.wait_until(is_applied))


@given("the customer's key is replaced")
def given_new_key(context):
    tenant = {"name": CUSTOMER, "apiKeys": ["k-new"], "prepaid": 1000}
    put_config(context, tenants=[tenant])


@given("the operator writes an invalid config")
def given_invalid_config(context):
    context.harness.store.put("op", "config", b'{"version": 99, "routeTable": 5}')
    run(context, asyncio.sleep(0.3))


@given('the store truncates its history and a route "{prefix}" is added')
def given_history_truncated(context, prefix):
    context.harness.store.truncate_history()
    given_route(context, prefix, "desk")


@given("the next responses of the {kind} are: {faults}")
def given_faults(context, kind, faults):
    service = "desk" if kind.startswith("plain") else "model"
    shared = deque(part.strip() for part in faults.split(",") if part.strip() != "none")
    for id_, backend in context.harness.backends.items():
        if service in id_:
            backend.script = shared


@when("requests to {path} run into this while others to {other_path} go on")
def when_others_go_on(context, path, other_path):
    async def call_others(faulty):
        loop = asyncio.get_running_loop()
        while not faulty.done():
            started_at = loop.time()
            context.responses.append(await context.harness.call(other_path, tokens="30,20"))
            context.durations.append(loop.time() - started_at)
            await asyncio.sleep(0.05)

    async def watch_loop(faulty):
        loop = asyncio.get_running_loop()
        while not faulty.done():
            started_at = loop.time()
            await asyncio.sleep(0.01)
            context.stalls.append(loop.time() - started_at)

    async def run_all():
        faulty = asyncio.ensure_future(context.harness.call(path, tokens="30,20"))
        await asyncio.gather(faulty, call_others(faulty), watch_loop(faulty))

    context.responses, context.durations, context.stalls = [], [], []
    run(context, run_all())


@then("each of the others was served within {limit:g} s")
def then_others_served(context, limit):
    assert all(response.status == 200 and response.complete for response in context.responses)
    assert max(context.durations) <= limit, context.durations


@then("the event loop never stood still for over {limit:g} s")
def then_no_stall(context, limit):
    assert max(context.stalls) <= limit, max(context.stalls)


@then("they were answered {statuses}")
def then_statuses(context, statuses):
    found = [response.status for response in context.responses]
    assert found == [int(status) for status in statuses.split(", ")], found


@given("the model engines send one event every {seconds:f} s")
def given_event_interval(context, seconds):
    for backend in context.harness.backends.values():
        backend.delay = seconds


@given("another writer has stored a server entry with: {entry}")
def given_foreign_entry(context, entry):
    valid_entry = context.harness.store.value("servers", "i-desk-1")
    entries = {
        "invalid JSON": b"\xff\x00",
        "no address": {k: v for k, v in valid_entry.items() if k != "address"},
        "a host name as address": {**valid_entry, "address": "desk.example:80"},
        "an unknown state": {**valid_entry, "state": "resting"},
        "a list as value": [1, 2],
        "an IPv6 address": {**valid_entry, "address": "[::1]:80"},
        "a line break in its zone": {**valid_entry, "zone": "quay\nx"},
        "an id with a line break": valid_entry,
    }
    id_ = "i-\r\nX-Foreign: 1" if "id with" in entry else "i-foreign"
    context.harness.store.put("servers", id_, entries[entry])
    run(context, asyncio.sleep(0.6))


@given("plain server {number:d} is draining")
def given_draining(context, number):
    context.harness.register(f"i-desk-{number}", "desk", state="draining", sequence=2)


@given("the entries of all plain servers are removed")
def given_no_entries(context):
    for id_ in context.harness.backends:
        if "desk" in id_:
            context.harness.store.remove("servers", id_)


@when("{seconds:d} s have passed")
def when_passed(context, seconds):
    run(context, asyncio.sleep(seconds))


@when("a caller sends {method:w} {path:S} with {key}")
def when_call(context, method, path, key):
    async def call():
        started_at = asyncio.get_running_loop().time()
        response = await context.harness.call(path, method=method, key=API_KEYS[key])
        context.duration = asyncio.get_running_loop().time() - started_at
        return response

    context.responses = [run(context, call())]


@when("a caller sends {count:d} requests {method:w} {path:S} with its key")
def when_calls(context, count, method, path):
    async def calls():
        responses, loop = [], asyncio.get_running_loop()
        context.durations = []
        for _ in range(count):
            id_, started_at = context.harness.request_id(), loop.time()
            responses.append((id_, await context.harness.call(path, method=method, id=id_)))
            context.durations.append(loop.time() - started_at)
        return responses

    context.responses_by_request = run(context, calls())
    context.responses = [response for _, response in context.responses_by_request]


@when("a caller slowly sends {count:d} times {method:w} {path:S}")
def when_calls_with_pauses(context, count, method, path):
    async def calls():
        for _ in range(count):
            context.responses.append(await context.harness.call(path, method=method))
            await asyncio.sleep(PAUSE)

    context.responses = []
    run(context, calls())


@when("a caller sends a prompt of {prompt:d} tokens for {max_output:d} output tokens to {path:S}")
def when_prompt(context, prompt, max_output, path):
    context.responses = [run(context, context.harness.call(path, tokens=f"{prompt},{max_output}"))]


@when(
    "a caller sends a prompt of {prompt:d} tokens for {max_output:d} output tokens to "
    "{path:S} with the headers {headers}"
)
def when_prompt_with(context, prompt, max_output, path, headers):
    extra = dict(part.strip().split(": ", 1) for part in headers.split(";"))
    call = context.harness.call(path, tokens=f"{prompt},{max_output}", headers=extra)
    context.responses = [run(context, call)]


@when(
    "{count:d} prompts of {prompt:d} tokens for {max_output:d} output tokens are sent to {path:S} "
    "one after the other"
)
def when_prompts(context, count, prompt, max_output, path):
    async def calls():
        tokens = f"{prompt},{max_output}"
        return [await context.harness.call(path, tokens=tokens) for _ in range(count)]

    context.responses = run(context, calls())


@when(
    "a caller sends {count:d} prompts of {prompt:d} tokens for {max_output:d} output tokens to "
    "{path:S} and waits up to {seconds:f} s"
)
def when_prompts_abandoned(context, count, prompt, max_output, path, seconds):
    async def call():
        try:
            tokens = f"{prompt},{max_output}"
            return await asyncio.wait_for(context.harness.call(path, tokens=tokens), seconds)
        except TimeoutError:
            return None

    async def calls():
        return [await call() for _ in range(count)]

    context.responses = run(context, calls())


@then("none of them has brought its caller any event")
def then_no_events(context):
    received = [response for response in context.responses if response is not None]
    assert all(response.status != 200 for response in received), received


@when("a caller sends the same prompt {count:d} times to {path:S}")
def when_prompt_repeated(context, count, path):
    async def calls():
        return [await context.harness.call(path, tokens="30,20", body=b"x") for _ in range(count)]

    context.responses = run(context, calls())


@given("requests may have bodies of up to {size:d} bytes")
def given_body_limit(context, size):
    limits = {"maxBodyBytes": size}
    version = stored_config_version(context) + 1
    context.harness.store.put("op", "config", build_config(version, limits=limits))
    limiter = context.harness.gateways["gate-1"].limiter
    run(context, context.harness.wait_until(lambda: limiter.limits.body_bytes == size))


@given("a caller has sent {count:d} requests to {path}")
def given_earlier_requests(context, count, path):
    for _ in range(count):
        assert run(context, context.harness.call(path)).status == 200


@when("a caller sends a body of {size:d} bytes to {path}")
def when_body_sent(context, size, path):
    context.responses = [run(context, context.harness.call(path, body=b"x" * size))]


PAUSE = 0.3  # seconds in which a server that was full gets requests again
MALFORMED_REQUESTS = {
    "two body lengths": "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a chunk size that is not a number": "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    "a space before a header's colon": "Content-Length : 0\r\n\r\n",
    "two attempt ids": "X-Attempt-Id: 0000000000000002\r\nContent-Length: 0\r\n\r\n",
    "a deadline that is not a number": "X-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n",
    "token counts that are not numbers": "X-Token-Usage: 1e3,-2\r\nContent-Length: 0\r\n\r\n",
    "no attempt id": "Content-Length: 0\r\n\r\n",
}


@when("a caller sends a malformed request: {defect}")
def when_malformed(context, defect):
    id_ = "" if defect == "no attempt id" else "X-Attempt-Id: 0000000000000001\r\n"
    text = (
        f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {API_KEY}\r\n"
        f"{id_}{MALFORMED_REQUESTS[defect]}"
    )
    address = context.harness.gateways["gate-1"].settings.listen
    context.responses = [run(context, context.harness.send_raw(address, text.encode()))]


async def open_stream(context, path):
    """Send a prompt and read up to the end of the first event.

    :returns: the reader, the writer, and the bytes read
    """
    address = context.harness.gateways["gate-1"].settings.listen
    reader, writer = await asyncio.open_connection(address.host, address.port)
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {API_KEY}\r\nX-Deadline-Ms: 3000\r\n"
        f"X-Attempt-Id: {context.harness.request_id()}\r\nX-Token-Usage: 30,20\r\n"
        "X-Prompt-Prefix: aa:10,bb:20\r\nContent-Length: 0\r\n\r\n"
    )
    writer.write(head.encode())
    first = await reader.readuntil(b"piece 1\n\n")
    return reader, writer, first


@when("a caller streams {path:S} and disconnects after the first event")
def when_disconnects(context, path):
    async def disconnect():
        _, writer, _ = await open_stream(context, path)
        writer.transport.abort()

    run(context, disconnect())


@when("a caller streams {path:S} and the gateway is stopped")
def when_stopped(context, path):
    async def stop():
        reader, writer, first = await open_stream(context, path)
        context.harness.stop_events["gate-1"].set()
        rest = await asyncio.wait_for(reader.readuntil(b"\r\n0\r\n\r\n"), 5)
        context.finished = await context.harness.tasks["gate-1"]
        writer.close()
        return first + rest

    context.body, context.complete = run(context, stop()), True


# Outcomes -----------------------------------------------------------------------------------


@then("the status is {status:d}")
def then_status(context, status):
    response = context.responses[-1]
    assert response.status == status, (response.status, response.body)


@then("the statuses are {statuses}")
def then_statuses(context, statuses):
    actual = [response.status for response in context.responses]
    assert actual == [int(part) for part in statuses.split(",")], actual


@then("{count:d} servers executed the request")
def then_servers_executed(context, count):
    executed = [id_ for backend in context.harness.backends.values() for id_ in backend.executed]
    assert len(executed) == count, executed


@then("a model engine executed the request")
def then_engine_executed(context):
    executed = [id_ for id_, backend in context.harness.backends.items() if backend.executed]
    assert executed and "model" in executed[0], executed


def last_received(context):
    """Return the first backend server that received requests, and its latest request."""
    return next((b, b.received[-1]) for b in context.harness.backends.values() if b.received)


@then("the backend server received its own id as {name}")
def then_received_own_id(context, name):
    backend, received = last_received(context)
    assert received.headers[name] == backend.id, received.headers


@then("the backend server received none of: {names}")
def then_headers_absent(context, names):
    _, received = last_received(context)
    assert (
        not {name.strip() for name in names.split(",")} & received.headers.keys()
    ), received.headers


@then("the backend server received {name:S}: {value}")
def then_received_header(context, name, value):
    _, received = last_received(context)
    assert received.headers.get(name) == value, received.headers


@then("the backend server received a deadline of at most {ms:d} ms")
def then_received_deadline(context, ms):
    _, received = last_received(context)
    assert 0 < int(received.headers["x-deadline-ms"]) <= ms, received.headers


@then("every response belongs to its request")
def then_own_responses(context):
    for id_, response in context.responses_by_request:
        assert response.complete and response.body == f"answer to {id_}".encode(), (id_, response)


@then("the caller received events 1 to 5 once each, and a complete response")
def then_all_events(context):
    body = getattr(context, "body", None)
    if body is None:
        body = context.responses[-1].body
        assert context.responses[-1].complete
    actual = re.findall(rb"id: (\d+)", body)
    assert actual == [b"%d" % n for n in range(1, EVENTS + 1)], actual


@then("the caller received events 1 to {last:d} once each, and an incomplete response")
def then_first_events(context, last):
    response = context.responses[-1]
    actual = re.findall(rb"id: (\d+)", response.body)
    assert actual == [b"%d" % n for n in range(1, last + 1)], response
    assert not response.complete and response.body.endswith(b"\n\n"), response
    assert b"HTTP" not in response.body and b"oops" not in response.body, response


@then("the caller's response is not an empty 200")
def then_not_empty(context):
    response = context.responses[-1]
    assert response.status != 200 or response.body and response.complete, response


STOP_DELAY = 0.1  # seconds between a request and a stop


@when("a caller sends {method} {path:S}, and the gateway is stopped {moment} it")
def when_stopped_around(context, method, path, moment):
    async def call():
        headers = {"X-Deadline-Ms": "9000"}
        address = context.harness.gateways["gate-1"].settings.listen
        reader, writer = await asyncio.open_connection(address.host, address.port)
        if moment == "before":
            context.harness.stop_events["gate-1"].set()
            await asyncio.sleep(STOP_DELAY)
        writer.write(bodiless_request(context, method, path, headers))
        if moment == "after":
            await asyncio.sleep(STOP_DELAY)
            context.harness.stop_events["gate-1"].set()
        response = await read_response(reader, method)
        writer.close()
        return response

    context.responses = [run(context, call())]


@then("the caller's response is {outcome}")
def then_response(context, outcome):
    response = context.responses[-1]
    events = len(re.findall(rb"^id: ", response.body, re.MULTILINE))
    if outcome.startswith("truncated after event"):
        assert not response.complete and events == int(outcome.split()[-1]), response
    elif outcome.startswith("complete"):
        assert response.complete and events == EVENTS, response
    else:
        assert response.status == int(outcome), response


@then("the response has a Retry-After header")
def then_retry_after(context):
    assert 0 < float(context.responses[-1].headers["retry-after"]) < 5, context.responses[
        -1
    ].headers


@then("the response took less than {seconds:f} s")
def then_duration(context, seconds):
    assert context.duration < seconds, context.duration


@then("the engine's connection is closed within {seconds:f} s")
def then_engine_disconnected(context, seconds):
    def disconnected():
        return any(backend.disconnected for backend in context.harness.backends.values())

    run(context, context.harness.wait_until(disconnected, seconds))


@then("{method:w} {path:S} returns {status:d} within {seconds:d} s")
def then_status_within(context, method, path, status, seconds):
    async def wait_for_status():
        deadline = asyncio.get_running_loop().time() + seconds
        while (await context.harness.call(path, method=method)).status != status:
            assert asyncio.get_running_loop().time() < deadline
            await asyncio.sleep(0.05)

    run(context, wait_for_status())


@then("plain server {number:d} executed none of them")
def then_server_idle(context, number):
    assert not context.harness.backends[f"i-desk-{number}"].executed


@given("a second gateway")
def given_second_gateway(context):
    async def start():
        gateway = await context.harness.add_gateway("gate-2")
        await context.harness.wait_until(lambda: gateway.context.peer_links)

    run(context, start())


@given("the store lists the gateways and refuses connections of a second gateway")
def given_store_refuses_second(context):
    async def start():
        first = context.harness.gateways["gate-1"]
        await context.harness.wait_until(lambda: context.harness.store.values("gateways"))
        gateway = await context.harness.add_gateway("gate-0", ready=False)
        port, gateway.context.ports.tables.base_url = (
            context.harness.store_port,
            "http://127.0.0.1:1",
        )
        gateway.peers._connect("gate-1", str(first.settings.link_listen))
        assert port

    run(context, start())


@then("the second gateway serves {method:w} {path:S} within {seconds:d} s")
def then_second_serves(context, method, path, seconds):
    async def wait_until_served():
        deadline = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < deadline:
            try:
                response = await context.harness.call(path, "gate-0", method)
                if response.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise AssertionError("the second gateway did not return 200 within the timeout")

    run(context, wait_until_served())


@when("a caller sends a prompt without a prompt prefix to {path:S}")
def when_no_prompt_prefix(context, path):
    headers = {"X-Prompt-Prefix": None}
    context.responses = [run(context, context.harness.call(path, tokens="30,20", headers=headers))]


@when(
    "a caller keeps a connection open, the gateway stops, and {seconds:g} s later the caller "
    "streams {path}"
)
def when_late_requests(context, seconds, path):
    async def send_late_requests():
        address = context.harness.gateways["gate-1"].settings.listen
        first, second = [await open_persistent_connection(context, address) for _ in range(2)]
        context.harness.stop_events["gate-1"].set()
        await asyncio.sleep(seconds / 2)
        given_faults(context, "plain", "hang")
        second[1].write(bodiless_request(context, "POST", "/book/1"))
        await asyncio.sleep(seconds / 2)
        first[1].write(bodiless_request(context, "POST", path))
        response = await read_response(first[0])
        for _, writer in (first, second):
            writer.close()
        return response

    context.responses = [run(context, send_late_requests())]


def bodiless_request(context, method, path, headers=None):
    """Return the encoded request without a body."""
    added = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {API_KEY}\r\nContent-Length: 0\r\n"
        f"X-Attempt-Id: {context.harness.request_id()}\r\n{added}\r\n"
    ).encode()


async def open_persistent_connection(context, address):
    """Open a connection and complete one request on it.

    :returns: the reader and the writer
    """
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(bodiless_request(context, "GET", "/look/1"))
    await read_response(reader, "GET")
    return reader, writer


@then("{count:d} model engines executed the request")
def then_engine_count(context, count):
    executed = [b.id for b in context.harness.backends.values() if "model" in b.id and b.executed]
    assert len(executed) == count, executed


@then("at most {most:d} bytes of it were sent")
def then_bytes_sent(context, most):
    sent = max(backend.endless_bytes for backend in context.harness.backends.values())
    assert 0 < sent <= most, sent


@then("no gateway has been sent the backend servers by a peer")
def then_no_notice(context):
    for gateway in context.harness.gateways.values():
        assert gateway.backend_updater.snapshot_received
        assert gateway.backend_updater.requests == 0
        assert gateway.backend_updater.notice not in gateway.peers.initial_message_factories
