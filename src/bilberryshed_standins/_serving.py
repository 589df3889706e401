"""HTTP handlers shared by the stand-ins: JSON, fault injection, closed connections."""

import asyncio
import json
import time
from typing import Any

from tornado.web import HTTPError, RequestHandler

from bilberryshed_standins._faults import Fault, FaultInjector


class StandinHandler(RequestHandler):
    """Base of all handlers of the stand-ins.

    :ivar standin: the stand-in that is served
    :ivar fault: active fault for this call, ``None`` without one
    """

    def initialize(self, standin: Any) -> None:
        """Set the stand-in that this handler serves."""
        self.standin = standin
        self.fault: Fault | None = None

    async def prepare(self) -> None:
        """Apply faults that take effect before the call is processed."""
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
        """Send a JSON response, unless the active fault drops or delays it."""
        if self.fault is not None and self.fault.kind == "lose_answer":
            self.close_connection()
            return
        if self.fault is not None and self.fault.kind == "pause":
            await asyncio.sleep(self.fault.seconds)
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))

    def close_connection(self) -> None:
        """Close the connection without a response."""
        self._finished = True
        self.detach().close()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an error response as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"error": self._reason}))


class FaultsHandler(RequestHandler):
    """Activates (``POST``) and deactivates (``DELETE``) faults."""

    def initialize(self, standin: Any) -> None:
        """Set the stand-in that this handler serves."""
        self.standin = standin

    def post(self) -> None:
        """Activate a fault of a ``kind``.

        Optional keys are ``target``, ``seconds`` (the delay), ``lasts`` (seconds until the fault
        expires) and ``count`` (calls that it applies to).
        """
        body = json.loads(self.request.body)
        seconds = float(body.get("seconds", 1.0))
        until = time.monotonic() + float(body.get("lasts", 3600.0))
        count = int(body.get("count", 1_000_000))
        self.standin.fault_injector.add(
            body["kind"], body.get("target", "/"), until, count, seconds
        )
        self.set_status(204)

    def delete(self) -> None:
        """Deactivate all faults."""
        self.standin.fault_injector.clear()
        self.set_status(204)
