"""What the gateways of a zone know of each other's network links."""

from collections.abc import Collection
from dataclasses import dataclass

NOTICE_TIME = 5.0  # seconds until a notice that is not renewed counts as not received
AWAY_QUOTA = 4  # gateways of a zone for each that may give up readiness


@dataclass(slots=True, frozen=True)
class LinkState:
    """State of the link of one gateway.

    :param use: use of the link when the gateway gave up readiness, else the present one
    :param known_at: monotonic time at which this was so, in seconds
    """

    name: str
    is_full: bool
    is_away: bool
    use: float
    known_at: float


class LinkPeers:
    """States of the links of the other gateways, as far as they have told them."""

    __slots__ = ("states",)

    def __init__(self) -> None:
        self.states: dict[str, LinkState] = {}

    def on_notice(self, state: LinkState) -> None:
        """Store a state, unless a later one is known."""
        known = self.states.get(state.name)
        if known is None or known.known_at <= state.known_at:
            self.states[state.name] = state

    def have_room(self, now: float, names: Collection[str]) -> bool:
        """Whether any of some gateways is not full."""
        full = sum(state.is_full for state in self._recent(now, names))
        return full < len(names)

    def allow_away(self, now: float, own: LinkState, names: Collection[str]) -> bool:
        """Whether a gateway may give up readiness, or stay without it.

        Of gateways that gave it up at the same time, those with the highest use stay without it.

        :param names: the linked gateways of the same zone; on each side of a partition, they have
            a quota of their own, and these add up to no more than that of the whole zone
        """
        away = [state for state in self._recent(now, names) if state.is_away]
        if own.is_away:
            away = [state for state in away if _precedence(state) < _precedence(own)]
        return len(away) < (len(names) + 1) // AWAY_QUOTA

    def _recent(self, now: float, names: Collection[str]) -> list[LinkState]:
        states = (self.states.get(name) for name in names)
        return [s for s in states if s is not None and now - s.known_at < NOTICE_TIME]


def _precedence(state: LinkState) -> tuple[float, str]:
    return (-state.use, state.name)
