"""A gateway freezes for less than three seconds while engines of two software versions serve."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from kit import Engine, Node, Store, config, has_trouble, main, send  # noqa: E402

RATE = 14.9  # streams a second to the first gateway: what the site sends of manifest-review
FREEZES = 16
FREEZE = 2.8  # seconds; the site's days freeze machines for up to 4.5
CALM = 2.2  # seconds between two freezes
TIME_LIMIT = 5.0  # seconds that a requester waits in all
GAP = 2.4  # seconds: four times the objective of 0.6; eight times the pause of 0.3 is as much
EVENTS, PAUSE = 13, 0.08  # of a stream; about a second
ZONES = {"inverness-a": "scot-north", "perth-b": "scot-north"}


class Requesters:
    """Send streams; a requester that abandons one takes it up once, at the other gateway."""

    def __init__(self, record, first, second):
        self.record, self.first, self.second = record, first, second
        self.number, self.random = 0, random.Random(7)
        self.mixed, self.resumed, self.whole, self.refused = [], 0, 0, 0
        self.tasks = set()

    def id(self):
        self.number += 1
        return f"{self.number:016x}"

    def prompt(self, number):
        parts = f"5c1e07a2:800,91bd3f06:410,{number:08x}:250"
        return {
            "X-Key": "key-huka270", "X-Model-Name": "m", "X-Token-Usage": "1460,52",
            "X-Prompt-Prefix": parts,
        }

    async def stream(self):
        """One request: an attempt, and another if its stream stops midway."""
        begin, id_ = time.monotonic(), self.id()
        headers = self.prompt(self.number)
        first = await send(self.first.port, "/lohu930/2f", id_, TIME_LIMIT, headers, GAP)
        self.record("answer", id_, first.status, versions(first), len(first.events), first.complete)
        if first.complete or not first.events:
            self.whole += first.complete and first.status == 200
            return
        left = TIME_LIMIT - (time.monotonic() - begin)
        again = self.id()
        headers |= {"Last-Event-Id": str(first.events[-1][0]), "Resumes": id_}
        second = await send(self.second.port, "/lohu930/2f", again, left, headers, GAP)
        both = versions(first) | versions(second)
        self.record("take-up", id_, again, second.status, versions(second), len(second.events))
        self.resumed += bool(second.events)
        self.refused += not second.events
        if len(both) > 1:
            self.mixed.append(f"{id_} {again}: {sorted(both)}")

    async def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            task = asyncio.ensure_future(self.stream())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.random.expovariate(RATE))

    async def rest(self):
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=TIME_LIMIT + 1)


def versions(answer):
    """Return the software versions of the engines whose events an answer holds."""
    return {text.split(" ")[0] for _, text in answer.events}


async def check(folder, record, nodes):
    store = Store()
    engines = [Engine(f"i-{n}", "v1", EVENTS, PAUSE, log=record) for n in range(1, 4)]
    for engine in engines:
        await engine.start()
        store.put("servers", engine.id, engine.entry("huvo11a", "inverness-a"))
    store.put("op", "config", config(1, {"huka270": 10**9}))
    first = Node(folder, "edge-inverness-a-1", "inverness-a", ZONES, await store.listen("a"))
    second = Node(folder, "edge-perth-b-1", "perth-b", ZONES, await store.listen("b"))
    nodes += [first, second]
    for node in nodes:
        node.start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(3)
    # The machines are stopped and started in turn, as for an update, before any trouble.
    for node in nodes:
        node.signal(signal.SIGTERM)
        await node.ended(8)
        node.start()
        await node.wait_ready()
        await asyncio.sleep(1.5)
    record("updated", "both gateways were stopped and started in turn")
    requesters = Requesters(record, first, second)
    await requesters.run(2)
    for number in (4, 5, 6):
        engine = Engine(f"i-{number}", "v2", EVENTS, PAUSE, log=record)
        await engine.start()
        engines.append(engine)
        store.put("servers", engine.id, engine.entry("huvo11a", "perth-b"))
    record("release", "three engines of v2 serve beside three of v1")
    await requesters.run(3)
    for _ in range(FREEZES):
        if has_trouble():
            record("freeze", first.name)
            first.signal(signal.SIGSTOP)
            # No new channels come to a machine that does not answer: a few have come already.
            await asyncio.sleep(FREEZE)
            first.signal(signal.SIGCONT)
            record("wakes", first.name)
        await requesters.run(CALM)
    await requesters.rest()
    record(
        "seen", f"whole {requesters.whole}, taken up {requesters.resumed},",
        f"not taken up {requesters.refused}, of two versions {len(requesters.mixed)}",
    )
    print(record.lines[-1])
    # ORDER: more than two streams hold events from engines of two software versions.
    return requesters.mixed if len(requesters.mixed) > 2 else []


if __name__ == "__main__":
    main(check, Path(__file__).with_name("record.txt"))
