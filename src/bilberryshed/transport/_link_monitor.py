"""Detection of links that have gone silent, at a cost that is bounded for many links."""

from collections.abc import Callable, Iterable
from typing import Any

from bilberryshed.protocol import LinkProbe, LinkProbeReply
from bilberryshed.transport._links import Link
from bilberryshed.transport._logs import logger
from bilberryshed.transport._timers import TimerService

CHECK_INTERVAL = 0.5  # seconds between checks of all links
PRIMARY_PROBE_INTERVAL = 1.0  # seconds without a message, then a link in constant use is probed
MAX_PROBE_RATE = 8.0  # probes per second of one process on all other links
PROBE_TIMEOUT = 2.0  # responsive seconds without a message after a probe, then a link is closed


def probe_interval(links: int) -> float:
    """Return the seconds without a message after which one of so many links is probed."""
    return max(PRIMARY_PROBE_INTERVAL, links / MAX_PROBE_RATE)


class LinkMonitor:
    """Probes idle links and closes those that do not reply.

    A connection may go silent without a reset, so only a missing reply reveals it. One timer serves
    all links. Any message counts as a reply, so links in use are not probed.

    :param links: returns the established links
    :param is_primary: whether a link is in constant use, so that its loss must be detected soon
    """

    __slots__ = ("links", "is_primary")

    def __init__(
        self, links: Callable[[], Iterable[Link]], is_primary: Callable[[Link], bool]
    ) -> None:
        self.links = links
        self.is_primary = is_primary

    def start(self, timers: TimerService) -> None:
        """Subscribe to the timers."""
        timers.subscribe(CHECK_INTERVAL, lambda now: self.check(timers.responsive_time()))

    def handlers(self) -> dict[type, Callable[[Link, Any], object]]:
        """Return the message handlers by message class; both ends of a link need them."""
        return {
            LinkProbe: lambda link, probe: link.send(LinkProbeReply()),
            LinkProbeReply: lambda link, reply: None,
        }

    def check(self, now: float) -> None:
        """Probe idle links, and close links whose probe was not answered.

        :param now: responsive time in seconds, so that replies which wait to be read count
        """
        links = list(self.links())
        interval = probe_interval(len(links))
        for link in links:
            if link.probed_at is not None:
                if now - link.probed_at >= PROBE_TIMEOUT:
                    logger().warning("link_silent", peer=link.peer.name)
                    link.abort()
                continue
            limit = PRIMARY_PROBE_INTERVAL if self.is_primary(link) else interval
            if now - link.received_at >= limit:
                link.send_probe()
