"""Detects requests that crash the backend servers that run them (poison requests).

A connection that breaks before the first event of a request counts as a suspected crash of its
backend server. Harmless requests rarely accumulate several; a request that crashes every backend
server does, and is then refused by all routers until the block expires.
"""

from dataclasses import dataclass, field

BLOCK_THRESHOLD = 3  # suspected crashes within ``CRASH_TTL`` at which a request is blocked
CRASH_TTL = 60.0  # seconds after which a suspected crash no longer counts
BLOCK_TTL = 120.0  # seconds for which a request is blocked


@dataclass(slots=True)
class _Entry:
    crashes: dict[str, float] = field(default_factory=dict)
    blocked_until: float = 0.0


class CrashTracker:
    """Suspected crashes by request fingerprint, reported by this router and its peers."""

    __slots__ = ("entries",)

    def __init__(self) -> None:
        self.entries: dict[str, _Entry] = {}

    def record_crash(self, now: float, fingerprint: str, run: str) -> bool:
        """Record a suspected crash by a run of a request.

        :param run: identifies the run, so that it counts once
        :returns: whether this run was not yet recorded
        """
        entry = self.entries.setdefault(fingerprint, _Entry())
        if run in entry.crashes:
            return False
        entry.crashes = {
            earlier: at for earlier, at in entry.crashes.items() if at > now - CRASH_TTL
        }
        entry.crashes[run] = now
        if len(entry.crashes) >= BLOCK_THRESHOLD:
            entry.blocked_until = now + BLOCK_TTL
        return True

    def is_blocked(self, now: float, fingerprint: str) -> bool:
        """Whether requests with this fingerprint are refused at this time."""
        entry = self.entries.get(fingerprint)
        return entry is not None and now < entry.blocked_until

    def clear_crashes(self, fingerprint: str) -> None:
        """Delete the suspected crashes of a request that completed, unless it was blocked."""
        entry = self.entries.get(fingerprint)
        if entry is not None and not entry.blocked_until:
            del self.entries[fingerprint]

    def prune(self, now: float) -> None:
        """Delete entries whose crashes and block have expired."""
        for fingerprint, entry in list(self.entries.items()):
            has_recent_crash = any(at > now - CRASH_TTL for at in entry.crashes.values())
            if not has_recent_crash and entry.blocked_until <= now:
                del self.entries[fingerprint]
