"""Shared state of the components of a router."""

from typing import Any

from bilberryshed.coordination import GrantBook, Members, Rollout, Routing
from bilberryshed.state import Platform, RouterSettings
from bilberryshed.transport import (
    BackgroundTasks,
    Link,
    Metrics,
    TimerService,
    new_boot_id,
)


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

    def send_to_peer(self, name: str, message: Any) -> bool:
        """Send a message to another router; returns whether a link queued it."""
        link = self.peer_links.get(name)
        return link is not None and link.send(message)
