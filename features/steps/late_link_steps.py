"""Steps for links of a process whose event loop stands still for a while."""

import asyncio
import threading
import time

from behave import given, then, when
from link_steps import LinkEndpoint, hello

from bilberryshed.protocol import Heartbeat, LinkProbeReply, encode
from bilberryshed.state import Address
from bilberryshed.transport import (
    Link,
    LinkClient,
    LinkHandlers,
    LinkMonitor,
    LinkServer,
    MessageDispatcher,
    TimerService,
)
from bilberryshed_load import free_port

PAUSE = 2.5  # seconds
LINK_TIMEOUT = 2.0  # seconds until the links are up


class SlowServer(LinkServer):
    """Accepts links, and lets processes wait for its Hello.

    :param hello_delay: seconds for which they wait
    :param handshakes: number of connections accepted
    """

    hello_delay = 0.0
    handshakes = 0

    async def _accept(self, websocket):
        self.handshakes += 1
        await asyncio.sleep(self.hello_delay)
        await super()._accept(websocket)


class PeerThread(threading.Thread):
    """Accepts links on an event loop of its own, and replies to probes.

    :param hello_delay: seconds for which it lets a process wait for its Hello
    :param is_silent: whether it ignores messages
    """

    def __init__(self, hello_delay=0.0):
        super().__init__(daemon=True)
        self.port = free_port()
        self.hello_delay = hello_delay
        self.is_silent = False
        self.loop = asyncio.new_event_loop()
        self.is_up = threading.Event()

    def run(self):
        """Run the peers' event loop until it is stopped."""
        self.loop.run_until_complete(self.listen())
        self.loop.run_forever()
        self.loop.run_until_complete(self.server.close())

    async def listen(self):
        """Start to listen."""
        dispatcher = MessageDispatcher(
            LinkMonitor(lambda: (), lambda link: True).handlers() | {Heartbeat: lambda *args: None}
        )

        def on_message(link, message):
            if not self.is_silent:
                dispatcher.handle(link, message)

        handlers = LinkHandlers(lambda link: None, on_message, lambda link: None)
        self.server = SlowServer(hello("peer", ""), handlers, None, TimerService())
        self.server.hello_delay = self.hello_delay
        await self.server.start(Address("127.0.0.1", self.port))
        self.is_up.set()

    def end(self):
        """Stop the loop and wait for the thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.join()


def start_peer(context, hello_delay=0.0):
    """Start the thread of the peers."""
    context.peer = PeerThread(hello_delay)
    context.peer.start()
    context.peer.is_up.wait()
    context.add_cleanup(context.peer.end)


async def connect(context, count):
    """Open links to the peers, and monitor them."""
    context.timers = TimerService()
    context.timers.watch_loop()
    context.endpoint = LinkEndpoint()
    context.monitor = LinkMonitor(lambda: list(context.endpoint.links), lambda link: True)
    context.endpoint.handlers.on_message = MessageDispatcher(context.monitor.handlers()).handle
    address = Address("127.0.0.1", context.peer.port)
    context.clients = [
        LinkClient(address, hello("p", ""), context.endpoint.handlers, None, context.timers)
        for _ in range(count)
    ]
    async with asyncio.timeout(LINK_TIMEOUT + PAUSE):
        while len(context.endpoint.links) < count:
            await asyncio.sleep(0.01)
    context.links = list(context.endpoint.links)
    context.monitor.start(context.timers)


def close_links(context):
    """Close the links of the process."""

    async def end():
        for client in context.clients:
            client.close()
        await asyncio.sleep(0.05)

    context.loop.run_until_complete(end())


@given("a process with {count:d} idle links to sound peers")
def given_links(context, count):
    start_peer(context)
    context.loop.run_until_complete(connect(context, count))
    context.add_cleanup(close_links, context)


async def wait_for_probes(context):
    """Return once a probe has been enqueued on a link, before the queue is written."""
    enqueued, send_probe = asyncio.Event(), Link.send_probe

    def notice(link):
        send_probe(link)
        enqueued.set()

    Link.send_probe = notice
    try:
        async with asyncio.timeout(LINK_TIMEOUT):
            await enqueued.wait()
    finally:
        Link.send_probe = send_probe


def are_sent(context):
    """Whether all probes have left the queues."""
    return all(link.sent == link.enqueued for link in context.links)


@when("its loop is blocked for 2.5 s, while the probes {state}")
def when_blocked(context, state):
    async def block():
        if state == "are due":
            await asyncio.sleep(0.9)
        else:
            await wait_for_probes(context)
        while state not in ("are due", "wait in the queues") and not are_sent(context):
            await asyncio.sleep(0)
        if state == "have been answered unread":
            time.sleep(0.05)
        time.sleep(PAUSE)

    context.loop.run_until_complete(block())


@when("its loop is blocked for 2.5 s, and the peers go silent for good meanwhile")
def when_silent(context):
    async def block():
        context.peer.is_silent = True
        time.sleep(PAUSE)

    context.loop.run_until_complete(block())


@then("no link was closed in the {seconds:g} s after it")
def then_open(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))
    closed = [link for link in context.links if link.closed]
    assert not closed, f"{len(closed)} of {len(context.links)}"


@then("all links are closed after {least:g} to {most:g} s")
def then_closed(context, least, most):
    async def wait():
        began = context.loop.time()
        async with asyncio.timeout(most):
            while not all(link.closed for link in context.links):
                await asyncio.sleep(0.02)
        return context.loop.time() - began

    taken = context.loop.run_until_complete(wait())
    assert taken >= least, taken


# A slow link -----------------------------------------------------------------------------------


class SlowWebSocket:
    """A connection that takes some time for each message, and answers the last one.

    :param delay: seconds for a message
    """

    def __init__(self, delay):
        self.delay = delay
        self.replies = asyncio.Queue()
        self.transport = self

    async def send(self, data):
        """Send a message; the peer replies to each that is not a heartbeat."""
        await asyncio.sleep(self.delay)
        if data != encode(Heartbeat(False, 1)):
            self.replies.put_nowait(encode(LinkProbeReply()))

    def __aiter__(self):
        return self

    async def __anext__(self):
        data = await self.replies.get()
        if data is None:
            raise StopAsyncIteration
        return data

    def abort(self):
        """Close the connection."""
        self.replies.put_nowait(None)


@given("a link that takes {delay:g} s to send a message, to a peer that replies at once")
def given_slow_link(context, delay):
    async def start():
        context.timers = TimerService()
        context.timers.watch_loop()
        context.link = Link(hello("peer", ""), SlowWebSocket(delay), context.timers)
        context.monitor = LinkMonitor(
            lambda: () if context.link.closed else (context.link,), lambda link: True
        )
        handlers = LinkHandlers(lambda link: None, lambda link, m: None, lambda link: None)
        context.running = asyncio.ensure_future(context.link.run(handlers))
        context.monitor.start(context.timers)

    context.loop.run_until_complete(start())


@when("{count:d} messages are enqueued, and then a probe")
def when_enqueued(context, count):
    async def enqueue():
        for _ in range(count):
            context.link.send(Heartbeat(False, 1))
        context.link.send_probe()

    context.loop.run_until_complete(enqueue())


@then("that slow link is open after {seconds:g} s")
def then_slow_open(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))
    assert not context.link.closed
    context.link.abort()
    context.loop.run_until_complete(context.running)


@then("that slow link is closed after {least:g} to {most:g} s")
def then_slow_closed(context, least, most):
    began = time.monotonic()
    context.loop.run_until_complete(asyncio.wait_for(context.running, most))
    assert time.monotonic() - began >= least


# Hello -----------------------------------------------------------------------------------------


@when("a process opens a link, and its loop is blocked for 2.5 s while the peer sends its Hello")
def when_hello(context):
    start_peer(context, hello_delay=0.3)

    async def open_link():
        context.opening = asyncio.ensure_future(connect(context, 1))
        await asyncio.sleep(0.15)
        context.accepted = len(context.peer.server.links)
        time.sleep(PAUSE)
        await context.opening

    context.loop.run_until_complete(open_link())
    context.add_cleanup(close_links, context)


@then("that link is up")
def then_up(context):
    """It is the first one: the peer has accepted no other."""
    assert context.accepted == 0
    assert len(context.peer.server.links) == 1, len(context.peer.server.links)
    assert context.peer.server.handshakes == 1, context.peer.server.handshakes


# Routers and agents ----------------------------------------------------------------------------


def lost_links(context):
    """Return the number of links that the agents have lost."""
    counters = [s["counters"] for s in context.fleet.statuses("bilberryshed-agent")]
    assert counters and all(counts["link_up"] for counts in counters), counters
    return sum(counts.get("link_down", 0) for counts in counters)


@when("it is idle for {seconds:g} s")
def when_idle(context, seconds):
    context.lost = lost_links(context)
    time.sleep(seconds)


@then("no agent lost a link")
def then_none_lost(context):
    assert lost_links(context) == context.lost, (context.lost, lost_links(context))


@when("the first agent is suspended")
def when_suspended(context):
    context.agent = context.fleet.statuses("bilberryshed-agent")[0]["name"]
    context.fleet.set_suspended(context.agent, True)


@when("it goes on")
def when_resumed(context):
    context.fleet.set_suspended(context.agent, False)


def wait_for_routers(context, seconds, has_agent):
    """Wait until all routers have the agent, or none has."""
    deadline = time.monotonic() + seconds
    while True:
        states = {
            context.agent in s["agents"] for s in context.fleet.statuses("bilberryshed-router")
        }
        if states == {has_agent}:
            return
        assert time.monotonic() < deadline, states
        time.sleep(0.05)


@then("every router drops it within {seconds:g} s")
def then_dropped(context, seconds):
    wait_for_routers(context, seconds, has_agent=False)


@then("every router has it within {seconds:g} s")
def then_back(context, seconds):
    wait_for_routers(context, seconds, has_agent=True)
