"""Messages between routers about requests that crash backend servers."""

from dataclasses import dataclass

from bilberryshed.protocol._codec import register_message


@register_message(86)
@dataclass(slots=True, frozen=True)
class CrashedRun:
    """A run of a request that ended because its backend server seems to have crashed.

    :param run: id of the run
    :param server: identifies the incarnation of the backend server, which crashes only once
    :param content: fingerprint of the request's content
    :param parts: ids of the parts of its prompt that may be the cause, in order
    :param alone: whether no other request ran there
    :param age: seconds since the crash
    """

    run: str
    server: str
    content: str
    parts: tuple[str, ...]
    alone: bool
    age: float


@register_message(87)
@dataclass(slots=True, frozen=True)
class CrashReport:
    """Report of runs that crashes have ended at the sender."""

    runs: tuple[CrashedRun, ...]


@register_message(88)
@dataclass(slots=True, frozen=True)
class ClearNotice:
    """Report that backend servers answer requests with suspected contents or parts.

    :param age: seconds since the youngest of these answers was begun
    """

    contents: tuple[str, ...]
    parts: tuple[str, ...]
    age: float


@register_message(89)
@dataclass(slots=True, frozen=True)
class BlockNotice:
    """A block of requests that have a certain content, or all of certain parts.

    :param content: fingerprint of the blocked content, empty if parts are blocked
    :param parts: ids of the blocked parts
    :param remaining: seconds until the block expires; negative if it has expired
    :param level: number of times that the block was imposed
    :param crash_age: seconds since the last crash that it is based on
    """

    content: str
    parts: tuple[str, ...]
    remaining: float
    level: int
    crash_age: float


@register_message(90)
@dataclass(slots=True, frozen=True)
class QuarantineSummary:
    """All recent crashes and blocks that the sender knows."""

    runs: tuple[CrashedRun, ...]
    blocks: tuple[BlockNotice, ...]
