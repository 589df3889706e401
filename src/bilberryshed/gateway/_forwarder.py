"""Forwards a request to backend servers, with retries, and relays the response to the caller.

A non-idempotent request is resent only after proof that it was not executed: the connection could
not be opened, or the backend server reported it, and it is certain of which request. An interrupted
stream resumes at another backend server after the last complete event that was relayed to the
caller, if the route allows it. An attempt that is silent goes on until another one has begun to
respond, see :class:`SilenceWatch`.
"""

from functools import partial

from bilberryshed.coordination import LATE_GAP, BackendView
from bilberryshed.gateway._answer_limits import AnswerCutError, AnswerLimiter
from bilberryshed.gateway._attempt import Attempt
from bilberryshed.gateway._attempts import Attempts
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._dialect import BackendResponse
from bilberryshed.gateway._job import AttemptOutcome, Job
from bilberryshed.gateway._link_load import LinkLoad
from bilberryshed.gateway._response_reader import MAX_BODY_BYTES, ResponseReader
from bilberryshed.gateway._server_choice import ServerChoice
from bilberryshed.gateway._server_limits import ServerLimits
from bilberryshed.gateway._silence_watch import SilenceWatch, SupersededError
from bilberryshed.gateway._stream_directory import StreamDirectory
from bilberryshed.gateway._stream_relay import InvalidStreamError, StreamRelay
from bilberryshed.state import RouteKind
from bilberryshed.transport import ResponseError

MIN_TIME_LEFT = 0.02  # seconds; with less time left a request is not sent
MAX_REFUSED_CONNECTIONS = 6  # refused connections that one request tolerates


class Forwarder:
    """Runs requests at backend servers, with retries."""

    __slots__ = (
        "context",
        "pool",
        "streams",
        "link_load",
        "answer_limits",
        "choice",
        "responses",
        "stream_relay",
        "attempts",
    )

    def __init__(
        self,
        context: GatewayContext,
        limits: ServerLimits,
        streams: StreamDirectory,
        link_load: LinkLoad,
    ) -> None:
        self.context = context
        self.pool = context.backends
        self.streams = streams
        self.link_load = link_load
        self.answer_limits = AnswerLimiter(context, MAX_BODY_BYTES)
        self.choice = ServerChoice(context, limits, streams)
        self.responses = ResponseReader(context, self.answer_limits)
        self.stream_relay = StreamRelay(context, streams, self.answer_limits)
        self.attempts = Attempts(context, limits, link_load, self.responses)

    async def run(self, job: Job) -> AttemptOutcome:
        """Run a request until a response has been relayed or no retry is allowed.

        The response, which may be an error that is not retried, goes to the exchange of the job.

        :returns: outcome of the last attempt; unless it is ``DONE``, the caller must be sent an
            error response
        """
        try:
            return await self._run(job)
        finally:
            self.answer_limits.release_failed(job)

    async def _run(self, job: Job) -> AttemptOutcome:
        self.context.retries.count_request(self.context.timers.now(), job.service.name)
        result = AttemptOutcome.NOT_RUN
        while True:
            view = await self.choice.choose(job)
            if view is None:
                if job.sent:
                    self._log_retry_refused(job, result, "no_server")
                return result if job.runs else AttemptOutcome.NOT_RUN
            result = await self._run_attempts(job, self.attempts.begin(job, view))
            if result is AttemptOutcome.DONE or not await self._may_retry(job, result):
                return result

    async def _run_attempts(self, job: Job, attempt: Attempt) -> AttemptOutcome:
        """Run an attempt and those that supersede it.

        :returns: outcome of the last one
        """
        while True:
            job.server = attempt.server
            begin_successor = partial(self._begin_successor, job, attempt)
            watch = SilenceWatch(
                self.context, self.link_load, job, begin_successor, self.attempts.end
            )
            try:
                result = await self._run_attempt(job, attempt, watch)
                if result is AttemptOutcome.DONE:
                    return result
                successor = await watch.take_successor()
                if successor is None:
                    return result
            except SupersededError as superseded:
                successor = superseded.successor
            finally:
                watch.close()
            self.attempts.log(job, attempt.server, "attempt_superseded", successor=successor.server)
            attempt = successor

    async def _run_attempt(self, job: Job, attempt: Attempt, watch: SilenceWatch) -> AttemptOutcome:
        """Send the request unless it has been sent, relay the response, and end the attempt."""
        try:
            if attempt.response is None and not await self.attempts.connect(job, attempt):
                return AttemptOutcome.NOT_RUN
            response = attempt.response or await self.attempts.request(job, attempt, watch)
            if response.is_rejection:
                return AttemptOutcome.NOT_RUN
            result = await self._relay_body(job, attempt, response, watch)
            self.attempts.release_connection(attempt)
            return result
        except TimeoutError:
            self._on_timeout(job, attempt, watch)
            return AttemptOutcome.TIMEOUT
        except ResponseError as error:
            self._on_broken(job, attempt, error)
            return AttemptOutcome.BROKEN
        finally:
            self.attempts.end(attempt)

    def _on_timeout(self, job: Job, attempt: Attempt, watch: SilenceWatch) -> None:
        """Record that an attempt was given up.

        A deadline that passes while the gateway is late itself is no fault of the backend server,
        unless that was silent for too long.
        """
        job.last_failure = "no answer in time"
        is_own = self.attempts.own_delay(attempt) > LATE_GAP and not watch.is_silent()
        self.attempts.on_broken(job, attempt, is_crash=False, is_own=is_own)

    def _on_broken(self, job: Job, attempt: Attempt, error: ResponseError) -> None:
        job.last_failure = str(error)
        is_crash = not isinstance(error, InvalidStreamError | AnswerCutError)
        self.attempts.on_broken(job, attempt, is_crash)

    async def _relay_body(
        self, job: Job, attempt: Attempt, response: BackendResponse, watch: SilenceWatch
    ) -> AttemptOutcome:
        """Relay the response body to the caller, and read it completely."""
        if job.is_stream and 200 <= response.status < 300:
            await self.stream_relay.relay(job, attempt, response, watch)
        else:
            # The time of an error says nothing of how fast a backend server works.
            if 200 <= response.status < 300:
                timers = self.context.timers
                seconds = timers.responsive_time() - attempt.awaited_since
                self.pool.on_first_event(timers.now(), attempt.run, seconds)
            body = attempt.body
            if body is None:
                body = await self.responses.read_body(job, attempt, watch)
            if response.status >= 500 and self._is_error_retryable(job, watch):
                job.failed_response = (response, body)
                self.answer_limits.keep_failed(job, len(body))
                job.excluded.add(attempt.server)
                return AttemptOutcome.FAILED
            self._send_response(job, response, body)
        self.pool.on_outcome(self.context.timers.now(), attempt.view, failed=False)
        if 200 <= response.status < 300:
            self.stream_relay.record_answer(job, attempt)
        return AttemptOutcome.DONE

    def _is_error_retryable(self, job: Job, watch: SilenceWatch) -> bool:
        has_time = job.deadline - self.context.timers.now() > job.route.latency_target / 2
        may_follow = job.runs < job.route.attempts or watch.successor is not None
        return job.route.kind is RouteKind.IDEMPOTENT and has_time and may_follow

    def _send_response(self, job: Job, response: BackendResponse, body: bytes) -> None:
        if job.exchange.started:
            raise ResponseError(f"answer {response.status} in place of the rest of a stream")
        job.status = response.status
        job.is_delivered = 200 <= response.status < 300
        job.exchange.respond(response.status, response.headers, body)

    # Successors -----------------------------------------------------------------------------

    async def _begin_successor(self, job: Job, attempt: Attempt) -> Attempt | None:
        """Begin another attempt while a silent one goes on.

        :returns: the other attempt once it can replace the silent one, ``None`` if none can
        """
        self.attempts.on_silent(job, attempt)
        try:
            while await self._is_retry_due(job, AttemptOutcome.BROKEN):
                if not self._take_retry(job, AttemptOutcome.BROKEN):
                    return None
                sent, refused = job.sent, job.refused
                try:
                    view = await self.choice.choose(job)
                    if view is None:
                        self._log_retry_refused(job, AttemptOutcome.BROKEN, "no_server")
                        return None
                    successor = await self._start(job, view)
                finally:
                    if job.sent == sent:
                        self.context.retries.refund(job.service.name)
                if successor is not None or (job.sent, job.refused) == (sent, refused):
                    return successor  # if no server was reached at all, none is for the moment
            return None
        finally:
            # What kept a successor from being sent does not explain the end of the silent attempt.
            job.is_link_full, job.admitted_at = False, None

    async def _start(self, job: Job, view: BackendView) -> Attempt | None:
        """Run another attempt until it can replace a silent one; return it then."""
        successor = self.attempts.begin(job, view)
        is_ready = False
        try:
            is_ready = await self._read_ahead(job, successor)
        finally:
            if not is_ready:
                self.attempts.end(successor)
        return successor if is_ready else None

    async def _read_ahead(self, job: Job, successor: Attempt) -> bool:
        """Send the request, and read so much that the answer is certain to go on.

        That is the first event of a stream, or any other body as a whole.

        :returns: whether it can replace a silent attempt
        """
        if not await self.attempts.connect(job, successor):
            return False
        watch = SilenceWatch(self.context, self.link_load, job, None, self.attempts.end)
        try:
            response = await self.attempts.request(job, successor, watch)
            if response.is_rejection or not self._is_replacement(job, successor, response):
                return False
            if job.is_stream and 200 <= response.status < 300:
                await self.stream_relay.read_ahead(job, successor, watch)
            else:
                successor.body = await self.responses.read_body(job, successor, watch)
            return True
        except TimeoutError:
            self._on_timeout(job, successor, watch)
        except ResponseError as error:
            self._on_broken(job, successor, error)
        return False

    def _is_replacement(self, job: Job, successor: Attempt, response: BackendResponse) -> bool:
        """Whether a response with this head may replace a silent attempt."""
        if response.status < 500 and (not job.exchange.started or 200 <= response.status < 300):
            return True
        job.excluded.add(successor.server)
        job.last_failure = f"backend server answered {response.status}"
        return False

    # Retries --------------------------------------------------------------------------------

    async def _may_retry(self, job: Job, result: AttemptOutcome) -> bool:
        """Whether another attempt may follow one that has ended; it is counted."""
        if not await self._is_retry_due(job, result):
            return False
        return job.sent == 0 or self._take_retry(job, result)

    async def _is_retry_due(self, job: Job, result: AttemptOutcome) -> bool:
        """Whether another attempt is worthwhile and allowed, as far as is known before it."""
        reason = self._retry_obstacle(job, result)
        if reason:
            self._log_retry_refused(job, result, reason)
            return False
        if job.is_resumable and job.event_splitter.events and not await self._may_resume(job):
            self.attempts.log(job, job.server, "origin_unknown", result=result)
            return False
        return True

    def _retry_obstacle(self, job: Job, result: AttemptOutcome) -> str:
        """Return why no other attempt may follow, empty if one may."""
        now = self.context.timers.now()
        if job.deadline - now < MIN_TIME_LEFT or result is AttemptOutcome.TIMEOUT:
            return "deadline"
        if job.refused > MAX_REFUSED_CONNECTIONS:
            return "refused_connections"
        if not job.exchange.started and not self.link_load.may_dispatch():
            job.is_link_full = True
            return "link"
        if result is not AttemptOutcome.NOT_RUN and not job.route.retryable:
            return "not_idempotent"
        if job.runs >= job.route.attempts and job.runs:
            return "attempts"
        if self._is_blocked(job, result):
            return "blocked"
        if job.sent and not self.context.retries.may_retry(now, *self._retry_share(job)):
            return "budget"
        return ""

    def _take_retry(self, job: Job, result: AttemptOutcome) -> bool:
        """Count a retry if the budget still covers it."""
        is_covered = self.context.retries.try_retry(
            self.context.timers.now(), *self._retry_share(job)
        )
        if not is_covered:
            self._log_retry_refused(job, result, "budget")
        return is_covered

    def _retry_share(self, job: Job) -> tuple[str, int]:
        """Return the service whose budget covers a retry, and the gateways that share it."""
        return job.service.name, self.context.gateway_count()

    def _is_blocked(self, job: Job, result: AttemptOutcome) -> bool:
        """Whether requests like this one crash backend servers, so that it must not run again."""
        if job.is_probe and result is AttemptOutcome.NOT_RUN:
            return False
        return self.context.quarantine.seconds_blocked(job.fingerprint, job.shared_parts) > 0

    async def _may_resume(self, job: Job) -> bool:
        """Whether it is certain which version began a stream that broke off or is silent.

        Servers may have started again with another version since their entries were last read.
        """
        job.broken_at = self.context.timers.now()
        await self.streams.refresh()
        job.origin = self.streams.known_origin(job.stream_id)
        return job.origin is not None

    def _log_retry_refused(self, job: Job, result: AttemptOutcome, reason: str) -> None:
        self.attempts.log(job, job.server, "retry_not_allowed", result=result, reason=reason)
