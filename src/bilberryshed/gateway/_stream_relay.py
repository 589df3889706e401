"""Relays the events of a backend server's stream to the caller."""

from bilberryshed.gateway._answer_limits import AnswerLimiter
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._dialect import BackendResponse
from bilberryshed.gateway._job import Job
from bilberryshed.gateway._read_limits import STALL_FACTOR, ReadLimits
from bilberryshed.gateway._stream_directory import StreamDirectory
from bilberryshed.transport import BackendConnection, ResponseError

MAX_EVENT_BYTES = 1_000_000  # bytes of one event of a stream


class InvalidStreamError(ResponseError):
    """A backend server that has not crashed sent something else than the events that are due."""


class StreamRelay:
    """Relays complete events as they arrive."""

    __slots__ = ("context", "streams", "limits", "answer_limits")

    def __init__(
        self,
        context: GatewayContext,
        streams: StreamDirectory,
        limits: ReadLimits,
        answer_limits: AnswerLimiter,
    ) -> None:
        self.context = context
        self.streams = streams
        self.limits = limits
        self.answer_limits = answer_limits

    async def relay(
        self, job: Job, connection: BackendConnection, response: BackendResponse
    ) -> None:
        """Relay the stream of one attempt, which may go on with one that broke off.

        Only complete events show progress: bytes now and then do not keep a stalled stream open.

        What the caller has received is not complete after any of these errors.

        :raises ResponseError: if the stream ends early, or has to give way to others
        :raises InvalidStreamError: if it holds anything but events, or none of the rest
        :raises TimeoutError: if no event arrives for too long
        """
        exchange, event_splitter = job.exchange, job.event_splitter
        event_splitter.start_attempt()
        job.status = response.status
        events_before = event_splitter.events
        deadline = self.limits.silence_deadline(job, STALL_FACTOR)
        with self.answer_limits.open(job, connection) as answer:
            while chunk := await self.limits.read_by(deadline, job, connection.read_body):
                self._note_data(job)
                events = event_splitter.feed(chunk)
                if events:
                    deadline = self.limits.silence_deadline(job, STALL_FACTOR)
                    self._note_progress(job)
                    self._begin(job, response)
                    await exchange.write(events)
                self._check(job)
                answer.hold(len(event_splitter.buffer))
            answer.hold(len(event_splitter.buffer))
        if event_splitter.buffer:
            raise ResponseError("the stream ended within an event")
        if exchange.started and event_splitter.events == events_before:
            raise InvalidStreamError("the rest of the stream has no events")
        self._begin(job, response)
        exchange.end()

    def record_answer(self, job: Job) -> None:
        """Record that the answer of the current attempt shows that its prompt crashes no server."""
        if job.is_cleared:
            return
        job.is_cleared = True
        began_at = job.writing_since or self.context.timers.now()
        self.context.quarantine.on_answer(began_at, job.fingerprint, job.shared_parts)

    def _check(self, job: Job) -> None:
        event_splitter = job.event_splitter
        if event_splitter.fault:
            raise InvalidStreamError(event_splitter.fault)
        if len(event_splitter.buffer) > MAX_EVENT_BYTES:
            raise ResponseError(f"an event has more than {MAX_EVENT_BYTES} bytes")

    def _begin(self, job: Job, response: BackendResponse) -> None:
        """Send the head of the response to the caller, unless it has been sent."""
        if job.exchange.started:
            return
        if job.event_splitter.events:
            self._note_origin(job)
            job.first_event_at = self.context.timers.now()
        job.is_delivered = True
        job.exchange.begin(response.status, response.headers)

    def _note_data(self, job: Job) -> None:
        """Note that the backend server has read the prompt."""
        if job.run is not None and job.run.unread:
            now = self.context.timers.now()
            self.context.backends.on_first_event(now, job.run, job.sent_at)
            self.context.on_load_change()

    def _note_origin(self, job: Job) -> None:
        """Remember at the first event which version writes a stream."""
        if not job.is_resumable or job.run is None:
            return
        if job.origin is None:
            job.origin = self.streams.remember(job.stream_id, job.run.view)
        else:
            self.streams.remember_origin(job.stream_id, job.origin)

    def _note_progress(self, job: Job) -> None:
        """Note an event; an answer that has been written for a while did not crash its server."""
        now = self.context.timers.now()
        if job.writing_since is None:
            job.writing_since = now
        elif not job.is_beginning(now):
            self.record_answer(job)
