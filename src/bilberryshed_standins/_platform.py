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
    """A VM list whose readers see each change ``lag`` seconds late."""

    lag: float
    changes: list[tuple[float, Vm]] = field(default_factory=list)

    def set(self, now: float, vm: Vm) -> None:
        """Change or add an entry."""
        self.changes.append((now, vm))

    def visible(self, now: float) -> list[Vm]:
        """Return the list as readers see it."""
        latest = {vm.name: vm for at, vm in self.changes if at + self.lag <= now}
        return list(latest.values())


@dataclass(slots=True)
class WeightStore:
    """Hands out weights at a limited rate.

    :param rate: bytes per second, over all readers
    """

    rate: float
    free_at: float = 0.0

    def fetch(self, now: float, size: float) -> float:
        """Return the time at which ``size`` bytes have been read."""
        self.free_at = max(now, self.free_at) + size / self.rate
        return self.free_at


@dataclass(slots=True)
class PlatformStandin:
    """All platform services in one process."""

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
    """``POST /tables/read``."""

    async def post(self) -> None:
        refs = [(table, key) for table, key in self.json_body()["refs"]]
        await self.send_json({"rows": self.standin.tables.read(refs)})


class WriteHandler(StandinHandler):
    """``POST /tables/write``."""

    async def post(self) -> None:
        puts = [tuple(put) for put in self.json_body()["puts"]]
        written = self.standin.tables.write(puts)
        await self.send_json({"written": written}, 200 if written else 409)


class ScanHandler(StandinHandler):
    """``POST /tables/scan``."""

    async def post(self) -> None:
        body = self.json_body()
        rows = self.standin.tables.scan(
            body["table"], body["prefix"], body["after"], int(body["limit"])
        )
        await self.send_json({"rows": rows})


class ObjectHandler(StandinHandler):
    """``GET`` and ``PUT`` of an object."""

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
    """``GET /names``: names of objects."""

    async def get(self) -> None:
        prefix, after = self.get_argument("prefix", ""), self.get_argument("after", "")
        limit = int(self.get_argument("limit", "1000"))
        await self.send_json({"names": self.standin.objects.names(prefix, after, limit)})


class VmsHandler(StandinHandler):
    """``GET`` and ``POST /vms``."""

    async def get(self) -> None:
        await self.send_json(
            {"vms": [asdict(vm) for vm in self.standin.vm_list.visible(time.monotonic())]}
        )

    async def post(self) -> None:
        self.standin.vm_list.set(time.monotonic(), Vm(**self.json_body()))
        await self.send_json({})


class WeightsHandler(StandinHandler):
    """``GET /weights/{model}``: when the weights will have been read."""

    async def get(self, model: str) -> None:
        size = float(self.get_argument("bytes", "1e9"))
        now = time.monotonic()
        await self.send_json(
            {"model": model, "seconds": self.standin.weights.fetch(now, size) - now}
        )


class CountersHandler(StandinHandler):
    """``GET /counters``: calls so far."""

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
