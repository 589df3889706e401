"""Messages between the gateways of a deployment."""

from dataclasses import dataclass

from bilberryshed.protocol._codec import register_message


@register_message(50)
@dataclass(slots=True, frozen=True)
class Holding:
    """What a gateway has in hand of one customer's prepaid tokens.

    :param free: tokens that may still be reserved
    :param rate: demand of the last seconds, in tokens a second
    """

    customer: str
    free: int
    rate: float


@register_message(51)
@dataclass(slots=True, frozen=True)
class HoldingsNotice:
    """Tells a peer what the sender has in hand.

    :param store_up: whether the store answers the sender
    """

    holdings: tuple[Holding, ...]
    draining: bool
    store_up: bool


@register_message(56)
@dataclass(slots=True, frozen=True)
class RouteTableVersion:
    """Tells a peer which route table is in force at the sender."""

    version: int


@register_message(57)
@dataclass(slots=True, frozen=True)
class RouteTableRequest:
    """Asks a peer for the route table in force there."""

    known: int


@register_message(52)
@dataclass(slots=True, frozen=True)
class RouteTableResponse:
    """Passes a route table on to a peer that asked, as the store holds it.

    :param version: version of the table
    :param data: the store's bytes
    """

    version: int
    data: bytes


@register_message(53)
@dataclass(slots=True, frozen=True)
class CrashNotice:
    """A run of a request broke before its first event.

    :param fingerprint: identifies requests of the same content
    :param run: identifies the run
    """

    fingerprint: str
    run: str


@register_message(54)
@dataclass(slots=True, frozen=True)
class BackendEntry:
    """The entry of a backend server, as the store holds it."""

    id: str
    data: bytes


@register_message(55)
@dataclass(slots=True, frozen=True)
class BackendsNotice:
    """Tells a peer that has just linked which backend servers the sender knows."""

    entries: tuple[BackendEntry, ...]


@register_message(70)
@dataclass(slots=True, frozen=True)
class PoolChange:
    """What one gateway asks for of a customer's pool.

    It may be applied late or twice: too large a grant can only be used by the lifetime that it was
    made to, a lifetime is closed once, and tokens are given back only while the row has the version
    at which they were debited.

    :param boot: lifetime of a gateway
    :param take: tokens to be granted to it, as far as there are any; negative to give back
    :param version: version that the row must have for tokens to be given back
    :param used: bound on the tokens that it used if it has ended, ``None`` while it lives
    """

    customer: str
    boot: str
    take: int
    version: int = 0
    used: int | None = None


@register_message(74)
@dataclass(slots=True, frozen=True)
class PoolRequest:
    """Asks a coordinator to change pools.

    :param ask: id of this question
    """

    ask: str
    changes: tuple[PoolChange, ...]


@register_message(71)
@dataclass(slots=True, frozen=True)
class PoolHolder:
    """Tokens granted to one lifetime of a gateway."""

    boot: str
    tokens: int


@register_message(72)
@dataclass(slots=True, frozen=True)
class PoolState:
    """A customer's pool as the store keeps it.

    :param version: version of the row
    :param closed: tokens used by lifetimes that have ended
    """

    customer: str
    version: int
    closed: int
    holders: tuple[PoolHolder, ...]


@register_message(73)
@dataclass(slots=True, frozen=True)
class PoolResponse:
    """Answer to :class:`PoolRequest`: the pools after the change, without those it failed for."""

    ask: str
    pools: tuple[PoolState, ...]


@register_message(75)
@dataclass(slots=True, frozen=True)
class ServerLoad:
    """What one gateway has at a backend server.

    :param running: requests
    :param work: their tokens, outputs weighted
    :param unread: tokens of their prompts that are still to be read
    """

    server: str
    running: int
    work: int
    unread: int


@register_message(77)
@dataclass(slots=True, frozen=True)
class PrefixSent:
    """Shared parts of prompts that a backend server has begun to keep.

    :param part: identifies the parts
    """

    server: str
    part: str


@register_message(76)
@dataclass(slots=True, frozen=True)
class LoadNotice:
    """Tells a peer what the sender has at backend servers; nothing at those left out.

    :param parts: what was sent since the last notice to servers not known to keep it
    """

    loads: tuple[ServerLoad, ...]
    parts: tuple[PrefixSent, ...]
