"""Stand-ins of the platform, engines and requesters, and the start of gateways, for the checks.

Only the standard library is used. The store, the engines and the requesters run in the process of
the check; each gateway is a process of its own, started as deploy/system.toml says, with
deploy/gateway.ini filled in for a small deployment.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
READ_SIZE = 65_536
BOUNDS = {
    "graceS": 8, "drainMs": 2000, "stableMs": 3000, "configApplyMs": 2000,
    "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 54, "recoveryS": 12,
}
LIMITS = {"cpuShare": 0.817, "cpuCores": 1, "memoryMb": 300, "maxFds": 4100, "linkMbps": 1000.0}
LATENCY = 0.004  # seconds for an answer of the store

_used_ports = set()


def free_port():
    """Return a free port of the loopback address, below those that outgoing channels get."""
    while True:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _used_ports:
            _used_ports.add(port)
            return port


# Settings and processes ---------------------------------------------------------------------


def fill_in(template, values):
    """Fill in the placeholders of a template as the platform does."""

    def look_up(name, scope):
        if name == ".":
            return scope["."]
        for part in name.split("."):
            scope = scope.get(part) if isinstance(scope, dict) else scope[int(part)]
            if scope is None:
                return None
        return scope

    def section(match):
        items = look_up(match.group(1), values)
        if not items:
            return ""
        out = []
        for number, (key, value) in enumerate(items.items()):
            text = match.group(2).replace("{{@}}", key).replace("{{.}}", str(value))
            out.append(text.replace("{{,}}", "," if number + 1 < len(items) else ""))
        return "".join(out)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template)

    def value(match):
        found = look_up(match.group(1), values)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Node:
    """A gateway process and what it printed."""

    def __init__(self, folder, name, zone, zones, store_address, bounds=None, limits=None):
        self.folder, self.name, self.zone = Path(folder), name, zone
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        self.command = role["run"].split(" ")
        self.port, ready, link = free_port(), free_port(), free_port()
        self.ready_port = ready
        self.limits = {**LIMITS, **(limits or {})}
        values = {
            "nodeName": name, "zone": zone, "ip": "127.0.0.1",
            "listen": {"frontend": f"127.0.0.1:{self.port}", "readiness": f"127.0.0.1:{ready}"},
            "internalPortRange": [link, link],
            "limits": self.limits,
            "platform": {"address": store_address},
            "bounds": {**BOUNDS, **(bounds or {})},
            "zones": zones,
        }
        settings = fill_in((ROOT / role["template"]).read_text(), values)
        # The port of the metrics is the same on all machines; here they share an address.
        settings = settings.replace("127.0.0.1:9464", f"127.0.0.1:{free_port()}")
        self.settings = self.folder / f"{name}.ini"
        self.settings.write_text(settings)
        self.log = self.folder / f"{name}.log"
        self.process = None

    def start(self):
        """Start a new incarnation."""
        keep = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in keep if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["BILBERRYSHED_BOOT"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    @property
    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.alive:
            self.process.send_signal(number)

    async def ended(self, within):
        """Wait for the end of the process; SIGKILL follows as the platform sends it."""
        end = time.monotonic() + within
        while self.alive and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if self.alive:
            self.process.kill()
        self.process.wait()

    async def is_ready(self):
        """Ask the readiness address once."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.ready_port), 1
            )
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, within=15):
        end = time.monotonic() + within
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready")


class CannotRun(Exception):
    """The case could not run; the script ends with 2."""


# The store ----------------------------------------------------------------------------------


async def read_http(reader):
    """Read one request: method, target, headers and body; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, headers, body


class Store:
    """The platform's store: rows with versions, transactions and a feed.

    ``lost`` is the share of writes, by listener, that are done and not answered. ``refuses`` holds
    the listeners that get 503 for every call. While the store is ``away``, it closes channels.
    """

    def __init__(self, seed=0):
        self.rows = {}  # (table, key): (data or None, version)
        self.version = 0
        self.started = time.monotonic()
        self.random = random.Random(seed)
        self.lost, self.refuses, self.latency = {}, set(), LATENCY
        self.writes, self.unanswered = 0, 0
        self.changed = asyncio.Event()
        self.servers = []
        self.era, self.away = 1, False

    def copy(self):
        """Return a copy of all rows."""
        return dict(self.rows), self.version

    def restore(self, copy):
        """Come back from a copy; what the operator and the engines wrote since is written again."""
        current = self.rows
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era += 1
        for address, (data, _) in sorted(current.items(), key=lambda item: item[1][1]):
            if address[0] in ("op", "servers") and self.rows.get(address, (None, 0))[0] != data:
                self.version += 1
                self.rows[address] = (data, self.version)
        self._notify()

    async def listen(self, name):
        """Return an address of the store for one machine."""
        server = await asyncio.start_server(lambda r, w: self._serve(name, r, w), "127.0.0.1", 0)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def put(self, table, key, value):
        """Write a row as the operator or an engine does; returns when it is acknowledged."""
        self.version += 1
        self.rows[(table, key)] = (json.dumps(value).encode(), self.version)
        self._notify()

    def remove(self, table, key):
        self.version += 1
        self.rows[(table, key)] = (None, self.version)
        self._notify()

    def values(self, table):
        """Return the decoded rows of a table."""
        return {
            key: json.loads(data)
            for (name, key), (data, _) in self.rows.items()
            if name == table and data is not None
        }

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, name, reader, writer):
        try:
            while (request := await read_http(reader)) is not None:
                if self.away:
                    return
                answer = await self._answer(name, *request)
                if self.away:
                    return
                if answer is None:
                    # A channel on which an answer is lost delivers nothing further.
                    while await reader.read(READ_SIZE):
                        pass
                    return
                status, fields = answer
                body = json.dumps(fields).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {self.era}\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _common(self):
        return {"rowVersion": self.version, "serverTimeMs": int((time.monotonic() - self.started) * 1000)}

    def _row(self, address):
        data, version = self.rows[address]
        row = {"tableName": address[0], "part": "", "key": address[1], "rowVersion": version}
        if data is None:
            return {**row, "deleted": True}
        return {**row, "data": base64.b64encode(data).decode()}

    def _row_version(self, address):
        data, version = self.rows.get(address, (None, 0))
        return version if data is not None else 0

    async def _answer(self, name, method, target, headers, body):
        if name in self.refuses:
            return 503, self._common()
        await asyncio.sleep(self.latency)
        path, query = urlsplit(target).path, parse_qs(urlsplit(target).query, keep_blank_values=True)
        argument = {key: values[0] for key, values in query.items()}
        if path == "/rows-tx":
            return self._transact(name, json.loads(body))
        if path == "/rows-get":
            return 200, self._range(argument)
        if path == "/rows-feed":
            return await self._feed(argument)
        return 404, self._common()

    def _transact(self, name, body):
        self.writes += 1
        address = lambda item: (item["tableName"], item["key"])  # noqa: E731
        wanted = body.get("precondition", [])
        done = all(self._row_version(address(i)) == i["rowVersion"] for i in wanted)
        if done:
            self.version += 1
            for item in body.get("write", []):
                self.rows[address(item)] = (base64.b64decode(item["data"]), self.version)
            for item in body.get("remove", []):
                self.rows[address(item)] = (None, self.version)
            self._notify()
        if self.random.random() < self.lost.get(name, 0.0):
            self.unanswered += 1
            return None
        if done:
            return 200, self._common()
        rows = [self._row(address(i)) for i in wanted if address(i) in self.rows]
        return 412, {**self._common(), "rows": rows}

    def _range(self, argument):
        low, high = argument.get("source", ""), argument.get("to", "")
        most = min(500, int(argument.get("maxResults") or 500))
        found = sorted(
            address
            for address, (data, _) in self.rows.items()
            if address[0] == argument["tableName"] and data is not None
            if address[1] >= low and (not high or address[1] < high)
        )
        rows = [self._row(address) for address in found[:most]]
        return {**self._common(), "rows": rows, "hasMore": len(found) > most}

    async def _feed(self, argument):
        table, after = argument["tableName"], int(argument["after"])
        end, era = time.monotonic() + int(argument.get("waitMs") or 0) / 1000, self.era
        while True:
            if after > self.version or era != self.era:
                return 410, self._common()
            changed = sorted(
                (version, address)
                for address, (_, version) in self.rows.items()
                if address[0] == table and version > after
            )
            left = end - time.monotonic()
            if changed or left <= 0:
                return 200, {**self._common(), "rows": [self._row(a) for _, a in changed]}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass


# Engines ------------------------------------------------------------------------------------


class Engine:
    """A sound engine that answers prompts with streams and other requests with bodies.

    ``log`` gets a line for each request that it runs: time, engine and request.
    """

    def __init__(self, id_, software, events=13, pause=0.03, prefill=0.05, work=0.05, log=None):
        self.id, self.software, self.events, self.pause = id_, software, events, pause
        self.prefill, self.work = prefill, work
        self.runs, self.headers_of, self.writers = [], {}, set()
        self.log = log
        self.server, self.address = None, ""
        self.born = int(time.time() * 1000)

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def entry(self, service, zone, slots=64, state="serving", sequence=1):
        """Return the entry by which the engine registers itself."""
        return {
            "service": service, "address": self.address, "zone": zone, "version": self.software,
            "slots": slots, "state": state, "coldRemainingMs": 0, "sequence": sequence,
            "born": self.born,
        }

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_http(reader)) is not None:
                if not await self._respond(reader, writer, *request):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def head(self, status, id_, fields):
        signature = f"3e1b.{self.id}.{id_}"
        return (
            f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {id_}\r\nX-Response-Signature: {signature}\r\n"
            f"{fields}\r\n\r\n"
        ).encode()

    async def _respond(self, reader, writer, method, target, headers, body):
        id_ = headers.get("x-attempt-id", "")
        if headers.get("x-target-instance", self.id) != self.id:
            writer.write(self.head(421, id_, "X-Not-Executed: 1\r\nContent-Length: 0"))
            return True
        self.runs.append(id_)
        self.headers_of[id_] = headers
        if self.log is not None:
            self.log("run", self.id, id_, headers.get("last-event-id", ""))
        if "x-token-usage" in headers:
            return await self._stream(reader, writer, id_, headers)
        await asyncio.sleep(self.work)
        answer = f"answer to {id_}".encode()
        writer.write(self.head(200, id_, f"Content-Length: {len(answer)}") + answer)
        await writer.drain()
        return True

    async def _stream(self, reader, writer, id_, headers):
        first = int(headers.get("last-event-id") or 0) + 1
        fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
        await asyncio.sleep(self.prefill)
        writer.write(self.head(200, id_, fields))
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.software} {self.id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause)
            if reader.at_eof() or writer.transport.is_closing():
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


# Requesters ---------------------------------------------------------------------------------

EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")


class Answer:
    """What a requester got for one attempt."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete = 0, {}, b"", False
        self.first_at = self.last_at = None

    @property
    def events(self):
        """Ids and texts of the whole events."""
        return [(int(id_), text.decode()) for id_, text in EVENT.findall(self.body)]


async def send(port, path, id_, timeout, headers=None, gap=None, body=b"", method="POST"):
    """Send one attempt on a new channel, and read its answer.

    :param timeout: seconds that the requester waits for the whole answer
    :param gap: seconds between events after which it abandons a stream
    """
    answer = Answer()
    fields = {
        "Host": HOST, "X-Attempt-Id": id_, "X-Deadline-Ms": str(int(timeout * 1000)),
        "Content-Length": str(len(body)), **(headers or {}),
    }
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    end = time.monotonic() + timeout
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
        writer.write(head.encode() + b"\r\n" + body)

        async def wait(call):
            left = end - time.monotonic()
            if gap is not None:
                left = min(left, gap)
            if left <= 0:
                raise TimeoutError
            return await asyncio.wait_for(call, left)

        line = await wait(reader.readuntil(b"\r\n\r\n"))
        lines = line.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for text in lines[1:]:
            name, _, value = text.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding", "") == "chunked":
            while True:
                size = int((await wait(reader.readline())).strip() or b"x", 16)
                data = await wait(reader.readexactly(size + 2))
                if not size:
                    answer.complete = True
                    return answer
                answer.body += data[:-2]
                answer.last_at = time.monotonic()
                answer.first_at = answer.first_at or answer.last_at
        size = int(answer.headers.get("content-length", "0"))
        answer.body = await wait(reader.readexactly(size))
        answer.complete = True
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


def config(version, prepaid=None, tenants=("huka270",), attempts=2, timeout_ms=5000):
    """Return an operator's config with a stream that may be resumed, and plain requests."""
    shared = {"host": HOST, "priority": 1, "anonymous": False, "sticky": False}
    routes = [
        {**shared, "name": "review", "pathPrefix": "/lohu930/", "kind": "streaming",
         "resumable": True, "service": "huvo11a", "maxAttempts": attempts,
         "timeoutMs": timeout_ms, "targetLatencyMs": 600, "targetItlMs": 300, "sticky": True},
        {**shared, "name": "query", "pathPrefix": "/tari22/", "kind": "streaming",
         "resumable": False, "service": "huvo11a", "maxAttempts": 1, "timeoutMs": 15000,
         "targetLatencyMs": 800, "targetItlMs": 300, "sticky": True},
        {**shared, "name": "booking", "pathPrefix": "/pule252/", "kind": "non_idempotent",
         "service": "desk5", "maxAttempts": 2, "timeoutMs": 4000, "targetLatencyMs": 400},
        {**shared, "name": "lookup", "pathPrefix": "/lema7/", "kind": "idempotent",
         "service": "desk5", "maxAttempts": 2, "timeoutMs": 4000, "targetLatencyMs": 400},
    ]
    services = [
        {"name": "huvo11a", "healthPath": "/healthz", "maxConnections": 360,
         "backend": {"slots": 64, "kvCapacityTokens": 340_832, "stride": 4}},
        {"name": "desk5", "healthPath": "/healthz", "maxConnections": 100},
    ]
    limits = {"maxHeaderBytes": 65536, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
              "idleTimeoutMs": 15000}
    people = [{"name": name, "apiKeys": [f"key-{name}"]} for name in tenants]
    for person in people:
        if prepaid is not None:
            person["prepaid"] = prepaid[person["name"]]
    return {"version": version, "routeTable": routes, "services": services, "limits": limits,
            "tenants": people}


# Runs ---------------------------------------------------------------------------------------


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.path, self.started = Path(path), time.monotonic()
        self.lines = deque()

    def __call__(self, *words):
        self.lines.append(f"{time.monotonic() - self.started:8.3f} " + " ".join(str(w) for w in words))

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


def has_trouble():
    """Whether the disruption is brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(check, record_path, limit=115):
    """Run a check; it returns what broke the rule, an empty list if nothing did."""
    record, nodes = Record(record_path), []

    async def run():
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            try:
                return await asyncio.wait_for(check(Path(folder), record, nodes), limit)
            finally:
                keep = os.environ.get("KEEP_LOGS")
                for node in nodes:
                    node.signal(signal.SIGCONT)
                    if node.alive:
                        node.process.kill()
                        node.process.wait()
                    if keep:
                        Path(keep).mkdir(parents=True, exist_ok=True)
                        if node.log.exists():
                            (Path(keep) / node.log.name).write_bytes(node.log.read_bytes())

    if not (ROOT / "target/deps").is_dir():
        print("target/deps is missing: run deploy/build.sh")
        sys.exit(2)
    try:
        broken = asyncio.run(run())
    except (CannotRun, TimeoutError) as error:
        record("cannot run", repr(error))
        record.write()
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in broken:
        record("BROKEN", text)
    record("result", "broken" if broken else "held", f"TROUBLE={os.environ.get('TROUBLE', '1')}")
    record.write()
    for text in broken:
        print(f"broken: {text}")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
