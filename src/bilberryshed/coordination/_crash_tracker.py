"""Finds requests that crash the backend servers which run them.

A request whose channel broke before its first event gets a strike: its backend server may have
crashed. Innocent requests rarely collect several; a request that crashes whatever runs it does, and
is then refused everywhere until its conviction expires.
"""

from dataclasses import dataclass, field

BLOCK_THRESHOLD = 3  # broken runs
CRASH_TTL = 60.0  # seconds after which a strike no longer counts
BLOCK_TTL = 120.0  # seconds


@dataclass(slots=True)
class _Entry:
    crashes: dict[str, float] = field(default_factory=dict)
    blocked_until: float = 0.0


class CrashTracker:
    """Strikes by fingerprint of a request, from this router and from its peers."""

    __slots__ = ("entries",)

    def __init__(self) -> None:
        self.entries: dict[str, _Entry] = {}

    def record_crash(self, now: float, fingerprint: str, run: str) -> bool:
        """Note that a run of a request broke.

        :param run: identifies the run
        :returns: whether it was news
        """
        entry = self.entries.setdefault(fingerprint, _Entry())
        if run in entry.crashes:
            return False
        entry.crashes = {known: at for known, at in entry.crashes.items() if at > now - CRASH_TTL}
        entry.crashes[run] = now
        if len(entry.crashes) >= BLOCK_THRESHOLD:
            entry.blocked_until = now + BLOCK_TTL
        return True

    def is_blocked(self, now: float, fingerprint: str) -> bool:
        """Whether requests with this fingerprint are refused."""
        entry = self.entries.get(fingerprint)
        return entry is not None and now < entry.blocked_until

    def clear_crashes(self, fingerprint: str) -> None:
        """Forget a request that ran to its end."""
        entry = self.entries.get(fingerprint)
        if entry is not None and not entry.blocked_until:
            del self.entries[fingerprint]

    def prune(self, now: float) -> None:
        """Forget what has expired."""
        for fingerprint, entry in list(self.entries.items()):
            has_recent_crash = any(at > now - CRASH_TTL for at in entry.crashes.values())
            if not has_recent_crash and entry.blocked_until <= now:
                del self.entries[fingerprint]
