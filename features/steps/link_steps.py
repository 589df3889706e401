"""Steps for links between processes."""

import asyncio
import contextlib
import io
import tempfile
from pathlib import Path

import cbor2
import trustme
import websockets
from behave import given, then, when
from websockets.asyncio.client import connect

from bilberryshed.protocol import Heartbeat, Hello, encode
from bilberryshed.state import Address
from bilberryshed.transport import (
    LinkClient,
    LinkHandlers,
    LinkServer,
    TimerService,
    client_tls_context,
    configure_logs,
    server_tls_context,
)
from bilberryshed_load import free_port

CONNECT_TIMEOUT = 1.5  # seconds until a link is established
RECONNECT_TIMEOUT = 3.0  # seconds until a link is re-established


class LinkEndpoint:
    """Records the events of one end of a link."""

    def __init__(self):
        self.link_up = asyncio.Event()
        self.links = []
        self.messages = []
        self.handlers = LinkHandlers(self.on_up, self.on_message, self.on_down)

    def on_up(self, link):
        self.links.append(link)
        self.link_up.set()

    def on_message(self, link, message):
        self.messages.append(message)

    def on_down(self, link):
        self.links.remove(link)


def hello(name, security):
    """Return a hello; a ``security`` of the form ``secret s`` sets its secret."""
    secret = security.removeprefix("secret ") if security.startswith("secret") else ""
    return Hello(name, f"{name}.1", "router", "wick", secret)


def certificates(context):
    """Write a certificate for the loopback address and two CAs, once per scenario.

    :returns: their directory
    """
    if not hasattr(context, "authority"):
        context.directory = Path(tempfile.mkdtemp(prefix="bilberryshed-"))
        context.authority, other = trustme.CA(), trustme.CA()
        issued = context.authority.issue_cert("127.0.0.1")
        issued.private_key_pem.write_to_path(str(context.directory / "key.pem"))
        issued.cert_chain_pems[0].write_to_path(str(context.directory / "certificate.pem"))
        context.authority.cert_pem.write_to_path(str(context.directory / "its CA.pem"))
        other.cert_pem.write_to_path(str(context.directory / "another CA.pem"))
    return context.directory


async def listen(context):
    """Start the listener on the scenario's port."""
    context.server = LinkServer(
        hello("listener", context.listener),
        context.listener_endpoint.handlers,
        context.server_tls,
        TimerService(),
    )
    await context.server.start(Address("127.0.0.1", context.port))


@given("a listener with {security}")
def given_listener(context, security):
    context.port, context.listener, context.server_tls = free_port(), security, None
    if security == "a certificate":
        directory = certificates(context)
        certificate, key = directory / "certificate.pem", directory / "key.pem"
        context.server_tls = server_tls_context(certificate, key)

    async def start():
        context.listener_endpoint = LinkEndpoint()
        await listen(context)

    context.loop.run_until_complete(start())


@when("a process connects with {security}")
def when_connects(context, security):
    tls = (
        client_tls_context(certificates(context) / f"{security}.pem") if "CA" in security else None
    )

    async def start():
        context.caller_endpoint = LinkEndpoint()
        address = Address("127.0.0.1", context.port)
        context.client = LinkClient(
            address,
            hello("caller", security),
            context.caller_endpoint.handlers,
            tls,
            TimerService(),
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await context.caller_endpoint.link_up.wait()

    context.loop.run_until_complete(start())
    context.add_cleanup(close, context)


def close(context):
    """Close both ends of the link."""

    async def end():
        context.client.close()
        await context.server.close()
        await asyncio.sleep(0.05)

    context.loop.run_until_complete(end())


@then("the link is {state}")
def then_state(context, state):
    assert bool(context.caller_endpoint.links) == (state == "up")
    assert bool(context.listener_endpoint.links) == (state == "up")


@when("it sends {count:d} messages")
def when_sends(context, count):
    async def send():
        for number in range(count):
            assert context.caller_endpoint.links[0].send(Heartbeat(False, number))
        await context.caller_endpoint.links[0].flush()
        await asyncio.sleep(0.2)

    context.count = count
    context.loop.run_until_complete(send())


@then("they arrive in order")
def then_in_order(context):
    received = [message.sheet_version for message in context.listener_endpoint.messages]
    assert received == list(range(context.count))


BAD_BYTES = {
    "bytes that are not CBOR": b"\xff\xfe\xfd",
    "an unknown message": cbor2.dumps(cbor2.CBORTag(40_600, [9999])),
    "a message with a field of the wrong type": cbor2.dumps(cbor2.CBORTag(40_600, [11, "x", 1])),
}


@when("another process sends a hello and then {data}")
def when_bad_bytes(context, data):
    async def send():
        async with connect(f"ws://127.0.0.1:{context.port}") as websocket:
            await websocket.send(encode(hello("bad", "")))
            await websocket.recv()
            await websocket.send(BAD_BYTES[data])
            try:
                async with asyncio.timeout(2):
                    await websocket.recv()
                context.closed = False
            except websockets.ConnectionClosed:
                context.closed = True

    context.loop.run_until_complete(send())


@then("the other link is closed and the first is up")
def then_other_closed(context):
    assert context.closed
    assert [link.peer.name for link in context.listener_endpoint.links] == ["caller"]


@when("the listener restarts")
def when_restarts(context):
    async def restart():
        await context.server.close()
        await asyncio.sleep(0.1)
        assert not context.caller_endpoint.links
        context.caller_endpoint.link_up.clear()
        await listen(context)

    context.loop.run_until_complete(restart())


@then("a new link is established within 3 seconds")
def then_reconnected(context):
    async def wait():
        async with asyncio.timeout(RECONNECT_TIMEOUT):
            await context.caller_endpoint.link_up.wait()

    context.loop.run_until_complete(wait())


@then("the log of a process with secret {secret} does not contain it")
def then_no_secret(context, secret):
    log = io.StringIO()
    with contextlib.redirect_stderr(log):
        configure_logs("test", "vm")
        given_listener(context, f"secret {secret}")
        when_connects(context, "secret wrong")
    assert "link_refused" in log.getvalue(), log.getvalue()
    assert secret not in log.getvalue() and "wrong link secret" in log.getvalue()
