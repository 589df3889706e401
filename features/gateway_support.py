"""A gateway in this process before stand-ins of the users' platform."""

import asyncio
from dataclasses import dataclass, field

import h11

from bilberryshed.gateway import Gateway
from bilberryshed.platform import gateway_ports
from bilberryshed.state import Address, GatewaySettings
from bilberryshed_load._plans import free_port
from bilberryshed_standins import RoutedBackend, RowStore, serve_row_store

HOST = "calls.example"
KEY = "k-harbour"
CUSTOMER = "harbour"
SETTLE = 3.0  # seconds in which a gateway must take in what the store says
START_LIMIT = 15.0  # seconds for a gateway to start in, which is no promise


def route(name, prefix, service, kind="idempotent", **more):
    """Return a route as the operator writes it."""
    base = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "anonymous": False,
    }
    return {**base, **more}


def config(version=1, **more):
    """Return an operator's config."""
    base = {
        "version": version,
        "routeTable": [
            route("chat", "/chat/", "model", "streaming", resumable=True),
            route("once", "/once/", "model", "streaming", resumable=False),
            route("book", "/book/", "desk", "non_idempotent"),
            route("look", "/look/", "desk"),
            route("open", "/open/", "desk", anonymous=True),
        ],
        "services": [
            {
                "name": "model",
                "healthPath": "/healthz",
                "maxConnections": 50,
                "backend": {"slots": 8, "kvCapacityTokens": 100_000, "stride": 4},
            },
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 50},
        ],
        "limits": {"maxBodyBytes": 10_000},
        "tenants": [{"name": CUSTOMER, "apiKeys": [KEY], "priority": 1, "prepaid": 1_000_000}],
    }
    return {**base, **more}


@dataclass
class Reply:
    """An answer as its caller got it; ``whole`` tells whether it ended as it should."""

    status: int
    headers: dict
    body: bytes
    whole: bool
    closed: bool = False


@dataclass
class Rig:
    """Store, backend servers, gateways and callers."""

    store: RowStore = field(default_factory=RowStore)
    backends: dict = field(default_factory=dict)
    gateways: dict = field(default_factory=dict)
    stops: dict = field(default_factory=dict)
    tasks: dict = field(default_factory=dict)
    store_port: int = 0
    next_id: int = 1

    async def start(self):
        """Start the store and put a config in it."""
        self.server, self.store_port = serve_row_store(self.store)
        self.store.put("op", "config", config())

    async def add_backend(self, id_, service, streams=False, **entry):
        """Start a backend server and register it."""
        backend = RoutedBackend(id_, streams)
        await backend.start()
        self.backends[id_] = backend
        self.register(id_, service, **entry)
        return backend

    def register(self, id_, service, **entry):
        """Write the entry of a backend server."""
        base = {
            "service": service,
            "address": self.backends[id_].address,
            "zone": "quay",
            "version": "v1",
            "slots": 8,
            "state": "serving",
            "sequence": 1,
        }
        self.store.put("servers", id_, {**base, **entry})

    async def add_gateway(self, name="gate-1", ready=True):
        """Start a gateway and wait until it has a config and backend servers."""
        ports = [Address("127.0.0.1", free_port()) for _ in range(3)]
        settings = GatewaySettings(
            name=name,
            zone="quay",
            listen=ports[0],
            ready_listen=ports[1],
            link_listen=ports[2],
            metrics_listen=None,
            statsd=None,
            memory=300,
            store=Address("127.0.0.1", self.store_port),
            store_timeout=0.5,
            drain_time=4.0,
            retry_ratio=0.5,
            retry_window=10.0,
            retry_slack=50.0,
            grant_horizon=25.0,
        )
        ports = gateway_ports(settings.store, settings.store_timeout)
        gateway = Gateway(settings, ports, asyncio.get_running_loop().time())
        stop = asyncio.Event()
        self.gateways[name], self.stops[name] = gateway, stop
        self.tasks[name] = asyncio.ensure_future(gateway.serve_until(stop))
        if ready:
            known = lambda: gateway.is_ready() and self._knows_backends(gateway)  # noqa: E731
            await self.until(known, START_LIMIT)
        return gateway

    def _knows_backends(self, gateway):
        return len(gateway.context.backends.views) >= len(self.backends)

    async def until(self, condition, limit=SETTLE):
        """Wait for a condition.

        :raises AssertionError: if it does not come true in time
        """
        end = asyncio.get_running_loop().time() + limit
        while not condition():
            assert asyncio.get_running_loop().time() < end, "not in time"
            await asyncio.sleep(0.02)

    async def close_gateways(self):
        """Stop the gateways of this process at once."""
        for name, task in self.tasks.items():
            task.cancel()
            gateway = self.gateways[name]
            gateway.context.timers.close()
            await gateway.peers.close()
        self.tasks.clear()

    async def close(self):
        """Stop everything at once."""
        await self.close_gateways()
        for backend in self.backends.values():
            backend.stop()
        self.server.stop()
        await asyncio.sleep(0.02)

    def request_id(self):
        """Return a new id of a caller's attempt."""
        self.next_id += 1
        return f"{self.next_id:016x}"

    async def call(self, path, gateway="gate-1", method="POST", body=b"", key=KEY, **more):
        """Send a request and read the answer.

        :param more: ``headers`` to add; ``id``; ``tokens``; ``parts``
        """
        address = self.gateways[gateway].settings.listen
        headers = {
            "Host": HOST,
            "X-Attempt-Id": more.get("id") or self.request_id(),
            "X-Deadline-Ms": "3000",
            "Content-Length": str(len(body)),
        }
        if key:
            headers["X-Key"] = key
        if "tokens" in more:
            headers["X-Token-Usage"] = more["tokens"]
            headers["X-Prompt-Prefix"] = more.get("parts", "aa:10,bb:10,cc:10")
            headers["X-Model-Name"] = "m"
        headers.update(more.get("headers", {}))
        fields = {name: value for name, value in headers.items() if value is not None}
        head = f"{method} {path} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return await self.send_raw(address, head.encode() + b"\r\n" + body, method)

    async def send_raw(self, address, data, method="POST"):
        """Send bytes and read one answer."""
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(data)
        try:
            return await read_reply(reader, method)
        finally:
            writer.close()


async def read_reply(reader, method="POST"):
    """Read one answer of a server."""
    framing = h11.Connection(h11.CLIENT)
    framing.send(h11.Request(method=method, target="/", headers=[("Host", HOST)]))
    framing.send(h11.EndOfMessage())
    reply = Reply(0, {}, b"", False)
    while True:
        try:
            event = framing.next_event()
            if event is h11.NEED_DATA:
                framing.receive_data(await asyncio.wait_for(reader.read(65536), 10))
                continue
        except (h11.RemoteProtocolError, ConnectionError):
            return reply
        if isinstance(event, h11.Response):
            reply.status = event.status_code
            reply.headers = {k.decode(): v.decode() for k, v in event.headers}
        elif isinstance(event, h11.Data):
            reply.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            reply.whole = True
            return reply
        elif isinstance(event, h11.ConnectionClosed):
            return reply
