"""The route table in force: hosts, paths, services, customers and caller limits."""

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class ServiceShare:
    """One service of a route and its share of the traffic.

    :param weight: share, relative to the other weights of the route
    """

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """One route.

    :param prefix: path prefix, with a slash at both ends
    :param attempts: backend servers to which one request may be sent at most
    :param timeout: seconds until a request must have its answer
    :param latency_target: seconds within which an answer earns its full worth
    :param priority: 0 is served first
    :param anonymous: whether requests carry no customer key
    :param resumable: whether a broken stream may go on at another backend server
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    attempts: int
    timeout: float
    latency_target: float
    priority: int
    anonymous: bool
    resumable: bool

    @property
    def retryable(self) -> bool:
        """Whether a request that may have run may be sent once more."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(slots=True, frozen=True)
class RoutedService:
    """A service as the route table describes it.

    :param max_connections: channels that one backend server accepts from all callers
    :param is_model: whether its backend servers generate tokens
    :param slots: requests that one model engine runs at once, 0 for a plain service
    :param cache_tokens: tokens that fit into one engine's memory, 0 for a plain service
    :param tokens_per_event: most tokens in one event of a stream
    """

    name: str
    health_path: str
    max_connections: int
    is_model: bool
    slots: int = 0
    cache_tokens: int = 0
    tokens_per_event: int = 1


@dataclass(slots=True, frozen=True)
class RoutedCustomer:
    """A customer of the route table.

    :param keys: keys that identify it
    :param priority: goes before the priority of a route; ``None`` leaves that of the route
    :param prepaid: tokens that it may use in all; ``None`` for no limit
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    prepaid: int | None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """What callers may send; sizes in bytes, times in seconds."""

    header_bytes: int = 65_536
    body_bytes: int = 4_194_304
    header_timeout: float = 5.0
    idle_timeout: float = 15.0


@dataclass(slots=True, frozen=True)
class RouteTable:
    """One version of the whole table.

    :param requires_keys: whether requests on routes that are not anonymous need a key
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    customers: dict[str, RoutedCustomer]
    requires_keys: bool
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(slots=True, frozen=True)
class BackendServer:
    """A backend server as it registered itself.

    :param id: id, unique among the living
    :param started_at_ms: milliseconds since the epoch at which it started, 0 if unknown
    :param sequence: raised by every entry that it writes
    :param slots: requests that it runs at once
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    started_at_ms: int = 0
    sequence: int = 0
