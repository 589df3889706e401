"""What a gateway adds to the first event of a stream, beside direct calls to the backend server."""

import asyncio
import logging
import random
import tempfile
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from bilberryshed.state import Address
from bilberryshed_load._soak import CUSTOMER, HOST, KEY, Soak
from bilberryshed_load._tally import histogram
from bilberryshed_standins import serve_row_store

PERCENTILES = (50, 95, 99)
PREPAID = 100_000_000  # tokens
WARM_UP = 40  # requests before counting
LEAST_PAUSE, MOST_PAUSE = 0.005, 0.03  # seconds between requests
END_OF_EVENT = b"\n\n"


async def _first_event(address: Address, id_: str) -> float:
    """Return the seconds until the first event of a stream."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    headers = (
        f"POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\nX-Attempt-Id: {id_}\r\n"
        f"X-Tenant: {CUSTOMER}\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n"
        f"X-Token-Usage: 100,20\r\nX-Prompt-Prefix: aa:60,{id_}:40\r\n\r\n"
    )
    began = time.perf_counter()
    try:
        writer.write(headers.encode())
        await reader.readuntil(b"\r\n\r\n")
        await reader.readuntil(END_OF_EVENT)
        return time.perf_counter() - began
    finally:
        writer.close()


async def _measure(requests: int, seed: int, folder: Path) -> dict[str, HdrHistogram]:
    soak = Soak(seed, folder, prepaid=PREPAID)
    server, port = serve_row_store(soak.store)
    dice = random.Random(seed)
    found = {"direct": histogram(), "gateway": histogram()}
    try:
        await soak.set_up(port)
        backends = [
            Address.parse(proxy.address)
            for id_, proxy in soak.backend_proxies.items()
            if soak.backends[id_].streams
        ]
        ways = {"direct": backends, "gateway": [g.listen for g in soak.gateways.values()]}
        for number in range(WARM_UP + requests):
            for way, addresses in ways.items():
                seconds = await _first_event(dice.choice(addresses), f"{number:08x}{way:.8}")
                if number >= WARM_UP:
                    found[way].record_value(max(1, int(seconds * 1e6)))
                await asyncio.sleep(dice.uniform(LEAST_PAUSE, MOST_PAUSE))
    finally:
        soak.kill_all()
        server.stop()
    return found


def measure_added(requests: int, seed: int) -> None:
    """Print the time to the first event, direct and through gateways, alternating."""
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    with tempfile.TemporaryDirectory(prefix="bilberryshed-") as folder:
        found = asyncio.run(_measure(requests, seed, Path(folder)))
    for way, values in found.items():
        shown = "  ".join(
            f"p{p} {values.get_value_at_percentile(p) / 1000:.2f} ms" for p in PERCENTILES
        )
        print(f"{way:8} {shown}")
