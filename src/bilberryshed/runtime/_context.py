"""Shared state of the components of a router."""

from typing import Any

from bilberryshed.coordination import GrantBook, Members, QuarantinePolicy, Rollout, Routing
from bilberryshed.state import QUARANTINE, Platform, RouterSettings
from bilberryshed.transport import (
    BackgroundTasks,
    Link,
    Metrics,
    QuarantineExchange,
    QuarantinePorts,
    TimerService,
    new_boot_id,
)

QUARANTINE_POLICY = QuarantinePolicy(window=600.0, first_block=3_600.0, max_block=3_600.0)


class RouterContext:
    """Settings, platform ports, decision state and links of one router."""

    def __init__(self, settings: RouterSettings, platform: Platform) -> None:
        self.settings = settings
        self.boot = new_boot_id(settings.name)
        self.timers = TimerService()
        self.metrics = Metrics(settings.statsd, "bilberryshed.router")
        self.tables = platform.tables
        self.objects = platform.objects
        self.vm_list = platform.vm_list
        self.members = Members(settings.name, settings.zone)
        self.rollout = Rollout()
        self.routing = Routing(settings.policy)
        self.grant_book = GrantBook(self.boot)
        self.peer_links: dict[str, Link] = {}
        self.agent_links: dict[str, Link] = {}
        self.draining = False
        self.spawn = BackgroundTasks().spawn
        self.quarantine = QuarantineExchange(self._quarantine_ports(), QUARANTINE_POLICY)

    def send_to_peer(self, name: str, message: Any) -> bool:
        """Send a message to another router; returns whether a link queued it."""
        link = self.peer_links.get(name)
        return link is not None and link.send(message)

    def broadcast(self, message: Any) -> None:
        """Send a message to all linked routers."""
        for name in self.members.routers():
            self.send_to_peer(name, message)

    def _quarantine_ports(self) -> QuarantinePorts:
        return QuarantinePorts(
            name=self.settings.name,
            tables=self.tables,
            table=QUARANTINE,
            store_clock=self.timers.wall_time,
            store_epoch=lambda: 0,  # this table service reports no epoch
            routers=self.members.routers,
            broadcast=self.broadcast,
            spawn=self.spawn,
            timers=self.timers,
            metrics=self.metrics,
        )
