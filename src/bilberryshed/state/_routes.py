"""The route table: hosts, paths, services, customers and limits of requests."""

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """Retry safety of the requests on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class ServiceShare:
    """One service of a route with its share of the traffic.

    :param weight: share, relative to the other weights of the route
    """

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """A route: requests that it matches, their services and how they are forwarded.

    :param prefix: path prefix, with a slash at both ends
    :param attempts: maximum number of backend servers to which one request is sent
    :param timeout: deadline of the response, in seconds from the request
    :param latency_target: seconds within which a response has its full value
    :param priority: 0 is the highest priority
    :param anonymous: whether requests are accepted without a customer key
    :param resumable: whether an interrupted stream may be resumed on another backend server
    :param regions: the only regions whose backend servers may serve it; ``None`` for all
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
    regions: frozenset[str] | None = None

    @property
    def retryable(self) -> bool:
        """Whether a request that may have been executed may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(slots=True, frozen=True)
class RoutedService:
    """A service as defined by the route table.

    :param max_connections: connections that one backend server accepts from all callers together
    :param is_model: whether its backend servers generate tokens
    :param slots: requests that one model engine runs concurrently, 0 for a plain service
    :param cache_tokens: tokens that fit into the memory of one engine, 0 for a plain service
    :param tokens_per_event: maximum number of tokens in one event of a stream
    :param cold_time: seconds for which a backend server is cold after its start
    :param cold_rate: requests per second that a cold backend server tolerates, 0 for no limit
    """

    name: str
    health_path: str
    max_connections: int
    is_model: bool
    slots: int = 0
    cache_tokens: int = 0
    tokens_per_event: int = 1
    cold_time: float = 0.0
    cold_rate: float = 0.0


@dataclass(slots=True, frozen=True)
class RoutedCustomer:
    """A customer as defined by the route table.

    :param keys: keys that authenticate its requests
    :param priority: overrides the priority of a route; ``None`` to use that of the route
    :param prepaid: total of the tokens that it may use; ``None`` for no limit
    :param regions: the only regions whose backend servers may serve it; ``None`` for all
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    prepaid: int | None
    regions: frozenset[str] | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits of requests from callers; sizes in bytes, times in seconds."""

    header_bytes: int = 65_536
    body_bytes: int = 4_194_304
    header_timeout: float = 5.0
    idle_timeout: float = 15.0


@dataclass(slots=True, frozen=True)
class RouteTable:
    """One version of the complete route table.

    :param requires_keys: whether requests on routes that are not anonymous need a customer key
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

    :param id: id, unique among running backend servers
    :param started_at_ms: time of its start in milliseconds since the epoch, 0 if unknown
    :param sequence: increased with every entry that it writes
    :param version: version of its software; streams of different versions cannot be joined
    :param slots: requests that it runs concurrently
    :param cold_ms: milliseconds for which it stays cold after it wrote the entry, ``None`` if the
        entry has an unreadable value
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    started_at_ms: int = 0
    sequence: int = 0
    version: str = ""
    cold_ms: int | None = 0

    @property
    def incarnation(self) -> str:
        """Identifies this start of it, as the same id may be used again."""
        return f"{self.id}/{self.started_at_ms}"
