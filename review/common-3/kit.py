"""Stand-ins and helpers of the cases 11 to 15: store, engines, gateway processes and requesters.

Only the standard library is used. Store, engines and requesters run on the event loop of the
check; each gateway is a process of its own, started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "caravan.example"
KEY = "k3y-of-the-first-tenant"
TENANT = "huka270"
HEARTBEAT = 1.2  # seconds, heartbeatMs of the sample settings
HEAD_END = b"\r\n\r\n"
PROBE_INTERVAL = 1.0  # seconds between readiness checks, as on the platform
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BOUNDS = {  # the bounds of both small deployments
    "stableMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 54,
}


class Record:
    """What was sent, answered and run, one line an event; also what decides the result."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.lines = []
        self.start = time.monotonic()

    def add(self, text):
        self.lines.append(f"{time.monotonic() - self.start:8.3f} {text}")

    def end(self, code, summary):
        result = {0: "HELD", 1: "BROKEN", 2: "NOT RUN"}[code]
        head = [f"result: {result}", f"trouble: {int(TROUBLE)}", *summary, ""]
        self.path.write_text("\n".join(head + self.lines) + "\n")
        print("\n".join(head[:-1]))
        return code


def free_port(host="127.0.0.1"):
    with socket.socket() as found:
        found.bind((host, 0))
        return found.getsockname()[1]


def reset(writer):
    """Close a connection with a reset."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_head(reader):
    """Return the first line and the headers of a message, ``None`` at the end of the channel."""
    try:
        data = await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError:
        return None
    first, *lines = data[: -len(HEAD_END)].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader):
    """Return method, target, headers and body of a request with a length."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    body = await reader.readexactly(int(head[1].get("content-length", "0")))
    return method, target, head[1], body


class Store:
    """The platform's store: rows with versions, transactions under conditions and a feed."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.started_at = time.monotonic()
        self.changed = asyncio.Event()
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**21)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        self.version += 1
        self.rows[table, key] = (json.dumps(value).encode(), self.version)
        self._notify()

    def remove(self, table, key):
        self.version += 1
        self.rows[table, key] = (None, self.version)
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                method, target, _, body = request
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                if url.path == "/rows-tx":
                    status, fields = self._transact(json.loads(body))
                elif url.path == "/rows-get":
                    status, fields = 200, self._range(query)
                elif url.path == "/rows-feed":
                    status, fields = 200, await self._feed(query)
                else:
                    status, fields = 404, {}
                await asyncio.sleep(0.004)
                clock = int((time.monotonic() - self.started_at) * 1000)
                text = json.dumps({"rowVersion": self.version, "serverTimeMs": clock, **fields})
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n{text}".encode()
                )
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _current(self, item):
        data, version = self.rows.get((item["tableName"], item["key"]), (None, 0))
        return 0 if data is None else version

    def _transact(self, body):
        conditions = body.get("precondition", [])
        if any(self._current(item) != item["rowVersion"] for item in conditions):
            return 412, {"rows": []}
        self.version += 1
        for item in body.get("write", []):
            data = base64.b64decode(item["data"])
            self.rows[item["tableName"], item["key"]] = (data, self.version)
        for item in body.get("remove", []):
            self.rows[item["tableName"], item["key"]] = (None, self.version)
        self._notify()
        return 200, {}

    def _json(self, address):
        data, version = self.rows[address]
        row = {"tableName": address[0], "part": "", "key": address[1], "rowVersion": version}
        if data is None:
            return {**row, "deleted": True}
        return {**row, "data": base64.b64encode(data).decode()}

    def _range(self, query):
        low, high = query.get("source", ""), query.get("to", "")
        limit = min(500, int(query.get("maxResults") or 500))
        found = sorted(
            (table, key)
            for (table, key), (data, _) in self.rows.items()
            if table == query["tableName"] and data is not None
            if key >= low and (not high or key < high)
        )
        return {"rows": [self._json(a) for a in found[:limit]], "hasMore": len(found) > limit}

    async def _feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            found = [
                (version, (table, key))
                for (table, key), (_, version) in self.rows.items()
                if table == query["tableName"] and version > after
            ]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return {"rows": [self._json(address) for _, address in sorted(found)]}
            waiter = self.changed
            try:
                await asyncio.wait_for(waiter.wait(), left)
            except TimeoutError:
                pass


class Engine:
    """A back end with a process's lifetimes: it can crash, and be back under the same id.

    :param respond: coroutine that answers one request; see the cases
    :param received: what arrived, as dicts
    """

    def __init__(self, store, id_, service, respond, record, slots=32, version="v1"):
        self.store, self.id, self.service = store, id_, service
        self.respond, self.record = respond, record
        self.slots, self.version = slots, version
        self.zone = "rajkot"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.received = []
        self.crashes = []
        self.tasks = set()
        self.server = None
        self.port = 0
        self.lifetime = 1

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=2**21)
        self.port = self.server.sockets[0].getsockname()[1]

    def register(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "serving",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("servers", self.id, entry)

    async def beat(self):
        """Renew the entry for as long as this lifetime lasts."""
        lifetime = self.lifetime
        while self.server is not None and self.lifetime == lifetime:
            self.register()
            await asyncio.sleep(HEARTBEAT)

    def crash(self, by_reset=True):
        """End this lifetime as a process does that dies: all channels end, none is accepted.

        :param by_reset: whether the channels are reset, or closed as at the end of a process
        """
        self.crashes.append(time.monotonic())
        self.record.add(f"engine {self.id} crashes")
        self.lifetime += 1
        if self.server is not None:
            self.server.close()
            self.server = None
        current = asyncio.current_task()
        for task, writer in list(self.tasks):
            if by_reset:
                reset(writer)
            else:
                writer.close()
            if task is not current:
                task.cancel()

    async def back(self, version=None):
        """Begin a new lifetime at the same address and under the same id; it isn't registered."""
        self.version = version or self.version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start()
        self.record.add(f"engine {self.id} is back, version {self.version}")

    async def _serve(self, reader, writer):
        item = asyncio.current_task(), writer
        self.tasks.add(item)
        try:
            while (request := await read_request(reader)) is not None:
                method, target, headers, body = request
                if headers.get("x-target-instance", self.id) != self.id:
                    writer.write(
                        b"HTTP/1.1 421 X\r\nX-Instance-Id: other\r\nContent-Length: 0\r\n\r\n"
                    )
                    continue
                seen = {
                    "at": time.monotonic(),
                    "method": method,
                    "target": target,
                    "headers": headers,
                    "body": body,
                    "id": headers.get("x-attempt-id", ""),
                    "version": self.version,
                }
                self.received.append(seen)
                self.record.add(f"engine {self.id} got {seen['id']}")
                if not await self.respond(self, seen, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(item)
            writer.close()


def signature(id_):
    return f"3e1b.07.5a2.{len(id_)}.0.{id_}"


def answer_head(status, id_, *fields):
    lines = [
        f"HTTP/1.1 {status} OK",
        f"X-Attempt-Id: {id_}",
        f"X-Response-Signature: {signature(id_)}",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def route(name, prefix, service, kind, **fields):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "anonymous": False,
        "resumable": False,
        "sticky": kind == "streaming",
        **fields,
    }


def config(routes, prepaid=2_952_237):
    return {
        "version": 7,
        "routeTable": routes,
        "services": [
            {
                "name": "model",
                "healthPath": "/healthz",
                "maxConnections": 250,
                "backend": {"slots": 32, "kvCapacityTokens": 335_367, "stride": 4},
            },
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1, "prepaid": prepaid}],
    }


class Gateway:
    """A gateway process, started as the deploy file says."""

    def __init__(self, name, zone, store_port, folder):
        self.name, self.zone, self.folder = name, zone, folder
        self.port, self.ready_port = free_port(), free_port()
        self.link_port = free_port()
        self.store_port = store_port
        self.process = None
        self.path = folder / f"{name}.ini"
        self.path.write_text(self._settings())

    def _settings(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["gateway"]["run"].split()
        template = (ROOT / deploy["roles"]["gateway"]["template"]).read_text()
        zones = "rajkot:gujarat-west,jamnagar:gujarat-west,bhavnagar:gujarat-west"
        values = {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": "127.0.0.1",
            "listen.frontend": f"127.0.0.1:{self.port}",
            "listen.readiness": f"127.0.0.1:{self.ready_port}",
            "internalPortRange.0": self.link_port,
            "limits.memoryMb": 300,
            "limits.cpuShare": 0.817,
            "limits.cpuCores": 1,
            "limits.linkMbps": 1000.0,
            "platform.address": f"127.0.0.1:{self.store_port}",
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }
        text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", zones, template)
        text = re.sub(r"\{\{([^}]+)\}\}", lambda m: str(values.get(m.group(1), "")), text)
        return text.replace(":9464", f":{free_port()}")

    async def start(self):
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["BILBERRYSHED_BOOT"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        self.log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        answer = await send(self.ready_port, "GET", "/readyz", timeout=1.0)
        return answer["status"] == 200

    async def wait_ready(self, limit=15.0):
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def send(port, method, target, headers=(), body=b"", timeout=20.0, pace=None, window=0, segment=0):
    """Send one request on a new channel, and return what came.

    :param pace: bytes a second that are read at most
    :param window: size of the receive buffer, 0 for the system's own
    :param segment: largest segment that the requester's side accepts, 0 for the system's own
    """
    found = {"status": 0, "body": b"", "whole": False, "headers": {}, "error": ""}
    found["sent_at"] = time.monotonic()
    raw = socket.socket()
    raw.setblocking(False)
    if window:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    if segment:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            await asyncio.get_running_loop().sock_connect(raw, ("127.0.0.1", port))
            reader, writer = await asyncio.open_connection(sock=raw, limit=window or 2**16)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await read_answer(reader, found, pace)
    except TimeoutError:
        found["error"] = "no answer in time"
    except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError) as error:
        found["error"] = repr(error)
    finally:
        found["ended_at"] = time.monotonic()
        if writer is not None:
            writer.close()
        else:
            raw.close()
    return found


async def read_answer(reader, found, pace=None):
    """Read a whole answer into ``found``, at most ``pace`` bytes a second."""
    head = await read_head(reader)
    if head is None:
        found["error"] = "the channel ended without an answer"
        return
    found["status"], found["headers"] = int(head[0].split(" ")[1]), head[1]
    found["head_at"] = time.monotonic()
    if head[1].get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                found["whole"] = True
                return
            found["body"] += data[:-2]
    left = length = int(head[1].get("content-length", "0"))
    began_at, parts = time.monotonic(), []
    while left:
        data = await reader.read(min(left, 65_536))
        if not data:
            found["error"] = f"the channel ended {left} bytes before the end of the answer"
            break
        left -= len(data)
        parts.append(data)
        if pace:
            await asyncio.sleep(began_at + (length - left) / pace - time.monotonic())
    found["body"] += b"".join(parts)
    found["whole"] = not left


def new_id():
    return f"{random.getrandbits(64):016x}"


def run(folder, case, limit=118.0):
    """Run a case, which returns its exit code and summary lines, and end what it started."""
    record = Record(folder)
    if not (ROOT / "target/deps/bilberryshed").is_dir():
        return record.end(2, ["target/deps is missing: run deploy/build.sh"])
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            return asyncio.run(_run(record, case, Path(temporary), limit))
        except TimeoutError:
            return record.end(2, ["the case took too long"])


async def _run(record, case, temporary, limit):
    gateways = []
    try:
        async with asyncio.timeout(limit):
            code, summary = await case(record, temporary, gateways)
        return record.end(code, summary)
    finally:
        for gateway in gateways:
            await gateway.stop()
            if os.environ.get("KEEP_LOGS"):
                target = Path(os.environ["KEEP_LOGS"]) / gateway.path.with_suffix(".log").name
                target.write_bytes(gateway.path.with_suffix(".log").read_bytes())


__all__ = [name for name in dir() if not name.startswith("_")]
SIGTERM, SIGHUP, SIGKILL = signal.SIGTERM, signal.SIGHUP, signal.SIGKILL
sys.setrecursionlimit(5_000)
