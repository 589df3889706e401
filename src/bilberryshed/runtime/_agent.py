"""Agent: the only process that sends requests to its backend server."""

import asyncio
import time
from typing import Any

import xxhash
from returns.result import Success
from tornado.httpserver import HTTPServer
from tornado.web import Application

from bilberryshed.coordination import (
    Admission,
    AgentAttempts,
    LeaseRow,
    OrderFence,
    ServerLimiter,
    TerminalState,
)
from bilberryshed.protocol import (
    AttemptQuery,
    Cancel,
    Chunk,
    Completed,
    Dispatch,
    Failed,
    Heartbeat,
    JournalEntry,
    LoadReport,
    NotRun,
    Order,
    OrderResult,
    Recorded,
    RecordsCommitted,
    Revoke,
    RevokeAck,
    Started,
    UsageRecord,
    allocate_tokens,
)
from bilberryshed.runtime._backends import (
    Backend,
    BackendLoad,
    ResponseSink,
    RunCompleted,
    RunInterrupted,
    RunNotStarted,
    RunResult,
    ServerStatement,
    backend_types,
)
from bilberryshed.runtime._process import hello
from bilberryshed.runtime._status import LiveHandler, ReadyHandler, StatusHandler
from bilberryshed.state import PLACEMENT_LEASE, AgentSettings
from bilberryshed.transport import (
    BackgroundTasks,
    HttpTableService,
    Link,
    LinkHandlers,
    LinkMonitor,
    LinkServer,
    MessageDispatcher,
    Metrics,
    TimerService,
    log_loop_lag,
    logger,
    new_boot_id,
    server_tls_context,
)

DRAIN_POLL_INTERVAL = 0.05  # seconds
EXCLUSIVE_POLL_INTERVAL = 0.01  # seconds between checks whether a waiting attempt may start
# Seconds; the id of a closed attempt is dropped after one to two intervals. An unresponsive link is
# closed after a few seconds, so no dispatch with a dropped id can still arrive.
CLOSED_ID_ROTATION_INTERVAL = 3_600.0
ADMITTED_PER_SLOT = 2  # attempts admitted per slot of the backend server


class _LinkSink(ResponseSink):
    """Sends the frames of one attempt to the router that dispatched it.

    :param keep_body: whether to buffer the response body for the journal
    """

    __slots__ = ("attempt", "link", "chunk_count", "digest", "body_chunks")

    def __init__(self, attempt: str, link: Link, keep_body: bool) -> None:
        self.attempt = attempt
        self.link = link
        self.chunk_count = 0
        self.digest = xxhash.xxh3_128()
        self.body_chunks: list[bytes] | None = [] if keep_body else None

    def started(self, status: int, content_type: str) -> None:
        self.link.send(Started(self.attempt, status, content_type))

    def data(self, chunk: bytes) -> None:
        self.link.send(Chunk(self.attempt, self.chunk_count, chunk))
        self.chunk_count += 1
        self.digest.update(chunk)
        if self.body_chunks is not None:
            self.body_chunks.append(chunk)


class Agent:
    """Agent process: one backend server and the links to all routers.

    ``leaving_boot`` is the boot of the backend server that has said that it leaves.
    """

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        self.boot = new_boot_id(settings.name)
        self.timers = TimerService()
        self.metrics = Metrics(settings.statsd, "bilberryshed.agent")
        self.backend: Backend = backend_types[settings.kind](settings.backend, self.timers)
        self.limiter = ServerLimiter()
        self.backend.on_statement = self._on_statement
        self.leaving_boot: int | None = None
        self.agent_attempts = AgentAttempts(settings.slots * ADMITTED_PER_SLOT)
        self.boot_of_attempt: dict[str, str] = {}
        self.journaled_at: dict[str, float] = {}
        self.load = BackendLoad((), settings.slots, 0)
        self.healthy = False
        self.fence = OrderFence()
        self.tables = HttpTableService(settings.platform, settings.platform_timeout)
        self.spawn = BackgroundTasks().spawn
        self.monitor = LinkMonitor(lambda: self.links.links, lambda link: True)
        messages = MessageDispatcher(
            {
                **self.monitor.handlers(),
                Dispatch: self._on_dispatch,
                Cancel: self._on_cancel,
                AttemptQuery: self._on_query,
                RecordsCommitted: self._on_records_committed,
                Revoke: self._on_revoke,
                Order: lambda link, order: self.spawn(self._execute_order(link, order)),
                Heartbeat: self._on_heartbeat,
            }
        )
        handlers = LinkHandlers(self._on_link_up, messages.handle, self._on_link_down)
        tls = server_tls_context(settings.certificate, settings.certificate_key)
        self.links = LinkServer(hello(settings, "agent", self.boot), handlers, tls, self.timers)

    async def serve(self, stop: asyncio.Event) -> bool:
        """Serve until ``stop`` is set, then drain.

        :returns: whether all attempts ended and all usage records were acknowledged
        """
        self.timers.on_lag = log_loop_lag
        self.timers.watch_loop()
        await self._poll_load()
        await self.links.start(self.settings.link_listen)
        self.monitor.start(self.timers)
        self._listen_status()
        self.timers.subscribe(
            self.settings.load_interval, lambda now: self.spawn(self._poll_load())
        )
        self.timers.subscribe(self.settings.journal_retry, self._resend_journal)
        self.timers.subscribe(
            CLOSED_ID_ROTATION_INTERVAL, lambda now: self.agent_attempts.rotate_closed()
        )
        logger().info("started", boot=self.boot, backend=str(self.settings.backend))
        await stop.wait()
        return await self._drain()

    # Messages -------------------------------------------------------------------------------

    def _on_link_up(self, link: Link) -> None:
        link.send(self._load_report())
        self.metrics.count("link_up")

    def _on_link_down(self, link: Link) -> None:
        """Leave the attempts of a disconnected router running.

        Their usage records are delivered through another router.
        """
        self.metrics.count("link_down")

    def _on_heartbeat(self, link: Link, heartbeat: Heartbeat) -> None:
        """Accept a router's heartbeat; the agent does not use its contents."""

    def _on_dispatch(self, link: Link, dispatch: Dispatch) -> None:
        if self.agent_attempts.was_admitted(dispatch.attempt):
            return
        serves_target = (
            dispatch.model in self.load.models or dispatch.service == self.settings.service
        )
        refused = self.agent_attempts.admit(
            link.peer.boot,
            dispatch,
            serves=serves_target and self.healthy and not self._is_backend_leaving(),
            wait=self.limiter.wait(self.timers.now()),
        )
        if refused is not None:
            link.send(NotRun(dispatch.attempt, refused.code, refused.reason, refused.wait))
            self.metrics.count("refused")
            return
        self.limiter.count_request(self.timers.now())
        self.boot_of_attempt[dispatch.attempt] = link.peer.boot
        self.spawn(self._run(link, dispatch))

    def _on_statement(self, statement: ServerStatement, sent_at: float) -> None:
        """Act on what the backend server says of itself; it holds until it starts anew."""
        now = self.timers.now()
        if self.limiter.on_response(now, statement.limit, sent_at):
            logger().info("server_limit", limit=statement.limit)
        if statement.quiet_time:
            self.limiter.on_quiet(now, statement.quiet_time)
            logger().info("server_quiet", seconds=statement.quiet_time)
        if statement.is_leaving and not self._is_backend_leaving():
            self.leaving_boot = self.load.boot
            logger().info("server_leaving", boot=self.load.boot)
            self._broadcast_report()

    def _is_backend_leaving(self) -> bool:
        return self.leaving_boot is not None and self.leaving_boot == self.load.boot

    def _on_cancel(self, link: Link, cancel: Cancel) -> None:
        if cancel.attempt in self.agent_attempts.running:
            self.spawn(self.backend.cancel(cancel.attempt))

    def _on_query(self, link: Link, query: AttemptQuery) -> None:
        for attempt in query.attempts:
            terminal_state = self.agent_attempts.resolve(attempt)
            if terminal_state is TerminalState.NEVER_RAN:
                link.send(NotRun(attempt, "no_capacity", "the attempt never ran at this agent"))
            elif terminal_state is TerminalState.FAILED:
                link.send(Failed(attempt, "the attempt ended without a record", False, 0))
            elif terminal_state is TerminalState.RECORDED:
                link.send(self.agent_attempts.journal.get(attempt, Recorded(attempt)))

    def _on_records_committed(self, link: Link, committed: RecordsCommitted) -> None:
        self.agent_attempts.delete_recorded(committed.attempts)
        for attempt in committed.attempts:
            self.journaled_at.pop(attempt, None)
            self.boot_of_attempt.pop(attempt, None)

    def _on_revoke(self, link: Link, revoke: Revoke) -> None:
        self.agent_attempts.revoke(revoke.boots)
        link.send(RevokeAck(self.agent_attempts.quiesced_boots(self.boot_of_attempt)))

    async def _execute_order(self, link: Link, order: Order) -> None:
        """Execute an order unless its fencing number is stale."""
        if self.fence.highest_seen is None:
            await self._read_fencing_number()
        admission = self.fence.admit(order.number)
        done, reason = False, f"fencing number {order.number}: {admission}"
        if admission is Admission.ACCEPTED:
            done = await self.backend.order(order.number, order.kind, order.model)
            reason = "" if done else "the backend server refused"
            await self._poll_load()
        logger().info("order", kind=order.kind, model=order.model, number=order.number, done=done)
        link.send(OrderResult(order.model, done, reason))

    async def _read_fencing_number(self) -> None:
        rows = await self.tables.read((PLACEMENT_LEASE,))
        if isinstance(rows, Success):
            self.fence.observe(LeaseRow.from_value(rows.unwrap()[0].value).number)

    # Attempts -------------------------------------------------------------------------------

    async def _run(self, link: Link, dispatch: Dispatch) -> None:
        while not self.agent_attempts.may_start(dispatch.attempt):
            await asyncio.sleep(EXCLUSIVE_POLL_INTERVAL)
        if not self.healthy:
            self._end_without_response(
                link, dispatch, RunNotStarted("the backend server is away"), False
            )
            return
        sink = _LinkSink(dispatch.attempt, link, keep_body=not dispatch.idempotent)
        boot = self.load.boot
        result = await self.backend.run(dispatch, sink)
        if isinstance(result, RunCompleted):
            self._finish(link, dispatch, sink, result)
            return
        # Check for a crash before ending the attempt. Otherwise an attempt that waits for exclusive
        # use could start on the crashed backend server, and the crash would be attributed to it.
        crashed = isinstance(result, RunInterrupted) and await self._has_crashed(boot)
        self._end_without_response(link, dispatch, result, crashed, boot)

    def _end_without_response(
        self,
        link: Link,
        dispatch: Dispatch,
        result: RunNotStarted | RunInterrupted,
        crashed: bool,
        backend_boot: int = 0,
    ) -> None:
        terminal_state = (
            TerminalState.NEVER_RAN if isinstance(result, RunNotStarted) else TerminalState.FAILED
        )
        self.agent_attempts.end(dispatch.attempt, terminal_state)
        self.boot_of_attempt.pop(dispatch.attempt, None)
        link.send(_failure_message(dispatch, result, crashed, backend_boot))
        self.metrics.count("attempt_failed")
        logger().warning(
            "attempt_failed", attempt=dispatch.attempt, reason=result.reason, crashed=crashed
        )

    async def _has_crashed(self, boot: int) -> bool:
        """Whether the backend server is unreachable or has restarted since ``boot``."""
        await self._poll_load()
        return not self.healthy or self.load.boot != boot

    def _finish(
        self, link: Link, dispatch: Dispatch, sink: _LinkSink, result: RunCompleted
    ) -> None:
        record = self._usage_record(dispatch, result)
        body = b"".join(sink.body_chunks or ())
        entry = JournalEntry(record, dispatch.idempotent, result.status, result.content_type, body)
        self.agent_attempts.end(dispatch.attempt, TerminalState.RECORDED, entry)
        self.journaled_at[dispatch.attempt] = self.timers.now()
        link.send(
            Completed(
                dispatch.attempt,
                sink.chunk_count,
                sink.digest.digest(),
                result.finish,
                result.prompt_tokens,
                result.completion_tokens,
                record,
            )
        )
        self.metrics.count("attempt_finished")
        logger().info(
            "attempt_finished",
            request=dispatch.request,
            attempt=dispatch.attempt,
            tokens=record.tokens,
            finish=result.finish,
        )

    def _usage_record(self, dispatch: Dispatch, result: RunCompleted) -> UsageRecord:
        bound = sum(part.tokens for part in dispatch.parts)
        used = dispatch.price if result.status < 500 else 0
        if dispatch.model:
            used = result.prompt_tokens + result.completion_tokens
        if used > bound:
            logger().error("bound_exceeded", attempt=dispatch.attempt, used=used, bound=bound)
        tokens = min(used, bound)
        return UsageRecord(
            customer=dispatch.customer,
            budget=dispatch.budget,
            key=dispatch.key,
            request=dispatch.request,
            attempt=dispatch.attempt,
            service=dispatch.service,
            model=dispatch.model,
            tokens=tokens,
            charges=allocate_tokens(dispatch.parts, tokens),
            finished_at=self.timers.wall_time(),
        )

    # Journal, load and draining -------------------------------------------------------------

    def _resend_journal(self, now: float) -> None:
        """Resend unacknowledged records, spread over the connected routers."""
        links = [link for link in self.links.links if not link.closed]
        if not links:
            return
        for position, (attempt, since) in enumerate(list(self.journaled_at.items())):
            if (
                now - since >= self.settings.journal_retry
                and attempt in self.agent_attempts.journal
            ):
                links[position % len(links)].send(self.agent_attempts.journal[attempt])
                self.metrics.count("journal_resent")

    async def _poll_load(self) -> None:
        load = await self.backend.load()
        self.healthy = load is not None
        if load is None and not self.load.boot:
            self.leaving_boot = None  # its boots cannot be told apart
        if load is not None:
            if load.boot != self.load.boot:
                self.limiter = ServerLimiter()
            self.load = load
        self._broadcast_report()

    def _broadcast_report(self) -> None:
        report = self._load_report()
        for link in self.links.links:
            link.send(report)

    def _load_report(self) -> LoadReport:
        services = (self.settings.service,) if self.settings.service else ()
        return LoadReport(
            services=services,
            models=self.load.models,
            running=len(self.agent_attempts.running),
            slots=self.load.slots,
            draining=self.agent_attempts.draining or self._is_backend_leaving(),
            healthy=self.healthy,
        )

    async def _drain(self) -> bool:
        self.agent_attempts.draining = True
        self._broadcast_report()
        logger().info(
            "draining",
            running=len(self.agent_attempts.running),
            unsent=len(self.agent_attempts.journal),
        )
        deadline = self.timers.now() + self.settings.drain_limit
        while self.agent_attempts.running or self.agent_attempts.journal:
            if self.timers.now() >= deadline:
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        unfinished = len(self.agent_attempts.running) + len(self.agent_attempts.journal)
        if unfinished:
            logger().error(
                "drain_limit",
                running=len(self.agent_attempts.running),
                unsent=len(self.agent_attempts.journal),
            )
        self.timers.close()
        await self.links.close()
        return unfinished == 0

    def _listen_status(self) -> None:
        application = Application(
            [
                (r"/status", StatusHandler, {"source": self.status}),
                (r"/live", LiveHandler),
                (r"/ready", ReadyHandler, {"ready": self._is_ready}),
            ]
        )
        address = self.settings.status_listen
        HTTPServer(application).listen(address.port, address.host)

    def _is_ready(self) -> bool:
        return self.healthy and not self.agent_attempts.draining

    def status(self) -> dict[str, Any]:
        """Return the agent state that ``/status`` reports."""
        return {
            "role": "agent",
            "name": self.settings.name,
            "zone": self.settings.zone,
            "boot": self.boot,
            "healthy": self.healthy,
            "draining": self.agent_attempts.draining,
            "models": list(self.load.models),
            "service": self.settings.service,
            "running": len(self.agent_attempts.running),
            "journal": len(self.agent_attempts.journal),
            "links": sorted(link.peer.name for link in self.links.links),
            "counters": dict(self.metrics.counts),
            "cpu_seconds": time.process_time(),
        }


def _failure_message(
    dispatch: Dispatch, result: RunResult, crashed: bool, backend_boot: int
) -> NotRun | Failed:
    if isinstance(result, RunNotStarted):
        return NotRun(dispatch.attempt, "no_capacity", result.reason)
    assert isinstance(result, RunInterrupted)
    return Failed(dispatch.attempt, result.reason, crashed, backend_boot)


async def serve_agent(settings: AgentSettings, stop: asyncio.Event) -> bool:
    """Run an agent until ``stop`` is set.

    :returns: whether it drained completely
    """
    return await Agent(settings).serve(stop)
