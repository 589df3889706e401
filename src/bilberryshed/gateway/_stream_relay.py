"""Relays the events of a backend server's stream to the caller."""

from bilberryshed.coordination import EventSplitter
from bilberryshed.gateway._answer_limits import AnswerLimiter
from bilberryshed.gateway._attempt import Attempt
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._dialect import BackendResponse
from bilberryshed.gateway._job import Job
from bilberryshed.gateway._silence_watch import STALL_FACTOR, SilenceWatch
from bilberryshed.gateway._stream_directory import StreamDirectory
from bilberryshed.transport import ResponseError

MAX_EVENT_BYTES = 1_000_000  # bytes of one event of a stream


class InvalidStreamError(ResponseError):
    """A backend server that has not crashed sent something else than the events that are due."""


class StreamRelay:
    """Relays complete events as they arrive."""

    __slots__ = ("context", "streams", "answer_limits")

    def __init__(
        self,
        context: GatewayContext,
        streams: StreamDirectory,
        answer_limits: AnswerLimiter,
    ) -> None:
        self.context = context
        self.streams = streams
        self.answer_limits = answer_limits

    async def relay(
        self, job: Job, attempt: Attempt, response: BackendResponse, watch: SilenceWatch
    ) -> None:
        """Relay the stream of one attempt, which may go on with one that broke off.

        Only complete events show progress: bytes now and then do not keep a stalled stream open.

        What the caller has received is not complete after any of these errors.

        :raises ResponseError: if the stream ends early, or has to give way to others
        :raises InvalidStreamError: if it holds anything but events, or none of the rest
        :raises TimeoutError: at the deadline of the request
        :raises SupersededError: if another attempt goes on with it, as no event arrived for long
        """
        exchange, event_splitter, connection = job.exchange, job.event_splitter, attempt.connection
        assert connection is not None
        event_splitter.start_attempt()
        job.status = response.status
        events_before = event_splitter.events
        watch.restart(STALL_FACTOR)
        with self.answer_limits.open(job, attempt) as answer:
            while chunk := attempt.take_ahead() or await watch.read(connection.read_body):
                self._note_data(attempt)
                events = event_splitter.feed(chunk)
                if events:
                    watch.restart(STALL_FACTOR)
                    self._note_progress(job, attempt)
                    self._begin(job, attempt, response)
                    await exchange.write(events)
                    watch.restart(STALL_FACTOR)  # the caller's delay is not the backend server's
                self._check(event_splitter)
                answer.hold(len(event_splitter.buffer))
            answer.hold(len(event_splitter.buffer))
        if event_splitter.buffer:
            raise ResponseError("the stream ended within an event")
        if exchange.started and event_splitter.events == events_before:
            raise InvalidStreamError("the rest of the stream has no events")
        self._begin(job, attempt, response)
        exchange.end()

    def record_answer(self, job: Job, attempt: Attempt) -> None:
        """Record that the answer of an attempt shows that its prompt crashes no server."""
        if attempt.is_cleared:
            return
        attempt.is_cleared = True
        began_at = attempt.writing_since or self.context.timers.now()
        self.context.quarantine.on_answer(began_at, job.fingerprint, job.shared_parts)

    async def read_ahead(self, job: Job, attempt: Attempt, watch: SilenceWatch) -> None:
        """Read a stream up to its next complete event, which :meth:`relay` then sends.

        :raises ResponseError: if it ends before, or holds anything else
        :raises TimeoutError: if no event arrives in time
        """
        connection, splitter = attempt.connection, EventSplitter(job.event_splitter.last_id)
        assert connection is not None
        watch.restart(STALL_FACTOR)
        with self.answer_limits.open(job, attempt) as answer:
            while not splitter.events:
                chunk = await watch.read(connection.read_body)
                if not chunk:
                    raise InvalidStreamError("the rest of the stream has no events")
                events = splitter.feed(chunk)
                self._check(splitter)
                answer.hold(len(splitter.buffer))
            attempt.ahead = events + bytes(splitter.buffer.pending)

    def _check(self, event_splitter: EventSplitter) -> None:
        if event_splitter.fault:
            raise InvalidStreamError(event_splitter.fault)
        if len(event_splitter.buffer) > MAX_EVENT_BYTES:
            raise ResponseError(f"an event has more than {MAX_EVENT_BYTES} bytes")

    def _begin(self, job: Job, attempt: Attempt, response: BackendResponse) -> None:
        """Send the head of the response to the caller, unless it has been sent."""
        if job.exchange.started:
            return
        if job.event_splitter.events:
            self._note_origin(job, attempt)
            job.first_event_at = self.context.timers.now()
        job.is_delivered = True
        job.exchange.begin(response.status, response.headers)

    def _note_data(self, attempt: Attempt) -> None:
        """Note that the backend server has read the prompt."""
        if attempt.run.unread:
            timers = self.context.timers
            seconds = timers.responsive_time() - attempt.awaited_since
            self.context.backends.on_first_event(timers.now(), attempt.run, seconds)
            self.context.on_load_change()

    def _note_origin(self, job: Job, attempt: Attempt) -> None:
        """Remember at the first event which version writes a stream."""
        if not job.is_resumable:
            return
        if job.origin is None:
            job.origin = self.streams.remember(job.stream_id, attempt.view)
        else:
            self.streams.remember_origin(job.stream_id, job.origin)

    def _note_progress(self, job: Job, attempt: Attempt) -> None:
        """Note an event; an answer that has been written for a while did not crash its server."""
        now = self.context.timers.now()
        if attempt.writing_since is None:
            attempt.writing_since = now
        elif not attempt.is_beginning(now):
            self.record_answer(job, attempt)
