"""One answer whose body never ends, in small chunks, stops a whole gateway for many seconds.

A model engine answers one stream with a sound head, and then with bytes that are no events and have
no end, in chunks of a few bytes, until the gateway closes the channel. Lookups at sound engines of
another service go on all the while.
"""

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import kit  # noqa: E402

CALM = 5.0  # seconds before the faulty answer
WATCH = 30.0  # seconds for which lookups are sent after it
RATE = 10.0  # lookups per second
TIMEOUT = 2.0  # seconds, timeoutMs of the lookups' route
SLACK = 0.5  # seconds after timeoutMs by which the rule wants an answer
CALLER_TIMEOUT = 4.0  # seconds, X-Deadline-Ms of a lookup
PIECE = kit.chunk(b"abcdefgh")  # a token or two, as an engine writes them, but no event
HOST = "review.example"
STREAM = {
    "name": "query",
    "host": HOST,
    "pathPrefix": "/query/",
    "kind": "streaming",
    "timeoutMs": 15000,
    "targetLatencyMs": 800,
    "priority": 1,
    "service": "model",
    "maxAttempts": 1,
    "anonymous": True,
    "sticky": True,
    "resumable": False,
    "targetItlMs": 300,
}
LOOKUP = {
    "name": "lookup",
    "host": HOST,
    "pathPrefix": "/lookup/",
    "kind": "idempotent",
    "timeoutMs": int(TIMEOUT * 1000),
    "targetLatencyMs": 300,
    "priority": 2,
    "service": "desk",
    "maxAttempts": 2,
    "anonymous": True,
}
CONFIG = {
    "version": 1,
    "routeTable": [STREAM, LOOKUP],
    "services": [
        {"name": "model", "maxConnections": 360, "backend": {"slots": 64, "stride": 4}},
        {"name": "desk", "healthPath": "/healthz", "maxConnections": 100},
    ],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "idleTimeoutMs": 15000},
}


async def answer_lookup(
    engine: kit.Engine, request: kit.Request, writer: asyncio.StreamWriter
) -> bool:
    """Run a lookup."""
    engine.run(request)
    await asyncio.sleep(0.02)
    writer.write(kit.response(200, engine.head(request), b"status of " + request.id.encode()))
    return True


async def answer_stream(
    engine: kit.Engine, request: kit.Request, writer: asyncio.StreamWriter
) -> bool:
    """Write ten events, or, as a faulty engine, bytes without end."""
    engine.run(request)
    writer.write(kit.stream_head(engine, request))
    if kit.trouble():
        sent = 0
        engine.record.line(f"engine {engine.id} sends bytes without end to {request.id}")
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(PIECE * 1000)
                sent += len(PIECE) * 1000
                await writer.drain()
        engine.record.line(f"engine {engine.id}: the channel was closed after {sent} bytes")
        return False
    for number in range(1, 11):
        writer.write(kit.chunk(kit.event(number, "piece")))
        await asyncio.sleep(0.05)
    writer.write(b"0\r\n\r\n")
    return True


async def probe(world: kit.World, gateway: kit.Gateway) -> None:
    """Ask every second whether the gateway is ready, as the platform does."""
    while True:
        if not await gateway.is_ready():
            world.record.line("the readiness probe is not answered with 200 within a second")
        await asyncio.sleep(1.0)


async def lookup(world: kit.World, gateway: kit.Gateway) -> kit.Answer:
    """Send one lookup."""
    id_ = kit.new_id()
    sent_at = world.record.now()
    headers = {
        "Host": HOST,
        "X-Attempt-Id": id_,
        "X-Deadline-Ms": str(int(CALLER_TIMEOUT * 1000)),
    }
    answer = await kit.call(
        gateway.frontend, "GET", "/lookup/1", headers, timeout=CALLER_TIMEOUT
    )
    world.record.line(
        f"lookup {id_} sent at {sent_at:.3f}: status {answer.status} after {answer.seconds:.3f} s"
    )
    return answer


async def check(world: kit.World) -> bool:
    """Whether lookups that exceed their route's timeout are answered half a second later."""
    world.store.put("op", "config", CONFIG)
    await world.add_engine("i-model-1", "model", answer_stream)
    for number in (1, 2):
        await world.add_engine(f"i-desk-{number}", "desk", answer_lookup)
    gateway = await world.add_gateway("edge-a-1")
    await gateway.wait_ready()
    probing = asyncio.create_task(probe(world, gateway))
    calls: list[asyncio.Task[kit.Answer]] = []
    stream: asyncio.Task[kit.Answer] | None = None
    started_at = world.record.now()
    while (now := world.record.now()) < started_at + CALM + WATCH:
        calls.append(asyncio.create_task(lookup(world, gateway)))
        if stream is None and now >= started_at + CALM:
            headers = {
                "Host": HOST,
                "X-Attempt-Id": kit.new_id(),
                "X-Deadline-Ms": "15000",
                "X-Model-Name": "m",
                "X-Token-Usage": "800,40",
                "X-Prompt-Prefix": "5c1e07a2:600,91bd3f06:200",
            }
            world.record.line(f"stream {headers['X-Attempt-Id']} sent")
            stream = asyncio.create_task(
                kit.call(gateway.frontend, "POST", "/query/1", headers, b"{}", timeout=15.0)
            )
        await asyncio.sleep(1 / RATE)
    answers = await asyncio.gather(*calls)
    assert stream is not None
    streamed = await stream
    probing.cancel()
    served = [a for a in answers if a.status == 200]
    late = [a for a in answers if a.seconds >= TIMEOUT or not a.status]
    unanswered = [a for a in late if not a.status or a.seconds > TIMEOUT + SLACK]
    summary = (
        f"{len(answers)} lookups, {len(served)} served; unanswered after {TIMEOUT} s: {len(late)}, "
        f"also {SLACK} s later: {len(unanswered)}; stream: status {streamed.status}, "
        f"{len(streamed.events)} events, {streamed.seconds:.1f} s"
    )
    world.record.line(summary)
    print(summary)
    if not served:
        raise RuntimeError("no lookup was served")
    return not (len(unanswered) >= 8 and len(unanswered) * 2 > len(late))


if __name__ == "__main__":
    kit.main(__file__, check)
