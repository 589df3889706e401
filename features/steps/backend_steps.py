"""Steps for the clients of backend servers."""

import asyncio
import json
from dataclasses import replace

from behave import then, when
from returns.result import Failure
from support import call_server_that_stops

from bilberryshed.protocol import Dispatch
from bilberryshed.runtime import (
    EngineBackend,
    ResponseSink,
    RunCompleted,
    RunInterrupted,
    ServiceBackend,
)
from bilberryshed.state import Address
from bilberryshed.transport import HttpObjectStore
from bilberryshed_standins import reset

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
RESULTS = {"completed": RunCompleted, "interrupted": RunInterrupted}


def event(text, finish=None):
    """Return an encoded event of attempt a1."""
    choice = {"delta": {"content": text}, "finish_reason": finish}
    return b"data: %s\n\n" % json.dumps({"id": "a1", "choices": [choice]}).encode()


FIRST, SECOND, DONE = event("one "), event("two", "stop"), b"data: [DONE]\n\n"
BODIES = {
    "after its last event": FIRST + SECOND + DONE,
    "within its last event": FIRST + SECOND + DONE[:-4],
    "within another event": FIRST + SECOND[:-9],
    "between two events": FIRST,
    "after 2 MB that are no event": FIRST + b"x" * 2_000_000,
    "with a reset": FIRST + SECOND + DONE,
}


class IgnoringSink(ResponseSink):
    """Receives a response that the test does not look at."""

    def started(self, status, content_type):
        """Ignore the head."""

    def data(self, chunk):
        """Ignore a chunk."""


@when("an engine sends a response without length or chunks that ends {where}")
def when_unframed(context, where):
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + BODIES[where])
        await writer.drain()
        if where == "with a reset":
            reset(writer)
        writer.close()

    async def attempt():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        backend = EngineBackend(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
        result = await backend.run(dispatch(), IgnoringSink())
        server.close()
        return result

    context.result = context.loop.run_until_complete(attempt())


REJECTION = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"


@when(
    "an engine answers two attempts, and sends a rejection again before the next response on a "
    "connection"
)
def when_rejection_repeated(context):
    body = FIRST + SECOND + DONE
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n"
    response = head % len(body) + body

    async def respond(reader, writer):
        for before in (b"", REJECTION):
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            writer.write(before + response)
        writer.close()

    async def attempt():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        backend = EngineBackend(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
        await backend.run(dispatch(), IgnoringSink())
        result = await backend.run(dispatch(), IgnoringSink())
        server.close()
        return result

    context.result = context.loop.run_until_complete(attempt())


@when('a plain service sends a response that stops after "{text}" of its head')
def when_head_stops(context, text):
    def attempt(address):
        return ServiceBackend(address).run(dispatch(), IgnoringSink())

    context.result = context.loop.run_until_complete(call_server_that_stops(text, attempt))


UNFRAMED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


def attempt_at(context, respond, **changes):
    """Run an attempt at a plain service."""

    async def attempt():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        backend = ServiceBackend(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
        result = await backend.run(replace(dispatch(), **changes), IgnoringSink())
        server.close()
        return result

    context.result = context.loop.run_until_complete(attempt())


@when(
    "a plain service sends a part of a response without a length and ends its direction, in an "
    "upload of {size:d} bytes"
)
def when_early_part(context, size):
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(UNFRAMED + b"part")
        writer.write_eof()
        # It reads no further; the limit of its reader keeps the rest in the connection.

    attempt_at(context, respond, method="POST", body=b"x" * size)


@when("a plain service sends 20 MB without a length")
def when_endless(context):
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(UNFRAMED)
        for _ in range(200):
            writer.write(b"x" * 100_000)
            await writer.drain()
        writer.close()

    attempt_at(context, respond)


@when('an object is read, and the response stops after "{text}" of its head')
def when_object_read(context, text):
    def read(address):
        return HttpObjectStore(address, 2.0).get("ledger/0/1")

    context.result = context.loop.run_until_complete(call_server_that_stops(text, read))


@then("the read has failed")
def then_read_failed(context):
    assert isinstance(context.result, Failure), context.result


def dispatch():
    """Return a dispatch of attempt a1."""
    return Dispatch(
        attempt="a1",
        request="r1",
        customer="c",
        budget="b",
        key="k",
        service="s",
        model="m@1",
        idempotent=True,
        parts=(),
        price=0,
        method="POST",
        path="/v1/chat/completions",
        body=b"{}",
        priority=5,
        deadline=2.0,
        alone=False,
    )


@then("the attempt is {result}")
def then_result(context, result):
    assert isinstance(context.result, RESULTS[result]), context.result


@then('the reason is "{reason}"')
def then_reason(context, reason):
    assert context.result.reason == reason, context.result
