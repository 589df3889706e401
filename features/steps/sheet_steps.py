"""Steps for the sheet."""

import re
from collections import deque
from pathlib import Path

from behave import given, then, when
from hypothesis import given as arbitrary
from hypothesis import settings
from hypothesis import strategies as st
from returns.result import Failure
from support import FaultyTables, run_batch

from bilberryshed.coordination import (
    Accepted,
    AcquireGrant,
    ActiveSheet,
    Conflict,
    GrantBatch,
    GrantSizing,
    ReadRows,
    Rollout,
    Submission,
    WriteRows,
)
from bilberryshed.state import (
    BUDGETS,
    SHEET_HEAD,
    SHEETS,
    Budget,
    BudgetRow,
    Put,
    RowRef,
    Sheet,
    SheetHead,
    parse_sheet,
)

BUDGET = "council/winter"


def sheet_with_budget(paid):
    """Return a sheet with one budget of ``paid`` tokens."""
    return Sheet(budgets={BUDGET: Budget("council", "winter", paid)})


def run_submission(state_machine, store):
    """Run a submission until it returns its result."""
    action = state_machine.start()
    for _ in range(80):
        if isinstance(action, ReadRows):
            action = state_machine.on_rows(store.read(action.refs))
        elif isinstance(action, WriteRows):
            action = state_machine.on_written(store.write(action.puts))
        else:
            return action
    raise AssertionError("the submission returned no result")


def submission(name, base, new):
    """Return the submission of sheet ``new``, based on version ``base``."""
    return Submission(
        "f.csv", base, sheet_with_budget(1000), new, SheetHead(base + 1, "d", name, name)
    )


@then("sheet {path} has no findings and {customers:d} customers")
def then_sample(context, path, customers):
    sheet = parse_sheet(path, Path(path).read_bytes()).unwrap()
    assert len(sheet.customers) == customers


@when("in sheet {path} {change}")
def when_changed(context, path, change):
    data = Path(path).read_bytes()
    for old, new in re.findall(r'"([^"]*)" becomes "([^"]*)"', change):
        new_bytes = new.encode("latin-1").replace(b"\\xff", b"\xff")
        assert old.encode() in data, old
        count = -1 if " and " in change else 1
        data = data.replace(old.encode(), new_bytes, count)
    context.findings = parse_sheet("s.csv", data).failure()


@then('a finding at "{location}" contains "{text}"')
def then_finding(context, location, text):
    matching = [f for f in context.findings if f.location == location and text in f.text]
    assert matching, [str(f) for f in context.findings]


@then("there are {count:d} findings")
def then_count(context, count):
    assert len(context.findings) == count, [str(f) for f in context.findings]


@given("version 1 is accepted")
def given_accepted(context):
    context.store = FaultyTables()
    state_machine = Submission(
        "f.csv", 0, Sheet(), sheet_with_budget(1000), SheetHead(1, "d", "s", "p")
    )
    assert isinstance(run_submission(state_machine, context.store), Accepted)


@given("{granted:d} tokens of the budget are granted")
def given_granted(context, granted):
    row = BudgetRow(1000, 1, granted, 0)
    assert context.store.write((Put(RowRef(BUDGETS, BUDGET), 0, row.to_value()),))


@when("a planner submits on base 1 and the store calls result in: {faults}")
def when_submit(context, faults):
    context.store.script = deque(part.strip() for part in faults.split(","))
    context.results = [run_submission(submission("p1", 1, sheet_with_budget(900)), context.store)]


@when("two planners submit on base 1 and the first one's store calls result in: {faults}")
def when_two_submit(context, faults):
    store, script = context.store, deque(part.strip() for part in faults.split(","))
    first, second = submission("p1", 1, sheet_with_budget(900)), submission(
        "p2", 1, sheet_with_budget(800)
    )
    store.script = script
    action = first.on_rows(store.read(first.start().refs))
    action = first.on_written(store.write(action.puts))
    store.script = deque()
    context.results = [run_submission(second, store)]
    for _ in range(20):
        if isinstance(action, ReadRows):
            action = first.on_rows(store.read(action.refs))
        elif isinstance(action, WriteRows):
            action = first.on_written(store.write(action.puts))
    context.results.append(action)


@when("a planner submits a sheet with a budget of {paid:d} and the store calls result in: {faults}")
def when_budget_submitted(context, paid, faults):
    context.store.script = deque(part.strip() for part in faults.split(","))
    context.results = [run_submission(submission("p1", 1, sheet_with_budget(paid)), context.store)]


@when("a router that still has version 1 acquires a grant for {need:d} tokens")
def when_outdated_acquire(context, need):
    acquisition = AcquireGrant("A.g1", BUDGET, "A", 1000, 1, need, 0, 0.0, 1, "wick")
    run_batch(GrantBatch((acquisition,), GrantSizing(30.0, 2000)), context.store)


@when("a process receives versions {versions}")
def when_versions_offered(context, versions):
    context.rollout = Rollout()
    for version in versions.split(", "):
        context.rollout.apply(ActiveSheet(int(version), "d", b"", Sheet()))


@then("the submission is {result}")
def then_submission(context, result):
    assert type(context.results[0]).__name__ == result, context.results


@then("exactly one of them is Accepted and the other has a Conflict")
def then_one_accepted(context):
    type_names = sorted(type(result).__name__ for result in context.results)
    assert type_names == [Accepted.__name__, Conflict.__name__], context.results


@then("the accepted version is {version:d} with {count:d} in the history")
def then_version(context, version, count):
    context.store.apply_delayed()
    head = context.store.read((SHEET_HEAD,))[0]
    assert SheetHead.from_value(head.value).version == version
    assert len(context.store.tables.scan(SHEETS, "history/", "", 100)) == count


@then("at most {paid:d} tokens are granted in all")
def then_granted(context, paid):
    assert context.store.budget(BUDGET).granted <= paid, context.store.budget(BUDGET)


@then("version {version:d} is active")
def then_active_version(context, version):
    assert context.rollout.version == version


@then("random bytes and damaged sample sheets parse to a sheet or findings")
def then_parser_robust(context):
    sample = Path("etc/cairnbrae.csv").read_bytes()
    options = settings(max_examples=300, derandomize=True, deadline=None, database=None)

    @options
    @arbitrary(st.binary(max_size=40), st.integers(0, len(sample)), st.integers(0, 200))
    def check(noise, position, cut):
        damaged = sample[:position] + noise + sample[position + cut :]
        for content in (noise, damaged):
            result = parse_sheet("s.csv", content)
            if isinstance(result, Failure):
                assert result.failure() and all(f.location for f in result.failure())
            else:
                assert isinstance(result.unwrap(), Sheet)

    check()
