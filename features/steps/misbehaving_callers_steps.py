"""Steps for crowds of callers that misbehave, against a gateway process."""

import asyncio
import os
from contextlib import suppress
from dataclasses import fields

from behave import given, then, when
from gateway_program_steps import (
    _GatewayProcess,
    build_settings,
    run,
    start_gateway,
    stop_process,
    wait_ready,
    write_settings,
)
from gateway_support import build_config, read_response
from misbehaving_callers_support import RAW_REQUESTS, head, memory_peak, send_crowd

from bilberryshed.state import Address, GatewaySettings

PATHS = {"routed path": "/look/1", "path without a route": "/nothing/1", "readiness address": "/"}
ORDINARY_TRIES = 3
RESPONSE_TIME = 1.0  # seconds for which the responses to a raw request are collected
READ_SIZE = 65_536  # bytes
LIMITS = {"maxHeaderBytes": 16_384, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000}


MAX_FIELDS = 256  # header fields of a request; as with the other limits, lower than the default


@given(
    "a gateway process with {memory:d} MB of memory, bodies up to {body:d} bytes and "
    "{connections:d} connections"
)
def given_limited_process(context, memory, body, connections):
    run(context, context.harness.close_gateways())
    config = build_config(5, limits={**LIMITS, "maxBodyBytes": body})
    context.harness.store.put("op", "config", config)
    context.sections = build_settings(context)
    context.sections["vm"]["memory"] = memory
    # The product as it was before this feature has no such setting, and must still start.
    if "connections" in {field.name for field in fields(GatewaySettings)}:
        context.sections["callers"] = {"connections": connections, "header_fields": MAX_FIELDS}
    context.process = start_gateway(write_settings(context.sections))
    context.add_cleanup(stop_process, context)
    context.harness.gateways["gate-1"] = _GatewayProcess(context.sections["vm"]["listen"])
    run(context, wait_ready(context))


@when("{count:d} callers send {crowd} to the {address}")
def when_crowd(context, count, crowd, address):
    listen = "ready_listen" if address == "readiness address" else "listen"
    crowd = send_crowd(context.sections["vm"][listen], count, crowd, PATHS[address])
    context.writers = run(context, crowd)
    context.add_cleanup(close_writers, context)


def close_writers(context):
    """Close the connections of the crowd while the event loop still runs."""
    for writer in context.writers:
        writer.close()
    run(context, asyncio.sleep(0.02))


@then(
    "the process lives, with a peak of at most {memory:d} MB and at most {descriptors:d} "
    "descriptors"
)
def then_bounds(context, memory, descriptors):
    assert context.process.poll() is None, context.process.returncode
    pid = context.process.pid
    peak, count = memory_peak(pid), len(os.listdir(f"/proc/{pid}/fd"))
    assert peak <= memory and count <= descriptors, (round(peak), count)


@then("an ordinary request is answered")
def then_ordinary(context):
    async def is_answered():
        try:
            call = context.harness.call("/look/2", method="GET")
            return (await asyncio.wait_for(call, 5)).status == 200
        except (OSError, TimeoutError):
            return False

    assert any(run(context, is_answered()) for _ in range(ORDINARY_TRIES))


@when("a caller sends a whole body of {size:d} bytes to the {address}")
def when_whole_body(context, size, address):
    send_body(context, size, address, 0)


@when("a caller takes {duration:d} s to send a whole body of {size:d} bytes to the {address}")
def when_slow_body(context, duration, size, address):
    send_body(context, size, address, duration)


def send_body(context, size, address, duration):
    """Send a body, in tenths over a duration in seconds, and only then read the response."""

    async def send():
        listen = Address.parse(context.sections["vm"]["listen"])
        reader, writer = await asyncio.open_connection(listen.host, listen.port)
        id_ = context.harness.request_id()
        fields_ = (f"X-Attempt-Id: {id_}", f"Content-Length: {size}")
        writer.write(head(PATHS[address], *fields_))
        for _ in range(10):
            writer.write(b"x" * (size // 10))
            await writer.drain()
            await asyncio.sleep(duration / 10)
        context.response = await read_response(reader)
        writer.close()

    run(context, send())


@when("{count:d} connections to the readiness address have just been opened")
def when_opened(context, count):
    address = Address.parse(context.sections["vm"]["ready_listen"])

    async def connect():
        return (await asyncio.open_connection(address.host, address.port))[1]

    async def connect_all():
        return [await connect() for _ in range(count)]

    context.writers = run(context, connect_all())
    context.add_cleanup(close_writers, context)


@then("the readiness probe is answered")
def then_probe(context):
    async def probe():
        address = Address.parse(context.sections["vm"]["ready_listen"])
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(head("/", method="GET"))
        response = await read_response(reader)
        writer.close()
        return response

    response = run(context, probe())
    assert response.status in (200, 503), response


@when("a caller sends {raw} to the routed path")
def when_raw(context, raw):
    async def send():
        listen = Address.parse(context.sections["vm"]["listen"])
        reader, writer = await asyncio.open_connection(listen.host, listen.port)
        writer.write(RAW_REQUESTS[raw])
        context.received = b""
        with suppress(TimeoutError):
            async with asyncio.timeout(RESPONSE_TIME):
                while data := await reader.read(READ_SIZE):
                    context.received += data
        writer.close()

    run(context, send())


@then("it reads only a response with status {status:d}")
def then_only_status(context, status):
    received = context.received
    assert received.startswith(f"HTTP/1.1 {status} ".encode()), received
    assert received.count(b"HTTP/1.1 ") == 1, received


@then("it reads a response with status {status:d}")
def then_status(context, status):
    assert context.response.status == status, context.response


@then("it reads a response with status {status:d} and Connection: close")
def then_closing(context, status):
    assert context.response.status == status, context.response
    assert context.response.headers.get("connection") == "close", context.response.headers
