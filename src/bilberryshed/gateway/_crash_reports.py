"""Reports runs that ended because their backend server seems to have crashed.

A broken connection makes the content of its request suspect at once. The parts of the prompt, which
many requests share, become suspect only if the backend server then accepts no connection.
"""

import asyncio
from dataclasses import dataclass

from bilberryshed.coordination import BackendView
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._link_load import LinkLoad
from bilberryshed.protocol import CrashedRun
from bilberryshed.state import Address, BackendServer
from bilberryshed.transport import ConnectError, ConnectTimeoutError, logger

CHECK_TIMEOUT = 0.3  # seconds for a connection to a backend server that may have crashed


@dataclass(slots=True, frozen=True)
class BrokenRun:
    """A run whose connection broke at the beginning of its answer.

    :param id: id of the run
    :param content: fingerprint of the request's content
    :param parts: ids of the parts of its prompt that other requests may share
    """

    id: str
    content: str
    parts: tuple[str, ...]


class CrashReports:
    """Tells crashes of backend servers from broken connections, and reports both.

    :param checks: checks in progress, by incarnation of the backend server
    """

    __slots__ = ("context", "link_load", "checks")

    def __init__(self, context: GatewayContext, link_load: LinkLoad) -> None:
        self.context = context
        self.link_load = link_load
        self.checks: dict[str, asyncio.Future[bool]] = {}

    def on_broken(self, view: BackendView, run: BrokenRun) -> None:
        """Report a broken run, and check whether its backend server has crashed.

        One that is leaving may have ended as planned.
        """
        self._report(view.server, run, ())
        if run.parts and not view.is_leaving:
            self.context.spawn(self._report_if_crashed(view.server, run))

    async def _report_if_crashed(self, server: BackendServer, run: BrokenRun) -> None:
        broken_at = self.context.timers.now()
        incarnation = server.incarnation
        check = self.checks.get(incarnation)
        if check is None:
            check = self.checks[incarnation] = asyncio.ensure_future(self._has_crashed(server))
            check.add_done_callback(lambda done: self.checks.pop(incarnation, None))
        if await check:
            self._report(server, run, run.parts, self.context.timers.now() - broken_at)

    def _report(
        self, server: BackendServer, run: BrokenRun, parts: tuple[str, ...], age: float = 0.0
    ) -> None:
        logger().info("crash_suspected", fingerprint=run.content, run=run.id, parts="/".join(parts))
        self.context.quarantine.on_crash(
            CrashedRun(run.id, server.incarnation, run.content, parts, False, age)
        )

    async def _has_crashed(self, server: BackendServer) -> bool:
        """Whether a backend server accepts no connection; one that is opened is kept for use."""
        connections = self.context.connections
        try:
            address = Address.parse(server.address)
            connection = await connections.open(server.id, address, CHECK_TIMEOUT)
        except ConnectError as error:
            is_own = isinstance(error, ConnectTimeoutError) and self.link_load.delays_connections
            return not is_own
        connections.release(connection, self.context.timers.now(), None)
        return False
