"""Fault injection for the stand-ins."""

from dataclasses import dataclass, field

FAULT_KINDS = ("down", "slow", "lose_answer", "pause")


@dataclass(slots=True)
class Fault:
    """One active fault.

    :param kind: ``down`` rejects the call without effect, ``slow`` delays before the effect,
        ``lose_answer`` applies the effect and closes the connection without a response, ``pause``
        delays the response after the effect
    :param target: prefix of the paths that it applies to
    :param until: monotonic time at which it expires
    :param remaining_calls: number of further calls that it applies to
    :param seconds: delay of ``slow`` and ``pause``
    """

    kind: str
    target: str
    until: float
    remaining_calls: int
    seconds: float


@dataclass(slots=True)
class FaultInjector:
    """The active faults of a stand-in."""

    faults: list[Fault] = field(default_factory=list)

    def add(
        self, kind: str, target: str, until: float, count: int = 1_000_000, seconds: float = 1.0
    ) -> None:
        """Activate a fault.

        :raises ValueError: if the kind is unknown
        """
        if kind not in FAULT_KINDS:
            raise ValueError(f"unknown fault {kind!r}; expected one of {', '.join(FAULT_KINDS)}")
        self.faults.append(Fault(kind, target, until, count, seconds))

    def clear(self) -> None:
        """Deactivate all faults."""
        self.faults.clear()

    def next_fault(self, now: float, path: str) -> Fault | None:
        """Return the fault that applies to a call, if any, and count the call against it."""
        self.faults = [f for f in self.faults if f.until > now and f.remaining_calls > 0]
        for fault in self.faults:
            if path.startswith(fault.target):
                fault.remaining_calls -= 1
                return fault
        return None
