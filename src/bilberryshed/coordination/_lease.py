"""Lease of a duty, with a fencing number that only rises.

A lease is for liveness: it says who should act. Safety comes from the number, which whoever carries
out an order checks, since a holder that was paused does not know that its lease has passed on.
"""

from dataclasses import asdict, dataclass
from typing import Any

from bilberryshed.state import Put, Row


@dataclass(slots=True, frozen=True)
class LeaseRow:
    """Value of a lease row.

    :param holder: boot id
    :param number: fencing number
    :param until: seconds since the epoch at which another may take it
    """

    holder: str = ""
    number: int = 0
    until: float = 0.0

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "LeaseRow":
        """Read the columns of a row; an absent row is a lease that nobody had."""
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
    """One process's part in a lease.

    :param holder: boot id of this process
    :param duration: seconds for which the lease is taken or renewed
    """

    holder: str
    duration: float
    number: int = 0
    until: float = 0.0

    def held(self, wall: float) -> bool:
        """Whether this process holds the lease, as far as it knows."""
        return self.number > 0 and wall < self.until

    def acquire(self, wall: float, row: Row) -> Put | None:
        """Return the write that takes or renews the lease, ``None`` while another holds it."""
        found = LeaseRow.from_value(row.value)
        is_own = found.holder == self.holder
        if not is_own and wall < found.until:
            return None
        number = found.number if is_own else found.number + 1
        value = LeaseRow(self.holder, number, wall + self.duration).to_value()
        return Put(row.ref, row.version, value)

    def on_acquired(self, put: Put) -> None:
        """Note that the write took effect."""
        assert put.value is not None
        acquired = LeaseRow.from_value(put.value)
        self.number, self.until = acquired.number, acquired.until

    def on_lost(self) -> None:
        """Note that the lease could not be taken or renewed."""
        self.number, self.until = 0, 0.0
