"""Stand-in for the platform: table service, object store, VM list, weight store."""

import time
from dataclasses import asdict, dataclass, field
from urllib.parse import unquote

from tornado.web import Application, HTTPError

from bilberryshed.state import Vm
from bilberryshed_standins._faults import FaultInjector
from bilberryshed_standins._memory import MemoryObjects, MemoryTables
from bilberryshed_standins._serving import FaultsHandler, StandinHandler


@dataclass(slots=True)
class LaggingVmList:
    """A VM list that shows each change ``lag`` seconds after it was made."""

    lag: float
    changes: list[tuple[float, Vm]] = field(default_factory=list)

    def set(self, now: float, vm: Vm) -> None:
        """Add or replace an entry."""
        self.changes.append((now, vm))

    def visible(self, now: float) -> list[Vm]:
        """Return the entries that are visible at a time."""
        latest = {vm.name: vm for at, vm in self.changes if at + self.lag <= now}
        return list(latest.values())


@dataclass(slots=True)
class WeightStore:
    """Simulates reads of model weights at a limited rate.

    :param rate: bytes per second, over all readers
    :param free_at: time at which all reads so far are finished
    """

    rate: float
    free_at: float = 0.0

    def fetch(self, now: float, size: float) -> float:
        """Queue a read of ``size`` bytes and return the time at which it finishes."""
        self.free_at = max(now, self.free_at) + size / self.rate
        return self.free_at


@dataclass(slots=True)
class PlatformStandin:
    """All services of the platform in one process."""

    vm_list: LaggingVmList
    weights: WeightStore
    tables: MemoryTables = field(default_factory=MemoryTables)
    objects: MemoryObjects = field(default_factory=MemoryObjects)
    fault_injector: FaultInjector = field(default_factory=FaultInjector)

    def application(self) -> Application:
        """Return the HTTP application."""
        args = {"standin": self}
        return Application(
            [
                (r"/tables/read", ReadHandler, args),
                (r"/tables/write", WriteHandler, args),
                (r"/tables/scan", ScanHandler, args),
                (r"/objects/(.+)", ObjectHandler, args),
                (r"/names", NamesHandler, args),
                (r"/vms", VmsHandler, args),
                (r"/weights/(.+)", WeightsHandler, args),
                (r"/counters", CountersHandler, args),
                (r"/faults", FaultsHandler, args),
            ]
        )


class ReadHandler(StandinHandler):
    """``POST /tables/read``: read rows atomically."""

    async def post(self) -> None:
        refs = [(table, key) for table, key in self.json_body()["refs"]]
        await self.send_json({"rows": self.standin.tables.read(refs)})


class WriteHandler(StandinHandler):
    """``POST /tables/write``: conditional write of rows; 409 if a version does not match."""

    async def post(self) -> None:
        puts = [tuple(put) for put in self.json_body()["puts"]]
        written = self.standin.tables.write(puts)
        await self.send_json({"written": written}, 200 if written else 409)


class ScanHandler(StandinHandler):
    """``POST /tables/scan``: read rows with a key prefix."""

    async def post(self) -> None:
        body = self.json_body()
        rows = self.standin.tables.scan(
            body["table"], body["prefix"], body["after"], int(body["limit"])
        )
        await self.send_json({"rows": rows})


class ObjectHandler(StandinHandler):
    """``GET`` and ``PUT /objects/{name}``; 409 if an object to create exists."""

    async def get(self, name: str) -> None:
        data = self.standin.objects.get(unquote(name))
        if data is None:
            raise HTTPError(404)
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(data)

    async def put(self, name: str) -> None:
        created = self.standin.objects.put_if_absent(unquote(name), self.request.body)
        await self.send_json({"created": created}, 201 if created else 409)


class NamesHandler(StandinHandler):
    """``GET /names``: names of objects with a prefix."""

    async def get(self) -> None:
        prefix, after = self.get_argument("prefix", ""), self.get_argument("after", "")
        limit = int(self.get_argument("limit", "1000"))
        await self.send_json({"names": self.standin.objects.names(prefix, after, limit)})


class VmsHandler(StandinHandler):
    """``GET`` and ``POST /vms``: read the VM list, or change an entry."""

    async def get(self) -> None:
        await self.send_json(
            {"vms": [asdict(vm) for vm in self.standin.vm_list.visible(time.monotonic())]}
        )

    async def post(self) -> None:
        self.standin.vm_list.set(time.monotonic(), Vm(**self.json_body()))
        await self.send_json({})


class WeightsHandler(StandinHandler):
    """``GET /weights/{model}``: seconds until the weights have been read."""

    async def get(self, model: str) -> None:
        size = float(self.get_argument("bytes", "1e9"))
        now = time.monotonic()
        await self.send_json(
            {"model": model, "seconds": self.standin.weights.fetch(now, size) - now}
        )


class CountersHandler(StandinHandler):
    """``GET /counters``: number of calls of each kind."""

    async def get(self) -> None:
        tables, objects = self.standin.tables, self.standin.objects
        await self.send_json(
            {
                "table_reads": tables.reads,
                "table_writes": tables.writes,
                "object_reads": objects.reads,
                "object_writes": objects.writes,
            }
        )
