"""Steps for routers and agents whose event loop is late."""

import asyncio
import json
import socket
import threading
import time
from dataclasses import replace

from backend_steps import DONE, FIRST, HEAD, SECOND, IgnoringSink, dispatch
from behave import given, then, when

from bilberryshed.runtime import EngineBackend, ServiceBackend
from bilberryshed.state import Address
from bilberryshed.transport import TimerService

LOAD = json.dumps({"models": ["m@1"], "slots": 4, "boot": 7}).encode()
BACKENDS = {
    "model engine": (EngineBackend, FIRST + SECOND + DONE),
    "plain service": (ServiceBackend, b"a whole response"),
}


async def stand_still(timers, start, end):
    """Measure the lag of the loop, and have it stand still for a time.

    :param start: seconds from now
    :param end: seconds from now
    """
    timers.watch_loop()
    asyncio.get_running_loop().call_later(start, time.sleep, end - start)


# Backend servers ------------------------------------------------------------------------------


def serve_once(listener, body, delay):
    """Respond to one request, in a thread of its own, so that the late loop does not delay it."""
    connection, _ = listener.accept()
    with connection:
        request = connection.recv(65_536)
        time.sleep(delay)
        connection.sendall(HEAD + (LOAD if request.startswith(b"GET /load") else body))


@given("a {kind} that sends its response within {delay:g} s")
def given_server(context, kind, delay):
    context.backend_class, body = BACKENDS[kind]
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.server = Address("127.0.0.1", listener.getsockname()[1])
    threading.Thread(target=serve_once, args=(listener, body, delay), daemon=True).start()


def call_late(context, start, end, call):
    """Return the result of a call of the backend's client while the loop stands still.

    :param call: receives the client
    """

    async def run():
        timers = TimerService()
        await stand_still(timers, start, end)
        started_at = time.monotonic()
        try:
            return await call(context.backend_class(context.server, timers))
        finally:
            context.elapsed = time.monotonic() - started_at
            timers.close()

    return context.loop.run_until_complete(run())


@when(
    "an agent whose event loop stands still from {start:g} s to {end:g} s runs an attempt with a "
    "deadline of {deadline:g} s"
)
def when_attempt(context, start, end, deadline):
    late_dispatch = replace(dispatch(), deadline=deadline)
    context.result = call_late(
        context, start, end, lambda backend: backend.run(late_dispatch, IgnoringSink())
    )


@when("an agent whose event loop stands still from {start:g} s to {end:g} s queries the load")
def when_load(context, start, end):
    context.result = call_late(context, start, end, lambda backend: backend.load())


@then("it took {least:g} to {most:g} s, the cancellation included")
def then_took(context, least, most):
    assert least <= context.elapsed <= most, context.elapsed


@then("the load is known")
def then_load(context):
    assert context.result is not None and context.result.boot == 7, context.result
