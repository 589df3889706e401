"""Whether a gateway takes a request, given the load of its VM's network link.

Load pattern: callers are hashed onto gateways and keep their connections, so a customer with many
requests can fill the narrow link of one gateway while others have room. What waits in that link
misses its target, and what a full link delays arrives at backend servers that have left meanwhile.
A request that is refused at once is retried at another gateway in time.
"""

from dataclasses import dataclass

from bilberryshed.coordination.admission._link_meter import LinkMeter

USABLE_SHARE = 0.85  # of the capacity that requests may use; the rest is for bursts and the fleet
URGENT_SHARE = 0.95  # of the capacity that requests of the highest priority may use
RATE_WEIGHT = 0.1  # weight of the newest request in the moving averages of a route
FIRST_DURATION = 0.5  # seconds that a request takes, before any has ended on its route
FIRST_BYTES = 0.0  # bytes of a response, before any has ended on its route
MIN_DURATION = 0.05  # seconds


@dataclass(slots=True)
class _RouteAverages:
    """Moving averages of the requests of one route."""

    response_bytes: float = FIRST_BYTES
    duration: float = FIRST_DURATION


@dataclass(slots=True)
class LinkRequest:
    """A request that uses the link.

    :param rate: bytes per second in each direction
    """

    route: str
    size: int
    started_at: float
    rate: float
    response_bytes: int = 0


class LinkAdmission:
    """Admits requests while the link can carry them.

    :param wait_ratio: share of its latency target that a request may wait for the link
    :param committed: bytes per second in each direction that the running requests need
    """

    __slots__ = ("meter", "wait_ratio", "averages", "committed")

    def __init__(self, meter: LinkMeter, wait_ratio: float) -> None:
        self.meter = meter
        self.wait_ratio = wait_ratio
        self.averages: dict[str, _RouteAverages] = {}
        self.committed = 0.0

    def has_room(self, now: float, route: str, size: int, target: float, priority: int) -> bool:
        """Whether a request finds room on the link in time.

        :param size: bytes of the request
        :param target: latency target in seconds
        """
        if not self.wait_ratio:
            return True
        meter = self.meter
        if meter.send_wait(now) > self.wait_ratio * target:
            return False
        share = URGENT_SHARE if priority == 0 else USABLE_SHARE
        load = meter.use(now) * meter.capacity
        return load <= share * meter.capacity

    def begin(self, now: float, route: str, size: int) -> LinkRequest:
        """Reserve the rate of a request."""
        request = LinkRequest(route, size, now, self._rate(route, size))
        self.committed += request.rate
        return request

    def end(self, now: float, request: LinkRequest) -> None:
        """Release the rate of a request and learn from it."""
        self.committed = max(0.0, self.committed - request.rate)
        averages = self.averages.setdefault(request.route, _RouteAverages())
        averages.duration += RATE_WEIGHT * (now - request.started_at - averages.duration)
        if request.response_bytes:
            averages.response_bytes += RATE_WEIGHT * (
                request.response_bytes - averages.response_bytes
            )

    def _rate(self, route: str, size: int) -> float:
        averages = self.averages.get(route) or _RouteAverages()
        return 2 * (size + averages.response_bytes) / max(MIN_DURATION, averages.duration)
