"""Time to the first event of a stream through a gateway, compared with direct calls."""

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
PREPAID_TOKENS = 100_000_000  # tokens; more than a measurement uses
WARM_UP_REQUESTS = 40  # requests on each path before those that are measured
MIN_INTERVAL, MAX_INTERVAL = 0.005, 0.03  # seconds between requests
END_OF_EVENT = b"\n\n"


async def _time_to_first_event(address: Address, id_: str) -> float:
    """Send a request on a new connection and return the seconds to its first event."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    headers = (
        f"POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\nX-Attempt-Id: {id_}\r\n"
        f"X-Tenant: {CUSTOMER}\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n"
        f"X-Token-Usage: 100,20\r\nX-Prompt-Prefix: aa:60,{id_}:40\r\n\r\n"
    )
    started_at = time.perf_counter()
    try:
        writer.write(headers.encode())
        await reader.readuntil(b"\r\n\r\n")
        await reader.readuntil(END_OF_EVENT)
        return time.perf_counter() - started_at
    finally:
        writer.close()


async def _measure(requests: int, seed: int, folder: Path) -> dict[str, HdrHistogram]:
    soak = Soak(seed, folder, prepaid=PREPAID_TOKENS)
    server, port = serve_row_store(soak.store)
    rng = random.Random(seed)
    histograms = {"direct": histogram(), "gateway": histogram()}
    try:
        await soak.set_up(port)
        backends = [
            Address.parse(proxy.address)
            for id_, proxy in soak.backend_proxies.items()
            if soak.backends[id_].is_streaming
        ]
        addresses_by_target = {
            "direct": backends,
            "gateway": [g.listen for g in soak.gateways.values()],
        }
        for number in range(WARM_UP_REQUESTS + requests):
            for target, addresses in addresses_by_target.items():
                seconds = await _time_to_first_event(
                    rng.choice(addresses), f"{number:08x}{target:.8}"
                )
                if number >= WARM_UP_REQUESTS:
                    histograms[target].record_value(max(1, int(seconds * 1e6)))
                await asyncio.sleep(rng.uniform(MIN_INTERVAL, MAX_INTERVAL))
    finally:
        soak.kill_all()
        server.stop()
    return histograms


def measure_gateway_latency(requests: int, seed: int) -> None:
    """Print the time to the first event of alternating direct and routed requests."""
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    with tempfile.TemporaryDirectory(prefix="bilberryshed-") as folder:
        histograms = asyncio.run(_measure(requests, seed, Path(folder)))
    for target, values in histograms.items():
        percentiles = "  ".join(
            f"p{p} {values.get_value_at_percentile(p) / 1000:.2f} ms" for p in PERCENTILES
        )
        print(f"{target:8} {percentiles}")
