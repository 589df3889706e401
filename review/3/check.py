"""A late second copy of a rejection makes the gateway send a booking that runs to a second engine.

Two engines take bookings, each with two slots and a queue of two; a full engine rejects a request
as ``fleetbench wire`` shows it: 503 with ``X-Not-Executed``. The disruption is ``garble``, ``extra
late``: one of the two engines sends a second copy of 3 in 100 of its answers, at the point where
the next answer on that channel is expected, in spells of 5 s. The pages leave open which answers
those are; here they are rejections.
"""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import kit  # noqa: E402

SECONDS = 80.0
BURST = (1, 10)  # bookings that come at once at one gateway, drawn each time
BURST_INTERVAL = 0.12  # seconds between bursts
WORK = 0.06  # seconds of a booking
SLOTS, QUEUE = 2, 2
EXTRA_SHARE = 0.03  # of the answers that a faulty engine sends once more, at most
SPELL, PAUSE = 5.0, 5.0  # seconds of a spell of this trouble, and between two spells
CONFIG = {
    "version": 1,
    "routeTable": [
        {
            "name": "book",
            "host": "review.example",
            "pathPrefix": "/book/",
            "kind": "non_idempotent",
            "timeoutMs": 2000,
            "targetLatencyMs": 300,
            "priority": 2,
            "service": "desk",
            "maxAttempts": 1,
            "anonymous": True,
        }
    ],
    "services": [{"name": "desk", "healthPath": "/healthz", "maxConnections": 100}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


class Desk:
    """A booking engine's work: slots, a queue, and the answers that it sends once more."""

    def __init__(self, is_faulty: bool) -> None:
        self.is_faulty = is_faulty
        self.slots = asyncio.Semaphore(SLOTS)
        self.present = 0
        self.extra: dict[asyncio.StreamWriter, bytes] = {}
        self.budget = 0.0

    def sends_again(self, answer: bytes, now: float) -> bool:
        """Whether an answer is one of the 3 in 100 that are sent once more."""
        if not self.is_faulty or now % (SPELL + PAUSE) >= SPELL:
            return False
        self.budget += EXTRA_SHARE
        if self.budget < 1 or b" 503 " not in answer[:16]:
            return False
        self.budget -= 1
        return True

    async def behave(
        self, engine: kit.Engine, request: kit.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a booking, or reject it while slots and queue are full."""
        late = self.extra.pop(writer, None)
        if late is not None:
            engine.record.line(
                f"engine {engine.id} sends a second copy of an earlier answer "
                f"({late[:40]!r}) where that to {request.id} is due"
            )
            writer.write(late)
        if self.present >= SLOTS + QUEUE:
            answer = kit.response(503, {"X-Not-Executed": "1"})
            engine.record.line(f"engine {engine.id} rejects {request.id}")
        else:
            self.present += 1
            async with self.slots:
                engine.run(request)
                await asyncio.sleep(WORK)
            self.present -= 1
            answer = kit.response(200, engine.head(request), b"booked " + request.id.encode())
        writer.write(answer)
        if self.sends_again(answer, engine.record.now()):
            self.extra[writer] = answer
        return True


async def check(world: kit.World) -> bool:
    """Send bookings; whether none ran more than once."""
    world.store.put("op", "config", CONFIG)
    for number in (1, 2):
        desk = Desk(is_faulty=kit.trouble() and number == 1)
        await world.add_engine(f"i-desk-{number}", "desk", desk.behave)
    for zone in ("a", "b", "c"):
        await world.add_gateway(f"edge-{zone}-1", f"harbour-{zone}")
    for gateway in world.gateways:
        await gateway.wait_ready()
    calls: list[asyncio.Task[kit.Answer]] = []
    deadline = world.record.now() + SECONDS
    while world.record.now() < deadline:
        gateway = random.choice(world.gateways)
        for _ in range(random.randint(*BURST)):
            id_ = kit.new_id()
            headers = {"Host": "review.example", "X-Attempt-Id": id_, "X-Deadline-Ms": "4000"}
            calls.append(
                asyncio.create_task(kit.call(gateway.frontend, "POST", "/book/1", headers, b"{}"))
            )
        await asyncio.sleep(BURST_INTERVAL)
    answers = await asyncio.gather(*calls)
    await asyncio.sleep(1.0)
    runs = Counter(id_ for engine in world.engines for id_, _ in engine.runs)
    for answer in answers:
        world.record.line(
            f"requester {answer.id}: status {answer.status}, ran {runs[answer.id]} times"
        )
    statuses = Counter(answer.status for answer in answers)
    repeated = [answer for answer in answers if runs[answer.id] > 1]
    refused = [a for a in answers if a.status in (429, 503, 408, 421) and runs[a.id]]
    summary = (
        f"{len(answers)} bookings, answers {dict(statuses)}, "
        f"ran more than once: {len(repeated)}, refused although run: {len(refused)}"
    )
    world.record.line(summary)
    print(summary)
    if not statuses[200]:
        raise RuntimeError("no booking was served")
    return not repeated and not refused


if __name__ == "__main__":
    kit.main(__file__, check)
