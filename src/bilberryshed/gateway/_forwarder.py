"""Sends a request to backend servers until one answers, and the answer to the caller.

A request that may not be repeated is sent once more only after proof that it never ran: a channel
that could not be opened, or the backend server's word. A stream that broke off goes on at another
backend server after the last whole event that the caller has, if its route allows that.
"""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

from bilberryshed.coordination import (
    OUTPUT_WEIGHT,
    BackendDemand,
    BackendView,
    EventSplitter,
    InFlightRequest,
)
from bilberryshed.gateway._caller_exchange import CallerExchange
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._dialect import BackendAnswer, CallerRequest, Dispatch
from bilberryshed.state import Address, Route, RoutedCustomer, RoutedService, RouteKind
from bilberryshed.transport import (
    BrokenAnswerError,
    Channel,
    ChannelRefusedError,
    logger,
)

CONNECT_TIMEOUT = 0.3  # seconds
FRESH_SHARE = 0.5  # of the idle limit, for a request that may not be repeated
FIRST_BYTE_FACTOR = 2.0  # of the latency target, after which a repeatable request moves on
STALL_FACTOR = 1.5  # of the latency target without an event, after which a stream moves on
NEXT_CHOICE_PAUSE = 0.05  # seconds between looks for a backend server
CHOICE_PATIENCE = 0.25  # of the latency target, for which a request may wait for a backend server
LEAST_TIME = 0.02  # seconds below which a send is pointless
MOST_REFUSED = 6  # channels that one request may find refused


class Outcome(StrEnum):
    """How one attempt at a backend server ended."""

    DONE = "done"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    FAILED = "failed"
    TIMEOUT = "timeout"


@dataclass(slots=True, frozen=True)
class Load:
    """What this gateway has at a backend server.

    :param work: tokens, outputs weighted
    :param unread: tokens of prompts that are still to be read there, those of other gateways too
    """

    running: int = 0
    work: int = 0
    unread: int = 0


@dataclass(slots=True)
class Job:
    """One request under way.

    :param deadline: monotonic time at which its answer is due
    :param sent: backend servers to which it was sent
    :param runs: sends that may have begun to run
    :param tried: ids of backend servers that it does not go to again
    :param status: status of the answer that the caller gets
    :param run: its present run
    :param load: requests and work of this gateway at the backend server when it was chosen
    :param first_event_at: monotonic time at which the caller got the first event
    """

    request: CallerRequest
    route: Route
    service: RoutedService
    customer: RoutedCustomer | None
    exchange: CallerExchange
    fingerprint: str
    began: float
    deadline: float
    sent: int = 0
    runs: int = 0
    refused: int = 0
    tried: set[str] = field(default_factory=set)
    cutter: EventSplitter = field(default_factory=EventSplitter)
    last_failure: str = ""
    failed_answer: "tuple[BackendAnswer, bytes] | None" = None
    server: str = ""
    load: Load = Load()
    run: InFlightRequest | None = None
    status: int = 0
    first_event_at: float | None = None

    @property
    def streams(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAM

    @property
    def first_ms(self) -> int | None:
        """Milliseconds from the request to the first event for the caller."""
        return (
            None if self.first_event_at is None else _milliseconds(self.first_event_at - self.began)
        )

    @property
    def demand(self) -> BackendDemand:
        """What it asks of a backend server."""
        prompt = self.request.prompt
        if prompt is None:
            return BackendDemand("", 1)
        shared = prompt.parts[:-1] or prompt.parts
        affinity = shared[-1] if shared else ""
        work = prompt.tokens + OUTPUT_WEIGHT * prompt.max_output
        return BackendDemand(affinity, work, prompt.shared, max(0, prompt.tokens - prompt.shared))


class Forwarder:
    """Runs the attempts of requests."""

    __slots__ = ("context", "pool", "channels")

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.pool = context.backends
        self.channels = context.channels

    async def run(self, job: Job) -> Outcome:
        """Run a request to its end; what the caller got stands in its exchange.

        :returns: how the last attempt ended; anything but ``DONE`` is left to be refused
        """
        now = self.context.timers.now()
        self.context.retries.count_request(now, job.service.name)
        result = Outcome.NOT_RUN
        while True:
            view = await self._choose(job)
            if view is None:
                return result if job.runs else Outcome.NOT_RUN
            result = await self._attempt(job, view)
            if result is Outcome.DONE or not self._may_go_on(job, result):
                return result

    def _may_go_on(self, job: Job, result: Outcome) -> bool:
        now = self.context.timers.now()
        if job.deadline - now < LEAST_TIME or job.refused > MOST_REFUSED:
            return False
        if result is Outcome.TIMEOUT or (
            result is not Outcome.NOT_RUN and not job.route.repeatable
        ):
            return False
        if job.runs >= job.route.attempts and job.runs:
            return False
        if job.sent == 0:
            return True
        allowed = self.context.retries.try_retry(now, job.service.name, self.context.router_count())
        if not allowed:
            self._log(job, "retry_not_allowed", result=result)
        return allowed

    async def _choose(self, job: Job) -> BackendView | None:
        """Choose a backend server; wait briefly while all are busy or restarting."""
        patience = CHOICE_PATIENCE * job.route.latency_target
        until = min(job.deadline, self.context.timers.now() + patience)
        while True:
            now = self.context.timers.now()
            view = self.pool.choose(now, job.service.name, job.demand, frozenset(job.tried))
            if view is not None:
                return view
            if now + NEXT_CHOICE_PAUSE > until or not self.pool.usable(job.service.name):
                return None
            if all(v.server.id in job.tried for v in self.pool.usable(job.service.name)):
                return None
            await asyncio.sleep(NEXT_CHOICE_PAUSE)

    # One attempt ----------------------------------------------------------------------------

    async def _attempt(self, job: Job, view: BackendView) -> Outcome:
        job.load = Load(view.running, view.work, view.total_unread)
        job.run = self.pool.begin(self.context.timers.now(), view, job.demand)
        job.server = view.server.id
        try:
            channel = await self._channel(job, view)
            if channel is None:
                return Outcome.NOT_RUN
            job.sent += 1
            self._log_sent(job)
            return await self._exchange(job, view, channel)
        finally:
            self.pool.end(job.run)

    def _log_sent(self, job: Job) -> None:
        """Log where an attempt goes and what decided it; a killed process tells no more of it."""
        logger().info(
            "sent",
            request=job.request.id,
            route=job.route.name,
            customer=job.customer.name if job.customer else None,
            table=self.context.table_version(),
            server=job.server,
            sent=job.sent,
            events=job.cutter.events,
            part=job.demand.affinity,
            load=job.load.running,
            work=job.load.work,
            unread=job.load.unread,
            left_ms=_milliseconds(job.deadline - self.context.timers.now()),
        )

    async def _channel(self, job: Job, view: BackendView) -> Channel | None:
        now = self.context.timers.now()
        freshness = 1.0 if job.route.repeatable else FRESH_SHARE
        channel = self.channels.take(view.server.id, now, freshness)
        if channel is not None:
            return channel
        try:
            address = Address.parse(view.server.address)
            return await self.channels.open(view.server.id, address, CONNECT_TIMEOUT)
        except (ChannelRefusedError, ValueError) as error:
            self.pool.on_connection_refused(self.context.timers.now(), view)
            job.refused += 1
            job.last_failure = f"channel refused: {error}"
            self._log(job, "channel_refused", error=str(error), refused=view.refused)
            return None

    async def _exchange(self, job: Job, view: BackendView, channel: Channel) -> Outcome:
        """Send the request on a channel and carry its answer."""
        kept = False
        try:
            job.runs += 1
            self._send(job, view, channel)
            answer = await self._head(job, channel)
            if answer.not_run or answer.wrong_server:
                job.runs -= 1
                kept = await self._drop_body(channel, answer)
                return self._not_run(job, view, answer)
            result, whole = await self._carry(job, view, channel, answer)
            kept = whole and self._keep(channel, answer)
            return result
        except TimeoutError:
            job.last_failure = "no answer in time"
            self._note_failure(job, view, crashed=False)
            if self.context.timers.now() >= job.deadline - LEAST_TIME:
                return Outcome.TIMEOUT
            return Outcome.BROKEN
        except BrokenAnswerError as error:
            job.last_failure = str(error)
            self._note_failure(job, view, crashed=True)
            return Outcome.BROKEN
        finally:
            if not kept:
                channel.abort()

    def _send(self, job: Job, view: BackendView, channel: Channel) -> None:
        left = job.deadline - self.context.timers.now()
        priority = job.customer.priority if job.customer else None
        if priority is None:
            priority = job.route.priority
        resume = job.cutter.last_id
        dispatch = Dispatch(view.server.id, job.customer, left, resume, priority)
        headers = self.context.dialect.dispatch_headers(job.request, dispatch)
        channel.send(job.request.method, job.request.target, headers, job.request.body)

    async def _head(self, job: Job, channel: Channel) -> BackendAnswer:
        """Read the head of this request's answer, past those of others."""
        async with asyncio.timeout_at(self._patience(job, FIRST_BYTE_FACTOR)):
            while True:
                answer = self.context.dialect.read_answer(await channel.read_head())
                if not answer.request or answer.request == job.request.id:
                    break
                logger().warning(
                    "foreign_answer",
                    request=job.request.id,
                    found=answer.request,
                    server=job.server,
                )
                await channel.skip_answer()
        named = answer.request == job.request.id
        if not named and not (answer.not_run or answer.wrong_server):
            raise BrokenAnswerError(f"answer {answer.status} does not name its request")
        if 200 <= answer.status < 300 and not answer.signed:
            raise BrokenAnswerError(f"answer {answer.status} is not signed")
        return answer

    def _patience(self, job: Job, factor: float) -> float:
        """Return the monotonic time until which the backend server may stay silent."""
        if not job.route.repeatable or job.runs >= job.route.attempts:
            return job.deadline
        silence = self.context.timers.now() + factor * job.route.latency_target
        return min(job.deadline, silence)

    async def _drop_body(self, channel: Channel, answer: BackendAnswer) -> bool:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            while await channel.read_body():
                pass
        return self._keep(channel, answer)

    def _not_run(self, job: Job, view: BackendView, answer: BackendAnswer) -> Outcome:
        now = self.context.timers.now()
        job.tried.add(view.server.id)
        job.last_failure = f"backend server answered {answer.status}: not run"
        if answer.wrong_server:
            view.left = True
            self.channels.drop(view.server.id)
        else:
            self.pool.on_overloaded(now, view)
        self._log(job, "not_run", status=answer.status)
        return Outcome.NOT_RUN

    async def _carry(
        self, job: Job, view: BackendView, channel: Channel, answer: BackendAnswer
    ) -> tuple[Outcome, bool]:
        """Pass the body on.

        :returns: the result, and whether the answer was read to its end
        """
        if job.streams and 200 <= answer.status < 300:
            await self._stream(job, channel, answer)
        else:
            body = await self._whole_body(job, channel)
            if answer.status >= 500 and self._retry_failed(job):
                job.failed_answer = (answer, body)
                job.tried.add(view.server.id)
                return Outcome.FAILED, True
            self._deliver(job, answer, body)
        self.pool.on_outcome(self.context.timers.now(), view, failed=False)
        self.context.crashes.clear_crashes(job.fingerprint)
        return Outcome.DONE, True

    def _retry_failed(self, job: Job) -> bool:
        return (
            job.route.kind is RouteKind.IDEMPOTENT
            and job.runs < job.route.attempts
            and job.deadline - self.context.timers.now() > job.route.latency_target / 2
        )

    def _deliver(self, job: Job, answer: BackendAnswer, body: bytes) -> None:
        if job.exchange.started:
            raise BrokenAnswerError(f"answer {answer.status} in place of the rest of a stream")
        job.status = answer.status
        job.exchange.answer(answer.status, answer.headers, body)

    async def _whole_body(self, job: Job, channel: Channel) -> bytes:
        pieces: list[bytes] = []
        async with asyncio.timeout_at(job.deadline):
            while piece := await channel.read_body():
                pieces.append(piece)
        return b"".join(pieces)

    async def _stream(self, job: Job, channel: Channel, answer: BackendAnswer) -> None:
        """Pass whole events on as they come."""
        exchange, cutter = job.exchange, job.cutter
        job.status = answer.status
        cutter.discard_partial()
        while True:
            async with asyncio.timeout_at(self._patience(job, STALL_FACTOR)):
                piece = await channel.read_body()
            if not piece:
                break
            if job.run is not None:
                self.pool.on_prefill_done(job.run)
            events = cutter.feed(piece)
            if not events:
                continue
            if not exchange.started:
                exchange.begin(answer.status, answer.headers)
                job.first_event_at = self.context.timers.now()
            await exchange.write(events)
        if cutter.buffer:
            raise BrokenAnswerError("the stream ended within an event")
        if not exchange.started:
            exchange.begin(answer.status, answer.headers)
        exchange.end()

    def _keep(self, channel: Channel, answer: BackendAnswer) -> bool:
        if not channel.finish(answer.closes):
            return False
        self.channels.put_back(channel, self.context.timers.now(), answer.idle_timeout)
        return True

    def _note_failure(self, job: Job, view: BackendView, crashed: bool) -> None:
        now = self.context.timers.now()
        job.tried.add(view.server.id)
        self.pool.on_outcome(now, view, failed=True)
        if crashed and not job.cutter.events:
            self.context.note_crash(job.fingerprint, f"{job.request.id}/{job.runs}")
        self._log(job, "attempt_broken", error=job.last_failure)

    def _log(self, job: Job, event: str, **details: object) -> None:
        logger().info(
            event,
            request=job.request.id,
            route=job.route.name,
            server=job.server,
            sent=job.sent,
            runs=job.runs,
            events=job.cutter.events,
            **details,
        )


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
