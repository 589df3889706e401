"""Latency of other customers while one large customer floods the fleet with requests."""

import asyncio
import time
from collections import Counter
from pathlib import Path

from hdrh.histogram import HdrHistogram

from bilberryshed_load._callers import LoadRequest, send_request
from bilberryshed_load._fleet import Fleet, running_fleet
from bilberryshed_load._plans import DEPLOYMENTS
from bilberryshed_load._tally import histogram, milliseconds

FLOODING_CUSTOMER = "strathmore-roads"
OTHER_CUSTOMERS = ("highland-council", "moray-council", "borders-council", "own-drivers")
MAX_TOKENS = 32


def measure_flood(etc: Path, seconds: float, rate: float, callers: int) -> None:
    """Print first-token latency and refusals of the other customers, without and with the flood.

    :param seconds: duration of each run
    :param rate: requests per second of the other customers
    :param callers: concurrent callers of the flooding customer, each sending without pause
    """
    with running_fleet(DEPLOYMENTS["cairnbrae"], etc) as fleet:
        for name, flood_callers in (("without flood", 0), ("with flood", callers)):
            first_token, refused, served = asyncio.run(_run(fleet, seconds, rate, flood_callers))
            percentiles = " ".join(f"p{p}={milliseconds(first_token, p):.1f}" for p in (50, 95, 99))
            print(
                f"{name}: others' first token, ms: {percentiles}; refused {dict(refused)}; "
                f"flooding customer served {served}",
                flush=True,
            )


async def _run(
    fleet: Fleet, seconds: float, rate: float, flood_callers: int
) -> tuple[HdrHistogram, Counter[str], int]:
    first_token, refused, served = histogram(), Counter[str](), [0]
    deadline = time.monotonic() + seconds
    routers = fleet.plan.router_urls

    async def flood(caller: int) -> None:
        sequence = 0
        while time.monotonic() < deadline:
            sequence += 1
            load_request = _build_request(FLOODING_CUSTOMER, f"flood {caller} {sequence}")
            result = await send_request(routers[(caller + sequence) % len(routers)], load_request)
            served[0] += result.complete
            if not result.complete:
                await asyncio.sleep(0.1)

    async def send_regular(number: int) -> None:
        load_request = _build_request(
            OTHER_CUSTOMERS[number % len(OTHER_CUSTOMERS)], f"usual {flood_callers} {number}"
        )
        result = await send_request(routers[number % len(routers)], load_request)
        if result.complete:
            first_token.record_value(max(1, int(result.first_token * 1e6)))
        else:
            refused[result.code or str(result.status)] += 1

    tasks = [asyncio.create_task(flood(caller)) for caller in range(flood_callers)]
    started_at, number = time.monotonic(), 0
    while time.monotonic() < deadline:
        await asyncio.sleep(max(0.0, started_at + number / rate - time.monotonic()))
        tasks.append(asyncio.create_task(send_regular(number)))
        number += 1
    await asyncio.gather(*tasks)
    return first_token, refused, served[0]


def _build_request(customer: str, prompt: str) -> LoadRequest:
    return LoadRequest(customer, "", "drivers", prompt=prompt, max_tokens=MAX_TOKENS)
