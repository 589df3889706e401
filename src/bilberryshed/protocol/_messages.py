"""Messages on links between routers and agents, and between routers.

Every message about an attempt carries its attempt id; frames also carry a sequence number.
Amounts are in tokens, times in seconds.
"""

from dataclasses import dataclass

from bilberryshed.protocol._bills import Charge, UsageRecord
from bilberryshed.protocol._codec import register_message

# Any link -----------------------------------------------------------------------------------


@register_message(10)
@dataclass(slots=True, frozen=True)
class Hello:
    """First message in each direction of a link.

    :param name: VM name of the sender
    :param boot: id of this start of the process
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
    """Sent on an idle link.

    :param draining: whether the sender has stopped taking new work
    :param sheet_version: highest sheet version that the sender has seen
    """

    draining: bool
    sheet_version: int


# Router to agent ----------------------------------------------------------------------------


@register_message(20)
@dataclass(slots=True, frozen=True)
class Dispatch:
    """Run one attempt.

    :param attempt: attempt id, unique for all time
    :param request: request id, shown to the backend server
    :param customer: customer name
    :param budget: budget name
    :param key: idempotency key
    :param service: service name
    :param model: model and version, empty for a plain service
    :param idempotent: whether the request may be run again
    :param parts: reserved tokens by grant; their sum bounds what may be used
    :param price: tokens for a call of a plain service, 0 for a model
    :param method: HTTP method for the backend server
    :param path: HTTP path for the backend server
    :param body: HTTP body for the backend server
    :param priority: lower runs earlier
    :param deadline: seconds that the attempt may take
    :param alone: whether nothing else may run on the backend server meanwhile
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
    """Stop an attempt whose caller has left."""

    attempt: str


@register_message(22)
@dataclass(slots=True, frozen=True)
class AttemptQuery:
    """Ask what became of attempts; an unknown one will never start afterwards."""

    attempts: tuple[str, ...]


@register_message(23)
@dataclass(slots=True, frozen=True)
class RecordsCommitted:
    """Records that the ledger holds, so that the agent may forget them."""

    attempts: tuple[str, ...]


@register_message(24)
@dataclass(slots=True, frozen=True)
class Revoke:
    """Boot ids whose work is refused from now on."""

    boots: tuple[str, ...]


@register_message(25)
@dataclass(slots=True, frozen=True)
class Order:
    """Order to the backend server.

    :param number: fencing number of the lease under which it is given
    :param kind: ``load`` or ``unload``
    :param model: model and version
    """

    number: int
    kind: str
    model: str


@register_message(26)
@dataclass(slots=True, frozen=True)
class OrderResult:
    """What became of an order.

    :param done: whether the backend server has carried it out
    :param reason: why not, in words
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
    :param content_type: content type of the answer
    """

    attempt: str
    status: int
    content_type: str


@register_message(31)
@dataclass(slots=True, frozen=True)
class Chunk:
    """One piece of an answer.

    :param sequence: position among the chunks of this attempt, from 0
    :param data: bytes of the answer
    """

    attempt: str
    sequence: int
    data: bytes


@register_message(32)
@dataclass(slots=True, frozen=True)
class Completed:
    """The answer is whole.

    :param chunks: number of chunks sent
    :param digest: XXH3-128 of all their data
    :param finish: reason that the backend server gave
    :param prompt_tokens: tokens read
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

    :param reason: why, in words
    :param code: a refusal code
    """

    attempt: str
    code: str
    reason: str


@register_message(34)
@dataclass(slots=True, frozen=True)
class Failed:
    """The attempt started and will give no whole answer.

    :param reason: why, in words
    :param crashed: whether the backend server crashed
    """

    attempt: str
    reason: str
    crashed: bool


@register_message(35)
@dataclass(slots=True, frozen=True)
class LoadReport:
    """What the agent knows of its backend server.

    :param services: plain services served
    :param models: models and versions loaded
    :param running: attempts running
    :param slots: attempts that it runs at once
    :param draining: whether new work is refused
    :param healthy: whether the backend server answers
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
    """A usage record that no router has confirmed as kept.

    :param answer: body of a non-idempotent call, so that a retry can be given it
    """

    record: UsageRecord
    idempotent: bool
    status: int
    content_type: str
    answer: bytes


@register_message(38)
@dataclass(slots=True, frozen=True)
class Recorded:
    """Answer to a query: the ledger holds a record of this attempt."""

    attempt: str


@register_message(37)
@dataclass(slots=True, frozen=True)
class RevokeAck:
    """Boot ids that this agent refuses and none of whose work is unsettled."""

    boots: tuple[str, ...]


# Router to router ---------------------------------------------------------------------------


@register_message(40)
@dataclass(slots=True, frozen=True)
class FundsRequest:
    """Ask a holder for part of a budget.

    :param ask: id of this question
    :param customer: customer name
    :param budget: budget name
    :param tokens: tokens lacking
    :param wanted: tokens that would cover the asker's forecast, at least ``tokens``
    :param recall: whether to give only what is in hand, without asking the table service
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
    """Answer to :class:`FundsRequest`.

    :param tokens: tokens transferred; 0 if none can be had
    :param transfers: transfers that carry them
    :param reserved: tokens held for running requests, some of which may be released
    :param exhausted: whether nothing more can be had from the sender: neither from its hand nor,
        where it asked the store, from there
    :param granted: tokens that the sender knows to have been granted by the store, 0 where it does
        not tell
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
    """Tokens already debited at the sender, to be credited once at the receiver.

    :param transfer: id of the transfer, and of the receiver's grant
    :param source: grant row in the table service that still contains the amount
    :param customer: customer name
    :param budget: budget name
    :param tokens: tokens moved
    """

    transfer: str
    source: str
    customer: str
    budget: str
    tokens: int


@register_message(43)
@dataclass(slots=True, frozen=True)
class TransferAck:
    """Transfers that the receiver has credited."""

    transfers: tuple[str, ...]


@register_message(44)
@dataclass(slots=True, frozen=True)
class LedgerAppendRequest:
    """Usage records for the writer of a ledger shard."""

    offer: str
    shard: int
    records: tuple[UsageRecord, ...]


@register_message(45)
@dataclass(slots=True, frozen=True)
class LedgerAppendResponse:
    """For each offered bill id, the record that the ledger holds."""

    offer: str
    kept: tuple[UsageRecord, ...]


@register_message(47)
@dataclass(slots=True, frozen=True)
class QuarantineNotice:
    """Standing of a content that was running when a backend server crashed.

    :param content: fingerprint
    :param standing: ``suspect``, ``convicted``, or ``clear`` for one that ran to its end
    :param until: seconds since the epoch at which it expires
    """

    content: str
    standing: str
    until: float


@register_message(46)
@dataclass(slots=True, frozen=True)
class SheetNotice:
    """A sheet version in force.

    :param version: sheet version
    :param digest: SHA-256 of the sheet, hexadecimal
    :param content: the sheet itself
    """

    version: int
    digest: str
    content: bytes
