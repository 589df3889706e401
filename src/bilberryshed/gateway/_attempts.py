"""Begins and ends attempts at backend servers, and records what they show of these servers."""

from bilberryshed.coordination import BackendView
from bilberryshed.gateway._attempt import Attempt, BackendLoad
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._crash_reports import BrokenRun, CrashReports
from bilberryshed.gateway._dialect import BackendResponse, Dispatch
from bilberryshed.gateway._job import Job, milliseconds
from bilberryshed.gateway._link_load import LinkLoad
from bilberryshed.gateway._response_reader import ResponseReader
from bilberryshed.gateway._server_limits import ServerLimits
from bilberryshed.gateway._silence_watch import SilenceWatch
from bilberryshed.state import Address
from bilberryshed.transport import (
    BackendConnection,
    ConnectError,
    ConnectTimeoutError,
    logger,
)

CONNECT_TIMEOUT = 0.3  # seconds
NON_RETRYABLE_IDLE_FRACTION = 0.5  # of the idle timeout; limit for requests that must not be resent


class Attempts:
    """Begins attempts, reads the heads of their responses, and ends them."""

    __slots__ = (
        "context",
        "pool",
        "connections",
        "limits",
        "link_load",
        "crash_reports",
        "responses",
    )

    def __init__(
        self,
        context: GatewayContext,
        limits: ServerLimits,
        link_load: LinkLoad,
        responses: ResponseReader,
    ) -> None:
        self.context = context
        self.pool = context.backends
        self.connections = context.connections
        self.limits = limits
        self.link_load = link_load
        self.crash_reports = CrashReports(context, link_load)
        self.responses = responses

    def begin(self, job: Job, view: BackendView) -> Attempt:
        """Add an attempt to the load of a backend server; it must be ended."""
        load = BackendLoad(view.running, view.work, view.total_unread)
        run = self.pool.begin(self.context.timers.now(), view, job.demand)
        self.context.on_load_change()
        return Attempt(view, run, load)

    def end(self, attempt: Attempt) -> None:
        """Remove an attempt from the load, and close its connection unless that was released."""
        if attempt.connection is not None and not attempt.is_connection_free:
            attempt.connection.abort()
        self.pool.end(attempt.run)
        self.context.on_load_change()

    async def connect(self, job: Job, attempt: Attempt) -> bool:
        """Get a connection to the backend server.

        :returns: whether the request may be sent on it now
        """
        view = attempt.view
        attempt.connection = await self._acquire_connection(job, view)
        if attempt.connection is None:
            return False
        if view.server.zone in self.pool.evacuated:
            job.excluded.add(view.server.id)
            job.last_failure = f"zone {view.server.zone} is evacuated"
            return False
        return True

    async def _acquire_connection(self, job: Job, view: BackendView) -> BackendConnection | None:
        """Return a connection, ``None`` if there is none or the own link is too full to use it."""
        job.is_link_full = False
        if not self._may_dispatch(job, view):
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
            if self._may_dispatch(job, view):
                return connection
            connection.abort()
            return None
        except (ConnectError, ValueError) as error:
            is_own = isinstance(error, ConnectTimeoutError) and self.link_load.delays_connections
            if not is_own:
                self.pool.on_connection_refused(self.context.timers.now(), view)
            job.refused += 1
            job.last_failure = f"channel refused: {error}"
            refused = view.refused_connections
            self.log(job, view.server.id, "connection_refused", error=str(error), refused=refused)
            return None

    def _may_dispatch(self, job: Job, view: BackendView) -> bool:
        """Whether a request leaves the own link soon enough to be sent, and has a valid permit."""
        if self.context.timers.now() >= job.send_by:
            job.last_failure = "the permit for the backend server has expired"
            return False
        if self.link_load.may_dispatch():
            return True
        job.is_link_full = True
        job.last_failure = "the network link of this gateway is full"
        self.log(job, view.server.id, "link_wait")
        return False

    async def request(self, job: Job, attempt: Attempt, watch: SilenceWatch) -> BackendResponse:
        """Send the request, and read the head of the response.

        A response that proves that the request was not run is read completely.

        :raises ResponseError: if the attempt breaks off
        :raises TimeoutError: if it is given up
        :raises SupersededError: if another attempt has begun to respond in its place
        """
        assert attempt.connection is not None
        job.sent += 1
        self._log_sent(job, attempt)
        job.runs += 1
        attempt.number = job.sent
        attempt.sent_at = self.context.timers.now()
        attempt.awaited_since = self.context.timers.responsive_time()
        job.exchange.is_sent = True
        self._send(job, attempt, attempt.connection)
        response = await self.responses.read_head(job, attempt, watch)
        attempt.response = response
        self._note_limit(job, attempt, response)
        self._note_self_report(attempt.view, response)
        if response.is_rejection:
            job.runs -= 1
            is_read = await self.responses.discard_body(attempt.connection)
            if is_read and response.request == job.request.id:
                self.release_connection(attempt)
            self._on_not_run(job, attempt.view, response)
        return response

    def _send(self, job: Job, attempt: Attempt, connection: BackendConnection) -> None:
        left = job.deadline - attempt.sent_at
        last_event_id = job.event_splitter.last_id
        dispatch = Dispatch(attempt.server, job.customer, left, last_event_id, job.priority)
        headers = self.context.dialect.dispatch_headers(job.request, dispatch)
        connection.send(job.request.method, job.request.target, headers, job.request.body)

    def _note_limit(self, job: Job, attempt: Attempt, response: BackendResponse) -> None:
        """Note the limit that a response names, or that it names none."""
        job.limit = response.limit
        if not response.wrong_server:
            server = attempt.view.server
            self.limits.on_response(server, response.limit, attempt.sent_at)
            self.limits.cold.on_response(server, response.cold_time)

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

    def _on_not_run(self, job: Job, view: BackendView, response: BackendResponse) -> None:
        job.excluded.add(view.server.id)
        job.last_failure = f"backend server answered {response.status}: not run"
        if response.wrong_server:
            view.mark_wrong_server()
            self.connections.close_idle(view.server.id)
        else:
            self.pool.on_overloaded(self.context.timers.now(), view)
        self.log(job, view.server.id, "not_run", status=response.status)

    def release_connection(self, attempt: Attempt) -> None:
        """Return the connection to the pool after a complete response, if it can be used again."""
        connection, response = attempt.connection, attempt.response
        if connection is None or response is None or attempt.view.is_leaving:
            return
        if connection.prepare_reuse(response.must_close):
            now = self.context.timers.now()
            self.connections.release(connection, now, response.idle_timeout)
            attempt.is_connection_free = True

    def on_silent(self, job: Job, attempt: Attempt) -> None:
        """Record that an attempt has been without data for too long."""
        if not attempt.is_silent:
            attempt.is_silent = True
            job.excluded.add(attempt.server)
            self.pool.on_outcome(self.context.timers.now(), attempt.view, failed=True)
        self.log(job, attempt.server, "attempt_silent")

    def own_delay(self, attempt: Attempt) -> float:
        """Return the seconds since an attempt was sent in which this gateway was late itself."""
        timers = self.context.timers
        responsive = timers.responsive_time() - attempt.awaited_since
        return timers.now() - attempt.sent_at - responsive

    def on_broken(self, job: Job, attempt: Attempt, is_crash: bool, is_own: bool = False) -> None:
        """Record that an attempt has failed, for the reason in ``job.last_failure``.

        :param is_crash: whether its backend server may have crashed
        :param is_own: whether this gateway may be the cause
        """
        now, view = self.context.timers.now(), attempt.view
        job.excluded.add(attempt.server)
        if not attempt.is_silent and not is_own:
            self.pool.on_outcome(now, view, failed=True)
        if is_crash and attempt.is_beginning(now):
            run = BrokenRun(f"{job.request.id}/{attempt.number}", job.fingerprint, job.shared_parts)
            self.crash_reports.on_broken(view, run)
        self.log(
            job,
            attempt.server,
            "attempt_broken",
            error=job.last_failure,
            customer=job.customer.name if job.customer else None,
            parts="/".join(job.shared_parts),
            writing_ms=attempt.writing_ms(now),
        )

    # Log ------------------------------------------------------------------------------------

    def _log_sent(self, job: Job, attempt: Attempt) -> None:
        """Log the chosen server and its load before sending; a killed process logs no more."""
        now = self.context.timers.now()
        logger().info(
            "sent",
            request=job.request.id,
            route=job.route.name,
            customer=job.customer.name if job.customer else None,
            table=self.context.table_version(),
            reserved=job.reserved,
            server=attempt.server,
            version=attempt.view.server.version,
            resumes=job.request.resumed_request or None,
            after=job.request.last_event_id or None,
            sent=job.sent,
            events=job.event_splitter.events,
            part=job.demand.affinity,
            load=attempt.load.running,
            work=attempt.load.work,
            unread=attempt.load.unread,
            age_ms=milliseconds(self.pool.report_age(now)),
            left_ms=milliseconds(job.deadline - now),
        )

    def log(self, job: Job, server: str, event: str, **details: object) -> None:
        """Log an event of an attempt at the backend server with an id."""
        logger().info(
            event,
            request=job.request.id,
            route=job.route.name,
            server=server,
            sent=job.sent,
            runs=job.runs,
            events=job.event_splitter.events,
            **details,
        )
