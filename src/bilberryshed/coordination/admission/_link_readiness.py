"""Whether a gateway is ready for new connections, given the load of its VM's network link.

Callers are hashed onto gateways and keep their connections, so a customer with many requests can
fill the link of one gateway while others have room. Its callers move only if it is not ready.
"""

from collections import deque

FULL_USE = 0.7  # use of the link above which it is full
ROOM_USE = 0.35  # use below which it has room again
FULL_TIME = 0.5  # seconds above FULL_USE until it is full
STEEP_USE = 0.8  # predicted use above which it is full sooner
STEEP_MIN_USE = 0.4  # use below which a prediction does not count, as one response may cause it
STEEP_TIME = 0.2  # seconds above STEEP_USE until it is full
# The platform sends no new connections after two missed probes, 1 s apart: a shorter absence moves
# few callers.
FIRST_ABSENCE = 4.0  # seconds
ABSENCE_GROWTH = 1.5  # factor by which each absence exceeds the one before
MIN_ABSENCE = 3.0  # seconds that must be allowed, else the gateway stays ready
MAX_ABSENCE = 12.0  # seconds
CALM_TIME = 30.0  # seconds with readiness after which the next absence is short again
AWAY_WINDOW = 60.0  # seconds in which the time without readiness is bounded
# Half of the time for at most a quarter of a zone's gateways: an eighth of their time together.
MAX_AWAY_TIME = AWAY_WINDOW / 2  # seconds in AWAY_WINDOW


class LinkReadiness:
    """Hysteresis between the use of the link and readiness; times are monotonic, in seconds.

    :param is_full: whether the link is full, or the gateway is away
    :param is_away: whether it has given up readiness
    :param leaving_use: use of the link at that time
    """

    __slots__ = (
        "is_full",
        "is_away",
        "leaving_use",
        "full_since",
        "steep_since",
        "away_since",
        "absence",
        "absences",
    )

    def __init__(self) -> None:
        self.is_full = False
        self.is_away = False
        self.leaving_use = 0.0
        self.full_since: float | None = None
        self.steep_since: float | None = None
        self.away_since = 0.0
        self.absence = FIRST_ABSENCE
        self.absences: deque[tuple[float, float]] = deque()

    def update(self, now: float, use: float, predicted_use: float, is_allowed: bool) -> None:
        """Decide by the present load.

        :param use: use of the busier direction of the link, as a share of its capacity
        :param predicted_use: use that it approaches
        :param is_allowed: whether the other gateways of the zone leave room for an absence
        """
        if self.is_away:
            self._update_away(now, use, is_allowed)
            return
        is_above = self._is_above(now, use, predicted_use)
        self.is_full = is_above or (self.is_full and use >= ROOM_USE)
        if is_above and is_allowed and self._time_allowed(now) >= MIN_ABSENCE:
            self._leave(now, use)

    def _is_above(self, now: float, use: float, predicted_use: float) -> bool:
        """Whether the link has been above a threshold for long enough."""
        is_steep = predicted_use >= STEEP_USE and use >= STEEP_MIN_USE
        self.full_since = _since(self.full_since, now, use >= FULL_USE)
        self.steep_since = _since(self.steep_since, now, is_steep)
        return _has_lasted(self.full_since, now, FULL_TIME) or _has_lasted(
            self.steep_since, now, STEEP_TIME
        )

    def _leave(self, now: float, use: float) -> None:
        if not self.absences or now - self.absences[-1][1] >= CALM_TIME:
            self.absence = FIRST_ABSENCE
        else:
            self.absence = min(MAX_ABSENCE, self.absence * ABSENCE_GROWTH)
        self.is_away, self.away_since, self.leaving_use = True, now, use

    def _update_away(self, now: float, use: float, is_allowed: bool) -> None:
        has_room = use < ROOM_USE and now - self.away_since >= self.absence
        if has_room or not is_allowed or self._time_allowed(now) <= 0:
            self.absences.append((self.away_since, now))
            self.is_away, self.is_full = False, use >= FULL_USE
            self.full_since = self.steep_since = None

    def _time_allowed(self, now: float) -> float:
        """Return the seconds that it may still be away, by its absences in ``AWAY_WINDOW``."""
        start = now - AWAY_WINDOW
        while self.absences and self.absences[0][1] <= start:
            self.absences.popleft()
        away = sum(end - max(begin, start) for begin, end in self.absences)
        return MAX_AWAY_TIME - away - (now - self.away_since if self.is_away else 0.0)


def _since(since: float | None, now: float, holds: bool) -> float | None:
    """Return since when a condition has held, ``None`` if it does not hold."""
    if not holds:
        return None
    return now if since is None else since


def _has_lasted(since: float | None, now: float, duration: float) -> bool:
    return since is not None and now - since >= duration
