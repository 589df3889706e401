"""Typed values of the rows that the fleet stores in the table service."""

from dataclasses import asdict, dataclass, field
from typing import Any

from bilberryshed.state._ports import RowRef

BUDGETS = "budgets"
GRANTS = "grants"
CLAIMS = "claims"
SHEETS = "sheets"
QUARANTINE = "quarantine"
SHEET_HEAD = RowRef(SHEETS, "head")
PLACEMENT_LEASE = RowRef("leases", "placement")


@dataclass(slots=True, frozen=True)
class BudgetRow:
    """Totals of a budget, in tokens.

    :param paid: tokens paid for, as of sheet ``paid_version``
    :param paid_version: sheet version that set ``paid``
    :param granted: tokens granted since the creation of the budget, less those returned
    :param settled: tokens billed on closed grants
    :param zones: last report of the holder in each availability zone: its forecast demand in
        tokens per second and the free tokens that it holds
    """

    paid: int = 0
    paid_version: int = 0
    granted: int = 0
    settled: int = 0
    zones: dict[str, list[int]] = field(default_factory=dict)

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "BudgetRow":
        """Parse the columns of a row; an absent row is an empty budget."""
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
    """An open grant, stored under its id.

    :param budget: budget key
    :param holder: boot id of the holder
    :param amount: tokens granted
    :param left: whether the holder has closed its part, so that only transferred parts remain
    """

    budget: str
    holder: str
    amount: int
    left: bool = False

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "GrantRow":
        """Parse the columns of a row."""
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
    """Reference to the accepted sheet.

    :param version: sheet version, from 1; 0 before the first sheet
    :param digest: SHA-256 of the sheet, hexadecimal; part of the object name
    :param submission: id of the accepted submission
    :param submitter: name of its submitter
    """

    version: int = 0
    digest: str = ""
    submission: str = ""
    submitter: str = ""

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "SheetHead":
        """Parse the columns of a row; an absent row is version 0."""
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
    """Return the reference of the row that records an accepted sheet version."""
    return RowRef(SHEETS, f"history/{version:010d}")


def segment_object_name(shard: int, number: int) -> str:
    """Return the object name of a ledger segment."""
    return f"ledger/{shard:04d}/{number:010d}"
