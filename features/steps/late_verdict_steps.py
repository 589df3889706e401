"""Steps for what a gateway concludes about backend servers while it cannot hear them."""

import asyncio
import re
import socket
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from gateway_steps import put_config, run
from gateway_support import build_config
from returns.result import Success

from bilberryshed.coordination.pacing import Pacing
from bilberryshed.platform._store import PlatformStore
from bilberryshed.state import Address
from bilberryshed.transport import ConnectionPool, ConnectTimeoutError, TimerService
from bilberryshed.transport._connections import IDLE_TIMEOUT_MARGIN, _SendingStream

FILL_INTERVAL = 0.02  # seconds between the bytes that fill a link
SETTLE_TIME = 0.2  # seconds in which the ticks of an event loop begin
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets the connection


def first_gateway(context):
    """Return the gateway of the scenario."""
    return context.harness.gateways["gate-1"]


def standing_still(seconds):
    """Replace the opening of connections: the event loop stands still while the first one opens."""
    connect, pauses = _SendingStream.connect, [seconds]

    def connect_late(stream, address):
        opening = connect(stream, address)
        if pauses:
            time.sleep(pauses.pop())
        return opening

    return mock.patch.object(_SendingStream, "connect", connect_late)


@when(
    "a caller sends GET /look/1, and the gateway stands still for {pause:g} s at its first "
    "connection"
)
def when_accepted_late(context, pause):
    with standing_still(pause):
        context.responses = [run(context, context.harness.call("/look/1", method="GET"))]


@then("no server counts as refusing connections")
def then_none_refuses(context):
    views = first_gateway(context).context.backends.views.values()
    assert not any(view.refused_connections for view in views)


def check_crash(context, address):
    """Have the gateway check whether the server with an address has crashed."""
    server = SimpleNamespace(id="i-desk-1", address=address)
    reports = first_gateway(context).admission.forwarder.attempts.crash_reports
    context.has_crashed = run(context, reports._has_crashed(server))


@when("a gateway checks a server that lives, and stands still for {pause:g} s")
def when_checked_late(context, pause):
    with standing_still(pause):
        check_crash(context, context.harness.backends["i-desk-1"].address)


@when("a gateway checks a server that lives, and the connection times out as its own link is full")
def when_checked_full(context):
    async def time_out(*arguments):
        raise ConnectTimeoutError("timed out")

    first_gateway(context).link_load.readiness.is_full = True
    with mock.patch.object(ConnectionPool, "open", time_out):
        check_crash(context, context.harness.backends["i-desk-1"].address)


@when("a gateway checks a server that {server}")
def when_checked(context, server):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        waiting = []
        if server == "never accepts":
            listener.listen(0)
            for _ in range(4):  # fills the queue of connections that wait to be accepted
                waiting.append(socket.socket())
                waiting[-1].setblocking(False)
                waiting[-1].connect_ex(("127.0.0.1", port))
        check_crash(context, f"127.0.0.1:{port}")
        for connection in waiting:
            connection.close()


@then("the server does not count as crashed")
def then_lives(context):
    assert not context.has_crashed


@then("the server counts as crashed")
def then_crashed(context):
    assert context.has_crashed


@given("an idle connection to a server")
def given_idle(context):
    async def connect():
        listener = socket.create_server(("127.0.0.1", 0))
        address = Address(*listener.getsockname())
        context.pool = ConnectionPool()
        connection = await context.pool.open("a", address, 1.0)
        context.peer, _ = listener.accept()
        listener.close()
        context.pool.release(connection, time.monotonic(), None)
        await asyncio.sleep(SETTLE_TIME)

    run(context, connect())
    context.add_cleanup(context.peer.close)


@when("the server {did}, and the connection is due before the event loop has polled it")
def when_due(context, did):
    async def acquire():
        if did == "reset it":
            context.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        if did in ("closed it", "reset it"):
            context.peer.close()
        elif did == "sent a response":
            context.peer.send(b"HTTP/1.1 408 X\r\nContent-Length: 0\r\n\r\n")
        context.connection = context.pool.acquire("a", time.monotonic())

    run(context, acquire())


@then("the connection is {use}")
def then_use(context, use):
    assert (context.connection is not None) == (use == "used"), context.connection


@given("a connection whose response is read {delay:g} s after it came, as the event loop was busy")
def given_read_late(context, delay):
    async def read_late():
        timers = TimerService()
        timers.watch_loop()
        context.pool = ConnectionPool(None, timers)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            context.connection = await context.pool.open("a", Address(*listener.getsockname()), 1.0)
            context.peer, _ = listener.accept()
        await asyncio.sleep(SETTLE_TIME)
        time.sleep(delay)
        await asyncio.sleep(0)

    run(context, read_late())
    context.add_cleanup(context.peer.close)


@when("the connection is due {delay:g} s later, and its idle timeout is {timeout:g} s")
def when_due_later(context, delay, timeout):
    async def reuse():
        now = asyncio.get_running_loop().time()
        context.pool.release(context.connection, now, timeout + IDLE_TIMEOUT_MARGIN)
        context.connection = context.pool.acquire("a", now + delay)

    run(context, reuse())


@when("a request has a deadline of {limit:g} s, and the gateway stands still for " "{pause:g} s")
def when_deadline(context, limit, pause):
    async def call():
        headers = {"X-Deadline-Ms": str(round(limit * 1000))}
        calling = asyncio.ensure_future(context.harness.call("/book/1", headers=headers))
        await asyncio.sleep(SETTLE_TIME)
        time.sleep(pause)
        return await calling

    context.responses = [run(context, call())]


@then("{count:d} servers have failures")
def then_failures(context, count):
    views = first_gateway(context).context.backends.views.values()
    assert sum(view.failure_rate > 0 for view in views) == count


@when("a stream begins after {delay:g} s, and the gateway stands still for {pause:g} s meanwhile")
def when_begins_late(context, delay, pause):
    pool = first_gateway(context).context.backends
    pool.pacing = Pacing("gate-1")
    for backend in context.harness.backends.values():
        backend.script.append(f"slow {delay}")

    async def stream():
        calling = asyncio.ensure_future(
            context.harness.call("/chat/1", tokens="2010,20", parts="aa:10,bb:2000")
        )
        await asyncio.sleep(delay / 2)
        time.sleep(pause)
        return await calling

    response = run(context, stream())
    assert response.status == 200, response


@then("the server is known to have taken at most {limit:g} s")
def then_taken(context, limit):
    pool = first_gateway(context).context.backends
    means = [view.estimate.mean for view in pool.views.values() if view.estimate.answers]
    assert len(means) == 1, means
    seconds = pool.pacing.first_events["model"]
    assert 0 < seconds <= limit, seconds
    assert 0 < means[0] * 2000 / 1000 <= limit * 1.1, means


@given("a gateway whose link has {bandwidth:g} Mbit/s")
def given_bandwidth(context, bandwidth):
    async def replace():
        await context.harness.kill_gateway("gate-1")
        context.harness.settings["bandwidth"] = bandwidth
        await context.harness.add_gateway()

    run(context, replace())


@given("streams that may take {seconds:d} s")
def given_timeout(context, seconds):
    routes = build_config()["routeTable"]
    put_config(context, routeTable=[{**route, "timeoutMs": seconds * 1000} for route in routes])
    context.stream_headers = {"X-Deadline-Ms": str(seconds * 1000)}


async def stream_beside(context, other):
    """Send a request for a stream, and run a coroutine until the response has ended."""
    running = asyncio.ensure_future(other)
    try:
        headers = getattr(context, "stream_headers", {})
        context.response = await context.harness.call("/chat/1", headers=headers)
    finally:
        running.cancel()


@when("a caller streams while the store sends rows of {size:d} kB, one every {interval:g} s")
def when_store_sends(context, size, interval):
    context.was_full = False

    async def put():
        while True:
            context.harness.store.put("op", "notes", {"text": "x" * size * 1000})
            await asyncio.sleep(interval)
            context.was_full |= first_gateway(context).link_load.readiness.is_full

    run(context, stream_beside(context, put()))


@then("the gateway has not moved its callers, as they are not the cause")
def then_not_moved(context):
    assert not context.was_full


@when("a caller streams while the link of the gateway is {state}")
def when_streams_full(context, state):
    gateway, loop = first_gateway(context), context.loop
    share = 0.5 if state == "half full" else 1.0
    limit = re.search(r"for (\d+) s", state)

    async def fill():
        at = started_at = loop.time()
        while limit is None or at < started_at + int(limit[1]):
            await asyncio.sleep(FILL_INTERVAL)
            elapsed, at = loop.time() - at, loop.time()
            gateway.byte_counter.on_received(
                round(share * elapsed * gateway.link_load.meter.capacity)
            )

    run(context, stream_beside(context, fill()))


def check_stream(context):
    """Check that the caller received the whole stream."""
    received = re.findall(rb"id: (\d+)", context.response.body)
    assert context.response.complete, context.response
    assert received == [b"%d" % number for number in range(1, len(received) + 1)], received
    assert received, context.response


@when("a caller streams while no further request may be sent")
def when_streams_without_link(context):
    link_load, context.choices = first_gateway(context).link_load, 0

    def may_dispatch():
        has_begun = any(backend.executed for backend in context.harness.backends.values())
        context.choices += has_begun
        return not has_begun

    with mock.patch.object(type(link_load), "may_dispatch", lambda self: may_dispatch()):
        context.response = run(context, context.harness.call("/chat/1"))


@then("another one was chosen at most {count:d} times")
def then_choices(context, count):
    assert 0 < context.choices <= count, context.choices


@then("the whole stream came from one server")
def then_whole_from_one(context):
    check_stream(context)
    executed = [len(backend.executed) for backend in context.harness.backends.values()]
    assert sum(executed) == 1, executed


@then("the whole stream came from one server, which has no failures")
def then_one_server(context):
    then_whole_from_one(context)
    views = first_gateway(context).context.backends.views.values()
    assert not any(view.failure_rate for view in views)


@then("the stream moved on to another server")
def then_moved_on(context):
    check_stream(context)
    executed = [len(backend.executed) for backend in context.harness.backends.values()]
    assert sum(executed) == 2, executed


class _StoreHandler(BaseHTTPRequestHandler):
    """Responds to each read of changes, after a delay, that there are none."""

    delay = 0.0

    def do_GET(self):  # noqa: N802
        """Respond."""
        time.sleep(self.delay)
        body = b'{"rows": [], "rowVersion": 1}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Log nothing."""


@given("a store in another thread that responds after {delay:g} s")
def given_store_thread(context, delay):
    _StoreHandler.delay = delay
    server = ThreadingHTTPServer(("127.0.0.1", 0), _StoreHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    context.store_address = Address("127.0.0.1", server.server_address[1])


@when(
    "a gateway calls it with a timeout of {timeout:g} s, and stands still for {pause:g} s "
    "after {delay:g} s"
)
def when_store_called(context, timeout, pause, delay):
    async def call():
        store = PlatformStore(context.store_address, timeout)
        asyncio.get_running_loop().call_later(delay, time.sleep, pause)
        return await store.changes("op", 0, 0.0)

    context.result = run(context, call())


@then("the call has succeeded")
def then_succeeded(context):
    assert isinstance(context.result, Success), context.result
