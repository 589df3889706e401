"""HTTP handler that the stand-ins share: JSON in and out, fault switches, broken connections."""

import asyncio
import json
import time
from typing import Any

from tornado.web import HTTPError, RequestHandler

from bilberryshed_standins._faults import Fault, FaultInjector


class StandinHandler(RequestHandler):
    """Base of all stand-in handlers.

    :cvar switches: set by :meth:`initialize`
    """

    def initialize(self, standin: Any) -> None:
        """Keep the stand-in that this handler serves."""
        self.standin = standin
        self.fault: Fault | None = None

    async def prepare(self) -> None:
        """Apply faults that precede the effect of the call."""
        fault_injector: FaultInjector = self.standin.fault_injector
        self.fault = fault_injector.next_fault(time.monotonic(), self.request.path)
        if self.fault is None:
            return
        if self.fault.kind == "down":
            raise HTTPError(503)
        if self.fault.kind == "slow":
            await asyncio.sleep(self.fault.seconds)

    def json_body(self) -> Any:
        """Parse the request body."""
        try:
            return json.loads(self.request.body)
        except ValueError as error:
            raise HTTPError(400, f"body is not JSON: {error}") from error

    async def send_json(self, value: Any, status: int = 200) -> None:
        """Send JSON, or lose or delay the answer if a fault says so."""
        if self.fault is not None and self.fault.kind == "lose_answer":
            self.break_connection()
            return
        if self.fault is not None and self.fault.kind == "pause":
            await asyncio.sleep(self.fault.seconds)
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))

    def break_connection(self) -> None:
        """Close the connection without an answer."""
        self._finished = True
        self.detach().close()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send a JSON error."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"error": self._reason}))


class FaultsHandler(RequestHandler):
    """Switches faults on (``POST``) and off (``DELETE``)."""

    def initialize(self, standin: Any) -> None:
        """Keep the stand-in that this handler serves."""
        self.standin = standin

    def post(self) -> None:
        """Switch a fault on: ``kind``, ``target``, ``seconds`` and optionally ``count``."""
        body = json.loads(self.request.body)
        seconds = float(body.get("seconds", 1.0))
        until = time.monotonic() + float(body.get("lasts", 3600.0))
        count = int(body.get("count", 1_000_000))
        self.standin.fault_injector.add(
            body["kind"], body.get("target", "/"), until, count, seconds
        )
        self.set_status(204)

    def delete(self) -> None:
        """Switch all faults off."""
        self.standin.fault_injector.clear()
        self.set_status(204)
