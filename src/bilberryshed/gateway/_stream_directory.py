"""Tells which software version began a stream, so that it goes on only at that version.

A gateway may be out of step with the others: its list of servers is as old as its last read. What
that list says of a stream that another gateway relayed holds only once it has been read anew.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from typing import Any

from bilberryshed.coordination import BackendView, Origin, StreamOrigins, stream_key
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._stream_records import RECORD_INTERVAL, StreamRecords
from bilberryshed.protocol import (
    OriginRequest,
    OriginResponse,
    OriginSearch,
    StreamGroup,
    StreamsNotice,
)
from bilberryshed.transport import Link, logger

OBSERVE_INTERVAL = 0.1  # seconds between looks at the listed versions
UNSTORED_TIME = 1.0  # seconds after which a version that cannot be stored is used all the same
STORE_WAIT_TIMEOUT = 0.35  # seconds; longest wait of a take-up for the store
PEER_TIMEOUT = 0.15  # seconds that hubs have to respond
SEARCH_TIMEOUT = 0.6  # seconds that a hub has to respond that asks the store first
DOUBT_TIME = 10.0  # seconds before an outage in which a failure may have been a restart


class StreamDirectory:
    """Knows the streams that this gateway relays, and asks others about the rest.

    :param origins: streams known to this gateway
    :param records: what the store lists
    :param first_listed_at: monotonic time at which each version was listed first
    :param boots: boot ids of the linked gateways
    :param changed_at: clock of the store at the last start or end of any gateway, in seconds
    :param storing: whether the listed versions are being stored
    :param read_servers: reads the backend servers anew; returns whether the store responded
    :param refreshing: the next refresh, which has not begun
    :param pending: futures of the responses of hubs, by request id
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
        self.changed_at = 0.0
        self.storing = False
        self.pending: dict[str, asyncio.Future[OriginResponse]] = {}
        self.next_id = 1

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(OBSERVE_INTERVAL, self._observe)
        self.context.timers.subscribe(RECORD_INTERVAL, self._report)

    def handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        """Return the message handlers by message class."""
        return {
            StreamsNotice: self._on_notice,
            OriginRequest: self._on_request,
            OriginSearch: self._on_search,
            OriginResponse: self._on_response,
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
        clock = self.context.ports.tables.clock
        if not clock:
            return
        if not self.changed_at:
            self.changed_at = clock - (now - self.context.started_at)
        boots = {name: link.peer.boot for name, link in self.context.peer_links.items()}
        known = self.boots.keys() & boots.keys()
        if any(boots[name] != self.boots[name] for name in known) or self.boots.keys() - boots:
            self.changed_at = clock
        self.boots |= boots
        listed = self._listed()
        for service, versions in listed.items():
            for version in versions:
                self.first_listed_at.setdefault(Origin(service, version), now)
        self.records.served.observe(clock, listed)
        if not self.storing and not self.records.is_current():
            self.storing = True
            self.context.spawn(self._store(listed))

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
        return await self._within(self.refreshing)

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
        """Forget streams that may have been begun by a process that has taken a server's id."""
        self.origins.forget_restarted(self._now(), server)

    async def find(self, services: tuple[str, ...], request: str) -> Origin | None:
        """Return the origin of a stream.

        :param services: services that may have begun it
        :param request: id of the request that received its first event, empty if it is not named
        :returns: ``None`` if it is not certain
        """
        key = stream_key(request) if request else None
        is_fresh = await self.refresh()
        found = self.origins.get(key) if key is not None else None
        if found is None and is_fresh:
            found = self._only(services, self.context.ports.tables.clock)
        if found is None and key is not None:
            found = await self._ask_hubs(key, lambda ask: OriginRequest(ask, key, services))
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
        with_store = self.context.peers_with_store
        return await self._ask_hubs(
            key, lambda ask: OriginSearch(ask, key, services), with_store, SEARCH_TIMEOUT
        )

    async def _within(self, call: "asyncio.Future[bool]") -> bool:
        """Return the result of a call to the store, ``False`` if it takes too long."""
        done, _ = await asyncio.wait({call}, timeout=STORE_WAIT_TIMEOUT)
        return call in done and bool(call.result())

    async def _find_stored(self, services: tuple[str, ...], key: int) -> Origin | None:
        """Return the origin by what the store lists; the servers have just been read."""
        if not await self._within(self.context.spawn(self.records.read())):
            return None
        return self.origins.get(key) or self._derive(services)

    def _only(self, services: tuple[str, ...], until: float) -> Origin | None:
        """Return the only version that can have begun a stream until a time of the store."""
        served = self.records.served
        possible = [Origin(s, version) for s in services for version in served.possible(s, until)]
        return possible[0] if len(possible) == 1 else None

    def _derive(self, services: tuple[str, ...]) -> Origin | None:
        """Return the origin of a stream that no running gateway relays.

        It was begun before the last gateway ended, so at a version that was in service then.
        """
        linked = self.context.peer_links.keys() | {self.context.settings.name}
        all_linked = self.context.known_gateways <= linked
        return self._only(services, self.changed_at) if all_linked else None

    # Other gateways -------------------------------------------------------------------------

    def _report(self, now: float) -> None:
        """Report new streams of services with several versions to the hub, or store them."""
        self.origins.prune(now)
        link = self.context.peer_links.get(self.context.hubs.own)
        is_busy = link is None and self.records.lock.locked()
        if is_busy or not self._is_mixed():
            return
        groups = self.origins.take_unreported()
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
            for key in group.keys:
                self.origins.remember(now, key, origin, "")

    async def _ask_hubs(
        self,
        key: int,
        question: Callable[[str], OriginRequest | OriginSearch],
        among: Collection[str] | None = None,
        timeout: float = PEER_TIMEOUT,
    ) -> Origin | None:
        """Ask hubs for the origin of a stream.

        :param question: returns the message with a request id
        :param among: names of the hubs to ask, all by default
        :param timeout: seconds that a hub has to respond
        """
        names = self.context.hubs.names & self.context.peer_links.keys()
        asked = sorted(name for name in names if among is None or name in among)
        answers = [self._ask(name, question, timeout) for name in asked]
        for response in await asyncio.gather(*answers):
            if response is not None and response.version is not None:
                origin = Origin(response.service, response.version)
                self.origins.learn(self._now(), (key,), origin)
                return origin
        return None

    async def _ask(
        self, name: str, question: Callable[[str], OriginRequest | OriginSearch], timeout: float
    ) -> OriginResponse | None:
        ask = f"{self.context.boot}.o{self.next_id}"
        self.next_id += 1
        future = self.pending[ask] = asyncio.get_running_loop().create_future()
        self.context.peer_links[name].send(question(ask))
        try:
            return await asyncio.wait_for(future, timeout)
        except TimeoutError:
            return None
        finally:
            del self.pending[ask]

    def _on_request(self, link: Link, request: OriginRequest) -> None:
        """Answer from memory: what this gateway's list of servers implies may be out of date."""
        self._answer(link, request.ask, self.origins.get(request.key))

    def _on_search(self, link: Link, request: OriginSearch) -> None:
        """Answer a gateway that does not reach the store."""
        self.context.spawn(self._search_for(link, request))

    async def _search_for(self, link: Link, request: OriginSearch) -> None:
        found = self.origins.get(request.key)
        if found is None and await self.refresh():
            found = self._only(request.services, self.context.ports.tables.clock)
            found = found or await self._find_stored(request.services, request.key)
        self._answer(link, request.ask, found)

    def _answer(self, link: Link, ask: str, found: Origin | None) -> None:
        if found is None:
            link.send(OriginResponse(ask, "", None))
        else:
            link.send(OriginResponse(ask, found.service, found.version))

    def _on_response(self, link: Link, response: OriginResponse) -> None:
        future = self.pending.get(response.ask)
        if future is not None and not future.done():
            future.set_result(response)
