"""Acceptance of a submitted sheet.

The sheet is first stored as an immutable object. Then one transaction advances the head row from
the submission's base version to the next. Budgets whose paid amount decreases are updated in the
same transaction, so that no process can afterwards grant from the older, higher amount. An increase
of the paid amount is written by the process that acquires the next grant of the budget.
"""

from dataclasses import dataclass, replace

from bilberryshed.coordination._row_actions import ReadRows, WriteRows
from bilberryshed.protocol import Finding
from bilberryshed.state import (
    BUDGETS,
    SHEET_HEAD,
    BudgetRow,
    Put,
    Row,
    RowRef,
    Sheet,
    SheetHead,
    StoreError,
    sheet_history_ref,
)

MAX_TRIES = 20  # failed or conflicting attempts after which the submission gives up


@dataclass(slots=True, frozen=True)
class Accepted:
    """Result: the sheet is accepted as this version."""

    version: int


@dataclass(slots=True, frozen=True)
class Conflict:
    """Result: another sheet was accepted after the base version."""

    head: SheetHead


@dataclass(slots=True, frozen=True)
class Rejected:
    """Result: the sheet conflicts with the tokens already granted."""

    findings: tuple[Finding, ...]


@dataclass(slots=True, frozen=True)
class Undecided:
    """Result: the submission gave up after errors of the store or conflicting writes.

    :param may_be_accepted: whether the sheet may have been accepted nevertheless
    """

    error: StoreError
    may_be_accepted: bool


Action = ReadRows | WriteRows | Accepted | Conflict | Rejected | Undecided


class Submission:
    """State machine of one submission; pass the response of each action to its handler.

    :param source: file name that findings refer to
    :param base: version that the sheet is based on
    :param old: the base sheet
    :param new: the submitted sheet
    :param head: head row to write, with the version to be accepted
    """

    __slots__ = (
        "source",
        "base",
        "new",
        "head",
        "budgets_to_check",
        "puts",
        "unconfirmed",
        "tries_left",
    )

    def __init__(self, source: str, base: int, old: Sheet, new: Sheet, head: SheetHead) -> None:
        self.source = source
        self.base = base
        self.new = new
        self.head = head
        self.budgets_to_check = _budgets_to_check(base, old, new)
        self.puts: tuple[Put, ...] = ()
        self.unconfirmed = False
        self.tries_left = MAX_TRIES

    def start(self) -> Action:
        """Return the first action."""
        refs = (SHEET_HEAD, *(RowRef(BUDGETS, key) for key in self.budgets_to_check))
        return ReadRows(refs)

    def on_rows(self, rows: tuple[Row, ...] | StoreError) -> Action:
        """Handle the response to :class:`ReadRows`."""
        if isinstance(rows, StoreError):
            return self._retry(rows)
        head = SheetHead.from_value(rows[0].value)
        if head.submission == self.head.submission:
            return Accepted(head.version)
        if head.version != self.base:
            return Conflict(head)
        findings = self._check(rows[1:])
        if findings:
            return Rejected(findings)
        self.puts = self._plan(rows)
        return WriteRows(self.puts)

    def on_written(self, written: bool | StoreError) -> Action:
        """Handle the response to :class:`WriteRows`."""
        if isinstance(written, StoreError):
            self.unconfirmed = self.unconfirmed or written.ambiguous
            return self._retry(written)
        if written:
            return Accepted(self.head.version)
        return self._retry(StoreError(False, "budget rows kept changing"))

    def _retry(self, error: StoreError) -> Action:
        self.tries_left -= 1
        if self.tries_left <= 0:
            return Undecided(error, self.unconfirmed)
        return self.start()

    def _check(self, rows: tuple[Row, ...]) -> tuple[Finding, ...]:
        findings = []
        for row in rows:
            granted = BudgetRow.from_value(row.value).granted
            paid = self._paid(row.ref.key)
            if row.ref.key in self.new.budgets and granted > paid:
                text = f"paid {paid} is below the {granted} tokens already granted"
                findings.append(Finding(self.source, f"budget {row.ref.key}", text))
        return tuple(findings)

    def _plan(self, rows: tuple[Row, ...]) -> tuple[Put, ...]:
        head = Put(SHEET_HEAD, rows[0].version, self.head.to_value())
        history = Put(sheet_history_ref(self.head.version), 0, self.head.to_value())
        return (head, history, *(self._update_paid(row) for row in rows[1:] if row.version))

    def _update_paid(self, row: Row) -> Put:
        budget = BudgetRow.from_value(row.value)
        paid = max(self._paid(row.ref.key), budget.granted)
        budget = replace(budget, paid=paid, paid_version=self.head.version)
        return Put(row.ref, row.version, budget.to_value())

    def _paid(self, key: str) -> int:
        budget = self.new.budgets.get(key)
        return budget.paid if budget else 0


def _budgets_to_check(base: int, old: Sheet, new: Sheet) -> tuple[str, ...]:
    """Return the keys of budgets that are removed or lowered, or may have a row from before."""
    keys = []
    for key, budget in old.budgets.items():
        successor = new.budgets.get(key)
        if successor is None or successor.paid < budget.paid:
            keys.append(key)
    if base > 0:
        keys += [key for key in new.budgets if key not in old.budgets]
    return tuple(sorted(keys))
