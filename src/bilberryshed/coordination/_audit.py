"""Consistency audit of the ledger against budgets and grants."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bilberryshed.protocol import UsageRecord
from bilberryshed.state import BudgetRow, GrantRow


@dataclass(slots=True, frozen=True)
class BudgetLine:
    """One budget's totals, in tokens.

    :param open: amount of the grants that are not closed
    """

    budget: str
    paid: int
    granted: int
    settled: int
    open: int
    billed: int
    bills: int

    @property
    def overspend(self) -> int:
        """Tokens billed beyond what was paid."""
        return max(0, self.billed - self.paid)


@dataclass(slots=True, frozen=True)
class Audit:
    """Result of an audit; it balances if there are no findings."""

    lines: tuple[BudgetLine, ...]
    findings: tuple[str, ...]

    @property
    def overspend(self) -> int:
        """Tokens billed beyond what was paid, over all budgets."""
        return sum(line.overspend for line in self.lines)


@dataclass(slots=True)
class _Totals:
    billed: Counter[str] = field(default_factory=Counter)
    bills: Counter[str] = field(default_factory=Counter)
    by_grant: Counter[str] = field(default_factory=Counter)
    open: Counter[str] = field(default_factory=Counter)


def audit(
    records: Iterable[UsageRecord],
    budgets: Mapping[str, BudgetRow],
    grants: Mapping[str, GrantRow],
    paid: Mapping[str, int],
) -> Audit:
    """Check that every bill is unique and covered by its charges, and that the totals agree.

    :param records: all records of the ledger
    :param budgets: budget rows by key
    :param grants: open grant rows by id
    :param paid: tokens paid by budget key, according to the active sheet
    """
    findings: list[str] = []
    totals = _sum(records, grants, findings)
    lines = []
    for key in sorted(set(paid) | set(budgets) | set(totals.billed)):
        row = budgets.get(key, BudgetRow())
        line = BudgetLine(
            budget=key,
            paid=max(paid.get(key, 0), row.paid),
            granted=row.granted,
            settled=row.settled,
            open=totals.open[key],
            billed=totals.billed[key],
            bills=totals.bills[key],
        )
        findings += _check_line(line)
        lines.append(line)
    for grant, grant_row in grants.items():
        if totals.by_grant[grant] > grant_row.amount:
            findings.append(
                f"grant {grant}: {totals.by_grant[grant]} billed of {grant_row.amount} granted"
            )
    return Audit(tuple(lines), tuple(findings))


def _sum(
    records: Iterable[UsageRecord], grants: Mapping[str, GrantRow], findings: list[str]
) -> _Totals:
    totals = _Totals()
    occurrences: defaultdict[str, int] = defaultdict(int)
    for record in records:
        occurrences[record.bill_id] += 1
        key = f"{record.customer}/{record.budget}"
        totals.billed[key] += record.tokens
        totals.bills[key] += 1
        for charge in record.charges:
            totals.by_grant[charge.grant] += charge.tokens
        charged = sum(charge.tokens for charge in record.charges)
        if charged != record.tokens:
            findings.append(f"bill {record.bill_id}: {charged} charged for {record.tokens}")
    findings += [
        f"bill {bill} is kept {times} times" for bill, times in occurrences.items() if times > 1
    ]
    for row in grants.values():
        totals.open[row.budget] += row.amount
    return totals


def _check_line(line: BudgetLine) -> list[str]:
    findings = []
    if line.billed > line.granted:
        findings.append(f"budget {line.budget}: {line.billed} billed of {line.granted} granted")
    if line.granted > line.paid:
        findings.append(f"budget {line.budget}: {line.granted} granted of {line.paid} paid")
    if line.granted != line.settled + line.open:
        findings.append(
            f"budget {line.budget}: {line.granted} granted, but {line.settled} settled "
            f"and {line.open} open"
        )
    if line.settled > line.billed:
        findings.append(f"budget {line.budget}: {line.settled} settled, {line.billed} billed")
    if line.open == 0 and line.settled != line.billed:
        findings.append(
            f"budget {line.budget}: no grant is open, {line.settled} settled, {line.billed} billed"
        )
    return findings
