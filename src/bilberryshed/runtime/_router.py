"""Router: caller-facing API, links, membership and graceful shutdown."""

import asyncio
import time
from typing import Any

from returns.result import Success
from tornado.httpserver import HTTPServer
from tornado.web import Application

from bilberryshed.coordination import ActiveSheet, AgentView
from bilberryshed.protocol import (
    Chunk,
    Completed,
    Failed,
    FundsRequest,
    FundsResponse,
    Heartbeat,
    JournalEntry,
    LedgerAppendRequest,
    LedgerAppendResponse,
    LoadReport,
    NotRun,
    OrderResult,
    Recorded,
    Revoke,
    RevokeAck,
    SheetNotice,
    Started,
    Transfer,
    TransferAck,
)
from bilberryshed.runtime._agent_queue import AgentQueue
from bilberryshed.runtime._api import (
    CompletionHandler,
    ModelsHandler,
    ServiceHandler,
    UnknownPathHandler,
)
from bilberryshed.runtime._billing import Billing
from bilberryshed.runtime._claim_service import ClaimService
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._funding_service import FundingService
from bilberryshed.runtime._ledger_service import LedgerService
from bilberryshed.runtime._placement_service import PlacementService
from bilberryshed.runtime._process import hello
from bilberryshed.runtime._reclaim_service import ReclaimService
from bilberryshed.runtime._runner import Runner
from bilberryshed.runtime._sheet_replica import SheetReplica
from bilberryshed.runtime._slo_monitor import SloMonitor
from bilberryshed.runtime._status import LiveHandler, ReadyHandler, StatusHandler
from bilberryshed.state import Address, RouterSettings, Vm
from bilberryshed.transport import (
    Link,
    LinkClient,
    LinkHandlers,
    LinkMonitor,
    LinkServer,
    MessageDispatcher,
    client_tls_context,
    http_platform,
    log_loop_lag,
    logger,
    server_tls_context,
)

HEARTBEAT_INTERVAL = 0.5  # seconds
DRAIN_POLL_INTERVAL = 0.05  # seconds
LISTEN_BACKLOG = 1024  # connections that may wait to be accepted
BODY_READ_FACTOR = 4  # times the size limit; up to this size, an oversized body gets a JSON refusal
MAX_HEADER_BYTES = 16 * 1024  # of all headers of a request
IDLE_TIMEOUT = 120  # seconds after which an idle caller connection is closed
BODY_TIMEOUT = 10  # seconds for a caller to send its request body


class Router:
    """Router process and its components."""

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.max_tokens_limit = settings.max_tokens_limit
        self.max_body = settings.max_body
        platform = http_platform(settings.platform, settings.platform_timeout)
        self.context = RouterContext(settings, platform)
        self.funding = FundingService(self.context)
        self.ledger = LedgerService(self.context)
        self.claims = ClaimService(self.context)
        self.slo = SloMonitor(self.context)
        self.billing = Billing(self.context, self.ledger, self.claims)
        self.agent_queue = AgentQueue(self.context)
        self.runner = Runner(
            self.context,
            self.funding,
            self.billing,
            self.claims,
            self.slo,
            self.agent_queue,
        )
        self.sheet_replica = SheetReplica(self.context)
        self.reclaim = ReclaimService(self.context, self.funding, self.ledger)
        self.hello = hello(settings, "router", self.context.boot)
        self.server_tls = server_tls_context(settings.certificate, settings.certificate_key)
        self.client_tls = client_tls_context(settings.link_ca)
        self.clients: dict[str, LinkClient] = {}
        self.placement = PlacementService(self.context)
        self.monitor = LinkMonitor(self._links, lambda link: True)
        messages = MessageDispatcher({**self._message_handlers(), **self.monitor.handlers()})
        self.handlers = LinkHandlers(self._on_link_up, messages.handle, self._on_link_down)
        self.server = LinkServer(self.hello, self.handlers, self.server_tls, self.context.timers)

    @property
    def is_draining(self) -> bool:
        """Whether new requests are rejected."""
        return self.context.draining

    @property
    def active_sheet(self) -> ActiveSheet | None:
        """Active sheet, ``None`` before the first one has been applied."""
        return self.context.rollout.current

    async def serve(self, stop: asyncio.Event) -> bool:
        """Serve until ``stop`` is set, then drain.

        :returns: whether all work was finished and all grants were returned
        """
        self.context.timers.on_lag = log_loop_lag
        self.context.timers.watch_loop()
        await self.server.start(self.settings.link_listen)
        self.monitor.start(self.context.timers)
        self.sheet_replica.start()
        self.funding.start()
        self.ledger.start()
        self.billing.start()
        self.agent_queue.start()
        self.slo.start()
        self.reclaim.start()
        self.context.quarantine.start()
        self.placement.start()
        timers = self.context.timers
        timers.subscribe(HEARTBEAT_INTERVAL, self._heartbeat)
        timers.subscribe(self.settings.vm_list_interval, self._schedule_refresh)
        await self._refresh_vm_list()
        http = self._listen()
        logger().info("started", boot=self.context.boot, listen=str(self.settings.listen))
        await stop.wait()
        return await self._drain(http)

    # Links ----------------------------------------------------------------------------------

    def _message_handlers(self) -> dict[type, Any]:
        attempts = self.runner.attempts
        return {
            Heartbeat: self._on_heartbeat,
            LoadReport: self._on_load,
            Started: lambda link, frame: attempts.on_frame(frame),
            Chunk: lambda link, frame: attempts.on_frame(frame),
            Completed: lambda link, frame: attempts.on_frame(frame),
            NotRun: self._on_attempt_failure,
            Failed: self._on_attempt_failure,
            Recorded: lambda link, m: self.billing.on_recorded(link.peer.name, m),
            JournalEntry: lambda link, m: self.billing.on_journal(link.peer.name, m),
            Revoke: self.reclaim.on_revoke,
            OrderResult: lambda link, m: self.placement.on_result(link.peer.name, m),
            RevokeAck: self.reclaim.on_ack,
            FundsRequest: lambda link, m: self.funding.on_request(link.peer.name, m),
            FundsResponse: lambda link, m: self.funding.on_answer(link.peer.name, m),
            Transfer: lambda link, m: self.funding.on_transfer(link.peer.name, m),
            TransferAck: lambda link, m: self.funding.on_ack(m),
            LedgerAppendRequest: lambda link, m: self.ledger.on_append_request(link.peer.name, m),
            LedgerAppendResponse: lambda link, m: self.ledger.on_append_response(m),
            **self.context.quarantine.handlers(),
            SheetNotice: lambda link, m: self.sheet_replica.on_notice(m, link.peer.name),
        }

    def _links(self) -> tuple[Link, ...]:
        return (*self.context.agent_links.values(), *self.context.peer_links.values())

    def _on_link_up(self, link: Link) -> None:
        name = link.peer.name
        if link.peer.boot in self.reclaim.revoked_boots:
            link.abort()
            return
        self.context.members.on_link_up(link.peer)
        links = self.context.agent_links if link.peer.role == "agent" else self.context.peer_links
        replaced, links[name] = links.get(name), link
        if replaced is not None:
            replaced.abort()
        if link.peer.role == "agent":
            if self.reclaim.revoked_boots:
                link.send(Revoke(tuple(self.reclaim.revoked_boots)))
            self.context.routing.agents[name] = AgentView(name, link.peer.zone, healthy=False)
        else:
            notice = self.sheet_replica.notice()
            for message in (notice, self.context.quarantine.summary()):
                if message is not None:
                    link.send(message)
        logger().info("link_up", peer=name, boot=link.peer.boot)

    def _on_link_down(self, link: Link) -> None:
        name = link.peer.name
        links = self.context.agent_links if link.peer.role == "agent" else self.context.peer_links
        if links.get(name) is not link:
            return
        del links[name]
        self.context.members.on_link_down(name)
        if link.peer.role == "agent":
            self.context.routing.agents.pop(name, None)
            self.runner.attempts.on_link_down(name)
        logger().info("link_down", peer=name, boot=link.peer.boot)

    def _on_heartbeat(self, link: Link, heartbeat: Heartbeat) -> None:
        self.context.members.on_draining(link.peer.name, heartbeat.draining)
        self.context.rollout.record_version(heartbeat.sheet_version)

    def _on_load(self, link: Link, report: LoadReport) -> None:
        agent = self.context.routing.agents.get(link.peer.name)
        if agent is None:
            return
        agent.services = frozenset(report.services)
        agent.models = frozenset(report.models)
        agent.slots = report.slots
        agent.running = report.running
        agent.own_at_report = agent.own
        agent.draining = report.draining
        agent.healthy = report.healthy

    def _on_attempt_failure(self, link: Link, message: NotRun | Failed) -> None:
        if message.attempt in self.runner.attempts.frame_queues:
            self.runner.attempts.on_frame(message)
        else:
            self.billing.on_attempt_result(message)

    def _heartbeat(self, now: float) -> None:
        heartbeat = Heartbeat(self.context.draining, self.context.rollout.version)
        for link in self.context.peer_links.values():
            link.send(heartbeat)

    # Membership -----------------------------------------------------------------------------

    def _schedule_refresh(self, now: float) -> None:
        self.context.spawn(self._refresh_vm_list())

    async def _refresh_vm_list(self) -> None:
        vms = await self.context.vm_list.vms()
        if not isinstance(vms, Success):
            self.context.metrics.count("vm_list_failed")
            return
        self.reclaim.listed_vms = vms.unwrap()
        change = self.context.members.on_list(vms.unwrap())
        for vm in change.gone:
            self._disconnect(vm.name)
        for vm in change.added:
            self._disconnect(vm.name)
            if vm.role == "agent" or vm.name > self.settings.name:
                self._connect(vm)

    def _connect(self, vm: Vm) -> None:
        """Open a link to a VM; of two routers, the one with the lower name connects."""
        address = Address.parse(vm.link)
        self.clients[vm.name] = LinkClient(
            address, self.hello, self.handlers, self.client_tls, self.context.timers
        )

    def _disconnect(self, name: str) -> None:
        client = self.clients.pop(name, None)
        if client is not None:
            client.close()

    # Shutdown -------------------------------------------------------------------------------

    async def _drain(self, http: HTTPServer) -> bool:
        """Finish running requests, commit usage records and return grants."""
        self.context.draining = True
        self._heartbeat(self.context.timers.now())
        logger().info("draining", running=len(self.runner.running))
        deadline = self.context.timers.now() + self.settings.drain_limit
        while self._pending_work() and self.context.timers.now() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        while self.funding.return_grants() and self.context.timers.now() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        unfinished = self._pending_work() + self.funding.return_grants()
        if unfinished:
            logger().error(
                "drain_limit",
                running=len(self.runner.running),
                unbilled=self.ledger.backlog,
                parked=len(self.billing.open_bills),
                grants=len(self.context.grant_book.grants()),
            )
        await self._close(http)
        return unfinished == 0

    def _pending_work(self) -> int:
        return len(self.runner.running) + self.ledger.backlog + self.billing.backlog

    async def _close(self, http: HTTPServer) -> None:
        http.stop()
        await self.slo.publish()
        self.context.timers.close()
        for link in self._links():
            await asyncio.wait({asyncio.ensure_future(link.flush())}, timeout=1.0)
        for name in tuple(self.clients):
            self._disconnect(name)
        await self.server.close()
        await http.close_all_connections()

    # HTTP -----------------------------------------------------------------------------------

    def _listen(self) -> HTTPServer:
        args = {"owner": self}
        application = Application(
            [
                (r"/v1/chat/completions", CompletionHandler, args),
                (r"/v1/models", ModelsHandler, args),
                (r"/services/([^/]+)/(.*)", ServiceHandler, args),
                (r"/status", StatusHandler, {"source": self.status}),
                (r"/live", LiveHandler),
                (r"/ready", ReadyHandler, {"ready": self.is_ready}),
                (r"/.*", UnknownPathHandler, args),
            ]
        )
        server = HTTPServer(
            application,
            ssl_options=self.server_tls,
            max_body_size=self.settings.max_body * BODY_READ_FACTOR,
            max_header_size=MAX_HEADER_BYTES,
            body_timeout=BODY_TIMEOUT,
            idle_connection_timeout=IDLE_TIMEOUT,
        )
        server.listen(self.settings.listen.port, self.settings.listen.host, backlog=LISTEN_BACKLOG)
        return server

    def is_ready(self) -> bool:
        """Whether this router accepts new requests."""
        return not self.context.draining and self.context.rollout.current is not None

    def status(self) -> dict[str, Any]:
        """Return the router state that ``/status`` reports."""
        grant_book = self.context.grant_book
        return {
            "role": "router",
            "name": self.settings.name,
            "zone": self.settings.zone,
            "boot": self.context.boot,
            "ready": self.is_ready(),
            "draining": self.context.draining,
            "sheet_version": self.context.rollout.version,
            "running": len(self.runner.running),
            "queued": len(self.agent_queue.waiters),
            "unbilled": self.ledger.backlog,
            "parked": [
                {"bill": bill, "tokens": sum(part.tokens for part in open_bill.reservation.parts)}
                for bill, open_bill in self.billing.open_bills.items()
            ],
            "revoked": {boot: len(acks) for boot, acks in self.reclaim.reclaim.acks.items()},
            "held": {budget: grant_book.held(budget) for budget in grant_book.budgets},
            "peers": sorted(self.context.peer_links),
            "agents": {
                name: {"load": round(agent.load, 3), "draining": agent.draining}
                for name, agent in self.context.routing.agents.items()
            },
            "counters": dict(self.context.metrics.counts),
            "cpu_seconds": time.process_time(),
        }


async def serve_router(settings: RouterSettings, stop: asyncio.Event) -> bool:
    """Run a router until ``stop`` is set.

    :returns: whether it drained completely
    """
    return await Router(settings).serve(stop)
