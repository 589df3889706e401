"""Slopes of state size, messages, CPU time and memory, each measured at three or more sizes."""

import asyncio
import gc
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path
from typing import Any

import numpy as np

from bilberryshed.coordination import (
    ActiveSheet,
    Grant,
    GrantBook,
    Rollout,
    Segment,
    ShardWriter,
)
from bilberryshed.protocol import (
    Charge,
    Heartbeat,
    Hello,
    LinkProbe,
    LinkProbeReply,
    LoadReport,
    UsageRecord,
    encode,
)
from bilberryshed.state import Address, parse_sheet
from bilberryshed.transport import Link, LinkHandlers, LinkServer, TimerService
from bilberryshed_load._callers import LoadRequest, send_request
from bilberryshed_load._fleet import Fleet, running_fleet
from bilberryshed_load._plans import DEPLOYMENTS, HOST, FleetPlan, free_port, plan_fleet

BUDGET_SIZES = (1_000, 10_000, 100_000)
RECORD_SIZES = (1_000, 10_000, 100_000)
LINK_SIZES = (10, 50, 100, 200)
RATES = (20, 60, 120)  # requests per second
REPORT_INTERVAL = 0.25  # seconds; the interval of agents' load reports
HEARTBEAT_INTERVAL = 0.5  # seconds; the interval of routers' heartbeats
MEASURE_TIME = 8.0  # seconds over which CPU time is measured
WARM_UP_TIME = 3.0  # seconds before the measurement
MODEL = "brae-small@5"


@dataclass(slots=True, frozen=True)
class Slope:
    """Least-squares line through measured values.

    :param unit: unit of the values
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    def line(self) -> str:
        """Return slope, intercept and points as a line of text."""
        slope, intercept = np.polyfit(self.sizes, self.values, 1)
        points = ", ".join(
            f"{size:g}: {value:.4g}" for size, value in zip(self.sizes, self.values, strict=True)
        )
        return f"{self.name}: {slope:.4g} {self.unit} each, {intercept:.4g} at none ({points})"


def measure_slopes(etc: Path) -> None:
    """Measure and print all slopes."""
    for slope in _in_process_slopes():
        print(slope.line(), flush=True)
    for slope in _fleet_slopes(etc):
        print(slope.line(), flush=True)


# In this process ------------------------------------------------------------------------------


def _in_process_slopes() -> list[Slope]:
    return [
        _memory_slope("memory of a held budget", BUDGET_SIZES, _build_book),
        _time_slope("time to scan a held budget", BUDGET_SIZES, _build_book, _scan_book),
        _memory_slope("memory of a budget in the sheet", BUDGET_SIZES, _build_rollout),
        _time_slope(
            "time to parse a budget of the sheet", BUDGET_SIZES, _build_sheet_text, _parse_sheet
        ),
        _size_slope(
            "bytes of a budget in the sheet", BUDGET_SIZES, lambda n: len(_build_sheet_text(n))
        ),
        _memory_slope("memory of a cached record", RECORD_SIZES, _writer_with_cached_records),
        _memory_slope(
            "memory of an evicted record's id", RECORD_SIZES, _writer_with_evicted_records
        ),
        _time_slope("time to commit a record", RECORD_SIZES, _build_records, _commit_records),
        _size_slope(
            "bytes of a record in a segment", RECORD_SIZES, lambda n: len(_encode_segment(n))
        ),
    ]


def _memory_slope(name: str, sizes: tuple[int, ...], build: Callable[[int], Any]) -> Slope:
    values = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        structure = build(size)
        gc.collect()
        values.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del structure
    return Slope(name, "bytes", tuple(map(float, sizes)), tuple(values))


def _time_slope(
    name: str, sizes: tuple[int, ...], build: Callable[[int], Any], operation: Callable[[Any], Any]
) -> Slope:
    values = []
    for size in sizes:
        subject = build(size)
        started_at = time.process_time()
        operation(subject)
        values.append((time.process_time() - started_at) * 1e6)
    return Slope(name, "us", tuple(map(float, sizes)), tuple(values))


def _size_slope(name: str, sizes: tuple[int, ...], measure: Callable[[int], int]) -> Slope:
    return Slope(name, "bytes", tuple(map(float, sizes)), tuple(float(measure(n)) for n in sizes))


def _build_book(size: int) -> GrantBook:
    book = GrantBook("router.0123456789ab")
    for number in range(size):
        key = f"customer-{number % 260}/budget-{number}"
        grant = f"router.0123456789ab.g{number}"
        book.add(Grant(grant, grant, key, 100_000))
        book.record_demand(1.0, key, 100)
    return book


def _scan_book(book: GrantBook) -> None:
    for key in book.budgets:
        book.demand(2.0, key)
        book.free(key)


def _build_sheet_text(size: int) -> bytes:
    lines = ["[customers]", "customer,key_sha256,priority,weight,services"]
    for number in range(260):
        digest = sha256(f"key-{number}".encode()).hexdigest()
        lines.append(f"customer-{number},{digest},1,1,chat")
    lines += ["[budgets]", "customer,budget,paid"]
    lines += [f"customer-{n % 260},budget-{n},1000000" for n in range(size)]
    lines += ["[services]", "service,kind,idempotent,models,deadline_ms,price"]
    lines += ["chat,model,yes,m@1,30000,0", "[models]", "model,version,adapter,engines,role"]
    lines += ["m,1,,1,mixed"]
    return "\n".join(lines).encode()


def _parse_sheet(content: bytes) -> Any:
    return parse_sheet("slopes", content).unwrap()


def _build_rollout(size: int) -> Rollout:
    rollout = Rollout()
    content = _build_sheet_text(size)
    rollout.apply(ActiveSheet(1, "digest", content, _parse_sheet(content)))
    return rollout


def _build_records(size: int) -> tuple[UsageRecord, ...]:
    return tuple(
        UsageRecord(
            customer=f"customer-{number % 260}",
            budget=f"budget-{number % 5000}",
            key=f"{number:032x}",
            request=f"{number + 1:032x}",
            attempt=f"{number + 2:032x}",
            service="chat",
            model="m@1",
            tokens=240,
            charges=(Charge(f"router.0123456789ab.g{number % 5000}", 240),),
            finished_at=1.7e9 + number,
        )
        for number in range(size)
    )


def _encode_segment(size: int) -> bytes:
    return encode(Segment("router.0123456789ab.0.1", _build_records(size)))


def _commit_records(records: tuple[UsageRecord, ...], cache_size: int = 0) -> ShardWriter:
    writer = ShardWriter(0, "router.0123456789ab", cache_size)
    writer.caught_up = True
    for record in records:
        writer.submit(record)
    while writer.next_action() is not None:
        writer.on_put(True)
    return writer


def _writer_with_cached_records(size: int) -> ShardWriter:
    return _commit_records(_build_records(size), cache_size=size)


def _writer_with_evicted_records(size: int) -> ShardWriter:
    return _commit_records(_build_records(size), cache_size=0)


# Against a real router ------------------------------------------------------------------------


class _FakeMembers:
    """Fake agents or routers that only send one message on their links, at an interval."""

    def __init__(self, role: str, count: int, message: Any, interval: float) -> None:
        self.role = role
        self.message = message
        self.interval = interval
        self.ports = [free_port() for _ in range(count)]
        self.servers: list[LinkServer] = []

    def vms(self) -> list[dict[str, str]]:
        """Return their entries in the VM list.

        Their names sort after those of the real routers, which therefore open the links.
        """
        return [
            {
                "name": f"z-{self.role}-{number}",
                "role": self.role,
                "zone": "inverness",
                "link": f"{HOST}:{port}",
                "state": "live",
            }
            for number, port in enumerate(self.ports)
        ]

    async def start(self) -> None:
        """Start a link server for each member."""
        handlers = LinkHandlers(lambda link: None, _reply_to_probe, lambda link: None)
        for number, port in enumerate(self.ports):
            hello = Hello(f"z-{self.role}-{number}", f"boot-{number}", self.role, "inverness", "")
            server = LinkServer(hello, handlers, None, TimerService())
            await server.start(Address(HOST, port))
            self.servers.append(server)

    async def send_messages(self, seconds: float) -> None:
        """Send the message on every link, once per interval."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for server in self.servers:
                for link in server.links:
                    link.send(self.message)
            await asyncio.sleep(self.interval)

    async def close(self) -> None:
        """Close all links."""
        for server in self.servers:
            await server.close()


def _reply_to_probe(link: Link, message: Any) -> None:
    """Reply to a probe, and ignore any other message."""
    if isinstance(message, LinkProbe):
        link.send(LinkProbeReply())


def _fleet_slopes(etc: Path) -> list[Slope]:
    report = LoadReport((), (MODEL,), 3, 16, False, True)
    heartbeat = Heartbeat(False, 1)
    agents = [_measure_idle("agent", n, report, REPORT_INTERVAL) for n in LINK_SIZES]
    peers = [_measure_idle("router", n, heartbeat, HEARTBEAT_INTERVAL) for n in LINK_SIZES]
    sizes = tuple(map(float, LINK_SIZES))
    return [
        Slope("router cpu for a linked agent", "cores", sizes, tuple(a[0] for a in agents)),
        Slope("router memory for a linked agent", "kB", sizes, tuple(a[1] for a in agents)),
        Slope("router cpu for a linked peer", "cores", sizes, tuple(p[0] for p in peers)),
        Slope("router memory for a linked peer", "kB", sizes, tuple(p[1] for p in peers)),
        *_rate_slopes(etc),
    ]


def _rate_slopes(etc: Path) -> list[Slope]:
    measured = [_measure_at_rate(etc, rate) for rate in RATES]
    names = (
        ("router cpu for one request of 16 tokens per second", "cores"),
        ("agent cpu for one request of 16 tokens per second", "cores"),
        ("store writes for one request per second", "writes/s"),
        ("store reads for one request per second", "reads/s"),
    )
    rates = tuple(map(float, RATES))
    return [
        Slope(name, unit, rates, tuple(values[column] for values in measured))
        for column, (name, unit) in enumerate(names)
    ]


def _single_router_plan(directory: Path) -> FleetPlan:
    plan = plan_fleet(DEPLOYMENTS["cairnbrae"], directory)
    first = next(p for p in plan.processes if p.program == "bilberryshed-router")
    plan.processes = [plan.processes[0], first]
    return plan


def _measure_idle(role: str, count: int, message: Any, interval: float) -> tuple[float, float]:
    """Return the CPU share and the memory in kB of a router with ``count`` links."""
    with tempfile.TemporaryDirectory(prefix="bilberryshed-") as directory:
        fleet = Fleet(_single_router_plan(Path(directory)))
        members = _FakeMembers(role, count, message, interval)
        router = fleet.plan.processes[1].name
        try:
            fleet.start()
            return asyncio.run(_measure_with_links(fleet, router, members))
        finally:
            fleet.close()


async def _measure_with_links(
    fleet: Fleet, router: str, members: _FakeMembers
) -> tuple[float, float]:
    await members.start()
    for vm in members.vms():
        await asyncio.to_thread(fleet.post_to_platform, "/vms", vm)
    await members.send_messages(WARM_UP_TIME)
    before = await asyncio.to_thread(fleet.status, router)
    started_at = time.monotonic()
    await members.send_messages(MEASURE_TIME)
    after = await asyncio.to_thread(fleet.status, router)
    await members.close()
    cpu = (after["cpu_seconds"] - before["cpu_seconds"]) / (time.monotonic() - started_at)
    return cpu, fleet.memory_kb(router)


def _measure_at_rate(etc: Path, rate: int) -> tuple[float, float, float, float]:
    """Return CPU shares of routers and agents, and store writes and reads per second, at a rate."""
    with running_fleet(DEPLOYMENTS["cairnbrae"], etc) as fleet:
        before = _read_usage(fleet)
        started_at = time.monotonic()
        asyncio.run(_send_at_rate(fleet.plan.router_urls, rate))
        elapsed = time.monotonic() - started_at
        after = _read_usage(fleet)
    per_second = [(b - a) / elapsed for a, b in zip(before, after, strict=True)]
    return per_second[0], per_second[1], per_second[2], per_second[3]


def _read_usage(fleet: Fleet) -> tuple[float, float, float, float]:
    routers = sum(s["cpu_seconds"] for s in fleet.statuses("bilberryshed-router"))
    agents = sum(s["cpu_seconds"] for s in fleet.statuses("bilberryshed-agent"))
    counters = fleet.counters()
    writes = counters["table_writes"] + counters["object_writes"]
    reads = counters["table_reads"] + counters["object_reads"]
    return routers, agents, float(writes), float(reads)


async def _send_at_rate(routers: list[str], rate: int) -> None:
    tasks = []
    started_at = time.monotonic()
    for number in range(int(rate * MEASURE_TIME)):
        await asyncio.sleep(max(0.0, started_at + number / rate - time.monotonic()))
        load_request = LoadRequest(
            "highland-council", "", "drivers", prompt=f"steady {rate} {number}", max_tokens=16
        )
        tasks.append(
            asyncio.create_task(send_request(routers[number % len(routers)], load_request))
        )
    await asyncio.gather(*tasks)
