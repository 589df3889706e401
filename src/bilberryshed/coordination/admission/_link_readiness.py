"""Whether a gateway takes new connections, given the load of its VM's network link."""

FULL_USE = 0.7  # use of the link above which a gateway asks for no new connections
ROOM_USE = 0.35  # use below which it takes new connections again
FULL_TIME = 0.5  # seconds above before it does so
MIN_AWAY_TIME = 4.0  # seconds that it stays away


class LinkReadiness:
    """Hysteresis between the use of the link and readiness; times are monotonic, in seconds."""

    __slots__ = ("ready", "full_since", "away_since")

    def __init__(self) -> None:
        self.ready = True
        self.full_since: float | None = None
        self.away_since = 0.0

    def update(self, now: float, use: float) -> bool:
        """Return whether new connections are welcome.

        :param use: use of the busier direction of the link, as a share of its capacity
        """
        if self.ready:
            if use < FULL_USE:
                self.full_since = None
            elif self.full_since is None:
                self.full_since = now
            elif now - self.full_since >= FULL_TIME:
                self.ready, self.away_since = False, now
        elif use < ROOM_USE and now - self.away_since >= MIN_AWAY_TIME:
            self.ready, self.full_since = True, None
        return self.ready
