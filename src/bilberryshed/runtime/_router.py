"""The router: callers' API, links, membership, and a graceful stop."""

import asyncio
import time
from typing import Any

from returns.result import Success
from tornado.httpserver import HTTPServer
from tornado.web import Application

from bilberryshed.coordination import ActiveSheet, AgentView
from bilberryshed.protocol import (
    Chunk,
    ContentNotice,
    Ended,
    Failed,
    FundsAnswer,
    FundsRequest,
    Heartbeat,
    JournalEntry,
    LoadReport,
    NotRun,
    OrderResult,
    Recorded,
    RecordsOffer,
    RecordsVerdict,
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
from bilberryshed.runtime._quarantine_service import QuarantineService
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
    LinkServer,
    MessageTable,
    client_context,
    http_platform,
    logger,
    server_context,
)

HEARTBEAT_INTERVAL = 0.5  # seconds
DRAIN_POLL = 0.05  # seconds
BACKLOG = 1024  # connections waiting to be accepted
READ_FACTOR = 4  # of the largest body, up to which one is read so as to be refused in words
MAX_HEADER = 16 * 1024  # bytes of a request's headers
IDLE_LIMIT = 120  # seconds that an idle caller connection is kept
BODY_TIMEOUT = 10  # seconds in which a caller must send its body


class Router:
    """One router."""

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
        self.quarantine = QuarantineService(self.context)
        self.billing = Billing(self.context, self.ledger, self.claims)
        self.agents = AgentQueue(self.context)
        self.runner = Runner(
            self.context,
            self.funding,
            self.billing,
            self.claims,
            self.slo,
            self.quarantine,
            self.agents,
        )
        self.sheets = SheetReplica(self.context)
        self.reclaim = ReclaimService(self.context, self.funding, self.ledger)
        self.hello = hello(settings, "router", self.context.boot)
        self.server_tls = server_context(settings.certificate, settings.certificate_key)
        self.client_tls = client_context(settings.link_ca)
        self.clients: dict[str, LinkClient] = {}
        self.placement = PlacementService(self.context)
        messages = MessageTable(self._message_handlers())
        self.handlers = LinkHandlers(self._on_up, messages.handle, self._on_down)
        self.server = LinkServer(self.hello, self.handlers, self.server_tls)

    @property
    def is_draining(self) -> bool:
        """Whether new requests are refused."""
        return self.context.draining

    @property
    def sheet_in_force(self) -> ActiveSheet | None:
        """The sheet in force, if any."""
        return self.context.rollout.current

    async def serve(self, stop: asyncio.Event) -> bool:
        """Serve until told to stop, then drain.

        :returns: whether all work was finished and all grants were returned
        """
        await self.server.start(self.settings.link_listen)
        self.sheets.start()
        self.funding.start()
        self.ledger.start()
        self.billing.start()
        self.agents.start()
        self.slo.start()
        self.reclaim.start()
        self.quarantine.start()
        self.placement.start()
        timers = self.context.timers
        timers.subscribe(HEARTBEAT_INTERVAL, self._heartbeat)
        timers.subscribe(self.settings.vm_list_interval, self._refresh)
        await self._refresh_list()
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
            Ended: lambda link, frame: attempts.on_frame(frame),
            NotRun: self._on_no_answer,
            Failed: self._on_no_answer,
            Recorded: lambda link, m: self.billing.on_recorded(link.peer.name, m),
            JournalEntry: lambda link, m: self.billing.on_journal(link.peer.name, m),
            Revoke: self.reclaim.on_revoke,
            OrderResult: lambda link, m: self.placement.on_result(link.peer.name, m),
            RevokeAck: self.reclaim.on_ack,
            FundsRequest: lambda link, m: self.funding.on_request(link.peer.name, m),
            FundsAnswer: lambda link, m: self.funding.on_answer(link.peer.name, m),
            Transfer: lambda link, m: self.funding.on_transfer(link.peer.name, m),
            TransferAck: lambda link, m: self.funding.on_ack(m),
            RecordsOffer: lambda link, m: self.ledger.on_offer(link.peer.name, m),
            RecordsVerdict: lambda link, m: self.ledger.on_verdict(m),
            ContentNotice: lambda link, m: self.quarantine.on_notice(m),
            SheetNotice: lambda link, m: self.sheets.on_notice(m, link.peer.name),
        }

    def _on_up(self, link: Link) -> None:
        name = link.peer.name
        if link.peer.boot in self.reclaim.refused:
            link.abort()
            return
        self.context.members.on_link_up(link.peer)
        if link.peer.role == "agent":
            self.context.agent_links[name] = link
            if self.reclaim.refused:
                link.send(Revoke(tuple(self.reclaim.refused)))
            self.context.routing.agents[name] = AgentView(name, link.peer.zone, healthy=False)
        else:
            self.context.peer_links[name] = link
            notice = self.sheets.notice()
            if notice is not None:
                link.send(notice)
        logger().info("link_up", peer=name, boot=link.peer.boot)

    def _on_down(self, link: Link) -> None:
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

    def _on_heartbeat(self, link: Link, beat: Heartbeat) -> None:
        self.context.members.on_draining(link.peer.name, beat.draining)
        self.context.rollout.record_version(beat.sheet_version)

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

    def _on_no_answer(self, link: Link, message: NotRun | Failed) -> None:
        if message.attempt in self.runner.attempts.frames:
            self.runner.attempts.on_frame(message)
        else:
            self.billing.on_attempt_result(message)

    def _heartbeat(self, now: float) -> None:
        beat = Heartbeat(self.context.draining, self.context.rollout.version)
        for link in self.context.peer_links.values():
            link.send(beat)

    # Membership -----------------------------------------------------------------------------

    def _refresh(self, now: float) -> None:
        self.context.spawn(self._refresh_list())

    async def _refresh_list(self) -> None:
        vms = await self.context.vm_list.vms()
        if not isinstance(vms, Success):
            self.context.metrics.count("vm_list_failed")
            return
        self.reclaim.listed = vms.unwrap()
        change = self.context.members.on_list(vms.unwrap())
        for vm in change.gone:
            self._disconnect(vm.name)
        for vm in change.added:
            self._disconnect(vm.name)
            if vm.role == "agent" or vm.name > self.settings.name:
                self._connect(vm)

    def _connect(self, vm: Vm) -> None:
        """Open a link; of two routers, the one whose name is lower connects."""
        address = Address.parse(vm.link)
        self.clients[vm.name] = LinkClient(address, self.hello, self.handlers, self.client_tls)

    def _disconnect(self, name: str) -> None:
        client = self.clients.pop(name, None)
        if client is not None:
            client.close()

    # Stop -----------------------------------------------------------------------------------

    async def _drain(self, http: HTTPServer) -> bool:
        """Finish running requests, deliver bills, return grants."""
        self.context.draining = True
        self._heartbeat(self.context.timers.now())
        logger().info("draining", running=len(self.runner.running))
        deadline = self.context.timers.now() + self.settings.drain_limit
        while self._work_left() and self.context.timers.now() < deadline:
            await asyncio.sleep(DRAIN_POLL)
        while self.funding.return_all() and self.context.timers.now() < deadline:
            await asyncio.sleep(DRAIN_POLL)
        left = self._work_left() + self.funding.return_all()
        if left:
            logger().error(
                "drain_limit",
                running=len(self.runner.running),
                unbilled=self.ledger.backlog,
                parked=len(self.billing.open_bills),
                grants=len(self.context.book.grants()),
            )
        await self._close(http)
        return left == 0

    def _work_left(self) -> int:
        return len(self.runner.running) + self.ledger.backlog + self.billing.backlog

    async def _close(self, http: HTTPServer) -> None:
        http.stop()
        await self.slo.publish()
        self.context.timers.close()
        for link in (*self.context.agent_links.values(), *self.context.peer_links.values()):
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
            max_body_size=self.settings.max_body * READ_FACTOR,
            max_header_size=MAX_HEADER,
            body_timeout=BODY_TIMEOUT,
            idle_connection_timeout=IDLE_LIMIT,
        )
        server.listen(self.settings.listen.port, self.settings.listen.host, backlog=BACKLOG)
        return server

    def is_ready(self) -> bool:
        """Whether this router takes new requests."""
        return not self.context.draining and self.context.rollout.current is not None

    def status(self) -> dict[str, Any]:
        """Return the state of this router for the status page."""
        book = self.context.book
        return {
            "role": "router",
            "name": self.settings.name,
            "zone": self.settings.zone,
            "boot": self.context.boot,
            "ready": self.is_ready(),
            "draining": self.context.draining,
            "sheet_version": self.context.rollout.version,
            "running": len(self.runner.running),
            "queued": len(self.agents.waiters),
            "unbilled": self.ledger.backlog,
            "parked": [
                {"bill": bill, "tokens": sum(part.tokens for part in open_bill.reservation.parts)}
                for bill, open_bill in self.billing.open_bills.items()
            ],
            "revoked": {boot: len(acks) for boot, acks in self.reclaim.reclaim.acks.items()},
            "held": {budget: book.held(budget) for budget in book.budgets},
            "peers": sorted(self.context.peer_links),
            "agents": {
                name: {"load": round(agent.load, 3), "draining": agent.draining}
                for name, agent in self.context.routing.agents.items()
            },
            "counters": dict(self.context.metrics.counts),
            "cpu_seconds": time.process_time(),
        }


async def serve_router(settings: RouterSettings, stop: asyncio.Event) -> bool:
    """Run a router until told to stop."""
    return await Router(settings).serve(stop)
