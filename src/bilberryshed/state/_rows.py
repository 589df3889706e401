"""Typed values of the rows that the fleet keeps in the table service."""

from dataclasses import asdict, dataclass, field
from typing import Any

from bilberryshed.state._ports import RowRef

BUDGETS = "budgets"
GRANTS = "grants"
CLAIMS = "claims"
SHEETS = "sheets"
SUSPICIONS = "suspicions"
SHEET_HEAD = RowRef(SHEETS, "head")
PLACEMENT_LEASE = RowRef("leases", "placement")


@dataclass(slots=True, frozen=True)
class BudgetRow:
    """A budget's totals, in tokens.

    :param paid: paid for, as of sheet ``paid_version``
    :param paid_version: sheet version that set ``paid``
    :param granted: taken by grants since the budget exists, less what they returned
    :param settled: billed on grants that are closed
    :param zones: what the holder of each availability zone last said: its forecast demand in
        tokens a second and the free tokens in its hand
    """

    paid: int = 0
    paid_version: int = 0
    granted: int = 0
    settled: int = 0
    zones: dict[str, list[int]] = field(default_factory=dict)

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "BudgetRow":
        """Read the columns of a row; an absent row is an empty budget."""
        return cls(
            int(value.get("paid", 0)),
            int(value.get("paid_version", 0)),
            int(value.get("granted", 0)),
            int(value.get("settled", 0)),
            dict(value.get("zones", {})),
        )

    def to_value(self) -> dict[str, Any]:
        """Return the columns of a row."""
        return asdict(self)

    @property
    def free(self) -> int:
        """Tokens that may still be granted."""
        return max(0, self.paid - self.granted)


@dataclass(slots=True, frozen=True)
class GrantRow:
    """An open grant, keyed by its id.

    :param budget: budget key
    :param holder: boot id of the holder
    :param amount: tokens granted
    :param left: whether the holder has closed its part and only transferred parts remain
    """

    budget: str
    holder: str
    amount: int
    left: bool = False

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "GrantRow":
        """Read the columns of a row."""
        return cls(
            str(value["budget"]),
            str(value["holder"]),
            int(value["amount"]),
            bool(value.get("left", False)),
        )

    def to_value(self) -> dict[str, Any]:
        """Return the columns of a row."""
        return asdict(self)


@dataclass(slots=True, frozen=True)
class SheetHead:
    """The accepted sheet.

    :param version: sheet version, from 1
    :param digest: SHA-256 of the sheet, hexadecimal; names the object
    :param submission: id of the submission that won
    :param submitter: who submitted it
    """

    version: int = 0
    digest: str = ""
    submission: str = ""
    submitter: str = ""

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "SheetHead":
        """Read the columns of a row; an absent row is version 0."""
        return cls(
            int(value.get("version", 0)),
            str(value.get("digest", "")),
            str(value.get("submission", "")),
            str(value.get("submitter", "")),
        )

    def to_value(self) -> dict[str, Any]:
        """Return the columns of a row."""
        return asdict(self)


def sheet_object_name(digest: str) -> str:
    """Return the object name of a sheet."""
    return f"sheets/{digest}"


def sheet_history_ref(version: int) -> RowRef:
    """Return the row that records an accepted version."""
    return RowRef(SHEETS, f"history/{version:010d}")


def segment_object_name(shard: int, number: int) -> str:
    """Return the object name of a ledger segment."""
    return f"ledger/{shard:04d}/{number:010d}"
