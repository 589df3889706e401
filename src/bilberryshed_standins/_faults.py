"""Fault switches of a stand-in."""

from dataclasses import dataclass, field

FAULT_KINDS = ("down", "slow", "lose_answer", "pause")


@dataclass(slots=True)
class Fault:
    """One switched-on fault.

    :param kind: ``down`` refuses without effect, ``slow`` delays before the effect,
        ``lose_answer`` takes effect and breaks the connection, ``pause`` delays after the effect
    :param target: start of the paths it applies to
    :param until: monotonic time at which it ends
    :param remaining_calls: calls it still applies to
    :param seconds: delay of ``slow`` and ``pause``
    """

    kind: str
    target: str
    until: float
    remaining_calls: int
    seconds: float


@dataclass(slots=True)
class FaultInjector:
    """The faults that are switched on."""

    faults: list[Fault] = field(default_factory=list)

    def add(
        self, kind: str, target: str, until: float, count: int = 1_000_000, seconds: float = 1.0
    ) -> None:
        """Switch a fault on.

        :raises ValueError: if the kind is unknown
        """
        if kind not in FAULT_KINDS:
            raise ValueError(f"unknown fault {kind!r}; known are {', '.join(FAULT_KINDS)}")
        self.faults.append(Fault(kind, target, until, count, seconds))

    def clear(self) -> None:
        """Switch all faults off."""
        self.faults.clear()

    def next_fault(self, now: float, path: str) -> Fault | None:
        """Return the fault that applies to a call, counting the call."""
        self.faults = [f for f in self.faults if f.until > now and f.remaining_calls > 0]
        for fault in self.faults:
            if path.startswith(fault.target):
                fault.remaining_calls -= 1
                return fault
        return None
