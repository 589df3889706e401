"""Batched, conditional changes of grant and budget rows.

A batch reads every row that it changes and writes all changes in one transaction, on condition that
no row has changed since (optimistic concurrency control). After a lost response it reads the rows
back before anything is spent or retried. A write whose response was lost is retried unchanged, with
the same versions; once a version has advanced without it, the write can never take effect and the
batch is planned again.
"""

from dataclasses import dataclass, replace

from bilberryshed.coordination._row_actions import ReadRows, WriteRows
from bilberryshed.coordination._sizing import Demand, GrantSizing
from bilberryshed.state import (
    BUDGETS,
    GRANTS,
    BudgetRow,
    GrantRow,
    Put,
    Row,
    RowRef,
    StoreError,
)

SIGNIFICANT_CHANGE = 0.2  # relative change of a zone's demand or free tokens that justifies a write
MAX_CHANGES = 50  # changes in one transaction


@dataclass(slots=True, frozen=True)
class AcquireGrant:
    """Acquire a grant.

    :param paid: tokens paid according to sheet ``paid_version``
    :param need: tokens that waiting requests lack
    :param held: free tokens that the holder has
    :param rate: forecast demand, in tokens per second
    :param holders: number of availability zones that may hold this budget
    :param zone: availability zone of the holder
    """

    grant: str
    budget: str
    holder: str
    paid: int
    paid_version: int
    need: int
    held: int
    rate: float
    holders: int
    zone: str


@dataclass(slots=True, frozen=True)
class CloseGrant:
    """Close the holder's part of a grant: add its settled tokens to the budget, return the rest.

    :param amount: tokens of the part; further tokens of the row belong to transfers that are not
        yet persisted, and stay in the row until they are
    """

    grant: str
    budget: str
    amount: int
    settled: int


@dataclass(slots=True, frozen=True)
class PersistTransfer:
    """Move a transferred part of a grant to a row of its own."""

    grant: str
    source: str
    budget: str
    holder: str
    tokens: int


Change = AcquireGrant | CloseGrant | PersistTransfer


@dataclass(slots=True, frozen=True)
class BatchDone:
    """Action: the batch is finished.

    :param tokens_by_change: tokens that each change moved; 0 if none could be acquired or the
        change was skipped
    :param error: error of the store, in which case nothing took effect
    :param budgets: budgets by key, as last read before the changes
    """

    tokens_by_change: dict[Change, int]
    error: StoreError | None
    budgets: dict[str, BudgetRow]


Action = ReadRows | WriteRows | BatchDone


class GrantBatch:
    """State machine of one transaction; pass the response of each action to its handler."""

    __slots__ = (
        "changes",
        "sizing",
        "puts",
        "tokens_by_change",
        "budgets",
        "unconfirmed",
        "reading_back",
    )

    def __init__(self, changes: tuple[Change, ...], sizing: GrantSizing) -> None:
        self.changes = changes[:MAX_CHANGES]
        self.sizing = sizing
        self.puts: tuple[Put, ...] = ()
        self.tokens_by_change: dict[Change, int] = {}
        self.budgets: dict[str, BudgetRow] = {}
        self.unconfirmed = False
        self.reading_back = False

    def start(self) -> Action:
        """Return the first action."""
        self.reading_back = False
        refs = {ref for change in self.changes for ref in _refs(change)}
        return ReadRows(tuple(sorted(refs, key=lambda ref: (ref.table, ref.key))))

    def on_rows(self, rows: tuple[Row, ...] | StoreError) -> Action:
        """Handle the response to :class:`ReadRows`."""
        if isinstance(rows, StoreError):
            if self.unconfirmed:
                return self._read_back()
            return BatchDone({}, rows, {})
        if self.reading_back:
            return self._resolve_write(rows)
        self._plan({row.ref: row for row in rows})
        if not self.puts:
            return BatchDone(self.tokens_by_change, None, self.budgets)
        return WriteRows(self.puts)

    def on_written(self, written: bool | StoreError) -> Action:
        """Handle the response to :class:`WriteRows`."""
        if isinstance(written, StoreError):
            if written.ambiguous:
                self.unconfirmed = True
            if self.unconfirmed:
                return self._read_back()
            return BatchDone({}, written, {})
        if written:
            return BatchDone(self.tokens_by_change, None, self.budgets)
        if self.unconfirmed:
            return self._read_back()
        return self.start()

    def _read_back(self) -> Action:
        self.reading_back = True
        return ReadRows(tuple(put.ref for put in self.puts))

    def _resolve_write(self, rows: tuple[Row, ...]) -> Action:
        found = {row.ref: row for row in rows}
        if self._took_effect(found):
            return BatchDone(self.tokens_by_change, None, self.budgets)
        if all(found[put.ref].version == put.version for put in self.puts):
            return WriteRows(self.puts)
        self.unconfirmed = False
        return self.start()

    def _took_effect(self, found: dict[RowRef, Row]) -> bool:
        """Whether the transaction was applied.

        Grant ids are unique, so the state of one grant row decides for the whole transaction.
        """
        for put in self.puts:
            if put.ref.table != GRANTS:
                continue
            if put.version == 0:
                return found[put.ref].version > 0
            if put.value is None:
                return found[put.ref].version == 0
            if put.value["left"]:
                return found[put.ref].version == 0 or bool(found[put.ref].value["left"])
        return False

    def _plan(self, rows: dict[RowRef, Row]) -> None:
        values = {ref: row.value for ref, row in rows.items()}
        self.budgets = {
            ref.key: BudgetRow.from_value(value)
            for ref, value in values.items()
            if ref.table == BUDGETS
        }
        changed: dict[RowRef, dict | None] = {}
        self.tokens_by_change = {}
        for change in self.changes:
            self.tokens_by_change[change] = _apply(change, values, changed, self.sizing)
        self.puts = tuple(Put(ref, rows[ref].version, value) for ref, value in changed.items())


Values = dict[RowRef, dict]
Changed = dict[RowRef, dict | None]


def _refs(change: Change) -> tuple[RowRef, ...]:
    if isinstance(change, PersistTransfer):
        return (RowRef(GRANTS, change.source), RowRef(GRANTS, change.grant))
    return (RowRef(BUDGETS, change.budget), RowRef(GRANTS, change.grant))


def _apply(change: Change, values: Values, changed: Changed, sizing: GrantSizing) -> int:
    if isinstance(change, AcquireGrant):
        return _acquire_grant(change, values, changed, sizing)
    if isinstance(change, CloseGrant):
        return _close_grant(change, values, changed)
    return _persist_transfer(change, values, changed)


def _put(ref: RowRef, value: dict | None, values: Values, changed: Changed) -> None:
    values[ref] = value or {}
    changed[ref] = value


def demand_for(acquisition: AcquireGrant, budget: BudgetRow) -> Demand:
    """Combine the acquirer's demand with that of the other zones, as reported in the budget row."""
    others = [reported for zone, reported in budget.zones.items() if zone != acquisition.zone]
    rate, held = sum(reported[0] for reported in others), sum(reported[1] for reported in others)
    return Demand(acquisition.rate, float(rate), held, acquisition.holders)


def _acquire_grant(
    change: AcquireGrant, values: Values, changed: Changed, sizing: GrantSizing
) -> int:
    budget_ref = RowRef(BUDGETS, change.budget)
    budget = BudgetRow.from_value(values[budget_ref])
    if change.paid_version > budget.paid_version:
        budget = replace(budget, paid=change.paid, paid_version=change.paid_version)
    demand = demand_for(change, budget)
    amount = sizing.amount(change.need, change.held, demand, budget.free)
    current = [int(change.rate), change.held + amount]
    zones = {**budget.zones, change.zone: current}
    if amount <= 0:
        scarce = sizing.is_scarce(change.held, demand, budget.free)
        if scarce and _is_significant(budget.zones.get(change.zone), current):
            _put(budget_ref, replace(budget, zones=zones).to_value(), values, changed)
        return 0
    budget = replace(budget, granted=budget.granted + amount, zones=zones)
    grant = GrantRow(change.budget, change.holder, amount)
    _put(budget_ref, budget.to_value(), values, changed)
    _put(RowRef(GRANTS, change.grant), grant.to_value(), values, changed)
    return amount


def _is_significant(reported: list[int] | None, current: list[int]) -> bool:
    """Whether a zone's report has changed enough to justify a write."""
    if reported is None:
        return True
    return any(
        abs(a - b) > SIGNIFICANT_CHANGE * max(a, b) for a, b in zip(reported, current, strict=True)
    )


def _close_grant(change: CloseGrant, values: Values, changed: Changed) -> int:
    grant_ref, budget_ref = RowRef(GRANTS, change.grant), RowRef(BUDGETS, change.budget)
    if not values[grant_ref]:
        return change.amount
    row = GrantRow.from_value(values[grant_ref])
    if row.left or row.amount < change.amount:
        return change.amount if row.left else 0
    budget = BudgetRow.from_value(values[budget_ref])
    budget = replace(
        budget,
        granted=budget.granted - (change.amount - change.settled),
        settled=budget.settled + change.settled,
    )
    rest = replace(row, amount=row.amount - change.amount, left=True)
    _put(budget_ref, budget.to_value(), values, changed)
    _put(grant_ref, rest.to_value() if rest.amount else None, values, changed)
    return change.amount


def _persist_transfer(change: PersistTransfer, values: Values, changed: Changed) -> int:
    own_ref, source_ref = RowRef(GRANTS, change.grant), RowRef(GRANTS, change.source)
    if values[own_ref]:
        return change.tokens
    if not values[source_ref]:
        return 0
    source = GrantRow.from_value(values[source_ref])
    if source.amount < change.tokens:
        return 0
    source = replace(source, amount=source.amount - change.tokens)
    own = GrantRow(change.budget, change.holder, change.tokens)
    is_empty = source.left and source.amount == 0
    _put(source_ref, None if is_empty else source.to_value(), values, changed)
    _put(own_ref, own.to_value(), values, changed)
    return change.tokens
