"""A limit with more than nine decimals is taken for no limit.

An engine in need names in its answers that it takes 10 requests in 3 seconds: 3.3333333333333335 a
second. Requests come six times as often. ``NAMED=3.25`` shows that a limit with fewer decimals is
kept.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import kit  # noqa: E402

NAMED = os.environ.get("NAMED", str(10 / 3))  # requests a second
NEED_FROM, SECONDS = 5.0, 25.0  # seconds from the start of traffic
RATE = 20.0  # requests a second
STABLE, WINDOW, FACTOR, SLACK = 3.0, 4.0, 1.5, 5  # stableMs, and the figures of the rule
HOST = "review.example"
CONFIG = {
    "version": 1,
    "routeTable": [
        {
            "name": "lookup",
            "host": HOST,
            "pathPrefix": "/lookup/",
            "kind": "idempotent",
            "timeoutMs": 2000,
            "targetLatencyMs": 300,
            "priority": 2,
            "service": "desk",
            "maxAttempts": 2,
            "anonymous": True,
        }
    ],
    "services": [{"name": "desk", "healthPath": "/healthz", "maxConnections": 100}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "idleTimeoutMs": 15000},
}
need = asyncio.Event()
first_named: list[float] = []


async def answer(engine: kit.Engine, request: kit.Request, writer: asyncio.StreamWriter) -> bool:
    """Run a lookup; name the limit while in need."""
    engine.run(request)
    await asyncio.sleep(0.02)
    headers = engine.head(request)
    if need.is_set():
        headers["Server-Limit"] = NAMED
        first_named.append(engine.record.now())
    writer.write(kit.response(200, headers, b"status of " + request.id.encode()))
    return True


async def check(world: kit.World) -> bool:
    """Whether the engine gets no more requests than the rule allows."""
    world.store.put("op", "config", CONFIG)
    engine = await world.add_engine("i-desk-1", "desk", answer)
    gateway = await world.add_gateway("edge-a-1")
    await gateway.wait_ready()
    started_at = world.record.now()
    calls: list[asyncio.Task[kit.Answer]] = []
    while (now := world.record.now()) < started_at + SECONDS:
        if kit.trouble() and now >= started_at + NEED_FROM and not need.is_set():
            world.record.line(f"the engine names Server-Limit: {NAMED} from now on")
            need.set()
        headers = {"Host": HOST, "X-Attempt-Id": kit.new_id(), "X-Deadline-Ms": "4000"}
        calls.append(
            asyncio.create_task(kit.call(gateway.frontend, "GET", "/lookup/1", headers))
        )
        await asyncio.sleep(1 / RATE)
    answers = await asyncio.gather(*calls)
    for sent in answers:
        world.record.line(f"requester {sent.id}: status {sent.status}")
    passed_on = [a for a in answers if "server-limit" in a.headers]
    served = sum(a.status == 200 for a in answers)
    if not served:
        raise RuntimeError("no lookup was served")
    allowed = FACTOR * float(NAMED) * WINDOW + SLACK
    most = 0
    if first_named:
        times = [at for _, at in engine.arrivals if at >= first_named[0] + STABLE]
        most = max(sum(start <= at < start + WINDOW for at in times) for start in times)
    summary = (
        f"{len(answers)} lookups, {served} served; named: {NAMED if first_named else None}, "
        f"passed on to {len(passed_on)} requesters; most arrivals in 4 s: {most}, "
        f"allowed: {allowed:.1f}"
    )
    world.record.line(summary)
    print(summary)
    return most <= allowed


if __name__ == "__main__":
    kit.main(__file__, check)
