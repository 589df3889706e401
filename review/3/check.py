"""A gateway that the store turns away takes streams up at another software version.

Three gateways and six model engines of version v1 serve a resumable streaming route. A release
begins: three engines of version v2 start, three of the old ones drain. At that moment the store
turns one gateway away, with 503. A second gateway, which has begun streams at v2, is killed 1.3 s
later. Requesters take its streams up at the two other ones.
"""

import asyncio
import random
import re
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import kit  # noqa: E402

RATE = 25.0  # new streams a second at each gateway
EVENTS, EVENT_GAP = 25, 0.1  # events of a stream, and seconds between them
TURNED_AWAY_AT, TURNED_AWAY = 8.0, 5.0  # seconds from the start of traffic, and how long
RELEASE_AT, RELEASED, DRAIN_TIME = 8.1, 3, 5.0  # seconds, engines that are replaced, seconds
KILL_AT, RESTART = 9.3, 1.0  # seconds
SECONDS = 18.0  # of traffic
TIMEOUT = 15.0  # seconds, X-Deadline-Ms
MAX_TRIES = 3  # of a requester that takes a stream up
MAX_MIXED = 2  # streams of two versions that the rule allows
HOST, KEY = "review.example", "k1"
CONFIG = {
    "version": 1,
    "routeTable": [
        {
            "name": "review",
            "host": HOST,
            "pathPrefix": "/review/",
            "kind": "streaming",
            "timeoutMs": 15000,
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
    "services": [{"name": "model", "maxConnections": 360, "backend": {"slots": 64, "stride": 4}}],
    "tenants": [{"name": "harbour", "apiKeys": [KEY], "priority": 1}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "idleTimeoutMs": 15000},
}


async def write_stream(
    engine: kit.Engine, request: kit.Request, writer: asyncio.StreamWriter
) -> bool:
    """Write the events after ``Last-Event-Id``, each with the version that wrote it."""
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
        self.answers: list[kit.Answer] = []

    @property
    def versions(self) -> list[str]:
        """Versions of the events that the requester got, over all of its tries."""
        text = b"".join(answer.body for answer in self.answers)
        return sorted({found.decode() for found in re.findall(rb"piece of (\S+)\n", text)})

    async def run(self, gateway: kit.Gateway) -> None:
        """Read the stream; take it up at another gateway if it broke off after an event."""
        deadline = self.world.record.now() + TIMEOUT
        first = await self._send(gateway, deadline, "", "")
        last = max(first.events, default=0)
        if first.complete or not last:
            return
        others = [other for other in self.world.gateways if other is not gateway]
        for _ in range(MAX_TRIES):
            answer = await self._send(random.choice(others), deadline, str(last), first.id)
            if answer.events or answer.status == 200:
                return
            left = deadline - self.world.record.now()
            wait = float(answer.headers.get("retry-after", "0.2"))
            await asyncio.sleep(min(wait, left / 3))

    async def _send(
        self, gateway: kit.Gateway, deadline: float, last: str, resumes: str
    ) -> kit.Answer:
        left = deadline - self.world.record.now()
        parts = f"5c1e07a2:600,{self.number % 40:04x}:200,{self.number:08x}:100"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": kit.new_id(),
            "X-Deadline-Ms": str(int(left * 1000)),
            "X-Key": KEY,
            "X-Model-Name": "m",
            "X-Token-Usage": "900,100",
            "X-Prompt-Prefix": parts,
        }
        if last:
            headers |= {"Last-Event-Id": last, "Resumes": resumes}
        sent_at = self.world.record.now()
        try:
            answer = await kit.call(
                gateway.frontend,
                "POST",
                f"/review/{self.number}",
                headers,
                f"{{{self.number}}}".encode(),
                timeout=left,
            )
        except OSError:
            answer = kit.Answer(headers["X-Attempt-Id"])
        self.answers.append(answer)
        events = answer.events
        versions = sorted(set(re.findall(rb"piece of (\S+)\n", answer.body)))
        self.world.record.line(
            f"stream {self.number} at {gateway.name}, sent at {sent_at:.3f}, after event "
            f"{last or 0}: status {answer.status}, events {events[:1]} to {events[-1:]} of "
            f"{versions}, complete {answer.complete}"
        )
        return answer


async def disturb(world: kit.World, front: kit.StoreFront) -> None:
    """Replace engines as planned; turn one gateway away from the store, kill another one."""
    killed = world.gateways[0]

    async def until(seconds: float) -> None:
        await asyncio.sleep(max(0.0, world.traffic_at + seconds - world.record.now()))

    await until(TURNED_AWAY_AT)
    if kit.trouble():
        world.record.line("the store rejects the calls of edge-b-1")
        front.is_busy = True
    await until(RELEASE_AT)
    old = world.engines[:RELEASED]
    for number in range(1, RELEASED + 1):
        world.record.line(f"engine i-new-{number} of version v2 starts")
        await world.add_engine(f"i-new-{number}", "model", write_stream, version="v2")
    await asyncio.sleep(0.3)
    for engine in old:
        engine.drain(DRAIN_TIME)
    await until(KILL_AT)
    if kit.trouble():
        world.record.line(f"SIGKILL to {killed.name}")
        killed.signal(signal.SIGKILL)
        await asyncio.sleep(RESTART)
        world.record.line(f"{killed.name} is started again")
        await killed.start()
    await until(TURNED_AWAY_AT + TURNED_AWAY)
    front.is_busy = False
    world.record.line("the store serves edge-b-1 again")


async def check(world: kit.World) -> bool:
    """Whether hardly any stream holds events of two versions."""
    world.store.put("op", "config", CONFIG)
    for number in range(1, 7):
        await world.add_engine(f"i-old-{number}", "model", write_stream)
    front = await world.store.add_front()
    await world.add_gateway("edge-a-1", "harbour-a")
    await world.add_gateway("edge-b-1", "harbour-b", front)
    await world.add_gateway("edge-c-1", "harbour-c")
    for gateway in world.gateways:
        await gateway.wait_ready()
    await asyncio.sleep(3.0)
    world.traffic_at = world.record.now()
    disturbing = asyncio.create_task(disturb(world, front))
    requesters: list[Requester] = []
    tasks: list[asyncio.Task[None]] = []
    while world.record.now() < world.traffic_at + SECONDS:
        for gateway in world.gateways:
            requester = Requester(world, len(requesters))
            requesters.append(requester)
            tasks.append(asyncio.create_task(requester.run(gateway)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks, disturbing)
    mixed = [r for r in requesters if len(r.versions) > 1]
    for requester in mixed:
        world.record.line(f"stream {requester.number} holds events of {requester.versions}")
    begun = sum(bool(r.answers[0].events) for r in requesters)
    taken_up = sum(len(r.answers) > 1 for r in requesters)
    by_v2 = sum("v2" in r.versions for r in requesters)
    summary = (
        f"{len(requesters)} streams, {begun} began, {by_v2} with events of v2; {taken_up} taken up; "
        f"with events of two versions: {len(mixed)}, allowed: {MAX_MIXED}"
    )
    world.record.line(summary)
    print(summary)
    if not by_v2 or begun * 2 < len(requesters):
        raise RuntimeError("too few streams")
    return len(mixed) <= MAX_MIXED


if __name__ == "__main__":
    kit.main(__file__, check)
