"""Shared parts of the review's scripts: store, engines, gateways and requesters on loopback.

Only the standard library is used. The stand-ins follow the users' pages: the store serves
``/rows-tx``, ``/rows-get`` and ``/rows-feed``; engines check ``X-Target-Instance``, echo
``X-Attempt-Id``, sign their answers and renew their entries; requesters use one connection for each
request, unless a script says otherwise.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LIMIT = 4 * 1024 * 1024  # bytes that a stream reader buffers
HEARTBEAT = 1.2  # seconds between two writes of an engine's entry
RUN_LIMIT = 112.0  # seconds after which a script gives up with exit code 2
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

BOUNDS = {  # the bounds of the small sites
    "stableMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 54,
}


def trouble() -> bool:
    """Whether the disruption is to be applied."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(ip: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# HTTP ---------------------------------------------------------------------------------------


@dataclass(slots=True)
class Request:
    """A request as a stand-in server received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Id of the requester's attempt."""
        return self.headers.get("x-attempt-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request with a length, ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for text in lines[1:]:
        name, colon, value = text.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


# Store --------------------------------------------------------------------------------------


@dataclass(slots=True)
class StoreFront:
    """An address of the store for one machine.

    :param is_busy: whether its calls are rejected with 503
    """

    address: str = ""
    is_busy: bool = False


class Store:
    """The platform's store: rows, transactions under conditions, ranges and a feed."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[bytes | None, int]] = {}
        self.version = 0
        self.era = 1
        self.is_away = False
        self.started_at = time.monotonic()
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.front_servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, ip, 0, limit=LIMIT)
        self.address = f"{ip}:{self.server.sockets[0].getsockname()[1]}"

    async def add_front(self) -> "StoreFront":
        """Listen on one more port, whose callers can be turned away."""
        front = StoreFront()
        ip = self.address.partition(":")[0]

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(reader, writer, front)

        server = await asyncio.start_server(serve, ip, 0, limit=LIMIT)
        front.address = f"{ip}:{server.sockets[0].getsockname()[1]}"
        self.front_servers.append(server)
        return front

    async def end(self) -> None:
        """Stop listening and close all channels."""
        for server in (self.server, *self.front_servers):
            if server is not None:
                server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0.05)

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or an engine does."""
        self._set((table, "", key), json.dumps(value).encode())
        self._notify()

    def remove(self, table: str, key: str) -> None:
        """Remove a row as an engine that has left does."""
        self._set((table, "", key), None)
        self._notify()

    def _set(self, address: tuple[str, str, str], data: bytes | None) -> None:
        self.version += 1
        self.rows[address] = (data, self.version)

    def copy(self) -> tuple[dict[tuple[str, str, str], tuple[bytes | None, int]], int]:
        """Return a copy of all rows, and the version at which it was made."""
        return dict(self.rows), self.version

    def go_away(self) -> None:
        """Close all channels, and answer no call, until :meth:`restore`."""
        self.is_away = True
        for writer in tuple(self.writers):
            reset(writer)

    def restore(
        self, copy: tuple[dict[tuple[str, str, str], tuple[bytes | None, int]], int]
    ) -> None:
        """Come back from a copy; what the operator and the engines wrote is written again."""
        current, (rows, version) = self.rows, copy
        self.rows, self.version = dict(rows), version
        self.era += 1
        for address, (data, _) in sorted(current.items(), key=lambda item: item[1][1]):
            if address[0] in ("op", "servers") and self.rows.get(address, (None, 0))[0] != data:
                self._set(address, data)
        self.is_away = False
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, address: tuple[str, str, str]) -> dict[str, Any]:
        data, version = self.rows.get(address, (None, 0))
        table, part, key = address
        row = {"tableName": table, "part": part, "key": key, "rowVersion": version}
        if data is None:
            return {**row, "deleted": True}
        return {**row, "data": base64.b64encode(data).decode()}

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        front: "StoreFront | None" = None,
    ) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None and not self.is_away:
                if front is not None and front.is_busy:
                    writer.write(response(503, {"Store-Era": str(self.era)}))
                    continue
                status, body = await self._answer(request)
                body |= {
                    "rowVersion": self.version,
                    "serverTimeMs": int((time.monotonic() - self.started_at) * 1000),
                }
                data = json.dumps(body).encode()
                headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
                writer.write(response(status, headers, data))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, request: Request) -> tuple[int, dict[str, Any]]:
        path = urlsplit(request.target).path
        query = {
            k: v[0]
            for k, v in parse_qs(urlsplit(request.target).query, keep_blank_values=True).items()
        }
        if path == "/rows-tx":
            return self._transact(json.loads(request.body))
        if path == "/rows-get":
            table, part = query["tableName"], query.get("part", "")
            low, high = query.get("source", ""), query.get("to", "")
            most = min(500, int(query.get("maxResults", "500")))
            found = sorted(
                (address for address, (data, _) in self.rows.items() if data is not None),
                key=lambda address: address[2].encode(),
            )
            found = [
                a
                for a in found
                if a[:2] == (table, part) and a[2] >= low and (not high or a[2] < high)
            ]
            rows = [self._row(address) for address in found[:most]]
            return 200, {"rows": rows, "hasMore": len(found) > most}
        if path == "/rows-feed":
            after = int(query["after"])
            if after > self.version:
                return 410, {}
            deadline = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while True:
                new = sorted(
                    (version, address)
                    for address, (_, version) in self.rows.items()
                    if address[0] == query["tableName"] and version > after
                )
                left = deadline - time.monotonic()
                if new or left <= 0:
                    return 200, {"rows": [self._row(address) for _, address in new]}
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)
        return 404, {}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        def address(item: dict[str, Any]) -> tuple[str, str, str]:
            return item["tableName"], item.get("part", ""), item["key"]

        def current(key: tuple[str, str, str]) -> int:
            data, version = self.rows.get(key, (None, 0))
            return version if data is not None else 0

        conditions = [(address(i), i["rowVersion"]) for i in body.get("precondition", ())]
        if any(current(key) != version for key, version in conditions):
            return 412, {"rows": [self._row(key) for key, _ in conditions]}
        self.version += 1
        for item in body.get("write", ()):
            self.rows[address(item)] = (base64.b64decode(item["data"]), self.version)
        for item in body.get("remove", ()):
            self.rows[address(item)] = (None, self.version)
        self._notify()
        return 200, {}


# Engines ------------------------------------------------------------------------------------

Behaviour = Callable[["Engine", Request, asyncio.StreamWriter], Awaitable[bool]]


class Engine:
    """An engine: runs requests that name it, and renews its entry in the store.

    :param behave: answers a request that the engine runs; returns whether the connection is kept
    :param runs: id of each request that it ran, with the time
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        id_: str,
        service: str,
        zone: str,
        behave: Behaviour,
        version: str = "v1",
    ) -> None:
        self.store, self.record = store, record
        self.id, self.service, self.zone, self.version = id_, service, zone, version
        self.behave = behave
        self.runs: list[tuple[str, float]] = []
        self.arrivals: list[tuple[str, float]] = []
        self.server: asyncio.Server | None = None
        self.address = ""
        self.state = "serving"
        self.born = 0
        self.sequence = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.beating: asyncio.Task[None] | None = None

    async def start(self, ip: str = "", port: int = 0) -> None:
        """Listen, and register."""
        if self.address:
            ip, _, number = self.address.partition(":")
            port = int(number)
        self.server = await asyncio.start_server(self._serve, ip, port, limit=LIMIT)
        self.address = f"{ip}:{self.server.sockets[0].getsockname()[1]}"
        self.born, self.sequence = int(time.time() * 1000), 0
        if self.beating is None:
            self.beating = asyncio.create_task(self._beat())
        else:
            self.register()

    def register(self) -> None:
        """Write the entry."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("servers", self.id, entry)

    async def _beat(self) -> None:
        while True:
            if self.server is not None:
                self.register()
            await asyncio.sleep(HEARTBEAT)

    def drain(self, seconds: float) -> None:
        """Report ``draining``, go on serving for some seconds, and end as planned."""
        self.record.line(f"engine {self.id} drains, ends in {seconds} s")
        self.state = "draining"
        self.register()

        def leave() -> None:
            self.store.remove("servers", self.id)
            if self.server is not None:
                self.server.close()
                self.server = None

        asyncio.get_running_loop().call_later(seconds, leave)

    def crash(self, restart: float) -> None:
        """End as a process that is killed does, and start again after some seconds."""
        self.record.line(f"engine {self.id} crashes, back in {restart} s")
        assert self.server is not None
        self.server.close()
        self.server = None
        for writer in tuple(self.writers):
            reset(writer)
        asyncio.get_running_loop().call_later(
            restart, lambda: asyncio.ensure_future(self.start())
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                if request.headers.get("x-target-instance", self.id) != self.id:
                    writer.write(response(421, {"X-Instance-Id": self.id}))
                    continue
                self.arrivals.append((request.id, self.record.now()))
                if not await self.behave(self, request, writer):
                    break
        self.writers.discard(writer)
        writer.close()

    async def end(self) -> None:
        """Stop listening and close all channels."""
        if self.beating is not None:
            self.beating.cancel()
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    def run(self, request: Request) -> None:
        """Record that a request begins to run."""
        self.runs.append((request.id, self.record.now()))
        self.record.line(f"engine {self.id} runs {request.id}")

    def head(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer."""
        return {
            "X-Attempt-Id": request.id,
            "X-Response-Signature": f"sig.{self.id}.{request.id}",
        }


def stream_head(engine: Engine, request: Request) -> bytes:
    """Return the head of an event stream in chunks."""
    headers = {
        **engine.head(request),
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in headers.items()), "", ""]
    return "\r\n".join(lines).encode()


def event(number: int, text: str) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: {text}\n\n".encode()


# Gateways -----------------------------------------------------------------------------------


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, name: str, zone: str, store: str, folder: Path) -> None:
        self.name, self.zone, self.folder = name, zone, folder
        self.ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        ports = [free_port(self.ip) for _ in range(3)]
        self.frontend, self.readiness = (f"{self.ip}:{port}" for port in ports[:2])
        values = {
            "nodeName": name,
            "zone": zone,
            "ip": self.ip,
            "listen.frontend": self.frontend,
            "listen.readiness": self.readiness,
            "internalPortRange.0": str(ports[2]),
            "limits.memoryMb": "300",
            "limits.cpuShare": "0.817",
            "limits.cpuCores": "1",
            "limits.linkMbps": "1000.0",
            "platform.address": store,
            **{f"bounds.{key}": str(value) for key, value in BOUNDS.items()},
        }
        template = (ROOT / "deploy" / "gateway.ini").read_text(encoding="utf-8")
        self.settings = folder / f"{name}.ini"
        self.settings.write_text(
            re.sub(r"\{\{([^}]+)\}\}", lambda found: values[found[1].strip()], template),
            encoding="utf-8",
        )
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        command = re.search(r'^run = "([^"]+)"', (ROOT / "deploy/system.toml").read_text(), re.M)
        assert command is not None
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BILBERRYSHED_BOOT": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command[1].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until the readiness probe is answered with 200."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready after {seconds} s")

    async def is_ready(self, timeout: float = 1.0) -> bool:
        """Probe the readiness once, as the platform does."""
        try:
            answer = await call(self.readiness, "GET", "/readyz", {"Host": "x"}, timeout=timeout)
        except OSError:
            return False
        return answer.status == 200

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


# Requesters ---------------------------------------------------------------------------------


@dataclass(slots=True)
class Answer:
    """What a requester saw.

    :param status: 0 if no head of an answer arrived
    :param complete: whether the whole answer arrived
    :param sent_at: seconds since the start of the record at which the request was sent
    """

    id: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    seconds: float = 0.0
    sent_at: float = 0.0
    first_at: float | None = None

    @property
    def events(self) -> list[int]:
        """Numbers of the complete events."""
        return [int(n) for n in re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", self.body)]


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout: float = 10.0,
    channel: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None,
) -> Answer:
    """Send a request and read its answer until it ends or the time limit has passed.

    :param channel: an open channel, which is kept; without it a new one is opened and closed
    """
    answer = Answer(headers.get("X-Attempt-Id", ""))
    started_at = time.monotonic()
    ip, _, port = address.partition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = channel or await asyncio.open_connection(ip, int(port), limit=LIMIT)
            lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await _read_answer(reader, answer)
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    finally:
        answer.seconds = time.monotonic() - started_at
        if writer is not None and channel is None:
            writer.close()
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split(" ")[1])
    for text in head[1:]:
        name, colon, value = text.partition(":")
        if colon:
            answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
            answer.first_at = answer.first_at or time.monotonic()
            answer.body += data
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
    answer.complete = True


def new_id() -> str:
    """Return the id of a requester's attempt."""
    return uuid.uuid4().hex[:16]


# Scripts ------------------------------------------------------------------------------------

Check = Callable[["World"], Awaitable[bool]]


@dataclass(slots=True)
class World:
    """What a script runs: a store, engines and gateways; all are ended with it."""

    folder: Path
    record: Record
    store: Store
    gateways: list[Gateway] = field(default_factory=list)
    engines: list[Engine] = field(default_factory=list)
    traffic_at: float = 0.0

    async def add_gateway(
        self, name: str, zone: str = "harbour-a", front: StoreFront | None = None
    ) -> Gateway:
        """Start a gateway, which reaches the store at an address of its own if there is one."""
        store = self.store.address if front is None else front.address
        gateway = Gateway(name, zone, store, self.folder)
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    async def add_engine(
        self, id_: str, service: str, behave: Behaviour, zone: str = "harbour-a", version: str = "v1"
    ) -> Engine:
        """Start an engine."""
        engine = Engine(self.store, self.record, id_, service, zone, behave, version)
        self.engines.append(engine)
        await engine.start("127.0.0.1")
        return engine


def main(script: str, check: Check) -> None:
    """Run a script's check, and exit with 1 if the rule was broken, 0 if it held, else 2.

    :param check: returns whether the rule held
    """
    sys.exit(asyncio.run(_main(Path(script).resolve().parent, check)))


async def _main(folder: Path, check: Check) -> int:
    record = Record(folder)
    record.line(f"trouble={int(trouble())}")
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        world = World(Path(temporary), record, Store())
        try:
            await world.store.start("127.0.0.1")
            async with asyncio.timeout(RUN_LIMIT):
                held = await check(world)
            code = EXIT_HELD if held else EXIT_BROKEN
        except Exception as error:
            record.line(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            code = EXIT_NOT_RUN
        finally:
            for gateway in world.gateways:
                await gateway.end()
            for engine in world.engines:
                await engine.end()
            await world.store.end()
            if os.environ.get("KEEP_LOGS"):
                for gateway in world.gateways:
                    target = Path(os.environ["KEEP_LOGS"]) / gateway.log.name
                    target.write_bytes(gateway.log.read_bytes())
        verdict = {EXIT_HELD: "held", EXIT_BROKEN: "broken", EXIT_NOT_RUN: "not run"}[code]
        record.line(f"result: {verdict}")
        print(verdict)
    return code
