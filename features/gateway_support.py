"""Runs gateways in this process against stand-ins for the users' platform."""

import asyncio
from dataclasses import dataclass, field, fields, replace
from functools import partial

import h11

from bilberryshed.gateway import Gateway
from bilberryshed.platform import gateway_ports
from bilberryshed.state import Address, GatewaySettings
from bilberryshed_load._plans import free_port
from bilberryshed_standins import RoutedBackend, RowStore, serve_row_store

HOST = "calls.example"
API_KEY = "k-harbour"
CUSTOMER = "harbour"
STORE_UPDATE_TIMEOUT = 3.0  # seconds within which a gateway must apply a change of the store
START_TIMEOUT = 15.0  # seconds for a gateway to start; the product guarantees no start-up time


def build_route(name, prefix, service, kind="idempotent", **overrides):
    """Return a route of an operator's config; ``overrides`` replace the default fields."""
    defaults = {
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
    return {**defaults, **overrides}


def build_config(version=1, **overrides):
    """Return an operator's config; ``overrides`` replace the default fields."""
    defaults = {
        "version": version,
        "routeTable": [
            build_route("chat", "/chat/", "model", "streaming", resumable=True),
            build_route("once", "/once/", "model", "streaming", resumable=False),
            build_route("book", "/book/", "desk", "non_idempotent"),
            build_route("look", "/look/", "desk"),
            build_route("open", "/open/", "desk", anonymous=True),
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
        "tenants": [{"name": CUSTOMER, "apiKeys": [API_KEY], "priority": 1, "prepaid": 1_000_000}],
    }
    return {**defaults, **overrides}


def build_gateway_settings(**values):
    """Return settings of a gateway; settings that are not given have their defaults."""
    defaults = {
        key.name: key.metadata["parse"](key.metadata["default"])
        for key in fields(GatewaySettings)
        if key.metadata["default"] is not None
    }
    return GatewaySettings(**{**defaults, **values})


@dataclass
class ReceivedResponse:
    """A response as received by its caller; ``complete`` is whether its framing ended properly."""

    status: int
    headers: dict
    body: bytes
    complete: bool
    closed: bool = False


@dataclass
class GatewayHarness:
    """Manages a store, backend servers and gateways, and sends requests to the gateways.

    :param overrides: settings of the gateways that replace the default ones
    """

    store: RowStore = field(default_factory=RowStore)
    backends: dict = field(default_factory=dict)
    gateways: dict = field(default_factory=dict)
    stop_events: dict = field(default_factory=dict)
    tasks: dict = field(default_factory=dict)
    store_port: int = 0
    next_id: int = 1
    overrides: dict = field(default_factory=dict)

    async def start(self):
        """Start the store and write a config to it."""
        self.server, self.store_port = serve_row_store(self.store)
        self.store.put("op", "config", build_config())

    async def add_backend(self, id_, service, streams=False, **entry):
        """Start a backend server and write its entry to the store."""
        backend = RoutedBackend(id_, streams)
        await backend.start()
        self.backends[id_] = backend
        self.register(id_, service, **entry)
        return backend

    def set_crashing_part(self, part, crash_after=0):
        """Make prompts with a part crash each model engine that begins to answer them.

        :param crash_after: events that it sends before the crash
        """
        for id_, backend in self.backends.items():
            backend.crashing_part, backend.crash_after = part, crash_after
            backend.on_restart = partial(self.register_restart, id_)

    def register_restart(self, id_):
        """Write the entry of a backend server's next incarnation."""
        backend = self.backends[id_]
        service = "model" if backend.is_streaming else "desk"
        self.register(id_, service, born=len(backend.crashes))

    def register(self, id_, service, **entry):
        """Write the entry of a backend server to the store; ``entry`` replaces default fields."""
        defaults = {
            "service": service,
            "address": self.backends[id_].address,
            "zone": "quay",
            "version": "v1",
            "slots": 8,
            "state": "serving",
            "sequence": 1,
        }
        self.store.put("servers", id_, {**defaults, **entry})

    async def add_gateway(self, name="gate-1", ready=True):
        """Start a gateway.

        :param ready: whether to wait until it is ready and has all backend servers
        """
        addresses = [Address("127.0.0.1", free_port()) for _ in range(3)]
        settings = build_gateway_settings(
            name=name,
            zone="quay",
            listen=addresses[0],
            ready_listen=addresses[1],
            link_listen=addresses[2],
            metrics_listen=None,
            statsd=None,
            memory=300,
            cpu=1.0,
            cpu_speed=1.0,
            bandwidth=1000.0,
            store=Address("127.0.0.1", self.store_port),
            store_timeout=0.5,
            drain_time=4.0,
            retry_ratio=0.5,
            retry_window=10.0,
            retry_slack=50.0,
            grant_horizon=25.0,
            regions={},
            cold_overrun=None,
            cold_slack=None,
            link_wait_ratio=0.25,
            pace=False,
        )
        settings = replace(settings, **self.overrides)
        ports = gateway_ports(settings.store, settings.store_timeout)
        gateway = Gateway(settings, ports, asyncio.get_running_loop().time())
        stop_event = asyncio.Event()
        self.gateways[name], self.stop_events[name] = gateway, stop_event
        self.tasks[name] = asyncio.ensure_future(gateway.serve_until(stop_event))
        if ready:
            started = lambda: gateway.is_ready() and self._has_all_backends(gateway)  # noqa: E731
            await self.wait_until(started, START_TIMEOUT)
        return gateway

    def _has_all_backends(self, gateway):
        return len(gateway.context.backends.views) >= len(self.backends)

    async def wait_until(self, condition, timeout=STORE_UPDATE_TIMEOUT):
        """Poll a condition until it is true.

        :param timeout: seconds
        :raises AssertionError: if the condition is not true within the timeout
        """
        deadline = asyncio.get_running_loop().time() + timeout
        while not condition():
            assert (
                asyncio.get_running_loop().time() < deadline
            ), "the condition was not met within the timeout"
            await asyncio.sleep(0.02)

    async def kill_gateway(self, name):
        """End a gateway without a drain, and forget it."""
        await self._end_gateway(name)
        del self.gateways[name]

    async def _end_gateway(self, name):
        gateway = self.gateways[name]
        self.tasks.pop(name).cancel()
        gateway.context.timers.close()
        for task in tuple(gateway.context.tasks.tasks):
            task.cancel()
        if gateway.http is not None:
            gateway.http.stop()
        await gateway.peers.close()

    async def close_gateways(self):
        """End all gateways without a drain."""
        for name in tuple(self.tasks):
            await self._end_gateway(name)

    async def close(self):
        """Cancel the gateways and stop the backend servers and the store."""
        await self.close_gateways()
        for backend in self.backends.values():
            backend.stop()
        self.server.stop()
        await asyncio.sleep(0.02)

    def request_id(self):
        """Return a new value for ``X-Attempt-Id``."""
        self.next_id += 1
        return f"{self.next_id:016x}"

    async def call(self, path, gateway="gate-1", method="POST", body=b"", key=API_KEY, **overrides):
        """Send a request and read the response.

        :param overrides: ``headers`` to add or replace, or to omit where the value is None; ``id``,
            ``tokens`` and ``parts``: values of the headers ``X-Attempt-Id``, ``X-Token-Usage`` and
            ``X-Prompt-Prefix``
        """
        address = self.gateways[gateway].settings.listen
        headers = {
            "Host": HOST,
            "X-Attempt-Id": overrides.get("id") or self.request_id(),
            "X-Deadline-Ms": "3000",
            "Content-Length": str(len(body)),
        }
        if key:
            headers["X-Key"] = key
        if "tokens" in overrides:
            headers["X-Token-Usage"] = overrides["tokens"]
            headers["X-Prompt-Prefix"] = overrides.get("parts", "aa:10,bb:10,cc:10")
            headers["X-Model-Name"] = "m"
        headers.update(overrides.get("headers", {}))
        fields = {name: value for name, value in headers.items() if value is not None}
        head = f"{method} {path} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return await self.send_raw(address, head.encode() + b"\r\n" + body, method)

    async def send_raw(self, address, data, method="POST"):
        """Send bytes on a new connection and read one response."""
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(data)
        try:
            return await read_response(reader, method)
        finally:
            writer.close()


async def read_response(reader, method="POST"):
    """Read one response to a request with the given method.

    :returns: the response, incomplete if the connection ends early or its framing is invalid
    :raises TimeoutError: if no bytes arrive within 10 s
    """
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method=method, target="/", headers=[("Host", HOST)]))
    parser.send(h11.EndOfMessage())
    response = ReceivedResponse(0, {}, b"", False)
    while True:
        try:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await asyncio.wait_for(reader.read(65536), 10))
                continue
        except (h11.RemoteProtocolError, ConnectionError):
            return response
        if isinstance(event, h11.Response):
            response.status = event.status_code
            response.headers = {k.decode(): v.decode() for k, v in event.headers}
        elif isinstance(event, h11.Data):
            response.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            response.complete = True
            return response
        elif isinstance(event, h11.ConnectionClosed):
            return response
