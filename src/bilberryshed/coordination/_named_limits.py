"""Limits that backend servers name in their responses, in requests per second from all routers."""

import re
from collections.abc import Collection
from dataclasses import dataclass

ANNOUNCED_CHANGE = 0.1  # relative change of a limit of which the other routers are told
MIN_LIMIT = 0.1  # requests per second; some must be sent to learn that a limit has ended

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,400})?")  # a double may take hundreds of decimals


def parse_limit(text: str) -> float | None:
    """Return the requests per second that a response names, ``None`` if that is no number."""
    return float(text) if _DECIMAL.fullmatch(text.strip()) else None


@dataclass(slots=True)
class NamedLimit:
    """A limit in force.

    :param limit: requests per second
    :param named_at: monotonic time of the latest response that named it, in seconds
    :param announced: limit of which the other routers know
    """

    limit: float
    named_at: float
    announced: float


class NamedLimits:
    """Limits that one router knows, by incarnation of the backend server."""

    __slots__ = ("limits", "ended_at")

    def __init__(self) -> None:
        self.limits: dict[str, NamedLimit] = {}
        self.ended_at: dict[str, float] = {}

    def on_response(self, now: float, server: str, limit: float | None, sent_at: float) -> bool:
        """Record what a response says about the limit.

        :param limit: ``None`` if it names none; this ends a limit that was named before the request
            was sent, as responses may overtake each other
        :param sent_at: time at which its request was sent
        :returns: whether the other routers should be told
        """
        known = self.limits.get(server)
        if limit is None:
            if known is None or sent_at <= known.named_at:
                return False
            del self.limits[server]
            self.ended_at[server] = sent_at
            return True
        if known is None:
            self.limits[server] = NamedLimit(limit, now, limit)
            return True
        known.limit, known.named_at = limit, now
        if abs(limit - known.announced) <= ANNOUNCED_CHANGE * known.announced:
            return False
        known.announced = limit
        return True

    def on_notice(self, server: str, limit: float | None, at: float) -> None:
        """Record what another router has learned.

        :param limit: ``None`` if the limit has ended
        :param at: monotonic time at which it was named or had ended, in seconds
        """
        known = self.limits.get(server)
        if limit is None:
            if known is not None and known.named_at < at:
                del self.limits[server]
            self.ended_at[server] = max(at, self.ended_at.get(server, at))
        elif at > self.ended_at.get(server, float("-inf")) and (
            known is None or known.named_at < at
        ):
            self.limits[server] = NamedLimit(limit, at, limit)

    def limit(self, server: str) -> float | None:
        """Return the limit of a backend server in requests per second, ``None`` without one."""
        known = self.limits.get(server)
        return None if known is None else max(MIN_LIMIT, known.limit)

    def retain(self, servers: Collection[str]) -> None:
        """Forget all backend servers but these."""
        self.limits = {s: limit for s, limit in self.limits.items() if s in servers}
        self.ended_at = {s: at for s, at in self.ended_at.items() if s in servers}
