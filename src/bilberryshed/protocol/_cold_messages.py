"""Messages between routers about cold backend servers."""

from dataclasses import dataclass

from bilberryshed.protocol._codec import register_message


@register_message(104)
@dataclass(slots=True, frozen=True)
class ColdNotice:
    """Report that a backend server is cold.

    :param server: incarnation of the backend server
    :param left: seconds for which it stayed cold when that was known
    :param age: seconds since that was known
    :param sequence: sequence number of the entry that says so, ``None`` if it was other news
    """

    server: str
    left: float
    age: float
    sequence: int | None


@register_message(105)
@dataclass(slots=True, frozen=True)
class ColdSummary:
    """All cold backend servers that the sender knows."""

    servers: tuple[ColdNotice, ...]


@register_message(106)
@dataclass(slots=True, frozen=True)
class ColdPermitRequest:
    """Request to the coordinator of a cold backend server for the permit to send one request.

    The response is a :class:`PermitResponse`.

    :param ask: id of this request
    :param cold: what the sender knows of the backend server
    """

    ask: str
    cold: ColdNotice
