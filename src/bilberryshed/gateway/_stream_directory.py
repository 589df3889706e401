"""Tells which software version began a stream, so that it goes on only at that version.

A gateway may be out of step with the others: its list of servers is as old as its last read. What
that list says of a stream that another gateway relayed holds only once it has been read anew.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from bilberryshed.coordination import (
    BackendView,
    Origin,
    OriginEvidence,
    StreamOrigins,
    prove_origin,
    stream_key,
)
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._origin_queries import OriginQueries
from bilberryshed.gateway._stream_records import MAX_KEYS, RECORD_INTERVAL, StreamRecords
from bilberryshed.protocol import OriginRequest, OriginSearch, StreamGroup, StreamsNotice
from bilberryshed.transport import Link, logger

OBSERVE_INTERVAL = 0.1  # seconds between looks at the listed versions
UNSTORED_TIME = 1.0  # seconds after which a version that cannot be stored is used all the same
STORE_WAIT_TIMEOUT = 0.35  # seconds; longest wait of a take-up for the store
SEARCH_TIMEOUT = 1.0  # seconds that a hub has to respond that asks the store and all gateways first
CLOCK_MARGIN = 1.0  # seconds by which the latest response of the store may be old
DOUBT_TIME = 10.0  # seconds before an outage in which a failure may have been a restart


class StreamDirectory:
    """Knows the streams that this gateway relays, and asks others about the rest.

    :param origins: streams known to this gateway
    :param records: what the store lists
    :param first_listed_at: monotonic time at which each version was listed first
    :param boots: boot ids of the linked gateways
    :param changed_at: monotonic time at which a gateway was last seen to have started or ended
    :param storing: whether the listed versions are being stored
    :param read_servers: reads the backend servers anew; returns whether the store responded
    :param refreshing: the next refresh, which has not begun
    :param reported_epoch: epoch of the store whose rows list the streams that were reported
    :param queries: questions to other gateways
    """

    def __init__(
        self, context: GatewayContext, read_servers: Callable[[], Awaitable[bool]]
    ) -> None:
        self.context = context
        self.read_servers = read_servers
        self.refreshing: asyncio.Future[bool] | None = None
        self.refresh_lock = asyncio.Lock()
        self.origins = StreamOrigins()
        self.records = StreamRecords(context, self.origins)
        self.first_listed_at: dict[Origin, float] = {}
        self.boots: dict[str, str] = {}
        self.changed_at = context.started_at
        self.storing = False
        self.reported_epoch = context.ports.tables.epoch
        self.queries = OriginQueries(context, self.origins, self.find_here)

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(OBSERVE_INTERVAL, self._observe)
        self.context.timers.subscribe(RECORD_INTERVAL, self._report)

    def handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        """Return the message handlers by message class."""
        return {
            StreamsNotice: self._on_notice,
            **self.queries.handlers(),
        }

    # Versions in service --------------------------------------------------------------------

    def _listed(self) -> dict[str, set[str]]:
        """Return the versions of the listed servers by service."""
        listed: dict[str, set[str]] = {}
        for view in self.context.backends.views.values():
            listed.setdefault(view.server.service, set()).add(view.server.version)
        return listed

    def _observe(self, now: float) -> None:
        """Note versions that came or went, and gateways that started or ended."""
        self._note_members(now)
        clock = self.context.ports.tables.clock
        if not clock:
            return
        listed = self._listed()
        for service, versions in listed.items():
            for version in versions:
                self.first_listed_at.setdefault(Origin(service, version), now)
        self.records.observe(listed)
        if not self.storing and not self.records.is_current():
            self.storing = True
            self.context.spawn(self._store(listed))

    def _note_members(self, now: float) -> None:
        """Note when a gateway was seen to have started or ended."""
        boots = {name: link.peer.boot for name, link in self.context.peer_links.items()}
        known = self.boots.keys() & boots.keys()
        if any(boots[name] != self.boots[name] for name in known) or self.boots.keys() - boots:
            self.changed_at = now
        self.boots |= boots

    async def _store(self, listed: dict[str, set[str]]) -> None:
        try:
            if self.context.recovery.current is None:
                await self.context.recovery.begin()
            await self.records.store_versions(listed)
        finally:
            self.storing = False

    def may_begin(self, view: BackendView) -> bool:
        """Whether a server may begin a stream that can be resumed.

        Its version has to be stored before, as a gateway that starts later cannot know it
        otherwise.
        """
        server = view.server
        if self.records.is_stored(server.service, server.version):
            return True
        listed_at = self.first_listed_at.get(Origin(server.service, server.version))
        return listed_at is not None and self._now() >= listed_at + UNSTORED_TIME

    def may_resume(self, view: BackendView, origin: Origin, since: float) -> bool:
        """Whether a server certainly has the version that began a stream.

        Unless the entries were read after the stream broke off, a server that failed may have
        started again with another version.

        :param since: monotonic time by which the stream had broken off
        """
        server = view.server
        if (server.service, server.version) != (origin.service, origin.version):
            return False
        listed_at = self.context.listed_at
        return listed_at >= since or view.failed_at < listed_at - DOUBT_TIME

    async def refresh(self) -> bool:
        """Read the backend servers and the versions in service anew.

        Calls that come while a refresh is under way share the next one.

        :returns: whether the store responded in time
        """
        if self.refreshing is None:
            self.refreshing = self.context.spawn(self._refresh())
        return await self.context.result_within(self.refreshing, STORE_WAIT_TIMEOUT)

    async def _refresh(self) -> bool:
        async with self.refresh_lock:
            self.refreshing = None
            if not await self.read_servers():
                return False
            return await self.records.store_versions(self._listed())

    def _now(self) -> float:
        return self.context.timers.now()

    # Streams --------------------------------------------------------------------------------

    def remember(self, request: str, view: BackendView) -> Origin:
        """Remember the server that has sent the first event of a stream."""
        origin = Origin(view.server.service, view.server.version)
        self.origins.remember(self._now(), stream_key(request), origin, view.server.id)
        return origin

    def remember_origin(self, request: str, origin: Origin) -> None:
        """Remember the origin of a stream that is taken up."""
        self.origins.learn(self._now(), (stream_key(request),), origin)

    def known_origin(self, request: str) -> Origin | None:
        """Return the origin of a stream that this gateway knows."""
        return self.origins.get(stream_key(request))

    def on_restart(self, server: str) -> None:
        """Doubt streams that may have been begun by a process that has taken a server's id."""
        self.origins.doubt_restarted(self._now(), server)

    async def find(self, services: tuple[str, ...], request: str) -> Origin | None:
        """Return the origin of a stream.

        :param services: services that may have begun it
        :param request: id of the request that received its first event, empty if it is not named
        :returns: ``None`` if it is not certain
        """
        key = stream_key(request) if request else None
        is_fresh = await self.refresh()
        found = self._prove(services, key, is_fresh)
        if found is None and key is not None:
            question = lambda ask: OriginRequest(ask, key, services)  # noqa: E731
            found = await self.queries.ask_hubs(key, question)
        if found is None and key is not None:
            found = await self._search(services, key, is_fresh)
        if found is None:
            logger().info(
                "origin_unknown", resumes=request, services=services, store_reached=is_fresh
            )
        return found

    async def _search(self, services: tuple[str, ...], key: int, is_fresh: bool) -> Origin | None:
        """Look a stream up that no hub knows, in the store or through a hub that reaches it."""
        if is_fresh:
            return await self._find_stored(services, key)
        return await self.queries.ask_hubs(
            key,
            lambda ask: OriginSearch(ask, key, services),
            self.context.peers_with_store,
            SEARCH_TIMEOUT,
        )

    async def find_here(self, services: tuple[str, ...], key: int) -> Origin | None:
        """Return the origin of a stream for a gateway that does not reach the store."""
        found = self.origins.get(key)
        if found is not None or not await self.refresh():
            return found
        return self._prove(services, key, True) or await self._find_stored(services, key)

    async def _find_stored(self, services: tuple[str, ...], key: int) -> Origin | None:
        """Return the origin by what the store lists, or what all other gateways deny.

        The servers and versions have just been read.
        """
        read_at, tables = self._now(), self.context.ports.tables
        reading = self.context.spawn(self.records.read())
        if not await self.context.result_within(reading, STORE_WAIT_TIMEOUT):
            return None
        if key in self.origins.records:
            return self.origins.get(key)
        # The store's clock was at most this at the time read_at, however long the answers take.
        clock = tables.clock
        if not await self.queries.ask_all(key):
            return self._prove(services, key, True)
        self._note_members(self._now())
        return self._prove(services, key, True, clock - (read_at - self.changed_at) + CLOCK_MARGIN)

    def _prove(
        self,
        services: tuple[str, ...],
        key: int | None,
        is_fresh: bool,
        ended_at: float | None = None,
    ) -> Origin | None:
        """Return the origin of a stream by what has been found out.

        :param ended_at: as for :class:`OriginEvidence`
        """
        tables, served = self.context.ports.tables, self.records.served
        evidence = OriginEvidence(
            services,
            self.origins.get(key) if key is not None else None,
            is_fresh and served.epoch == tables.epoch,
            tables.clock,
            ended_at,
        )
        return prove_origin(served, evidence)

    # Other gateways -------------------------------------------------------------------------

    def _report(self, now: float) -> None:
        """Report new streams of services with several versions to the hub, or store them."""
        self.origins.prune(now)
        epoch = self.context.ports.tables.epoch
        if epoch != self.reported_epoch:
            self.reported_epoch = epoch
            self.origins.report_again()
        link = self.context.peer_links.get(self.context.hubs.own)
        is_busy = link is None and self.records.lock.locked()
        if is_busy or not self._is_mixed():
            return
        groups = self.origins.take_unreported(MAX_KEYS)
        if not groups:
            return
        if link is None:
            self.context.spawn(self._write(groups))
            return
        link.send(
            StreamsNotice(
                tuple(StreamGroup(o.service, o.version, tuple(k)) for o, k in groups.items())
            )
        )

    async def _write(self, groups: dict[Origin, list[int]]) -> None:
        """Store streams; those that the store did not take are reported again."""
        if not await self.records.write(groups):
            for keys in groups.values():
                self.origins.unreported.update(keys)

    def _is_mixed(self) -> bool:
        """Whether any service has several versions now, or had them a short time ago."""
        clock, served = self.context.ports.tables.clock, self.records.served
        return any(len(served.possible(service, clock)) > 1 for service in served.spans)

    def _on_notice(self, link: Link, notice: StreamsNotice) -> None:
        now = self._now()
        for group in notice.groups:
            origin = Origin(group.service, group.version)
            self.origins.on_report(now, group.keys, origin)
