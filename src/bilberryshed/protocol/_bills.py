"""Charges and usage records, the content of the ledger."""

from collections.abc import Iterable
from dataclasses import dataclass

from bilberryshed.protocol._codec import register_message


@register_message(1)
@dataclass(slots=True, frozen=True)
class Charge:
    """Tokens of one grant that are reserved or billed.

    :param grant: grant id
    :param tokens: tokens, at least 0
    """

    grant: str
    tokens: int


@register_message(2)
@dataclass(slots=True, frozen=True)
class UsageRecord:
    """Usage of one finished request; the ledger stores one record for each bill id.

    :param customer: customer name
    :param budget: budget name within the customer
    :param key: idempotency key; with ``customer`` it forms the bill id
    :param request: request id
    :param attempt: id of the attempt that ran
    :param service: service name
    :param model: model and version, empty for a plain service
    :param tokens: tokens billed
    :param charges: distribution of ``tokens`` over grants
    :param finished_at: seconds since the epoch
    """

    customer: str
    budget: str
    key: str
    request: str
    attempt: str
    service: str
    model: str
    tokens: int
    charges: tuple[Charge, ...]
    finished_at: float

    @property
    def bill_id(self) -> str:
        """Deduplication key: a request is billed at most once under its bill id."""
        return bill_id(self.customer, self.key)


def bill_id(customer: str, key: str) -> str:
    """Return the bill id of a customer's request."""
    return f"{customer}/{key}"


def allocate_tokens(reservations: Iterable[Charge], tokens: int) -> tuple[Charge, ...]:
    """Allocate used tokens to reservations, in the order of the reservations.

    :param reservations: tokens reserved from each grant
    :param tokens: tokens used
    :raises ValueError: if more tokens were used than reserved
    """
    remaining = tokens
    charges: list[Charge] = []
    for reservation in reservations:
        charged = min(reservation.tokens, remaining)
        if charged > 0:
            charges.append(Charge(reservation.grant, charged))
        remaining -= charged
    if remaining > 0:
        raise ValueError(f"{tokens} tokens exceed the reservation by {remaining}")
    return tuple(charges)
