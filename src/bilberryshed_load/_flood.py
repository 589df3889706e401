"""One large customer floods the fleet while others ask their usual questions."""

import asyncio
import time
from collections import Counter
from pathlib import Path

from hdrh.histogram import HdrHistogram

from bilberryshed_load._callers import Question, ask
from bilberryshed_load._fleet import Fleet, running_fleet
from bilberryshed_load._plans import DEPLOYMENTS
from bilberryshed_load._tally import histogram, milliseconds

FLOODING = "strathmore-roads"
OTHERS = ("highland-council", "moray-council", "borders-council", "own-drivers")
MAX_TOKENS = 32


def measure_flood(etc: Path, seconds: float, rate: float, callers: int) -> None:
    """Print the others' first token and refusals without and with the flood.

    :param seconds: length of each run
    :param rate: requests a second of the other customers
    :param callers: callers of the flooding customer that ask without pause
    """
    with running_fleet(DEPLOYMENTS["cairnbrae"], etc) as fleet:
        for name, flooding in (("without flood", 0), ("with flood", callers)):
            first, refused, served = asyncio.run(_run(fleet, seconds, rate, flooding))
            shown = " ".join(f"p{p}={milliseconds(first, p):.1f}" for p in (50, 95, 99))
            print(
                f"{name}: others' first token, ms: {shown}; refused {dict(refused)}; "
                f"flooding customer served {served}",
                flush=True,
            )


async def _run(
    fleet: Fleet, seconds: float, rate: float, flooding: int
) -> tuple[HdrHistogram, Counter[str], int]:
    first, refused, served = histogram(), Counter[str](), [0]
    deadline = time.monotonic() + seconds
    routers = fleet.plan.router_urls

    async def flood(caller: int) -> None:
        turn = 0
        while time.monotonic() < deadline:
            turn += 1
            question = _question(FLOODING, f"flood {caller} {turn}")
            answer = await ask(routers[(caller + turn) % len(routers)], question)
            served[0] += answer.whole
            if not answer.whole:
                await asyncio.sleep(0.1)

    async def usual(number: int) -> None:
        question = _question(OTHERS[number % len(OTHERS)], f"usual {flooding} {number}")
        answer = await ask(routers[number % len(routers)], question)
        if answer.whole:
            first.record_value(max(1, int(answer.first * 1e6)))
        else:
            refused[answer.code or str(answer.status)] += 1

    tasks = [asyncio.create_task(flood(caller)) for caller in range(flooding)]
    began, number = time.monotonic(), 0
    while time.monotonic() < deadline:
        await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
        tasks.append(asyncio.create_task(usual(number)))
        number += 1
    await asyncio.gather(*tasks)
    return first, refused, served[0]


def _question(customer: str, prompt: str) -> Question:
    return Question(customer, "", "drivers", prompt=prompt, max_tokens=MAX_TOKENS)
