"""Messages between routers about limits that backend servers name."""

from dataclasses import dataclass

from bilberryshed.protocol._codec import register_message


@register_message(91)
@dataclass(slots=True, frozen=True)
class LimitNotice:
    """Report of a limit that a backend server has named, changed or ended.

    :param server: incarnation of the backend server
    :param limit: requests per second from all routers together, ``None`` if the limit has ended
    :param age: seconds since that was known
    """

    server: str
    limit: float | None
    age: float


@register_message(92)
@dataclass(slots=True, frozen=True)
class LimitSummary:
    """All limits in force that the sender knows."""

    limits: tuple[LimitNotice, ...]


@register_message(93)
@dataclass(slots=True, frozen=True)
class PermitRequest:
    """Request to the coordinator of a backend server for the permit to send one request.

    :param ask: id of this request
    :param limit: limit as the sender knows it
    """

    ask: str
    limit: LimitNotice


@register_message(94)
@dataclass(slots=True, frozen=True)
class PermitResponse:
    """Response to :class:`PermitRequest`.

    :param granted: whether a permit was issued
    :param wait: seconds until it is valid, or until the sender of the request may ask again
    """

    ask: str
    granted: bool
    wait: float
