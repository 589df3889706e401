"""Shares this gateway's load at backend servers with the other gateways, through hubs."""

from bilberryshed.coordination import LoadRelay, is_report_urgent
from bilberryshed.gateway._context import GatewayContext
from bilberryshed.protocol import LoadNotice, LoadSummary, ServerLoad, encode
from bilberryshed.transport import Link

URGENT_INTERVAL = 0.02  # seconds between reports of long prompts, which are announced soon
REPORT_INTERVAL = 0.1  # seconds between reports of other changes
RECEIVERS_PER_STEP = 8  # receivers per additional interval, which bounds a hub's traffic
URGENT_RECEIVERS_PER_STEP = 4  # the same for the interval between urgent reports
REFRESH_INTERVAL = 2.0  # seconds after which an unchanged load is reported again


class LoadSharing:
    """Sends and receives load reports.

    A member reports to its hub only. A hub reports its group to the other hubs, and the rest of the
    fleet to each member.

    :param relay: reports received as a hub
    :param hub: hub at the last report, this gateway's own name if it is one
    :param scheduled: whether a check for changes is scheduled
    :param sent_at: monotonic time of the last report, in seconds
    :param last_group: load of this gateway or its group in the last report
    :param changed: whether the load has changed since the last report
    """

    __slots__ = ("context", "relay", "hub", "scheduled", "sent_at", "last_group", "changed")

    def __init__(self, context: GatewayContext) -> None:
        self.context = context
        self.relay = LoadRelay()
        self.hub = context.hubs.own
        self.scheduled = False
        self.sent_at = float("-inf")
        self.last_group: tuple[ServerLoad, ...] = ()
        self.changed = False

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(REFRESH_INTERVAL, self._refresh)

    def on_change(self) -> None:
        """Schedule a report, as this gateway's load or that of its group has changed."""
        self.changed = True
        if not self.scheduled:
            self._schedule(URGENT_INTERVAL * self._interval_factor(URGENT_RECEIVERS_PER_STEP))

    def remove_peer(self, name: str) -> None:
        """Drop the load of a gateway whose link is closed."""
        self.relay.remove(name)
        self.context.backends.remove_peer(name)

    def on_notice(self, link: Link, notice: LoadNotice) -> None:
        """Record the load of a gateway that uses this one as its hub."""
        now, name = self.context.timers.now(), link.peer.name
        reported_at = self.context.timers.responsive_time()
        self.relay.on_member(reported_at, name, notice.loads, notice.parts)
        self.context.backends.on_load_notice(now, name, notice)
        self.on_change()

    def on_summary(self, link: Link, summary: LoadSummary) -> None:
        """Record the load of another hub's group, or of the fleet as relayed by the own hub."""
        now, name = self.context.timers.now(), link.peer.name
        if summary.is_group and self.context.hubs.is_hub:
            self.relay.on_group(name, summary.loads, summary.parts)
        elif summary.is_group or name != self.context.hubs.own:
            return
        self.context.backends.on_load_notice(now, name, summary)
        if self.relay.members:
            self.on_change()

    # Reports --------------------------------------------------------------------------------

    def _interval_factor(self, receivers_per_step: int) -> int:
        hubs = self.context.hubs
        receivers = len(self.relay.members) + len(hubs.names) if hubs.is_hub else 1
        return 1 + receivers // receivers_per_step

    def _schedule(self, delay: float) -> None:
        self.scheduled = True
        self.context.timers.call_once(delay, self._check)

    def _check(self, now: float) -> None:
        """Report the load if a report is due or urgent; else check again when it is due."""
        self.scheduled = False
        if not self.changed or self.context.closing:
            return
        interval = REPORT_INTERVAL * self._interval_factor(RECEIVERS_PER_STEP)
        due_in = self.sent_at + interval - now
        if due_in <= 0 or is_report_urgent(self._group(), self.last_group):
            self._report(now)
        else:
            self._schedule(due_in)

    def _refresh(self, now: float) -> None:
        for name in self.relay.expired(self.context.timers.responsive_time()):
            self.remove_peer(name)
        if now - self.sent_at >= REFRESH_INTERVAL:
            self._report(now)

    def _group(self) -> tuple[ServerLoad, ...]:
        own = self.context.backends.loads()
        return self.relay.group(own) if self.context.hubs.is_hub else own

    def _report(self, now: float) -> None:
        self.sent_at = now
        self.changed = False
        self._follow_hub()
        if self.context.hubs.is_hub:
            self._report_as_hub()
        else:
            self._report_as_member()

    def _follow_hub(self) -> None:
        """Drop the reports of the former role after a change of hubs."""
        hub = self.context.hubs.own
        if hub == self.hub:
            return
        self.hub = hub
        self.relay = LoadRelay()
        for name in list(self.context.backends.peer_loads):
            if name != hub:
                self.context.backends.remove_peer(name)

    def _report_as_member(self) -> None:
        link = self.context.peer_links.get(self.hub)
        if link is None:
            return
        pool = self.context.backends
        self.last_group = pool.loads()
        link.send(LoadNotice(self.last_group, pool.pop_new_prefixes()))

    def _report_as_hub(self) -> None:
        pool, links = self.context.backends, self.context.peer_links
        own = pool.loads()
        self.relay.add_parts(pool.pop_new_prefixes())
        self.last_group = self.relay.group(own)
        parts = self.relay.pop_parts_for_hubs()
        summary = encode(LoadSummary(True, self.last_group, parts))
        for name in self.context.hubs.others():
            links[name].send_encoded(summary)
        parts = self.relay.pop_parts_for_members()
        for name, loads in self.relay.for_members(own):
            if name in links:
                links[name].send(LoadSummary(False, loads, parts))
