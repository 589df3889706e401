"""Blocks of requests that crash backend servers, and their expiry."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from bilberryshed.coordination._rendezvous import rank

PROBE_TIME = 30.0  # seconds in which the request that is let through ends
DOUBT_PROBE_TIME = 3.0  # seconds until the next one is let through while the block is in doubt
IN_DOUBT = 0  # level of a block of parts that were answered before the crashes
PROBE_STEP = 1.0  # seconds between the turns of two routers to let a request through


class QuarantineState(StrEnum):
    """State of a request with regard to crashes."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    BLOCKED = "convicted"


@dataclass(slots=True, frozen=True)
class QuarantinePolicy:
    """Durations, in seconds.

    :param window: time for which a crash counts
    :param doubtful_block: duration of a block of parts that were answered before the crashes
    :param first_block: duration of the first block; each further one is twice as long
    :param max_block: longest duration of a block
    """

    window: float = 60.0
    doubtful_block: float = 0.3
    first_block: float = 300.0
    max_block: float = 3_600.0

    def duration(self, level: int) -> float:
        """Return the duration of the block that is imposed for the ``level``-th time."""
        if level == IN_DOUBT:
            return self.doubtful_block
        return min(self.max_block, self.first_block * 2.0 ** (level - 1))


@dataclass(slots=True, frozen=True)
class Suspect:
    """What requests have in common that may crash backend servers.

    :param content: fingerprint of a content, empty for parts
    :param parts: ids of parts, which only together are suspected; empty for a content
    """

    content: str = ""
    parts: frozenset[str] = frozenset()

    def matches(self, content: str, parts: Collection[str]) -> bool:
        """Whether a request has this content or all of these parts."""
        if self.content:
            return self.content == content
        return self.parts.issubset(parts)

    @property
    def key(self) -> str:
        """Text that identifies it."""
        return self.content or ",".join(sorted(self.parts))


@dataclass(slots=True)
class Block:
    """Block of the requests that match a suspect.

    :param until: time in seconds at which it expires
    :param level: number of times that it was imposed, ``IN_DOUBT`` until a request that is let
        through has crashed, too
    :param crashed_at: time in seconds of the last crash that it is based on
    :param crashes: ids of the crashes that it is based on, as far as this router knows them
    :param is_adopted: whether it was learned as such, so that not all of its crashes are known
    :param probing: whether a request was let through after it had expired
    :param probed_at: time in seconds at which it was let through last
    """

    suspect: Suspect
    until: float
    level: int
    crashed_at: float
    crashes: set[str] = field(default_factory=set)
    is_adopted: bool = False
    probing: bool = False
    probed_at: float = float("-inf")

    @property
    def is_in_doubt(self) -> bool:
        """Whether the crashes may be a coincidence, as its parts were answered before."""
        return self.level == IN_DOUBT

    def start_probe(self, now: float) -> None:
        """Record that a request is let through, so that all others wait for its end."""
        self.until = now + (DOUBT_PROBE_TIME if self.is_in_doubt else PROBE_TIME)
        self.probed_at = now
        self.probing = True


def probe_delay(suspect: Suspect, name: str, names: Iterable[str]) -> float:
    """Return the seconds after the expiry of a block until a router may let a request through.

    :param names: all routers, including this one
    """
    return PROBE_STEP * rank(f"probe {suspect.key}", names).index(name)
