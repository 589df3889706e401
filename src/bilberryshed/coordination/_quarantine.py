"""Quarantine of requests that crash backend servers.

When a backend server crashes, all requests that ran on it become suspect, identified by a
fingerprint of their content. A suspect is retried in isolation. If that crashes a backend server
too, the suspect is blocked until the block expires; if it completes, it is cleared. So one request
crashes at most two backend servers, and requests that only shared a batch with it are retried and
cleared.
"""

from dataclasses import dataclass, field
from enum import StrEnum

SUSPECT_SECONDS = 600.0  # from its last crash until a suspect counts as clear again
BLOCKED_SECONDS = 3_600.0  # from its last crash until a block expires


class QuarantineState(StrEnum):
    """Quarantine state of a request content, sent and stored by value."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    BLOCKED = "convicted"


_SEVERITY = {QuarantineState.CLEAR: 0, QuarantineState.SUSPECT: 1, QuarantineState.BLOCKED: 2}


@dataclass(slots=True, frozen=True)
class QuarantineEntry:
    """Quarantine entry of one request content.

    :param content: fingerprint of the content
    :param until: expiry, in seconds since the epoch
    """

    content: str
    standing: QuarantineState
    until: float


@dataclass(slots=True)
class Quarantine:
    """Quarantine entries known to one router; times are in seconds since the epoch."""

    entries: dict[str, QuarantineEntry] = field(default_factory=dict)

    def standing(self, wall: float, content: str) -> QuarantineState:
        """Return the state of a content, and delete its entry if that has expired."""
        found = self.entries.get(content)
        if found is None:
            return QuarantineState.CLEAR
        if found.until <= wall:
            del self.entries[content]
            return QuarantineState.CLEAR
        return found.standing

    def on_crash(self, wall: float, content: str, alone: bool) -> QuarantineEntry:
        """Record that a backend server crashed while it ran a content.

        :param alone: whether no other request ran there
        :returns: the new entry, to be sent to the other routers
        """
        current = self.standing(wall, content)
        if current is QuarantineState.BLOCKED or (alone and current is QuarantineState.SUSPECT):
            entry = QuarantineEntry(content, QuarantineState.BLOCKED, wall + BLOCKED_SECONDS)
        else:
            entry = QuarantineEntry(content, QuarantineState.SUSPECT, wall + SUSPECT_SECONDS)
        self.entries[content] = entry
        return entry

    def on_success(self, wall: float, content: str) -> bool:
        """Clear a suspect that completed.

        :returns: whether the content was a suspect
        """
        if self.standing(wall, content) is not QuarantineState.SUSPECT:
            return False
        del self.entries[content]
        return True

    def merge(self, wall: float, entry: QuarantineEntry) -> bool:
        """Merge an entry from another router; the more severe state takes precedence.

        :returns: whether the entry replaced the local one
        """
        current = self.standing(wall, entry.content)
        if entry.until <= wall or _SEVERITY[entry.standing] <= _SEVERITY[current]:
            return False
        self.entries[entry.content] = entry
        return True
