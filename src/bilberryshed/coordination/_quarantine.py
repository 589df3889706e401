"""Requests that crash backend servers.

Everything that ran on a backend server when it crashed becomes suspect, by a fingerprint of its
content. A suspect runs alone next. If its backend server crashes again it is convicted and refused
until the conviction expires; if it ends, it is cleared. So one request costs at most two backend
servers, and what merely shared a batch with it is retried and cleared.
"""

from dataclasses import dataclass, field
from enum import StrEnum

SUSPECT_SECONDS = 600.0
BLOCKED_SECONDS = 3_600.0


class QuarantineState(StrEnum):
    """What is known of a content."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    BLOCKED = "convicted"


_SEVERITY = {QuarantineState.CLEAR: 0, QuarantineState.SUSPECT: 1, QuarantineState.BLOCKED: 2}


@dataclass(slots=True, frozen=True)
class QuarantineEntry:
    """Standing of one content.

    :param until: seconds since the epoch at which it expires
    """

    content: str
    standing: QuarantineState
    until: float


@dataclass(slots=True)
class Quarantine:
    """Suspicions known to one router; times are seconds since the epoch."""

    entries: dict[str, QuarantineEntry] = field(default_factory=dict)

    def standing(self, wall: float, content: str) -> QuarantineState:
        """Return the standing of a content."""
        found = self.entries.get(content)
        if found is None:
            return QuarantineState.CLEAR
        if found.until <= wall:
            del self.entries[content]
            return QuarantineState.CLEAR
        return found.standing

    def on_crash(self, wall: float, content: str, alone: bool) -> QuarantineEntry:
        """Note that a backend server crashed while it ran a content.

        :param alone: whether nothing else ran there
        :returns: what to tell others
        """
        known = self.standing(wall, content)
        if known is QuarantineState.BLOCKED or (alone and known is QuarantineState.SUSPECT):
            entry = QuarantineEntry(content, QuarantineState.BLOCKED, wall + BLOCKED_SECONDS)
        else:
            entry = QuarantineEntry(content, QuarantineState.SUSPECT, wall + SUSPECT_SECONDS)
        self.entries[content] = entry
        return entry

    def on_success(self, wall: float, content: str) -> bool:
        """Clear a suspect that ran to its end.

        :returns: whether it was one
        """
        if self.standing(wall, content) is not QuarantineState.SUSPECT:
            return False
        del self.entries[content]
        return True

    def merge(self, wall: float, entry: QuarantineEntry) -> bool:
        """Take in what another router knows; the graver standing wins.

        :returns: whether it was news
        """
        known = self.standing(wall, entry.content)
        if entry.until <= wall or _SEVERITY[entry.standing] <= _SEVERITY[known]:
            return False
        self.entries[entry.content] = entry
        return True
