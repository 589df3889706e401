"""Messages between the gateways of a deployment."""

from dataclasses import dataclass

from bilberryshed.protocol._codec import register_message
from bilberryshed.protocol._messages import Transfer


@register_message(50)
@dataclass(slots=True, frozen=True)
class Holding:
    """Prepaid tokens of one customer that a gateway holds.

    :param free: tokens that are neither spent nor reserved
    :param rate: demand during the last seconds, in tokens per second
    """

    customer: str
    free: int
    rate: float


@register_message(51)
@dataclass(slots=True, frozen=True)
class HoldingsNotice:
    """Report of the prepaid tokens that the sender holds.

    :param draining: whether the sender is draining
    :param store_up: whether the store responds to the sender
    """

    holdings: tuple[Holding, ...]
    draining: bool
    store_up: bool


@register_message(56)
@dataclass(slots=True, frozen=True)
class RouteTableVersion:
    """Announcement of the version of the sender's active route table."""

    version: int


@register_message(57)
@dataclass(slots=True, frozen=True)
class RouteTableRequest:
    """Request for a peer's active route table.

    :param known: version of the sender's active table, -1 for none
    """

    known: int


@register_message(110)
@dataclass(slots=True, frozen=True)
class RouteTableResponse:
    """Response to :class:`RouteTableRequest` with the sender's active table.

    :param version: version of the table
    :param data: stored bytes of the table, compressed with zlib
    """

    version: int
    data: bytes


@register_message(54)
@dataclass(slots=True, frozen=True)
class BackendEntry:
    """The registry entry of a backend server, as stored."""

    id: str
    data: bytes


@register_message(84)
@dataclass(slots=True, frozen=True)
class BackendsRequest:
    """Request of a gateway that cannot reach the store for a :class:`BackendsNotice`."""


@register_message(55)
@dataclass(slots=True, frozen=True)
class BackendsNotice:
    """Report of the backend servers that the sender knows."""

    entries: tuple[BackendEntry, ...]


@register_message(70)
@dataclass(slots=True, frozen=True)
class PoolChange:
    """Change of a customer's token pool that one gateway requests.

    Applying it late or twice is safe: an excessive grant can be used only by the incarnation that
    received it, an incarnation is closed only once, and tokens are returned only while the row has
    the stamp at which they were debited.

    :param boot: boot id of an incarnation, which is one run of a gateway's process
    :param take: tokens to grant to it, as far as available; negative to return tokens
    :param stamp: epoch and revision that the row must have for tokens to be returned
    :param used: upper bound on the tokens that it used if it has ended, ``None`` while it runs
    """

    customer: str
    boot: str
    take: int
    stamp: int = 0
    used: int | None = None


@register_message(74)
@dataclass(slots=True, frozen=True)
class PoolRequest:
    """Request for changes of pools, sent to their coordinator.

    :param ask: id of this request
    """

    ask: str
    changes: tuple[PoolChange, ...]


@register_message(71)
@dataclass(slots=True, frozen=True)
class PoolHolder:
    """Tokens granted to one incarnation of a gateway."""

    boot: str
    tokens: int


@register_message(78)
@dataclass(slots=True, frozen=True)
class PoolRestoration:
    """State of a pool that the store brought back from a copy, until all gateways confirm it.

    :param epoch: epoch of the store in which this began; a further restore before its end continues
        it
    :param base: stamp of the row that it is restored from
    :param base_closed: tokens that this row counts as used by incarnations that have ended
    :param started_at: clock of the store at the start, in seconds
    :param unconfirmed: boot ids of holders whose grants are those of that row
    :param withheld: tokens that may have been granted after the copy was made; ``None`` as long as
        no token is granted
    """

    epoch: int
    base: int
    base_closed: int
    started_at: float
    unconfirmed: tuple[str, ...]
    withheld: int | None = None


@register_message(72)
@dataclass(slots=True, frozen=True)
class PoolState:
    """A customer's token pool, as stored.

    :param epoch: epoch of the store in which the row was written
    :param revision: number of its writes so far
    :param closed: tokens used by incarnations that have ended
    """

    customer: str
    epoch: int
    revision: int
    closed: int
    holders: tuple[PoolHolder, ...]
    restoration: PoolRestoration | None


@register_message(73)
@dataclass(slots=True, frozen=True)
class PoolResponse:
    """Response to :class:`PoolRequest`: pools after the change, except those where it failed."""

    ask: str
    pools: tuple[PoolState, ...]


@register_message(75)
@dataclass(slots=True, frozen=True)
class ServerLoad:
    """Load that one gateway has placed on a backend server.

    :param running: requests in flight
    :param work: tokens of these requests, with output tokens weighted
    :param unread: prompt tokens of these requests that are not yet prefilled
    """

    server: str
    running: int
    work: int
    unread: int


@register_message(77)
@dataclass(slots=True, frozen=True)
class PrefixSent:
    """A shared prompt prefix that a backend server has begun to cache.

    :param part: id of the prefix
    """

    server: str
    part: str


@register_message(76)
@dataclass(slots=True, frozen=True)
class LoadNotice:
    """Report of the sender's load on backend servers; it has none on those that are not listed.

    :param parts: prefixes sent since the last notice to servers not known to cache them
    """

    loads: tuple[ServerLoad, ...]
    parts: tuple[PrefixSent, ...]


@register_message(79)
@dataclass(slots=True, frozen=True)
class LoadSummary:
    """Sum of the loads of several gateways, relayed by a hub; replaces the sender's last summary.

    :param is_group: whether it covers the sender's group, for another hub, or else all gateways but
        the receiver, for a member of the sender's group
    :param parts: as in :class:`LoadNotice`
    """

    is_group: bool

    loads: tuple[ServerLoad, ...]
    parts: tuple[PrefixSent, ...]


@register_message(99)
@dataclass(slots=True, frozen=True)
class AccountsClosed:
    """Report that the sender has closed its accounts in all pools, and ends.

    :param boot: boot id of the sender
    """

    boot: str


@register_message(80)
@dataclass(slots=True, frozen=True)
class LinkProbe:
    """Request for a :class:`LinkProbeReply`, sent on an idle link."""


@register_message(81)
@dataclass(slots=True, frozen=True)
class LinkProbeReply:
    """Reply to :class:`LinkProbe`: the link and its peer work."""


@register_message(85)
@dataclass(slots=True, frozen=True)
class TransfersSettled:
    """Report that the sender never again sends certain transfers to the receiver.

    :param below: lowest number of a transfer that it may still send
    """

    below: int


@register_message(82)
@dataclass(slots=True, frozen=True)
class LoanRequest:
    """Request of a gateway to its hub for the tokens of one request.

    :param ask: id of this request
    :param tokens: maximum number of tokens that the caller's request can use
    :param prepaid: total of the customer's prepaid tokens in the sender's route table
    """

    ask: str
    customer: str
    tokens: int
    prepaid: int


@register_message(83)
@dataclass(slots=True, frozen=True)
class LoanResponse:
    """Response to :class:`LoanRequest`.

    :param transfer: the tokens, ``None`` if the hub cannot get hold of them
    :param shortage: the reason in this case, empty otherwise
    """

    ask: str
    transfer: Transfer | None
    shortage: str
