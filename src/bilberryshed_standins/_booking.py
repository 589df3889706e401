"""Stand-in for a plain service: bookings, which may not be repeated, and account status."""

import asyncio
from collections import Counter

from tornado.web import Application

from bilberryshed_standins._faults import FaultInjector
from bilberryshed_standins._serving import FaultsHandler, StandinHandler

SERVICE_TIME = 0.02  # seconds that a call takes


class BookingStandin:
    """Counts how often each call ran."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.fault_injector = FaultInjector()
        self.runs: Counter[str] = Counter()

    def application(self) -> Application:
        """Return the HTTP application."""
        args = {"standin": self}
        return Application(
            [
                (r"/runs", RunsHandler, args),
                (r"/load", ReadyHandler, args),
                (r"/faults", FaultsHandler, args),
                (r"/.*", CallHandler, args),
            ]
        )


class CallHandler(StandinHandler):
    """Any call: runs it and returns a number."""

    async def get(self) -> None:
        await asyncio.sleep(SERVICE_TIME)
        await self.send_json({"path": self.request.path, "status": "open"})

    async def post(self) -> None:
        key = self.request.headers.get("Idempotency-Key", "")
        self.standin.runs[key] += 1
        number = sum(self.standin.runs.values())
        await asyncio.sleep(SERVICE_TIME)
        await self.send_json({"booking": f"{self.standin.name}-{number}", "key": key}, 201)


class RunsHandler(StandinHandler):
    """``GET /runs``: how often the call of each key ran."""

    async def get(self) -> None:
        await self.send_json(dict(self.standin.runs))


class ReadyHandler(StandinHandler):
    """``GET /load``."""

    async def get(self) -> None:
        await self.send_json({"running": 0, "queued": 0, "slots": 16, "models": []})
