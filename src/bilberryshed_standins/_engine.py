"""Stand-in for a model engine: the HTTP server around :class:`EngineCore`."""

import asyncio
import json
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.web import Application, HTTPError

from bilberryshed_standins._engine_core import EngineCore, EngineLimits, Generated, Sequence
from bilberryshed_standins._faults import FaultInjector
from bilberryshed_standins._serving import FaultsHandler, StandinHandler

CRASH_MARKER = "CRASH-THE-ENGINE"  # text in a prompt that crashes the engine which executes it
MODEL_LOAD_TIME = 0.5  # seconds to load a model
LOST_EVENT_INTERVAL = 10  # every tenth cache event is not published


@dataclass(slots=True)
class EngineSettings:
    """Settings of one engine stand-in; durations in seconds.

    :param models: model versions loaded at start
    :param step: time of one step at normal speed
    :param checks_fencing: whether orders with a stale fencing number are refused
    :param load_lag: age of published load reports
    :param restart: time for which a crashed engine is unavailable
    """

    name: str
    models: tuple[str, ...]
    step: float = 0.01
    checks_fencing: bool = True
    load_lag: float = 0.2
    restart: float = 2.0
    limits: EngineLimits = field(default_factory=EngineLimits)


class EngineStandin:
    """One engine: its core, the task that steps it, and the state of the HTTP handlers."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.core = EngineCore(settings.limits)
        self.fault_injector = FaultInjector()
        self.models = list(settings.models)
        self.output_queues: dict[int, asyncio.Queue[Generated | None]] = {}
        self.load_history: deque[tuple[float, dict[str, Any]]] = deque(maxlen=200)
        self.fencing = 0
        self.orders: list[dict[str, Any]] = []
        self.boots = 1
        self.down_until = 0.0
        self.speed = 1.0
        self.arrival_times: list[float] = []
        self.step_task: asyncio.Task[None] | None = None
        self.limit: float | None = None
        self.says_leaving = False
        self.quiet_time = 0.0

    def application(self) -> Application:
        """Return the HTTP application."""
        args = {"standin": self}
        return Application(
            [
                (r"/v1/chat/completions", CompletionHandler, args),
                (r"/cancel", CancelHandler, args),
                (r"/load", LoadHandler, args),
                (r"/cache/events", CacheEventsHandler, args),
                (r"/orders", OrdersHandler, args),
                (r"/tokenize", TokenizeHandler, args),
                (r"/speed", SpeedHandler, args),
                (r"/crash", CrashHandler, args),
                (r"/limit", LimitHandler, args),
                (r"/self-report", SelfReportHandler, args),
                (r"/started", StartedHandler, args),
                (r"/crashes", CrashesHandler, args),
                (r"/faults", FaultsHandler, args),
            ]
        )

    def start(self) -> None:
        """Start the task that steps the core."""
        self.step_task = asyncio.create_task(self._run())

    @property
    def is_down(self) -> bool:
        """Whether the engine is unavailable after a crash."""
        return time.monotonic() < self.down_until

    def submit(self, sequence: Sequence) -> "asyncio.Queue[Generated | None]":
        """Queue a sequence and return the queue of its results; ``None`` there reports a crash."""
        output: asyncio.Queue[Generated | None] = asyncio.Queue()
        self.output_queues[id(sequence)] = output
        self.core.submit(sequence)
        return output

    def crash(self) -> None:
        """Discard all sequences and the cache, and be unavailable for the restart time."""
        self.boots += 1
        self.down_until = time.monotonic() + self.settings.restart
        self.core = EngineCore(self.settings.limits)
        for output in self.output_queues.values():
            output.put_nowait(None)
        self.output_queues.clear()

    def published_load(self) -> dict[str, Any]:
        """Return the load report that is ``load_lag`` seconds old."""
        published = self.load_history[0][1] if self.load_history else self._current_load()
        for at, load in self.load_history:
            if at + self.settings.load_lag <= time.monotonic():
                published = load
        return published

    async def _run(self) -> None:
        next_step = time.monotonic()
        while True:
            next_step = max(next_step + self.settings.step / self.speed, time.monotonic() - 0.05)
            await asyncio.sleep(max(0.0, next_step - time.monotonic()))
            for generated in self.core.step():
                self._deliver(generated)
            self.load_history.append((time.monotonic(), self._current_load()))

    def _deliver(self, generated: Generated) -> None:
        output = self.output_queues.get(id(generated.sequence))
        if output is None:
            return
        output.put_nowait(generated)
        if generated.finish_reason:
            del self.output_queues[id(generated.sequence)]

    def _current_load(self) -> dict[str, Any]:
        return {
            "running": len(self.core.running),
            "queued": len(self.core.waiting),
            "slots": self.settings.limits.slots,
            "models": list(self.models),
            "boot": self.boots,
        }


class EngineHandler(StandinHandler):
    """Base handler; closes every connection while the engine is unavailable after a crash."""

    standin: EngineStandin

    async def prepare(self) -> None:
        if self.standin.is_down:
            self.close_connection()
            return
        if self.standin.limit is not None:
            self.set_header("Server-Limit", str(self.standin.limit))
        if self.standin.says_leaving:
            self.set_header("Server-Leaving", "1")
        await super().prepare()


class CompletionHandler(EngineHandler):
    """``POST /v1/chat/completions``, streamed as server-sent events."""

    async def post(self) -> None:
        body = self.json_body()
        if body["model"] not in self.standin.models:
            raise HTTPError(404, reason=f"model {body['model']} is not loaded")
        prompt = "\n".join(str(m.get("content", "")) for m in body["messages"])
        sequence = Sequence(
            request=str(body.get("request_id", "")),
            prompt=prompt.encode(),
            max_tokens=int(body["max_tokens"]),
            priority=int(body.get("priority", 5)),
            generated=len(str(body.get("continue_text", "")).split()),
        )
        self.standin.arrival_times.append(time.time())
        if self.standin.quiet_time:
            self.set_header("Retry-After", str(self.standin.quiet_time))
            self.set_status(503)
            await self.finish()
            return
        if CRASH_MARKER in prompt:
            self.standin.crash()
        if self.standin.is_down:
            self.close_connection()
            return
        self.set_header("Content-Type", "text/event-stream")
        await self._stream(sequence, self.standin.submit(sequence))

    async def _stream(self, sequence: Sequence, output: "asyncio.Queue[Generated | None]") -> None:
        finish_reason = ""
        while not finish_reason:
            generated = await output.get()
            if generated is None:
                self.close_connection()
                return
            finish_reason = generated.finish_reason
            if not await self._send_event(_format_event(sequence, generated.text, finish_reason)):
                self.standin.core.cancel(sequence.request)
                return
        self.write("data: [DONE]\n\n")

    async def _send_event(self, event: dict[str, Any]) -> bool:
        self.write(f"data: {json.dumps(event)}\n\n")
        try:
            await self.flush()
        except StreamClosedError:
            return False
        return True


def _format_event(sequence: Sequence, text: str, finish_reason: str) -> dict[str, Any]:
    event: dict[str, Any] = {
        "id": sequence.request,
        "object": "chat.completion.chunk",
        "choices": [
            {"index": 0, "delta": {"content": text}, "finish_reason": finish_reason or None}
        ],
    }
    if finish_reason:
        event["usage"] = {
            "prompt_tokens": sequence.prompt_tokens,
            "completion_tokens": sequence.generated,
        }
    return event


class CancelHandler(EngineHandler):
    """``POST /cancel``: end a sequence early."""

    async def post(self) -> None:
        found = self.standin.core.cancel(str(self.json_body()["request_id"]))
        await self.send_json({"found": found})


class LoadHandler(EngineHandler):
    """``GET /load``: the published load report."""

    async def get(self) -> None:
        await self.send_json(self.standin.published_load())


class CacheEventsHandler(EngineHandler):
    """``GET /cache/events?after=N``: cache events after a number, with gaps."""

    async def get(self) -> None:
        after = int(self.get_argument("after", "0"))
        events = [
            [event.number, event.block, event.stored]
            for event in self.standin.core.events[after:]
            if event.number % LOST_EVENT_INTERVAL
        ]
        await self.send_json({"events": events, "next": len(self.standin.core.events)})


class OrdersHandler(EngineHandler):
    """``POST /orders``: load or unload a model version, or change role."""

    async def post(self) -> None:
        body = self.json_body()
        number = int(body["fencing"])
        if self.standin.settings.checks_fencing and number < self.standin.fencing:
            raise HTTPError(409, reason=f"fencing number {number} is stale")
        self.standin.fencing = max(self.standin.fencing, number)
        self.standin.orders.append(body)
        model = str(body.get("model", ""))
        if body["order"] == "load" and model not in self.standin.models:
            await asyncio.sleep(MODEL_LOAD_TIME)
            self.standin.models.append(model)
        if body["order"] == "unload" and model in self.standin.models:
            self.standin.models.remove(model)
        await self.send_json({"models": self.standin.models})


class TokenizeHandler(EngineHandler):
    """``POST /tokenize``: the exact token count of a prompt."""

    async def post(self) -> None:
        prompt = "\n".join(str(m.get("content", "")) for m in self.json_body()["messages"])
        await self.send_json({"tokens": Sequence("", prompt.encode(), 1, 0).prompt_tokens})


class SpeedHandler(EngineHandler):
    """``POST /speed``: set the speed as a fraction of the normal speed."""

    async def post(self) -> None:
        self.standin.speed = float(self.json_body()["speed"])
        await self.send_json({})


class CrashHandler(EngineHandler):
    """``POST /crash``: crash the engine."""

    async def post(self) -> None:
        await self.send_json({})
        self.standin.crash()


class LimitHandler(EngineHandler):
    """``POST /limit``: set the requests a second that all responses name, null for none."""

    async def post(self) -> None:
        self.standin.limit = self.json_body()["limit"]
        await self.send_json({})


class SelfReportHandler(EngineHandler):
    """``POST /self-report``: whether all responses say that the engine leaves, and the seconds
    without requests for which it asks in turning completions away, 0 to run them.
    """

    async def post(self) -> None:
        body = self.json_body()
        self.standin.says_leaving = bool(body.get("leaving", False))
        self.standin.quiet_time = float(body.get("quiet", 0.0))
        await self.send_json({})


class StartedHandler(EngineHandler):
    """``GET /started``: times at which completions arrived, seconds since the epoch."""

    async def get(self) -> None:
        await self.send_json({"times": self.standin.arrival_times})


class CrashesHandler(StandinHandler):
    """``GET /crashes``: number of crashes; available even while the engine is not."""

    async def get(self) -> None:
        await self.send_json({"crashes": self.standin.boots - 1})
