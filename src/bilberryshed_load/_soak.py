"""Randomized soak test: real gateway processes, injected faults, guarantees checked by callers."""

import asyncio
import contextlib
import logging
import random
import signal
import subprocess
import sys
from collections import deque
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import h11

from bilberryshed.state import Address
from bilberryshed_load._plans import free_port
from bilberryshed_load._soak_proxy import FaultyProxy, NetworkFault
from bilberryshed_load._soak_record import (
    ReceivedResponse,
    SentRequest,
    SoakRecord,
    event_numbers,
)
from bilberryshed_standins import EVENTS, RoutedBackend, RowStore, RowStoreCopy, serve_row_store

HOST, KEY, CUSTOMER = "soak.example", "k-soak", "harbour"
TOKENS_PER_EVENT = 4
PREPAID_TOKENS = 120_000  # tokens paid for at the start
TOP_UP_TOKENS = 60_000  # tokens added by one top-up
GATEWAYS = ("gate-1", "gate-2", "gate-3")
REQUEST_RATE = 40.0  # requests per second
CALLER_TIMEOUT = 4.0  # seconds for one request
DRAIN_TIME = 5.0  # seconds from SIGTERM to the end of a gateway, at most
START_TIMEOUT = 10.0  # seconds, at most, to wait until a gateway is ready
ENGINE_VERSIONS = ("v1", "v1", "v2")  # software versions of the model engines
TAKE_UP_DELAY = 1.0  # seconds at most until a caller takes up a stream that broke off
COPY_INTERVAL = 0.5  # seconds between copies of the store
MAX_COPIES = 20  # copies kept, from which the store comes back
BACKEND_FAULTS = ("full", "reset", "garbage", "unsigned", "error", "foreign", "extra", "cut 2")


@dataclass(slots=True)
class GatewayProcess:
    """One gateway process and its proxy to the store.

    :param incarnation: number of starts so far
    :param log_start: offset in the log at which the current incarnation begins
    :param stopping: whether a signal that ends the current incarnation was sent
    """

    name: str
    proxy: FaultyProxy
    settings: Path
    listen: Address
    log: Path
    process: subprocess.Popen[bytes] | None = None
    incarnation: int = 0
    log_start: int = 0
    stopping: bool = False

    @property
    def boot(self) -> str:
        """Name of the current incarnation."""
        return f"{self.name}#{self.incarnation}"

    def start(self) -> None:
        """Start a new process, the next incarnation."""
        self.incarnation += 1
        self.stopping = False
        program = Path(sys.executable).parent / "bilberryshed-gateway"
        with self.log.open("ab") as log:
            self.log_start = log.tell()
            self.process = subprocess.Popen(
                [program, str(self.settings)], stdout=log, stderr=subprocess.STDOUT
            )

    def has_started(self) -> bool:
        """Whether the log has a ``started`` event of the current incarnation."""
        return b" event=started " in self.log.read_bytes()[self.log_start :]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.alive:
            assert self.process is not None
            self.process.send_signal(number)

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None


@dataclass(slots=True)
class Soak:
    """One run of the soak test.

    :param folder: directory for settings and logs
    :param copies: latest copies of the store
    :param prepaid: tokens that the customer has paid for so far
    :param version: version of the current configuration
    :param faults: faults injected so far
    """

    seed: int
    folder: Path
    store: RowStore = field(default_factory=RowStore)
    copies: deque[RowStoreCopy] = field(default_factory=lambda: deque(maxlen=MAX_COPIES))
    backends: dict[str, RoutedBackend] = field(default_factory=dict)
    backend_proxies: dict[str, FaultyProxy] = field(default_factory=dict)
    gateways: dict[str, GatewayProcess] = field(default_factory=dict)
    record: SoakRecord = field(default_factory=lambda: SoakRecord(EVENTS, TOKENS_PER_EVENT))
    prepaid: int = PREPAID_TOKENS
    version: int = 1
    next_id: int = 1
    faults: list[str] = field(default_factory=list)
    tasks: set["asyncio.Task[None]"] = field(default_factory=set)

    @property
    def rng(self) -> random.Random:
        """A generator seeded from ``seed`` and the numbers of faults and requests so far."""
        return random.Random(f"{self.seed}/{len(self.faults)}/{self.next_id}")

    async def run(self, seconds: float) -> SoakRecord:
        """Run the soak; the findings of the record are the violated guarantees."""
        self.folder.mkdir(parents=True, exist_ok=True)
        server, port = serve_row_store(self.store)
        try:
            await self.set_up(port)
            loop = asyncio.get_running_loop()
            end = loop.time() + seconds
            traffic = asyncio.ensure_future(self._run_traffic(end))
            copying = asyncio.ensure_future(self._copy_store())
            while loop.time() < end:
                await asyncio.sleep(self.rng.uniform(0.2, 1.5))
                await self._inject_fault()
            await traffic
            copying.cancel()
            await self._finish()
        finally:
            self.kill_all()
            server.stop()
        for backend in self.backends.values():
            for id_ in backend.executed:
                self.record.runs[id_] = self.record.runs.get(id_, 0) + 1
        self.record.check(self.prepaid)
        return self.record

    # Set-up ---------------------------------------------------------------------------------

    async def set_up(self, store_port: int) -> None:
        """Start backend servers and gateways; wait up to ``START_TIMEOUT`` for their readiness."""
        for number, version in enumerate(ENGINE_VERSIONS, 1):
            await self._add_backend(f"i-model-{number}", "model", True, version)
            await self._add_backend(f"i-desk-{number}", "desk", False)
        self._put_config()
        for name in GATEWAYS:
            await self._add_gateway(name, store_port)
        await asyncio.gather(*(self._wait_ready(g) for g in self.gateways.values()))

    async def _add_backend(
        self, id_: str, service: str, is_streaming: bool, version: str = ""
    ) -> None:
        backend = RoutedBackend(id_, is_streaming, delay=0.05 if is_streaming else 0.0)
        backend.software = version
        await backend.start()
        address = Address.parse(backend.address)
        proxy = FaultyProxy((address.host, address.port), random.Random(self.seed))
        await proxy.start()
        self.backends[id_], self.backend_proxies[id_] = backend, proxy
        entry = {"service": service, "address": proxy.address, "zone": "quay", "slots": 8}
        entry |= {"version": version, "born": 1}
        self.store.put("servers", id_, {**entry, "state": "serving", "sequence": 1})

    async def _add_gateway(self, name: str, store_port: int) -> None:
        proxy = FaultyProxy(("127.0.0.1", store_port), random.Random(self.seed))
        await proxy.start()
        listen, ready, link = (f"127.0.0.1:{free_port()}" for _ in range(3))
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[vm]\nname = {name}\nzone = quay\nlisten = {listen}\nready_listen = {ready}\n"
            f"link_listen = {link}\n[store]\nstore = {proxy.address}\nstore_timeout = 0.5\n"
            f"[stop]\ndrain_time = {DRAIN_TIME}\n"
        )
        log = self.folder / f"{name}.log"
        gateway = GatewayProcess(name, proxy, path, Address.parse(listen), log)
        self.gateways[name] = gateway
        gateway.start()

    async def _wait_ready(self, gateway: GatewayProcess) -> None:
        end = asyncio.get_running_loop().time() + START_TIMEOUT
        while asyncio.get_running_loop().time() < end:
            probe = SentRequest(f"ready-{gateway.name}", True, False)
            self.record.sent[probe.id] = probe
            response = await self._send_request(gateway, "GET", "/look/ready", probe)
            if response is not None and response.status == 200:
                return
            await asyncio.sleep(0.1)

    def _put_config(self) -> None:
        """Write a config; the path of its ``gen`` route contains the version."""
        route_defaults = {"host": HOST, "timeoutMs": 3000, "targetLatencyMs": 500, "maxAttempts": 2}
        routes = [
            {**route_defaults, "name": "chat", "pathPrefix": "/chat/", "kind": "streaming"},
            {**route_defaults, "name": "book", "pathPrefix": "/book/", "kind": "non_idempotent"},
            {**route_defaults, "name": "look", "pathPrefix": "/look/", "kind": "idempotent"},
            {
                **route_defaults,
                "name": "gen",
                "pathPrefix": f"/gen-{self.version}/",
                "kind": "idempotent",
            },
        ]
        routes[0] |= {"service": "model", "resumable": True}
        for route in routes[1:]:
            route["service"] = "desk"
        services = [
            {"name": "model", "maxConnections": 99, "backend": {"stride": TOKENS_PER_EVENT}},
            {"name": "desk", "maxConnections": 99},
        ]
        tenant = {"name": CUSTOMER, "apiKeys": [KEY], "prepaid": self.prepaid}
        config = {"version": self.version, "routeTable": routes, "services": services}
        self.store.put("op", "config", {**config, "tenants": [tenant]})

    # Traffic --------------------------------------------------------------------------------

    async def _run_traffic(self, end: float) -> None:
        rng = random.Random(self.seed)
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(rng.expovariate(REQUEST_RATE))
            self._add_task(self._send_random_request(rng))
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=CALLER_TIMEOUT + 1)

    async def _send_random_request(self, rng: random.Random) -> None:
        gateway = self.gateways[rng.choice(GATEWAYS)]
        kind = rng.choice(("chat", "chat", "book", "look", "gen"))
        id_ = f"{self.next_id:016x}"
        self.next_id += 1
        version = self.version
        tokens = rng.randint(100, 1500) if kind == "chat" else 0
        sent = SentRequest(id_, kind != "book", kind == "chat", tokens)
        path = f"/gen-{version}/x" if kind == "gen" else f"/{kind}/x"
        method = "POST" if kind in ("chat", "book") else "GET"
        boot = gateway.boot
        self.record.sent[id_] = sent
        response = await self._send_request(gateway, method, path, sent)
        if response is None:
            return
        self.record.responses[id_] = response
        if kind == "gen" and response.status == 200 and gateway.boot == boot:
            self.record.record_version(boot, version)
        if kind == "chat" and response.status == 200 and not response.complete:
            await self._take_up(rng, sent, response)

    async def _take_up(
        self, rng: random.Random, sent: SentRequest, response: ReceivedResponse
    ) -> None:
        """Request the rest of a stream that broke off, at any gateway."""
        numbers = event_numbers(response.body)
        if not numbers:
            return
        await asyncio.sleep(rng.uniform(0.05, TAKE_UP_DELAY))
        id_ = f"{self.next_id:016x}"
        self.next_id += 1
        rest = SentRequest(id_, True, True, sent.tokens, sent.id, numbers[-1])
        self.record.sent[id_] = rest
        gateway = self.gateways[rng.choice(GATEWAYS)]
        answer = await self._send_request(gateway, "POST", "/chat/x", rest)
        if answer is not None:
            self.record.responses[id_] = answer

    async def _send_request(
        self, gateway: GatewayProcess, method: str, path: str, sent: SentRequest
    ) -> ReceivedResponse | None:
        try:
            async with asyncio.timeout(CALLER_TIMEOUT):
                return await _exchange(gateway.listen, method, path, sent)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            return None

    # Faults ---------------------------------------------------------------------------------

    async def _inject_fault(self) -> None:
        rng = self.rng
        kinds = ("network", "network", "kill", "kill_all", "stop", "pause", "config", "top_up")
        kind = rng.choice((*kinds, "backend", "backend", "store", "restore", "clear", "clear"))
        gateway = self.gateways[rng.choice(GATEWAYS)]
        self.faults.append(f"{kind} {gateway.name}")
        if kind == "network":
            gateway.proxy.set_fault(rng.choice(tuple(NetworkFault)))
        elif kind == "kill":
            self._restart(gateway, signal.SIGKILL)
        elif kind == "kill_all":
            for each in self.gateways.values():
                self._restart(each, signal.SIGKILL)
        elif kind == "stop":
            self._restart(gateway, signal.SIGTERM)
        elif kind == "pause":
            self._suspend(gateway, rng.uniform(0.5, 3))
        elif kind in ("config", "top_up"):
            self.version += 1
            self.prepaid += TOP_UP_TOKENS if kind == "top_up" else 0
            self._put_config()
        elif kind == "backend":
            self._inject_backend_fault(rng)
        elif kind == "restore":
            self._add_task(self._restore_store(rng.uniform(0.0, 2.0), rng.choice(self.copies)))
        elif kind == "store":
            self.store.fault = rng.choice(("busy", "lost", "late", "silent"))
        else:
            self._clear_faults()

    def _add_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _copy_store(self) -> None:
        while True:
            self.copies.append(self.store.copy())
            await asyncio.sleep(COPY_INTERVAL)

    async def _restore_store(self, away: float, copy: RowStoreCopy) -> None:
        """Have the store be away for some seconds, and come back from a copy."""
        self.store.fault = "busy"
        await asyncio.sleep(away)
        self.store.restore(copy)
        self.store.fault = "ok"

    def _inject_backend_fault(self, rng: random.Random) -> None:
        id_ = rng.choice(tuple(self.backends))
        if rng.random() < 0.5:
            self.backends[id_].script.extend(rng.choices(BACKEND_FAULTS, k=4))
        else:
            self.backend_proxies[id_].set_fault(
                rng.choice((NetworkFault.RESET, NetworkFault.DELAY, NetworkFault.NONE))
            )

    def _restart(self, gateway: GatewayProcess, number: signal.Signals) -> None:
        if not gateway.stopping and gateway.alive:
            gateway.stopping = True
            gateway.signal(number)
            self._add_task(self._start_after_exit(gateway, number))

    async def _start_after_exit(self, gateway: GatewayProcess, number: signal.Signals) -> None:
        assert gateway.process is not None
        while gateway.alive:
            await asyncio.sleep(0.05)
        if number is signal.SIGTERM:
            code = gateway.process.returncode
            self.record.record_stop(gateway.boot, code, gateway.has_started())
        await asyncio.sleep(0.3)
        gateway.start()

    def _suspend(self, gateway: GatewayProcess, seconds: float) -> None:
        gateway.signal(signal.SIGSTOP)
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, gateway.signal, signal.SIGCONT)

    def _clear_faults(self) -> None:
        self.store.fault = "ok"
        for gateway in self.gateways.values():
            gateway.proxy.set_fault(NetworkFault.NONE)
        for proxy in self.backend_proxies.values():
            proxy.set_fault(NetworkFault.NONE)

    # End ------------------------------------------------------------------------------------

    async def _finish(self) -> None:
        """Clear all faults, let requests in flight end, and stop the gateways."""
        self._clear_faults()
        await asyncio.sleep(3.5)
        for gateway in self.gateways.values():
            gateway.signal(signal.SIGCONT)
            gateway.stopping = True
            gateway.signal(signal.SIGTERM)
        await asyncio.sleep(DRAIN_TIME + 0.5)

    def kill_all(self) -> None:
        """Kill the processes and stop the servers that this soak started."""
        for gateway in self.gateways.values():
            if gateway.process is not None and gateway.alive:
                gateway.process.kill()
                gateway.process.wait()
            gateway.proxy.stop()
        for task in self.tasks:
            task.cancel()
        for backend in self.backends.values():
            backend.stop()
        for proxy in self.backend_proxies.values():
            proxy.stop()


async def _exchange(
    address: Address, method: str, path: str, sent: SentRequest
) -> ReceivedResponse | None:
    """Send a request on a new connection and read the response."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    framing = h11.Connection(h11.CLIENT)
    headers = [("Host", HOST), ("X-Key", KEY), ("X-Attempt-Id", sent.id)]
    headers += [("X-Deadline-Ms", str(int(CALLER_TIMEOUT * 1000))), ("Content-Length", "0")]
    if sent.resumed:
        headers += [("Last-Event-Id", str(sent.after)), ("Resumes", sent.resumed)]
    if sent.tokens:
        headers.append(("X-Token-Usage", f"{sent.tokens},{EVENTS * TOKENS_PER_EVENT}"))
    status, body = 0, b""
    try:
        data = framing.send(h11.Request(method=method, target=path, headers=headers)) or b""
        writer.write(data + (framing.send(h11.EndOfMessage()) or b""))
        while True:
            event = framing.next_event()
            if event is h11.NEED_DATA:
                framing.receive_data(await reader.read(65_536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return ReceivedResponse(sent.id, status, body, True)
            elif isinstance(event, h11.ConnectionClosed):
                return None
    except (OSError, h11.RemoteProtocolError):
        return ReceivedResponse(sent.id, status, body, False) if status else None
    finally:
        with contextlib.suppress(OSError):
            writer.close()


def run_soak(seed: int, seconds: float, folder: Path) -> SoakRecord:
    """Run one soak and print its findings."""
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    soak = Soak(seed, folder)
    record = asyncio.run(soak.run(seconds))
    statuses: dict[int, int] = {}
    for response in record.responses.values():
        statuses[response.status] = statuses.get(response.status, 0) + 1
    print(
        f"seed {seed}: {len(record.sent)} requests, responses {dict(sorted(statuses.items()))}, "
        f"used {record.tokens_used()} of {soak.prepaid} tokens, {len(soak.faults)} faults, "
        f"{len(record.findings)} findings"
    )
    for finding in record.findings:
        print(f"  {finding}")
    return record
