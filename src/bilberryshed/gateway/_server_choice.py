"""Choice of the backend server that a request is sent to."""

import asyncio
import math

from bilberryshed.coordination import PERMIT_TIME, BackendView
from bilberryshed.coordination.places import home_regions, is_allowed
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.gateway._job import Job
from bilberryshed.gateway._server_limits import ServerLimits
from bilberryshed.gateway._stream_directory import StreamDirectory

CHOICE_RETRY_INTERVAL = 0.05  # seconds between attempts to choose a backend server
CHOICE_WAIT_FRACTION = 0.25  # of the latency target; longest wait for a usable backend server


class ServerChoice:
    """Chooses among the backend servers that may run a request."""

    __slots__ = ("context", "pool", "limits", "streams")

    def __init__(
        self, context: GatewayContext, limits: ServerLimits, streams: StreamDirectory
    ) -> None:
        self.context = context
        self.pool = context.backends
        self.limits = limits
        self.streams = streams

    async def choose(self, job: Job) -> BackendView | None:
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
