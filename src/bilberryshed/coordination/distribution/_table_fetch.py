"""Which gateway is asked for the newest announced route table."""

from collections.abc import Collection

HUB_PREFERENCE_TIME = 0.1  # seconds for the own hub to announce a version before others are asked
RESPONSE_TIME = 0.4  # seconds for a gateway to send a table before the next one is asked
MAX_ASKED = 3  # gateways asked for a version, as each may send a large table over the same link
EXHAUSTED_TIME = 3.0  # seconds from an announcement after which no gateway is asked any more
BEHIND_TIME = 0.8  # seconds from an announcement after which the gateway reads the store itself


class TableFetch:
    """The announcements that one gateway has received; times are monotonic, in seconds.

    :param announced: newest version that each gateway has announced
    :param newest: newest version that any of them has announced
    :param newest_at: time at which that was first announced
    :param asked: gateways that were asked for it, in this order
    :param asked_at: time at which the last one was asked
    """

    __slots__ = ("announced", "newest", "newest_at", "asked", "asked_at")

    def __init__(self) -> None:
        self.announced: dict[str, int] = {}
        self.newest = 0
        self.newest_at = float("-inf")
        self.asked: list[str] = []
        self.asked_at = float("-inf")

    def on_version(self, now: float, gateway: str, version: int) -> None:
        """Record that a gateway has a version; one that links again may be asked again."""
        self.announced[gateway] = max(version, self.announced.get(gateway, 0))
        if version > self.newest:
            self.newest, self.newest_at = version, now
            self.asked.clear()
        elif gateway in self.asked:
            self.asked.remove(gateway)

    def next_gateway(
        self, now: float, active: int, hub: str, linked: Collection[str]
    ) -> str | None:
        """Return the gateway to ask now, ``None`` if none is to be asked yet.

        :param active: active version
        :param hub: own hub, preferred as it has a wide link
        """
        if self.newest <= active or (self.asked and now - self.asked_at < RESPONSE_TIME):
            return None
        candidates = [
            name
            for name, version in self.announced.items()
            if version > active and name in linked and name not in self.asked
        ]
        if not candidates or len(self.asked) >= MAX_ASKED:
            return None
        if hub in candidates:
            chosen = hub
        elif now - self.newest_at < HUB_PREFERENCE_TIME:
            return None
        else:
            chosen = max(candidates, key=lambda name: (self.announced[name], name))
        self.asked.append(chosen)
        self.asked_at = now
        return chosen

    def is_exhausted(self, now: float) -> bool:
        """Whether nobody is asked again for the newest version, as the store is read for it."""
        is_answered = not self.asked or now - self.asked_at >= RESPONSE_TIME
        return is_answered and now - self.newest_at >= EXHAUSTED_TIME

    def is_behind(self, now: float, active: int) -> bool:
        """Whether a newer version was announced for long and has not arrived."""
        return self.newest > active and now - self.newest_at >= BEHIND_TIME
