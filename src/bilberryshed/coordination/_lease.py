"""Lease of a singleton task, with a monotonically increasing fencing number (fencing token).

The lease provides liveness: it selects the process that should act. Safety comes from the fencing
number, which the receiver of each order checks, because a holder that was paused cannot detect that
its lease has expired and was acquired by another process.
"""

from dataclasses import asdict, dataclass
from typing import Any

from bilberryshed.state import Put, Row


@dataclass(slots=True, frozen=True)
class LeaseRow:
    """Value of a lease row.

    :param holder: boot id of the holder
    :param number: fencing number
    :param until: expiry, in seconds since the epoch, from which another process may acquire it
    """

    holder: str = ""
    number: int = 0
    until: float = 0.0

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "LeaseRow":
        """Parse the columns of a row; an absent row is a lease that was never held."""
        return cls(
            str(value.get("holder", "")),
            int(value.get("number", 0)),
            float(value.get("until", 0.0)),
        )

    def to_value(self) -> dict[str, Any]:
        """Return the columns of a row."""
        return asdict(self)


@dataclass(slots=True)
class Lease:
    """One process's state of a lease.

    :param holder: boot id of this process
    :param duration: seconds for which the lease is acquired or renewed
    :param number: fencing number, 0 while the lease is not held
    :param until: expiry, in seconds since the epoch
    """

    holder: str
    duration: float
    number: int = 0
    until: float = 0.0

    def held(self, wall: float) -> bool:
        """Whether this process holds the lease, according to its own clock and last write."""
        return self.number > 0 and wall < self.until

    def acquire(self, wall: float, row: Row) -> Put | None:
        """Return the write that acquires or renews the lease, ``None`` while another holds it."""
        found = LeaseRow.from_value(row.value)
        is_own = found.holder == self.holder
        if not is_own and wall < found.until:
            return None
        number = found.number if is_own else found.number + 1
        value = LeaseRow(self.holder, number, wall + self.duration).to_value()
        return Put(row.ref, row.version, value)

    def on_acquired(self, put: Put) -> None:
        """Record that the write took effect."""
        assert put.value is not None
        acquired = LeaseRow.from_value(put.value)
        self.number, self.until = acquired.number, acquired.until

    def on_lost(self) -> None:
        """Record that the lease could not be acquired or renewed."""
        self.number, self.until = 0, 0.0
