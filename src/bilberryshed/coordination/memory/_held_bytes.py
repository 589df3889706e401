"""Bytes held for callers, and the callers that give way when they are too many."""

from dataclasses import dataclass
from enum import IntEnum


class HeldKind(IntEnum):
    """What bytes are held for, in the order in which they give way."""

    RESPONSE = 0  # a response that its caller has not read
    PARTIAL = 1  # the head and the part of a body that have arrived
    WHOLE = 2  # a request that has been read completely


@dataclass(slots=True)
class Holding:
    """Bytes held for one connection.

    :param kind: what the bytes are held for
    :param size: bytes, with what the objects around them take
    :param since: monotonic time in seconds from which they are held
    :param has_key: whether the request has a valid key; one that needs none counts as without
    """

    kind: HeldKind
    size: int
    since: float
    has_key: bool

    def cost(self, now: float) -> float:
        """Return size times age, which is highest for callers that hold much and progress slowly.

        :param now: monotonic time in seconds
        """
        return self.size * (now - self.since)


class HeldBytes:
    """Account of the bytes held for callers, by connection.

    :param total: bytes that may be held for all connections together
    :param held: bytes that are held
    :param holdings: what is held, by number of the connection
    """

    __slots__ = ("total", "held", "holdings")

    def __init__(self, total: int) -> None:
        self.total = total
        self.held = 0
        self.holdings: dict[int, Holding] = {}

    def put(
        self, connection: int, kind: HeldKind, size: int, now: float, has_key: bool = True
    ) -> None:
        """Set the bytes held for a connection.

        :param now: monotonic time in seconds
        """
        if size <= 0:
            self.release(connection)
            return
        holding = self.holdings.get(connection)
        if holding is None or holding.kind is not kind:
            self.release(connection)
            self.holdings[connection] = Holding(kind, size, now, has_key)
            self.held += size
            return
        self.held += size - holding.size
        holding.size = size
        holding.has_key = has_key

    def release(self, connection: int) -> None:
        """Remove what is held for a connection, if anything is."""
        holding = self.holdings.pop(connection, None)
        if holding is not None:
            self.held -= holding.size

    @property
    def fair_part(self) -> int:
        """Bytes up to which a connection gives way after larger ones: half of an equal share.

        With a whole share, a large request would give way to a few callers that have stopped just
        below it.
        """
        return self.total // (2 * max(1, len(self.holdings)))

    def victims(self, now: float) -> list[int]:
        """Return the connections that give way so that the rest is within the total.

        Whole requests are not among them: they may be running at a backend server.

        :param now: monotonic time in seconds
        """
        excess = self.held - self.total
        if excess <= 0:
            return []
        chosen = []
        for connection in self._order(now):
            if excess <= 0:
                break
            chosen.append(connection)
            excess -= self.holdings[connection].size
        return chosen

    def _order(self, now: float) -> list[int]:
        """Return the connections that may give way, the first ones first."""
        fair_part = self.fair_part

        def rank(connection: int) -> tuple[HeldKind, bool, bool, float, int]:
            holding = self.holdings[connection]
            return (
                holding.kind,
                holding.has_key,
                holding.size <= fair_part,
                -holding.cost(now),
                connection,
            )

        candidates = (
            connection
            for connection, holding in self.holdings.items()
            if holding.kind is not HeldKind.WHOLE
        )
        return sorted(candidates, key=rank)
