"""Steps for claims and for attempts at an agent."""

from collections import deque
from dataclasses import replace

from behave import given, then, when
from support import FaultyTables

from bilberryshed.coordination import (
    AgentAttempts,
    Claim,
    ClaimAcquired,
    ClaimInsert,
    ReadClaim,
    TerminalState,
    WriteClaim,
    claim_ref,
)
from bilberryshed.protocol import Dispatch, JournalEntry, UsageRecord
from bilberryshed.state import Put

CLAIM_REF = claim_ref("council", "k1")


def stored_claim(store):
    """Return the stored claim, or ``None`` if there is none."""
    row = store.tables.read([(CLAIM_REF.table, CLAIM_REF.key)])[0]
    return Claim.from_value(row[3]) if row[2] else None


@given("attempt {attempt} has claimed key k1 and the claim is {state}")
def given_claim(context, attempt, state):
    context.store = FaultyTables()
    claim = replace(Claim(attempt, "a-s1", "f"), state=state)
    assert context.store.write((Put(CLAIM_REF, 0, claim.to_value()),))


@when("attempt {attempt} claims key k1 and the store calls result in: {faults}")
def when_claim(context, attempt, faults):
    store = context.store = getattr(context, "store", None) or FaultyTables()
    store.script = deque(part.strip() for part in faults.split(","))
    insert = ClaimInsert(CLAIM_REF, Claim(attempt, "a-s1", "f"))
    action = insert.start()
    for _ in range(20):
        if isinstance(action, WriteClaim):
            action = insert.on_written(store.write((action.put,)))
        elif isinstance(action, ReadClaim):
            rows = store.read((action.ref,))
            action = insert.on_row(rows[0] if isinstance(rows, tuple) else rows)
    context.attempt, context.result = attempt, action


@then("the result is {result}")
def then_result(context, result):
    assert type(context.result).__name__ == result, context.result


@then("the call may be dispatched only if the claim of a1 is stored")
def then_claim_stored(context):
    if isinstance(context.result, ClaimAcquired):
        assert stored_claim(context.store).attempt == context.attempt


def dispatch():
    """Return a dispatch of attempt a1."""
    fields = ("a1", "r1", "council", "winter", "k1", "booking", "", False, (), 0)
    return Dispatch(*fields, "POST", "/calls", b"", 0, 5.0, False)


@when("an agent handles: {events}")
def when_agent_handles(context, events):
    attempts = context.attempts = AgentAttempts(capacity=1)
    context.starts = 0
    entry = JournalEntry(
        UsageRecord("council", "winter", "k1", "r1", "a1", "booking", "", 0, (), 0.0),
        *(False, 200, "", b""),
    )
    other = replace(dispatch(), attempt="other")
    for event in events.split(","):
        event = event.strip()
        if event == "dispatch" and not attempts.was_admitted("a1"):
            context.starts += attempts.admit("router-boot", dispatch(), True) is None
        elif event == "query":
            attempts.resolve("a1")
        elif event == "expire":
            attempts.rotate_closed()
        elif event == "drain":
            attempts.draining = True
        elif event == "revoke":
            attempts.revoke(("router-boot",))
        elif event == "full":
            attempts.admit("router-boot", other, True)
        elif event == "free":
            attempts.end("other", TerminalState.FAILED)
        elif event == "end":
            attempts.end("a1", TerminalState.RECORDED, entry)
        elif event == "fail":
            attempts.end("a1", TerminalState.FAILED)


@then("the attempt started {starts:d} times")
def then_starts(context, starts):
    assert context.starts == starts, context.starts


@then("the agent reports {reported_state}")
def then_reported_state(context, reported_state):
    terminal_state = context.attempts.resolve("a1")
    assert (terminal_state or "running") == reported_state, terminal_state
