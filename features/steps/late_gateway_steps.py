"""Steps for gateway processes that are late, and backend servers that are silent."""

import asyncio
import re
import signal

from behave import given, then, when
from gateway_program_steps import (
    _GatewayProcess,
    build_settings,
    run,
    start_gateway,
    stop_and_read_log,
    stop_process,
    wait_ready,
    write_settings,
)
from gateway_support import API_KEY, HOST, build_config, build_route

DEADLINE_MS = 15_000  # of the callers
TIME_SLICE = 0.05  # seconds of the periods in which a process is stopped for a part
CONFIG_AT = 1.5  # seconds after the start of the streams
SLOW_TIME = 4.0  # seconds for which a process has only a part of the time


@given("model engines that send {events:d} events, one every {interval:g} s")
def given_events(context, events, interval):
    context.events = events
    for backend in context.harness.backends.values():
        backend.events, backend.delay = events, interval


@given("a route to them with a target of {target:d} ms and a timeout of {timeout:d} s")
def given_route(context, target, timeout):
    context.route = build_route(
        "caption",
        "/caption/",
        "model",
        "streaming",
        resumable=True,
        targetLatencyMs=target,
        timeoutMs=timeout * 1000,
    )
    put_routes(context, [])


def put_routes(context, others):
    """Write a config with the route of this feature and others."""
    store = context.harness.store
    version = store.value("op", "config")["version"] + 1
    routes = [*build_config()["routeTable"], context.route, *others]
    store.put("op", "config", build_config(version, routeTable=routes))


@given("a gateway process whose retry budget is {slack:d} a window")
def given_gateway(context, slack):
    run(context, context.harness.close_gateways())
    context.sections = build_settings(context)
    context.sections["retries"] = {"retry_slack": slack / 0.8, "retry_ratio": 0}
    context.process = start_gateway(write_settings(context.sections))
    context.add_cleanup(stop_process, context)
    context.harness.gateways["gate-1"] = _GatewayProcess(context.sections["vm"]["listen"])
    run(context, wait_ready(context))


@given("{count:d} model engines, and a gateway process whose retry budget is {slack:d} a window")
def given_engines(context, count, slack):
    engines = [id_ for id_ in context.harness.backends if "model" in id_]
    for id_ in engines[count:]:
        context.harness.register(id_, "model", state="draining", sequence=2)
    given_gateway(context, slack)


class Stream:
    """A stream as its caller receives it.

    :param gaps: seconds between the arrivals of events
    """

    def __init__(self):
        self.body = b""
        self.gaps = []
        self.is_complete = False

    async def read(self, harness):
        """Send the request, and read the response to its end."""
        address = harness.gateways["gate-1"].settings.listen
        reader, writer = await asyncio.open_connection(address.host, address.port)
        head = (
            f"POST /caption/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {API_KEY}\r\n"
            f"X-Attempt-Id: {harness.request_id()}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        writer.write(head.encode())
        loop, last = asyncio.get_running_loop(), None
        try:
            while data := await asyncio.wait_for(reader.read(65_536), DEADLINE_MS / 1000):
                now = loop.time()
                if last is not None:
                    self.gaps.append(now - last)
                self.body, last = self.body + data, now
                if self.body.endswith(b"\r\n0\r\n\r\n"):
                    self.is_complete = True
                    return
        except ConnectionError:
            pass
        finally:
            writer.close()


async def read_streams(context, count):
    """Have callers stream at the same time."""
    context.streams = [Stream() for _ in range(count)]
    await asyncio.gather(*(stream.read(context.harness) for stream in context.streams))


@when("{count:d} callers stream")
def when_streams(context, count):
    run(context, read_streams(context, count))


@when("{count:d} callers stream, and the process is stopped for {pause:g} s after {delay:g} s")
def when_stopped(context, count, pause, delay):
    async def stop():
        await asyncio.sleep(delay)
        context.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(pause)
        context.process.send_signal(signal.SIGCONT)

    async def both():
        await asyncio.gather(read_streams(context, count), stop())

    run(context, both())


@when(
    "{count:d} callers stream, and a config with {routes:d} more routes comes while the process "
    "has {tenths:d} tenths of the time"
)
def when_config(context, count, routes, tenths):
    async def slow_down():
        end = asyncio.get_running_loop().time() + SLOW_TIME
        while asyncio.get_running_loop().time() < end:
            context.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(TIME_SLICE * (10 - tenths) / 10)
            context.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(TIME_SLICE * tenths / 10)

    async def change():
        await asyncio.sleep(CONFIG_AT)
        put_routes(
            context, [build_route(f"more-{n}", f"/more/{n}/", "desk") for n in range(routes)]
        )

    async def all_together():
        await asyncio.gather(read_streams(context, count), slow_down(), change())

    run(context, all_together())


@then("every caller received events 1 to {count:d} once each, and a complete response")
def then_whole(context, count):
    expected = [b"%d" % number for number in range(1, count + 1)]
    received = [re.findall(rb"id: (\d+)", stream.body) for stream in context.streams]
    whole = [
        s.is_complete and r == expected for s, r in zip(context.streams, received, strict=True)
    ]
    assert all(whole), f"{whole.count(False)} of {len(whole)} are not whole"


@then("no attempt was broken off or counted as silent")
def then_none_broken(context):
    stop_and_read_log(context)
    found = [line for line in context.log if re.search(" event=attempt_(broken|silent) ", line)]
    assert not found, (len(found), found[0])


@then("{count:d} streams moved on, and no event came over {limit:g} s after the one before")
def then_moved(context, count, limit):
    executed = sum(len(backend.executed) for backend in context.harness.backends.values())
    assert executed == len(context.streams) + count, executed
    longest = max(gap for stream in context.streams for gap in stream.gaps)
    assert longest <= limit, longest


# Callers ---------------------------------------------------------------------------------------


def look(harness):
    """Return a request of a caller."""
    return (
        f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {API_KEY}\r\n"
        f"X-Attempt-Id: {harness.request_id()}\r\n\r\n"
    ).encode()


async def stop_later(context, start, pause):
    """Stop the process for a while."""
    await asyncio.sleep(start)
    context.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(pause)
    context.process.send_signal(signal.SIGCONT)


async def call_late(context, part, late):
    """Send a part of a request late, and return the response as far as it comes."""
    address = context.harness.gateways["gate-1"].settings.listen
    reader, writer = await asyncio.open_connection(address.host, address.port)
    request = look(context.harness)
    sent = 20 if part == "rest of a head" else 0
    if part == "next request":
        writer.write(look(context.harness))
        await reader.read(65_536)
    writer.write(request[:sent])
    await asyncio.sleep(late)
    writer.write(request[sent:])
    try:
        return await asyncio.wait_for(reader.read(65_536), DEADLINE_MS / 1000)
    except ConnectionError:
        return b""
    finally:
        writer.close()


@when(
    "a caller sends its {part} {late:g} s late, and the process is stopped for {pause:g} s "
    "from {start:g} s"
)
def when_late_caller(context, part, late, pause, start):
    async def both():
        context.response, _ = await asyncio.gather(
            call_late(context, part, late), stop_later(context, start, pause)
        )

    run(context, both())


@then("the caller has a response with status {status}")
def then_response(context, status):
    assert context.response.startswith(b"HTTP/1.1 " + status.encode()), context.response[:200]


@when("a caller sends nothing, and the process is stopped for {pause:g} s from {start:g} s")
def when_idle_caller(context, pause, start):
    async def wait():
        address = context.harness.gateways["gate-1"].settings.listen
        loop = asyncio.get_running_loop()
        reader, writer = await asyncio.open_connection(address.host, address.port)
        began = loop.time()
        await asyncio.gather(
            asyncio.wait_for(reader.read(1), 2 * DEADLINE_MS / 1000),
            stop_later(context, start, pause),
        )
        context.taken = loop.time() - began
        writer.close()

    run(context, wait())


@then("its connection is closed after {least:g} to {most:g} s")
def then_closed(context, least, most):
    assert least <= context.taken <= most, context.taken
