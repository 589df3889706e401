"""Finds requests that crash the backend servers which run them.

A request whose channel broke before its first event gets a strike: its backend server may have
crashed. Innocent requests rarely collect several; a request that crashes whatever runs it does, and
is then refused everywhere until its conviction expires.
"""

from dataclasses import dataclass, field

CONVICTING_STRIKES = 3  # broken runs
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

    def strike(self, now: float, fingerprint: str, run: str) -> bool:
        """Note that a run of a request broke.

        :param run: identifies the run
        :returns: whether it was news
        """
        entry = self.entries.setdefault(fingerprint, _Entry())
        if run in entry.strikes:
            return False
        entry.strikes = {known: at for known, at in entry.strikes.items() if at > now - STRIKE_LIFE}
        entry.strikes[run] = now
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
