"""Forwards a request to backend servers, with retries, and relays the response to the caller.

A non-idempotent request is resent only after proof that it was not executed: the connection could
not be opened, or the backend server reported it, and it is certain of which request. An interrupted
stream resumes at another backend server after the last complete event that was relayed to the
caller, if the route allows it.
"""

import asyncio
import math

from bilberryshed.coordination import PERMIT_TIME, BackendView
from bilberryshed.coordination.places import home_regions, is_allowed
from bilberryshed.gateway._answer_limits import AnswerCutError, AnswerLimiter
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._crash_reports import BrokenRun, CrashReports
from bilberryshed.gateway._dialect import BackendResponse, Dispatch
from bilberryshed.gateway._job import AttemptOutcome, BackendLoad, Job, milliseconds
from bilberryshed.gateway._link_load import LinkLoad
from bilberryshed.gateway._read_limits import ReadLimits
from bilberryshed.gateway._response_reader import MAX_BODY_BYTES, ResponseReader
from bilberryshed.gateway._server_limits import ServerLimits
from bilberryshed.gateway._stream_directory import StreamDirectory
from bilberryshed.gateway._stream_relay import InvalidStreamError, StreamRelay
from bilberryshed.state import Address, RouteKind
from bilberryshed.transport import (
    BackendConnection,
    ConnectError,
    ConnectTimeoutError,
    ResponseError,
    logger,
)

CONNECT_TIMEOUT = 0.3  # seconds
NON_RETRYABLE_IDLE_FRACTION = 0.5  # of the idle timeout; limit for requests that must not be resent
CHOICE_RETRY_INTERVAL = 0.05  # seconds between attempts to choose a backend server
CHOICE_WAIT_FRACTION = 0.25  # of the latency target; longest wait for a usable backend server
MIN_TIME_LEFT = 0.02  # seconds; with less time left a request is not sent
MAX_REFUSED_CONNECTIONS = 6  # refused connections that one request tolerates


class Forwarder:
    """Runs requests at backend servers, with retries."""

    __slots__ = (
        "context",
        "pool",
        "connections",
        "limits",
        "streams",
        "link_load",
        "crash_reports",
        "answer_limits",
        "responses",
        "stream_relay",
    )

    def __init__(
        self,
        context: GatewayContext,
        limits: ServerLimits,
        streams: StreamDirectory,
        link_load: LinkLoad,
    ) -> None:
        self.context = context
        self.link_load = link_load
        self.limits = limits
        self.streams = streams
        self.pool = context.backends
        self.connections = context.connections
        self.crash_reports = CrashReports(context)
        read_limits = ReadLimits(context)
        self.answer_limits = AnswerLimiter(context, MAX_BODY_BYTES)
        self.responses = ResponseReader(context, read_limits, self.answer_limits)
        self.stream_relay = StreamRelay(context, streams, read_limits, self.answer_limits)

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
        now = self.context.timers.now()
        self.context.retries.count_request(now, job.service.name)
        result = AttemptOutcome.NOT_RUN
        while True:
            view = await self._choose(job)
            if view is None:
                return result if job.runs else AttemptOutcome.NOT_RUN
            result = await self._attempt(job, view)
            if result is AttemptOutcome.DONE or not await self._may_retry(job, result):
                return result

    async def _may_retry(self, job: Job, result: AttemptOutcome) -> bool:
        now = self.context.timers.now()
        if job.deadline - now < MIN_TIME_LEFT or job.refused > MAX_REFUSED_CONNECTIONS:
            return False
        if not job.exchange.started and not self.link_load.may_dispatch():
            job.is_link_full = True
            return False
        if result is AttemptOutcome.TIMEOUT or (
            result is not AttemptOutcome.NOT_RUN and not job.route.retryable
        ):
            return False
        if job.runs >= job.route.attempts and job.runs:
            return False
        if self._is_blocked(job, result):
            return False
        if job.is_resumable and job.event_splitter.events and not await self._may_resume(job):
            self._log(job, "origin_unknown", result=result)
            return False
        if job.sent == 0:
            return True
        allowed = self.context.retries.try_retry(
            self.context.timers.now(), job.service.name, self.context.gateway_count()
        )
        if not allowed:
            self._log(job, "retry_not_allowed", result=result)
        return allowed

    def _is_blocked(self, job: Job, result: AttemptOutcome) -> bool:
        """Whether requests like this one crash backend servers, so that it must not run again."""
        if job.is_probe and result is AttemptOutcome.NOT_RUN:
            return False
        return self.context.quarantine.seconds_blocked(job.fingerprint, job.shared_parts) > 0

    async def _may_resume(self, job: Job) -> bool:
        """Whether it is certain which version began a stream that has just broken off.

        Servers may have started again with another version since their entries were last read.
        """
        job.broken_at = self.context.timers.now()
        await self.streams.refresh()
        job.origin = self.streams.known_origin(job.stream_id)
        return job.origin is not None

    async def _choose(self, job: Job) -> BackendView | None:
        """Choose a backend server; wait for a short time while all are busy or restarting."""
        max_wait = CHOICE_WAIT_FRACTION * job.route.latency_target
        until = min(job.deadline, self.context.timers.now() + max_wait)
        while True:
            now = self.context.timers.now()
            excluded = self._excluded(job)
            view = self.pool.choose(now, job.service.name, job.demand, excluded)
            if view is not None:
                wait = await self.limits.acquire(view.server)
                job.send_by = now + PERMIT_TIME if view.is_cold else math.inf
                if wait > 0:
                    view.limited_until = now + wait
                elif self.pool.may_receive(view) and view.admits_at <= self.context.timers.now():
                    return view
                elif now + CHOICE_RETRY_INTERVAL > until:
                    return None
                else:
                    await asyncio.sleep(CHOICE_RETRY_INTERVAL)
                continue
            job.admitted_at = self.pool.next_admission(now, job.service.name, excluded)
            if job.admitted_at is not None and job.admitted_at > until:
                job.last_failure = "the backend servers take no more requests now"
                return None
            if now + CHOICE_RETRY_INTERVAL > until or not self.pool.usable(job.service.name):
                return None
            if all(v.server.id in excluded for v in self.pool.usable(job.service.name)):
                return None
            await asyncio.sleep(CHOICE_RETRY_INTERVAL)

    def _excluded(self, job: Job) -> frozenset[str]:
        """Return the ids of the backend servers that must not run a request.

        These are the ones that were tried, those outside the home regions, and for a stream that
        has begun those of other versions.
        """
        outside = self._outside_homes(job)
        if not job.is_resumable:
            return frozenset(job.excluded | outside)
        origin, streams = job.origin, self.streams
        usable = [v for v in self.pool.usable(job.service.name) if v.server.id not in outside]
        if origin is None:
            other = {view.server.id for view in usable if not streams.may_begin(view)}
            if len(other) == len(usable):
                other.clear()  # all are of one new version, or the store does not respond
        else:
            since = job.broken_at
            other = {v.server.id for v in usable if not streams.may_resume(v, origin, since)}
        return frozenset(job.excluded | other | outside)

    def _outside_homes(self, job: Job) -> set[str]:
        """Return the ids of the backend servers outside the home regions of a request."""
        homes = home_regions(job.route, job.customer)
        if homes is None:
            return set()
        regions = self.context.settings.regions
        views = self.pool.views.items()
        return {id_ for id_, v in views if not is_allowed(v.server.zone, homes, regions)}

    # One attempt ----------------------------------------------------------------------------

    async def _attempt(self, job: Job, view: BackendView) -> AttemptOutcome:
        job.load = BackendLoad(view.running, view.work, view.total_unread)
        job.run = self.pool.begin(self.context.timers.now(), view, job.demand)
        self.context.on_load_change()
        job.server = view.server.id
        job.writing_since = None
        job.is_cleared = False
        try:
            connection = await self._acquire_connection(job, view)
            if connection is None:
                return AttemptOutcome.NOT_RUN
            if view.server.zone in self.pool.evacuated:
                connection.abort()
                job.excluded.add(view.server.id)
                job.last_failure = f"zone {view.server.zone} is evacuated"
                return AttemptOutcome.NOT_RUN
            job.sent += 1
            self._log_sent(job)
            return await self._send_and_relay(job, view, connection)
        finally:
            self.pool.end(job.run)
            self.context.on_load_change()

    def _log_sent(self, job: Job) -> None:
        """Log the chosen server and its load before sending; a killed process logs no more."""
        logger().info(
            "sent",
            request=job.request.id,
            route=job.route.name,
            customer=job.customer.name if job.customer else None,
            table=self.context.table_version(),
            reserved=job.reserved,
            server=job.server,
            version=job.run.view.server.version if job.run else None,
            resumes=job.request.resumed_request or None,
            after=job.request.last_event_id or None,
            sent=job.sent,
            events=job.event_splitter.events,
            part=job.demand.affinity,
            load=job.load.running,
            work=job.load.work,
            unread=job.load.unread,
            age_ms=milliseconds(self.pool.report_age(self.context.timers.now())),
            left_ms=milliseconds(job.deadline - self.context.timers.now()),
        )

    async def _acquire_connection(self, job: Job, view: BackendView) -> BackendConnection | None:
        """Return a connection, ``None`` if there is none or the own link is too full to use it."""
        job.is_link_full = False
        if not self._may_dispatch(job):
            return None
        now = self.context.timers.now()
        idle_fraction = 1.0 if job.route.retryable else NON_RETRYABLE_IDLE_FRACTION
        connection = None
        if job.route.retryable or not view.omits_ids:
            connection = self.connections.acquire(view.server.id, now, idle_fraction)
        if connection is not None:
            return connection
        try:
            address = Address.parse(view.server.address)
            connection = await self.connections.open(view.server.id, address, CONNECT_TIMEOUT)
            if self._may_dispatch(job):
                return connection
            connection.abort()
            return None
        except (ConnectError, ValueError) as error:
            is_own = isinstance(error, ConnectTimeoutError) and self.link_load.delays_connections
            if not is_own:
                self.pool.on_connection_refused(self.context.timers.now(), view)
            job.refused += 1
            job.last_failure = f"channel refused: {error}"
            self._log(job, "connection_refused", error=str(error), refused=view.refused_connections)
            return None

    def _may_dispatch(self, job: Job) -> bool:
        """Whether a request leaves the own link soon enough to be sent, and has a valid permit."""
        if self.context.timers.now() >= job.send_by:
            job.last_failure = "the permit for the backend server has expired"
            return False
        if self.link_load.may_dispatch():
            return True
        job.is_link_full = True
        job.last_failure = "the network link of this gateway is full"
        self._log(job, "link_wait")
        return False

    async def _send_and_relay(
        self, job: Job, view: BackendView, connection: BackendConnection
    ) -> AttemptOutcome:
        """Send the request on a connection and relay the response."""
        released = False
        try:
            job.runs += 1
            job.sent_at = self.context.timers.now()
            job.exchange.is_sent = True
            self._send(job, view, connection)
            response = await self.responses.read_head(job, view, connection)
            self._note_limit(job, view, response)
            self._note_self_report(view, response)
            if response.is_rejection:
                job.runs -= 1
                is_read = await self.responses.discard_body(connection)
                names_request = response.request == job.request.id
                can_reuse = is_read and names_request and not view.is_leaving
                released = can_reuse and self._release_connection(connection, response)
                return self._on_not_run(job, view, response)
            result, complete = await self._relay_body(job, view, connection, response)
            can_reuse = complete and not view.is_leaving
            released = can_reuse and self._release_connection(connection, response)
            return result
        except TimeoutError:
            job.last_failure = "no answer in time"
            self._record_failure(job, view, crashed=False)
            if self.context.timers.now() >= job.deadline - MIN_TIME_LEFT:
                return AttemptOutcome.TIMEOUT
            return AttemptOutcome.BROKEN
        except ResponseError as error:
            job.last_failure = str(error)
            is_crash = not isinstance(error, InvalidStreamError | AnswerCutError)
            self._record_failure(job, view, crashed=is_crash)
            return AttemptOutcome.BROKEN
        finally:
            if not released:
                connection.abort()

    def _send(self, job: Job, view: BackendView, connection: BackendConnection) -> None:
        left = job.deadline - self.context.timers.now()
        last_event_id = job.event_splitter.last_id
        dispatch = Dispatch(view.server.id, job.customer, left, last_event_id, job.priority)
        headers = self.context.dialect.dispatch_headers(job.request, dispatch)
        connection.send(job.request.method, job.request.target, headers, job.request.body)

    def _note_limit(self, job: Job, view: BackendView, response: BackendResponse) -> None:
        """Note the limit that a response names, or that it names none."""
        job.limit = response.limit
        if not response.wrong_server:
            self.limits.on_response(view.server, response.limit, job.sent_at)
            self.limits.cold.on_response(view.server, response.cold_time)

    def _note_self_report(self, view: BackendView, response: BackendResponse) -> None:
        """Note that a backend server says that it leaves, or that it wants no requests."""
        now, id_ = self.context.timers.now(), view.server.id
        if response.is_leaving and self.pool.on_says_leaving(now, view):
            self.connections.close_idle(id_)
            self.context.metrics.count("server_leaving")
            logger().info("server_leaving", server=id_, service=view.server.service)
        if response.quiet_time and self.pool.on_asks_quiet(now, view, response.quiet_time):
            self.context.metrics.count("server_quiet")
            logger().info("server_quiet", server=id_, seconds=response.quiet_time)

    def _on_not_run(self, job: Job, view: BackendView, response: BackendResponse) -> AttemptOutcome:
        now = self.context.timers.now()
        job.excluded.add(view.server.id)
        job.last_failure = f"backend server answered {response.status}: not run"
        if response.wrong_server:
            view.mark_wrong_server()
            self.connections.close_idle(view.server.id)
        else:
            self.pool.on_overloaded(now, view)
        self._log(job, "not_run", status=response.status)
        return AttemptOutcome.NOT_RUN

    async def _relay_body(
        self, job: Job, view: BackendView, connection: BackendConnection, response: BackendResponse
    ) -> tuple[AttemptOutcome, bool]:
        """Relay the response body to the caller.

        :returns: the outcome, and whether the response was read completely
        """
        if job.is_stream and 200 <= response.status < 300:
            await self.stream_relay.relay(job, connection, response)
        else:
            # The time of an error says nothing of how fast a backend server works.
            if job.run is not None and 200 <= response.status < 300:
                self.pool.on_first_event(self.context.timers.now(), job.run, job.sent_at)
            body = await self.responses.read_body(job, connection)
            if response.status >= 500 and self._is_error_retryable(job):
                job.failed_response = (response, body)
                self.answer_limits.keep_failed(job, len(body))
                job.excluded.add(view.server.id)
                return AttemptOutcome.FAILED, True
            self._send_response(job, response, body)
        self.pool.on_outcome(self.context.timers.now(), view, failed=False)
        if 200 <= response.status < 300:
            self.stream_relay.record_answer(job)
        return AttemptOutcome.DONE, True

    def _is_error_retryable(self, job: Job) -> bool:
        return (
            job.route.kind is RouteKind.IDEMPOTENT
            and job.runs < job.route.attempts
            and job.deadline - self.context.timers.now() > job.route.latency_target / 2
        )

    def _send_response(self, job: Job, response: BackendResponse, body: bytes) -> None:
        if job.exchange.started:
            raise ResponseError(f"answer {response.status} in place of the rest of a stream")
        job.status = response.status
        job.is_delivered = 200 <= response.status < 300
        job.exchange.respond(response.status, response.headers, body)

    def _release_connection(self, connection: BackendConnection, response: BackendResponse) -> bool:
        if not connection.prepare_reuse(response.must_close):
            return False
        self.connections.release(connection, self.context.timers.now(), response.idle_timeout)
        return True

    def _record_failure(self, job: Job, view: BackendView, crashed: bool) -> None:
        now = self.context.timers.now()
        job.excluded.add(view.server.id)
        self.pool.on_outcome(now, view, failed=True)
        if crashed and job.is_beginning(now):
            run = BrokenRun(f"{job.request.id}/{job.runs}", job.fingerprint, job.shared_parts)
            self.crash_reports.on_broken(view, run)
        self._log(
            job,
            "attempt_broken",
            error=job.last_failure,
            customer=job.customer.name if job.customer else None,
            parts="/".join(job.shared_parts),
            writing_ms=job.writing_ms(now),
        )

    def _log(self, job: Job, event: str, **details: object) -> None:
        logger().info(
            event,
            request=job.request.id,
            route=job.route.name,
            server=job.server,
            sent=job.sent,
            runs=job.runs,
            events=job.event_splitter.events,
            **details,
        )
