"""All gateways are killed in a drill of the store, shortly after engines of a new version joined.

TROUBLE=0 leaves both out; TROUBLE=kill and TROUBLE=drill bring about only the one or the other.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from kit import Engine, Node, Store, config, main, send  # noqa: E402

RATE = 14.9  # streams a second: what the site sends of manifest-review
TIME_LIMIT = 5.0  # seconds that a requester waits in all
GAP = 2.4  # seconds: four times the objective of 0.6; eight times the pause of 0.3 is as much
PAUSE_BEFORE_RETRY = 2.4  # seconds until a requester whose channel was closed tries again
EVENTS, PAUSE = 40, 0.1  # of a stream; about four seconds
COPY_AGE = 4.0  # seconds by which the copy is older than the store
AWAY = 0.7  # seconds for which the store is away
DOWN = 1.2  # seconds until killed processes start again
ZONES = {"inverness-a": "scot-north", "perth-b": "scot-north"}


class Requesters:
    """Send streams; a requester whose stream breaks off takes it up once, at the other gateway."""

    def __init__(self, record, first, second):
        self.record, self.first, self.second = record, first, second
        self.number = 0
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
        nodes = (self.first, self.second) if self.number % 2 else (self.second, self.first)
        first = await send(nodes[0].port, "/lohu930/2f", id_, TIME_LIMIT, headers, GAP)
        self.record("answer", id_, first.status, versions(first), len(first.events), first.complete)
        if first.complete or not first.events:
            self.whole += first.complete and first.status == 200
            return
        await asyncio.sleep(PAUSE_BEFORE_RETRY)
        left = TIME_LIMIT - (time.monotonic() - begin)
        if left < 0.3:
            return
        again = self.id()
        headers |= {"Last-Event-Id": str(first.events[-1][0]), "Resumes": id_}
        second = await send(nodes[1].port, "/lohu930/2f", again, left, headers, GAP)
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
            await asyncio.sleep(1 / RATE)

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
    store.put("op", "config", config(1))
    first = Node(folder, "edge-inverness-a-1", "inverness-a", ZONES, await store.listen("a"))
    second = Node(folder, "edge-perth-b-1", "perth-b", ZONES, await store.listen("b"))
    nodes += [first, second]
    for node in nodes:
        node.start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(3)
    requesters = Requesters(record, first, second)
    running = asyncio.ensure_future(requesters.run(4.5 + COPY_AGE))
    await asyncio.sleep(4)
    copy = store.copy()
    await asyncio.sleep(0.5)
    for number in (4, 5, 6):
        engine = Engine(f"i-{number}", "v2", EVENTS, PAUSE, log=record)
        await engine.start()
        engines.append(engine)
        store.put("servers", engine.id, engine.entry("huvo11a", "perth-b"))
    record("release", "three engines of v2 serve beside three of v1")
    await asyncio.sleep(COPY_AGE - 0.5)
    running.cancel()
    trouble = os.environ.get("TROUBLE", "1")
    if trouble in ("1", "drill"):
        store.away = True
        record("drill", "the store is away")
    if trouble in ("1", "kill"):
        for node in nodes:
            node.process.kill()
            node.process.wait()
        record("kill", "all gateways")
    await asyncio.sleep(AWAY)
    if trouble in ("1", "drill"):
        store.restore(copy)
        store.away = False
        record("drill", f"the store is back from a copy that is {COPY_AGE} s older")
    await asyncio.sleep(DOWN - AWAY)
    for node in nodes:
        if not node.alive:
            node.start()
    for node in nodes:
        await node.wait_ready()
    record("back", "all gateways are ready")
    await asyncio.sleep(TIME_LIMIT + 0.5)
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
