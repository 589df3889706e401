"""Stand-in for a plain service: non-idempotent bookings, and account status."""

import asyncio
from collections import Counter

from tornado.web import Application

from bilberryshed_standins._faults import FaultInjector
from bilberryshed_standins._serving import FaultsHandler, StandinHandler

SERVICE_TIME = 0.02  # seconds to process a call


class BookingStandin:
    """A plain service that counts the executions of each call by idempotency key."""

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
    """Any call; ``POST`` counts an execution and returns a booking number."""

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
    """``GET /runs``: number of executions by idempotency key."""

    async def get(self) -> None:
        await self.send_json(dict(self.standin.runs))


class ReadyHandler(StandinHandler):
    """``GET /load``: a constant load report."""

    async def get(self) -> None:
        await self.send_json({"running": 0, "queued": 0, "slots": 16, "models": []})
