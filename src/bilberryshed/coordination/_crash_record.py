"""Finds requests that crash the backend servers which run them.

A request that was running on a backend server when it crashed gets a strike. Innocent requests that
shared the backend server rarely collect several; a request that crashes whatever runs it does, and
is then refused everywhere until its conviction expires.
"""

from dataclasses import dataclass, field

CONVICTING_STRIKES = 3  # crashes of different backend servers
STRIKE_LIFE = 60.0  # seconds after which a strike no longer counts
CONVICTION_LIFE = 120.0  # seconds


@dataclass(slots=True)
class _Entry:
    strikes: dict[str, float] = field(default_factory=dict)
    convicted_until: float = 0.0


class CrashRecord:
    """Strikes by fingerprint of a request, from this router and from its peers."""

    __slots__ = ("entries",)

    def __init__(self) -> None:
        self.entries: dict[str, _Entry] = {}

    def strike(self, now: float, fingerprint: str, crash: str) -> bool:
        """Note that a request was running when a backend server crashed.

        :param crash: names the crash, the same for every observer of one run
        :returns: whether it was news
        """
        entry = self.entries.setdefault(fingerprint, _Entry())
        if crash in entry.strikes:
            return False
        entry.strikes = {c: at for c, at in entry.strikes.items() if at > now - STRIKE_LIFE}
        entry.strikes[crash] = now
        if len(entry.strikes) >= CONVICTING_STRIKES:
            entry.convicted_until = now + CONVICTION_LIFE
        return True

    def is_convicted(self, now: float, fingerprint: str) -> bool:
        """Whether requests with this fingerprint are refused."""
        entry = self.entries.get(fingerprint)
        return entry is not None and now < entry.convicted_until

    def acquit(self, fingerprint: str) -> None:
        """Forget a request that ran to its end."""
        entry = self.entries.get(fingerprint)
        if entry is not None and not entry.convicted_until:
            del self.entries[fingerprint]

    def prune(self, now: float) -> None:
        """Forget what has expired."""
        for fingerprint, entry in list(self.entries.items()):
            fresh = any(at > now - STRIKE_LIFE for at in entry.strikes.values())
            if not fresh and entry.convicted_until <= now:
                del self.entries[fingerprint]
