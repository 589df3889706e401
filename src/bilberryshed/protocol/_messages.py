"""Messages on links between routers and agents, and between routers.

Every message about an attempt carries its attempt id; chunks also carry a sequence number.
Amounts are in tokens, times in seconds.
"""

from dataclasses import dataclass

from bilberryshed.protocol._bills import Charge, UsageRecord
from bilberryshed.protocol._codec import register_message

# Any link -----------------------------------------------------------------------------------


@register_message(10)
@dataclass(slots=True, frozen=True)
class Hello:
    """Handshake: the first message in each direction of a link.

    :param name: VM name of the sender
    :param boot: boot id, new for every start of the process
    :param role: ``router`` or ``agent``
    :param zone: availability zone of the sender
    :param secret: shared link secret, empty if none is configured
    """

    name: str
    boot: str
    role: str
    zone: str
    secret: str


@register_message(11)
@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Periodic keepalive that also reports the state of the sender.

    :param draining: whether the sender has stopped accepting new work
    :param sheet_version: highest sheet version that the sender has received
    """

    draining: bool
    sheet_version: int


# Router to agent ----------------------------------------------------------------------------


@register_message(20)
@dataclass(slots=True, frozen=True)
class Dispatch:
    """Request to execute one attempt.

    :param attempt: attempt id, never reused
    :param request: request id, forwarded to the backend server
    :param customer: customer name
    :param budget: budget name
    :param key: idempotency key
    :param service: service name
    :param model: model and version, empty for a plain service
    :param idempotent: whether the request may be executed more than once
    :param parts: tokens reserved from each grant; their sum is the limit of the usage
    :param price: tokens billed for a call of a plain service, 0 for a model
    :param method: HTTP method for the backend server
    :param path: HTTP path for the backend server
    :param body: HTTP body for the backend server
    :param priority: scheduling priority, lower values first
    :param deadline: time limit of the attempt in seconds
    :param alone: whether no other attempt may run on the backend server at the same time
    """

    attempt: str
    request: str
    customer: str
    budget: str
    key: str
    service: str
    model: str
    idempotent: bool
    parts: tuple[Charge, ...]
    price: int
    method: str
    path: str
    body: bytes
    priority: int
    deadline: float
    alone: bool


@register_message(21)
@dataclass(slots=True, frozen=True)
class Cancel:
    """Request to stop an attempt whose caller has disconnected."""

    attempt: str


@register_message(22)
@dataclass(slots=True, frozen=True)
class AttemptQuery:
    """Request for the results of attempts; the agent never starts an unknown one afterwards."""

    attempts: tuple[str, ...]


@register_message(23)
@dataclass(slots=True, frozen=True)
class RecordsCommitted:
    """Attempts whose records the ledger stores, so that the agent may delete its copies."""

    attempts: tuple[str, ...]


@register_message(24)
@dataclass(slots=True, frozen=True)
class Revoke:
    """Boot ids of routers whose attempts the agent must refuse from now on."""

    boots: tuple[str, ...]


@register_message(25)
@dataclass(slots=True, frozen=True)
class Order:
    """Order to the backend server to load or unload a model.

    :param number: fencing number of the lease under which the order is issued
    :param kind: ``load`` or ``unload``
    :param model: model and version
    """

    number: int
    kind: str
    model: str


@register_message(26)
@dataclass(slots=True, frozen=True)
class OrderResult:
    """Result of an order.

    :param done: whether the backend server has executed the order
    :param reason: human-readable reason if it has not, empty otherwise
    """

    model: str
    done: bool
    reason: str


# Agent to router ----------------------------------------------------------------------------


@register_message(30)
@dataclass(slots=True, frozen=True)
class Started:
    """The backend server has accepted the attempt.

    :param status: HTTP status of the backend server
    :param content_type: content type of the response
    """

    attempt: str
    status: int
    content_type: str


@register_message(31)
@dataclass(slots=True, frozen=True)
class Chunk:
    """One part of a response body.

    :param sequence: position among the chunks of this attempt, from 0
    :param data: bytes of the body
    """

    attempt: str
    sequence: int
    data: bytes


@register_message(32)
@dataclass(slots=True, frozen=True)
class Completed:
    """The response is complete.

    :param chunks: number of chunks sent
    :param digest: XXH3-128 of the data of all chunks
    :param finish: finish reason that the backend server reported
    :param prompt_tokens: prompt tokens processed
    :param completion_tokens: tokens generated
    :param record: usage record to be billed
    """

    attempt: str
    chunks: int
    digest: bytes
    finish: str
    prompt_tokens: int
    completion_tokens: int
    record: UsageRecord


@register_message(33)
@dataclass(slots=True, frozen=True)
class NotRun:
    """The attempt has not started and never will.

    :param reason: human-readable reason
    :param code: value of a :class:`RefusalCode`
    :param wait: seconds for which the backend server takes no other attempt either
    """

    attempt: str
    code: str
    reason: str
    wait: float = 0.0


@register_message(34)
@dataclass(slots=True, frozen=True)
class Failed:
    """The attempt started but does not produce a complete response.

    :param reason: human-readable reason
    :param crashed: whether the backend server crashed
    :param backend_boot: number of its incarnation that ran the attempt, 0 if it is not known
    """

    attempt: str
    reason: str
    crashed: bool
    backend_boot: int


@register_message(35)
@dataclass(slots=True, frozen=True)
class LoadReport:
    """State of an agent and its backend server.

    :param services: plain services served
    :param models: models and versions loaded
    :param running: attempts running
    :param slots: maximum number of attempts that run concurrently
    :param draining: whether new work is refused
    :param healthy: whether the backend server responds
    """

    services: tuple[str, ...]
    models: tuple[str, ...]
    running: int
    slots: int
    draining: bool
    healthy: bool


@register_message(36)
@dataclass(slots=True, frozen=True)
class JournalEntry:
    """A usage record that no router has acknowledged as stored in the ledger.

    :param answer: response body of a non-idempotent call, returned to retries of the call
    """

    record: UsageRecord
    idempotent: bool
    status: int
    content_type: str
    answer: bytes


@register_message(38)
@dataclass(slots=True, frozen=True)
class Recorded:
    """Response to :class:`AttemptQuery`: the ledger stores a record of this attempt."""

    attempt: str


@register_message(37)
@dataclass(slots=True, frozen=True)
class RevokeAck:
    """Boot ids that the agent refuses and that have no running attempt or unstored record left."""

    boots: tuple[str, ...]


# Router to router ---------------------------------------------------------------------------


@register_message(40)
@dataclass(slots=True, frozen=True)
class FundsRequest:
    """Request to a holder of a budget to transfer tokens to the sender.

    :param ask: id of this request
    :param customer: customer name
    :param budget: budget name
    :param tokens: shortfall of the sender in tokens
    :param wanted: tokens that would cover the sender's forecast, at least ``tokens``
    :param recall: whether to transfer only tokens already held, without a new grant from the
        table service
    """

    ask: str
    customer: str
    budget: str
    tokens: int
    wanted: int
    recall: bool


@register_message(41)
@dataclass(slots=True, frozen=True)
class FundsResponse:
    """Response to :class:`FundsRequest`.

    :param tokens: tokens transferred; 0 if none are available
    :param transfers: transfers that carry these tokens
    :param reserved: tokens reserved for running requests, some of which may be released
    :param exhausted: whether no more tokens are available from the sender: neither held ones nor,
        if it requested a grant, further ones from the store
    :param granted: tokens that the store has granted to the sender, as far as it knows; 0 if it
        does not report them
    """

    ask: str
    tokens: int
    reserved: int
    transfers: tuple["Transfer", ...]
    exhausted: bool
    granted: int = 0


@register_message(42)
@dataclass(slots=True, frozen=True)
class Transfer:
    """Tokens already debited at the sender, to be credited exactly once at the receiver.

    :param transfer: id of the transfer and of the receiver's grant
    :param source: between routers, the grant row in the table service that still contains the
        amount; between gateways, the boot id of the receiver
    :param customer: customer name
    :param budget: budget name
    :param tokens: tokens transferred
    """

    transfer: str
    source: str
    customer: str
    budget: str
    tokens: int


@register_message(43)
@dataclass(slots=True, frozen=True)
class TransferAck:
    """Acknowledgement of transfers that the receiver has credited."""

    transfers: tuple[str, ...]


@register_message(44)
@dataclass(slots=True, frozen=True)
class LedgerAppendRequest:
    """Usage records to be stored by the writer of a ledger shard.

    :param offer: id of this request
    """

    offer: str
    shard: int
    records: tuple[UsageRecord, ...]


@register_message(45)
@dataclass(slots=True, frozen=True)
class LedgerAppendResponse:
    """Response to :class:`LedgerAppendRequest`: the stored record of each submitted bill id."""

    offer: str
    kept: tuple[UsageRecord, ...]


@register_message(46)
@dataclass(slots=True, frozen=True)
class SheetNotice:
    """The sheet version that is active at the sender.

    :param version: sheet version
    :param digest: SHA-256 of the sheet, hexadecimal
    :param content: bytes of the sheet
    """

    version: int
    digest: str
    content: bytes
