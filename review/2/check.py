"""After a gateway machine was taken away for good, a drill of the store freezes all prepaid budgets.

Three gateways serve one tenant with a large prepaid total. One of them is taken away by SIGTERM, as
planned, and ends. Some seconds later the store comes back from a copy that is younger than that. The
two other gateways run all the while. A final fault, the kill of all processes, ends the day.

``REMOVE=0`` leaves out the removal, ``DRILL=0`` the drill.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import kit  # noqa: E402

REMOVE_AT = 6.0  # seconds from the start of traffic
COPY_AT, AWAY, COPY_AGE = 20.0, 0.5, 4.0  # the copy, and how old it is at the drill
FINAL_AT, RESTART = 56.0, 1.0  # the kill of all processes, and seconds until they are started
RECOVERY = 12.0  # seconds, recoveryS
SECONDS = 84.0
RATE = 12.0  # requests a second
PROMPT, OUTPUT, STRIDE, EVENTS = 900, 40, 4, 10
PREPAID = 4_000_000  # about three times what all requests of the run can use
HOST, KEY = "review.example", "k1"
WITH_DRILL = kit.trouble() and os.environ.get("DRILL", "1") != "0"
WITH_REMOVAL = os.environ.get("REMOVE", "1") != "0"
CONFIG = {
    "version": 1,
    "routeTable": [
        {
            "name": "review",
            "host": HOST,
            "pathPrefix": "/review/",
            "kind": "streaming",
            "timeoutMs": 5000,
            "targetLatencyMs": 600,
            "priority": 0,
            "service": "model",
            "maxAttempts": 2,
            "anonymous": False,
            "sticky": True,
            "resumable": True,
            "targetItlMs": 300,
        }
    ],
    "services": [
        {"name": "model", "maxConnections": 360, "backend": {"slots": 64, "stride": STRIDE}}
    ],
    "tenants": [{"name": "harbour", "apiKeys": [KEY], "priority": 1, "prepaid": PREPAID}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "idleTimeoutMs": 15000},
}


async def write_stream(
    engine: kit.Engine, request: kit.Request, writer: asyncio.StreamWriter
) -> bool:
    """Write the events after ``Last-Event-Id``."""
    engine.run(request)
    writer.write(kit.stream_head(engine, request))
    for number in range(int(request.headers.get("last-event-id", "0")) + 1, EVENTS + 1):
        writer.write(kit.chunk(kit.event(number, "piece")))
        await asyncio.sleep(0.02)
    writer.write(b"0\r\n\r\n")
    return True


async def send(world: kit.World, gateway: kit.Gateway) -> kit.Answer:
    """Send one request."""
    id_ = kit.new_id()
    headers = {
        "Host": HOST,
        "X-Attempt-Id": id_,
        "X-Deadline-Ms": "5000",
        "X-Key": KEY,
        "X-Model-Name": "m",
        "X-Token-Usage": f"{PROMPT},{OUTPUT}",
        "X-Prompt-Prefix": f"5c1e07a2:800,{id_[:8]}:100",
    }
    sent_at = world.record.now()
    body = f'{{"prompt": "{id_}"}}'.encode()
    try:
        answer = await kit.call(
            gateway.frontend, "POST", f"/review/{id_}", headers, body, timeout=5.0
        )
    except OSError:
        answer = kit.Answer(id_)
    answer.sent_at = sent_at
    world.record.line(
        f"request {id_} at {gateway.name}, sent at {sent_at:.3f}: status {answer.status}, "
        f"{len(answer.events)} events, complete {answer.complete}"
    )
    return answer


async def disturb(world: kit.World) -> None:
    """Take away a gateway, restore the store, and kill all processes at the end."""
    await asyncio.sleep(REMOVE_AT)
    leaving = world.gateways[-1]
    if WITH_REMOVAL:
        world.record.line(f"SIGTERM to {leaving.name}, which leaves for good")
        world.gateways.remove(leaving)
        leaving.signal(signal.SIGTERM)
        assert leaving.process is not None
        await asyncio.wait_for(leaving.process.wait(), 9.0)
        world.record.line(f"{leaving.name} has ended with {leaving.process.returncode}")
    await asyncio.sleep(max(0.0, world.traffic_at + COPY_AT - world.record.now()))
    copy = world.store.copy()
    world.record.line("a copy of the store is made")
    await asyncio.sleep(COPY_AGE - AWAY)
    if WITH_DRILL:
        world.store.go_away()
        await asyncio.sleep(AWAY)
        world.store.restore(copy)
        world.record.line(f"the store is back from that copy, Store-Era {world.store.era}")
    await asyncio.sleep(max(0.0, world.traffic_at + FINAL_AT - world.record.now()))
    world.record.line("SIGKILL to all gateways")
    for gateway in world.gateways:
        gateway.signal(signal.SIGKILL)
    await asyncio.sleep(RESTART)
    for gateway in world.gateways:
        await gateway.start()


async def check(world: kit.World) -> bool:
    """Whether a quarter of the requests is served after the final fault."""
    world.store.put("op", "config", CONFIG)
    for number in (1, 2, 3):
        await world.add_engine(f"i-model-{number}", "model", write_stream)
    for zone in ("a", "b", "c"):
        await world.add_gateway(f"edge-{zone}-1", f"harbour-{zone}")
    for gateway in world.gateways:
        await gateway.wait_ready()
    await asyncio.sleep(2.0)
    world.traffic_at = world.record.now()
    disturbing = asyncio.create_task(disturb(world))
    calls: list[asyncio.Task[kit.Answer]] = []
    while (now := world.record.now() - world.traffic_at) < SECONDS:
        gateway = world.gateways[len(calls) % len(world.gateways)]
        calls.append(asyncio.create_task(send(world, gateway)))
        await asyncio.sleep(1 / RATE)
    answers = await asyncio.gather(*calls)
    await disturbing

    def part(since: float, until: float) -> tuple[int, int, int]:
        found = [a for a in answers if since <= a.sent_at - world.traffic_at < until]
        served = sum(a.status == 200 and a.complete for a in found)
        return served, len(found), sum(a.status == 503 for a in found)

    used = sum(PROMPT + OUTPUT for answer in answers if answer.events)
    before, after = part(0, FINAL_AT), part(FINAL_AT + RESTART + RECOVERY, SECONDS)
    spans = [part(t, t + 5) for t in range(0, int(SECONDS), 5)]
    world.record.line(f"served, sent, 503 in spans of 5 s: {spans}")
    summary = (
        f"served before the final fault: {before[0]} of {before[1]}; from {RECOVERY} s after it: "
        f"{after[0]} of {after[1]}, 503: {after[2]}; the tenant got at most {used} of {PREPAID} tokens"
    )
    world.record.line(summary)
    print(summary)
    if before[0] * 4 < before[1]:
        raise RuntimeError("less than a quarter was served before the final fault")
    return after[0] * 4 >= after[1]


if __name__ == "__main__":
    kit.main(__file__, check)
