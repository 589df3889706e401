"""Requests that crash backend servers.

Everything that ran on a backend server when it crashed becomes suspect, by a fingerprint of its
content. A suspect runs alone next. If its backend server crashes again it is convicted and refused
until the conviction expires; if it ends, it is cleared. So one request costs at most two backend
servers, and what merely shared a batch with it is retried and cleared.
"""

from dataclasses import dataclass, field
from enum import StrEnum

SUSPECT_SECONDS = 600.0
CONVICTED_SECONDS = 3_600.0


class Standing(StrEnum):
    """What is known of a content."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    CONVICTED = "convicted"


_ORDER = {Standing.CLEAR: 0, Standing.SUSPECT: 1, Standing.CONVICTED: 2}


@dataclass(slots=True, frozen=True)
class Suspicion:
    """Standing of one content.

    :param until: seconds since the epoch at which it expires
    """

    content: str
    standing: Standing
    until: float


@dataclass(slots=True)
class Quarantine:
    """Suspicions known to one router; times are seconds since the epoch."""

    suspicions: dict[str, Suspicion] = field(default_factory=dict)

    def standing(self, wall: float, content: str) -> Standing:
        """Return the standing of a content."""
        found = self.suspicions.get(content)
        if found is None:
            return Standing.CLEAR
        if found.until <= wall:
            del self.suspicions[content]
            return Standing.CLEAR
        return found.standing

    def on_crash(self, wall: float, content: str, alone: bool) -> Suspicion:
        """Note that a backend server crashed while it ran a content.

        :param alone: whether nothing else ran there
        :returns: what to tell others
        """
        known = self.standing(wall, content)
        if known is Standing.CONVICTED or (alone and known is Standing.SUSPECT):
            suspicion = Suspicion(content, Standing.CONVICTED, wall + CONVICTED_SECONDS)
        else:
            suspicion = Suspicion(content, Standing.SUSPECT, wall + SUSPECT_SECONDS)
        self.suspicions[content] = suspicion
        return suspicion

    def on_success(self, wall: float, content: str) -> bool:
        """Clear a suspect that ran to its end.

        :returns: whether it was one
        """
        if self.standing(wall, content) is not Standing.SUSPECT:
            return False
        del self.suspicions[content]
        return True

    def hear(self, wall: float, suspicion: Suspicion) -> bool:
        """Take in what another router knows; the graver standing wins.

        :returns: whether it was news
        """
        known = self.standing(wall, suspicion.content)
        if suspicion.until <= wall or _ORDER[suspicion.standing] <= _ORDER[known]:
            return False
        self.suspicions[suspicion.content] = suspicion
        return True
