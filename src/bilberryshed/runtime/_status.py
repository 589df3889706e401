"""HTTP handlers for the status, liveness and readiness of a process."""

import json
from collections.abc import Callable
from typing import Any

from tornado.web import RequestHandler

StatusSource = Callable[[], dict[str, Any]]


class StatusHandler(RequestHandler):
    """``GET /status``: state of the process as JSON."""

    def initialize(self, source: StatusSource) -> None:
        """Store the function that returns the status."""
        self.source = source

    def get(self) -> None:
        """Send the status."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(self.source()))


class LiveHandler(RequestHandler):
    """``GET /live``: 200 while the event loop runs."""

    def get(self) -> None:
        """Send 200."""
        self.finish("live\n")


class ReadyHandler(RequestHandler):
    """``GET /ready``: 200 if the process accepts new work, else 503."""

    def initialize(self, ready: Callable[[], bool]) -> None:
        """Store the readiness check."""
        self.ready = ready

    def get(self) -> None:
        """Send the result of the readiness check."""
        if not self.ready():
            self.set_status(503)
            self.finish("not ready\n")
            return
        self.finish("ready\n")
