"""After the kill of a gateway, no stream of a split route is taken up at the other gateways.

A resumable streaming route is split between two model services, each with two engines of one
software version. Requesters read streams at two gateways. One of these is killed and started again;
requesters take their streams up at the other one, naming the first attempt in ``Resumes``.

``SPLIT=0`` shows the same kill on a route with one service.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import kit  # noqa: E402

RATE = 10.0  # new streams a second at each gateway
EVENTS, EVENT_GAP = 40, 0.1  # events of a stream, and seconds between them
KILL_AT = 8.0  # seconds from the start of traffic
RESTART = 1.0  # seconds until the killed process is started again
SECONDS = 20.0  # seconds of traffic
TIMEOUT = 15.0  # seconds, X-Deadline-Ms
MAX_TRIES = 3  # of a requester that takes a stream up
MIN_TAKEN_UP = 12
HOST, KEY = "review.example", "k1"
SPLIT = os.environ.get("SPLIT", "1") != "0"


def config() -> dict[str, object]:
    """Return the operator's config."""
    route: dict[str, object] = {
        "name": "review",
        "host": HOST,
        "pathPrefix": "/review/",
        "kind": "streaming",
        "timeoutMs": 15000,
        "targetLatencyMs": 600,
        "priority": 0,
        "maxAttempts": 2,
        "anonymous": False,
        "sticky": True,
        "resumable": True,
        "targetItlMs": 300,
    }
    if SPLIT:
        shares = [{"service": "model-a", "weight": 90}, {"service": "model-b", "weight": 10}]
        route["trafficSplit"] = shares
    else:
        route["service"] = "model-a"
    return {
        "version": 1,
        "routeTable": [route],
        "services": [
            {"name": name, "maxConnections": 360, "backend": {"slots": 64, "stride": 4}}
            for name in ("model-a", "model-b")
        ],
        "tenants": [{"name": "harbour", "apiKeys": [KEY], "priority": 1}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "idleTimeoutMs": 15000},
    }


async def write_stream(
    engine: kit.Engine, request: kit.Request, writer: asyncio.StreamWriter
) -> bool:
    """Write the events after ``Last-Event-Id``."""
    engine.run(request)
    writer.write(kit.stream_head(engine, request))
    for number in range(int(request.headers.get("last-event-id", "0")) + 1, EVENTS + 1):
        writer.write(kit.chunk(kit.event(number, f"piece of {engine.version}")))
        await asyncio.sleep(EVENT_GAP)
        if writer.transport.is_closing():
            return False
    writer.write(b"0\r\n\r\n")
    return True


class Requester:
    """One stream, which is taken up at another gateway if its channel breaks."""

    def __init__(self, world: kit.World, number: int) -> None:
        self.world, self.number = world, number
        self.first: kit.Answer | None = None
        self.tries: list[kit.Answer] = []

    @property
    def goes_on(self) -> bool:
        """Whether a try brought an event."""
        return any(answer.events for answer in self.tries)

    async def run(self, gateway: kit.Gateway, other: kit.Gateway) -> None:
        """Read the stream; take it up at the other gateway if it broke off after an event."""
        deadline = self.world.record.now() + TIMEOUT
        self.first = await self._send(gateway, deadline, "", "")
        last = max(self.first.events, default=0)
        if self.first.complete or not last:
            return
        for _ in range(MAX_TRIES):
            answer = await self._send(other, deadline, str(last), self.first.id)
            self.tries.append(answer)
            if answer.events or answer.status == 200:
                return
            left = deadline - self.world.record.now()
            wait = float(answer.headers.get("retry-after", "0.2"))
            await asyncio.sleep(min(wait, left / 3))

    async def _send(
        self, gateway: kit.Gateway, deadline: float, last: str, resumes: str
    ) -> kit.Answer:
        left = deadline - self.world.record.now()
        headers = {
            "Host": HOST,
            "X-Attempt-Id": kit.new_id(),
            "X-Deadline-Ms": str(int(left * 1000)),
            "X-Key": KEY,
            "X-Model-Name": "m",
            "X-Token-Usage": "900,160",
            "X-Prompt-Prefix": f"5c1e07a2:800,{self.number:08x}:100",
        }
        if last:
            headers |= {"Last-Event-Id": last, "Resumes": resumes}
        sent_at = self.world.record.now()
        body = f"{{{self.number}}}".encode()
        answer = await kit.call(
            gateway.frontend, "POST", f"/review/{self.number}", headers, body, timeout=left
        )
        answer.sent_at = sent_at
        events = answer.events
        self.world.record.line(
            f"stream {self.number} at {gateway.name}, sent at {sent_at:.3f}, after event "
            f"{last or 0}: status {answer.status}, events {events[:1]} to {events[-1:]}, "
            f"complete {answer.complete}"
        )
        return answer


async def check(world: kit.World) -> bool:
    """Whether enough of the streams that are taken up go on."""
    world.store.put("op", "config", config())
    for service in ("model-a", "model-b"):
        for number in (1, 2):
            await world.add_engine(f"i-{service}-{number}", service, write_stream)
    killed = await world.add_gateway("edge-a-1", "harbour-a")
    kept = await world.add_gateway("edge-b-1", "harbour-b")
    for gateway in world.gateways:
        await gateway.wait_ready()
    await asyncio.sleep(3.0)
    started_at = world.record.now()
    requesters: list[Requester] = []
    tasks: list[asyncio.Task[None]] = []
    is_killed = not kit.trouble()
    alive = True
    while (now := world.record.now() - started_at) < SECONDS:
        pairs = [(kept, killed), (killed, kept)] if alive else [(kept, killed)]
        for gateway, other in pairs:
            requester = Requester(world, len(requesters))
            requesters.append(requester)
            tasks.append(asyncio.create_task(requester.run(gateway, other)))
        if not is_killed and now >= KILL_AT:
            world.record.line(f"SIGKILL to {killed.name}")
            killed.signal(signal.SIGKILL)
            is_killed, alive = True, False
            killed_at = now
        if not alive and now >= killed_at + RESTART and killed.process.returncode is not None:
            world.record.line(f"{killed.name} is started again")
            await killed.start()
            alive = True
            await killed.wait_ready()
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    new = [r.first for r in requesters if r.first is not None]
    begun = [answer for answer in new if answer.events]
    taken_up = [r for r in requesters if r.tries]
    gone_on = [r for r in taken_up if r.goes_on]
    statuses = sorted({answer.status for r in taken_up for answer in r.tries})
    summary = (
        f"{len(new)} new streams, {len(begun)} began; {len(taken_up)} taken up, "
        f"{len(gone_on)} went on; statuses of the tries: {statuses}"
    )
    world.record.line(summary)
    print(summary)
    if not begun or (kit.trouble() and len(taken_up) < MIN_TAKEN_UP):
        raise RuntimeError("too few streams")
    if len(taken_up) < MIN_TAKEN_UP:
        return True
    return len(gone_on) / len(taken_up) >= len(begun) / len(new) / 2


if __name__ == "__main__":
    kit.main(__file__, check)
