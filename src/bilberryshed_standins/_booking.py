"""Stand-in for a plain service: bookings, which may not be repeated, and account status."""

import asyncio
from collections import Counter

from tornado.web import Application

from bilberryshed_standins._faults import FaultSwitches
from bilberryshed_standins._serving import FaultsHandler, StandinHandler

SERVICE_TIME = 0.02  # seconds that a call takes


class BookingStandin:
    """Counts how often each call ran."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.switches = FaultSwitches()
        self.runs: Counter[str] = Counter()

    def application(self) -> Application:
        """Return the HTTP application."""
        args = {"owner": self}
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
        await self.answer({"path": self.request.path, "status": "open"})

    async def post(self) -> None:
        key = self.request.headers.get("Idempotency-Key", "")
        self.owner.runs[key] += 1
        number = sum(self.owner.runs.values())
        await asyncio.sleep(SERVICE_TIME)
        await self.answer({"booking": f"{self.owner.name}-{number}", "key": key}, 201)


class RunsHandler(StandinHandler):
    """``GET /runs``: how often the call of each key ran."""

    async def get(self) -> None:
        await self.answer(dict(self.owner.runs))


class ReadyHandler(StandinHandler):
    """``GET /load``."""

    async def get(self) -> None:
        await self.answer({"running": 0, "queued": 0, "slots": 16, "models": []})
