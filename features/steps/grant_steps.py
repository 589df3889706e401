"""Steps for grants."""

from collections import deque

from behave import given, then, when
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)
from support import FaultyTables, run_batch, run_random_histories

from bilberryshed.coordination import (
    AcquireGrant,
    CloseGrant,
    Demand,
    Grant,
    GrantBatch,
    GrantBook,
    GrantSizing,
    PersistTransfer,
)
from bilberryshed.protocol import Charge, UsageRecord, allocate_tokens
from bilberryshed.state import BUDGETS, BudgetRow, Put, RowRef

BUDGET = "council/winter"
SIZING = GrantSizing(horizon=30.0, min_grant=2000)


def acquire_grant(router, need, paid, number=1, holders=1):
    """Return the change by which a router acquires a grant."""
    return AcquireGrant(
        f"{router}.g{number}", BUDGET, router, paid, 1, need, 0, 0.0, holders, router
    )


def record(key, charges):
    """Return a usage record with these charges."""
    tokens = sum(charge.tokens for charge in charges)
    fields = ("council", "winter", key, "request", "attempt", "drivers", "m@1", tokens)
    return UsageRecord(*fields, tuple(charges), 0.0)


@given("a budget of {paid:d} tokens")
def given_budget(context, paid):
    context.store = FaultyTables()
    context.paid = paid
    context.books = {name: GrantBook(name) for name in "AB"}
    context.concurrent_need = None
    row = BudgetRow(paid, 1, 0, 0).to_value()
    context.store.write((Put(RowRef(BUDGETS, BUDGET), 0, row),))


@given("the store calls result in: {faults}")
@when("the store calls result in: {faults}")
def given_script(context, faults):
    context.store.script = deque(part.strip() for part in faults.split(","))


@given("router B acquires a grant for {need:d} tokens between router A's read and write")
def given_concurrent_acquisition(context, need):
    context.concurrent_need = need


@when("router A acquires a grant for {need:d} tokens")
def when_acquire(context, need):
    batch = GrantBatch((acquire_grant("A", need, context.paid),), SIZING)
    if context.concurrent_need is not None:
        _interleave_transaction(context, batch)
    context.done = run_batch(batch, context.store)
    for change, tokens in context.done.tokens_by_change.items():
        if tokens:
            context.books["A"].add(Grant(change.grant, change.grant, BUDGET, tokens))


def _interleave_transaction(context, batch):
    """Run router B's transaction between the first read and the first write of a batch."""
    original, concurrent_need = batch.on_rows, context.concurrent_need

    def on_rows(rows):
        batch_action = original(rows)
        if context.concurrent_need is not None:
            context.concurrent_need = None
            script, context.store.script = context.store.script, deque()
            run_batch(
                GrantBatch((acquire_grant("B", concurrent_need, context.paid),), SIZING),
                context.store,
            )
            context.store.script = script
        return batch_action

    context.wrapped = on_rows
    batch_class = type(batch)

    class InterleavedBatch(batch_class):
        __slots__ = ()

        def on_rows(self, rows):
            self.__class__ = batch_class
            return on_rows(rows)

    batch.__class__ = InterleavedBatch


@given("router A holds a grant of {amount:d} tokens of which {settled:d} are settled")
def given_held(context, amount, settled):
    sizing = GrantSizing(0.0, amount)
    done = run_batch(GrantBatch((acquire_grant("A", amount, context.paid),), sizing), context.store)
    assert sum(done.tokens_by_change.values()) == amount
    grant = Grant("A.g1", "A.g1", BUDGET, amount, settled=settled)
    context.books["A"].add(grant)
    context.grant = grant


@when("router A closes the grant, retrying until it succeeds")
def when_close(context):
    close = CloseGrant("A.g1", BUDGET, context.grant.amount, context.grant.settled)
    for _ in range(5):
        done = run_batch(GrantBatch((close,), SIZING), context.store)
        if done.error is None:
            assert done.tokens_by_change[close] == close.amount
            return
    raise AssertionError("the grant was not closed in 5 attempts")


@when("router A transfers {tokens:d} tokens to router B")
def when_transfer(context, tokens):
    context.transfer = context.books["A"].transfer("council", "winter", tokens, "B")
    assert context.transfer.tokens == tokens


@when("these events follow: {events}")
def when_network_events(context, events):
    for event in events.split(", "):
        if event == "deliver":
            context.books["B"].receive(context.transfer, BUDGET)
        elif event == "spend 150":
            assert context.books["B"].reserve(BUDGET, 150) is not None
        elif event == "acknowledge":
            context.books["A"].acknowledge((context.transfer.transfer,))


@when("router B persists the transfer, retrying until it succeeds")
def when_persist_transfer(context):
    transfer_change = PersistTransfer(context.transfer.transfer, "A.g1", BUDGET, "B", 200)
    for _ in range(5):
        done = run_batch(GrantBatch((transfer_change,), SIZING), context.store)
        if done.error is None:
            assert done.tokens_by_change[transfer_change] == 200
            return
    raise AssertionError("the transfer was not persisted in 5 attempts")


@when(
    "a grant for {need:d} tokens is sized: {held:d} held at demand {rate:d}, "
    "others {others_held:d} at demand {others:d}, {free:d} free"
)
def when_sizing(context, need, held, rate, others, others_held, free):
    demand = Demand(float(rate), float(others), others_held, 3)
    context.amount = SIZING.amount(need, held, demand, free)
    context.surplus = SIZING.surplus(held, demand, free)


@when("router A reserves 100 tokens, uses 40, and receives the ledger's response twice")
def when_settled_twice(context):
    book = context.books["A"]
    reserved_charges = book.reserve(BUDGET, 100)
    charges = (Charge("A.g1", 40),)
    book.spend(BUDGET, reserved_charges, charges)
    book.settle(BUDGET, charges, record("k", charges))
    book.settle(BUDGET, (), record("k", charges))


@when("router A reserves 100 tokens, uses 40, and the ledger holds a bill on another grant")
def when_duplicate_bill(context):
    book = context.books["A"]
    reserved_charges = book.reserve(BUDGET, 100)
    charges = (Charge("A.g1", 40),)
    book.spend(BUDGET, reserved_charges, charges)
    book.settle(BUDGET, charges, record("k", (Charge("Z.g9", 70),)))


@when("{count:d} random histories of 3 routers are run against the store")
def when_histories(context, count):
    run_random_histories(GrantHistories, count)


@then("none of them spends more than was paid")
def then_never_overspent(context):
    """Nothing to do: the state machine checks its invariants after each step."""


@then("the acquisition reports {reported}")
def then_acquisition_result(context, reported):
    if reported == "an error":
        assert context.done.error is not None, context.done
    else:
        assert context.done.error is None and sum(context.done.tokens_by_change.values()) >= 500


@then("the store holds {rows:d} grants of router A")
def then_rows(context, rows):
    context.store.apply_delayed()
    assert len(context.store.grants()) == rows, context.store.grants()


@then("router A may spend exactly what the store granted it")
def then_spendable(context):
    context.store.apply_delayed()
    granted = sum(row.amount for row in context.store.grants().values() if row.holder == "A")
    assert context.books["A"].free(BUDGET) == granted


@then("at most {paid:d} tokens are granted")
def then_at_most(context, paid):
    context.store.apply_delayed()
    total = sum(row.amount for row in context.store.grants().values())
    assert total == context.store.budget(BUDGET).granted <= paid


@then("the budget has {granted:d} tokens granted and {settled:d} settled")
def then_budget(context, granted, settled):
    context.store.apply_delayed()
    row = context.store.budget(BUDGET)
    assert (row.granted, row.settled) == (granted, settled), row


@then("router A can reserve {a:d} tokens and router B {b:d}")
def then_reservable(context, a, b):
    for name, tokens in (("A", a), ("B", b)):
        assert context.books[name].free(BUDGET) == tokens
        assert context.books[name].reserve(BUDGET, tokens + 1) is None


@then("the transfer is {state} at router A")
def then_transfer_state(context, state):
    assert bool(context.books["A"].outgoing) == (state == "outgoing")


@then("the store's grants of A and B hold {a:d} and {b:d} tokens")
def then_grant_rows(context, a, b):
    context.store.apply_delayed()
    held = {"A": 0, "B": 0}
    for row in context.store.grants().values():
        held[row.holder] += row.amount
    assert held == {"A": a, "B": b}, held


@then("the grant size is {amount:d} tokens")
def then_amount(context, amount):
    assert context.amount == amount, context.amount


@then("{surplus:d} tokens are surplus")
def then_surplus(context, surplus):
    assert context.surplus == surplus, context.surplus


class GrantHistories(RuleBasedStateMachine):
    """Random histories of three routers; every charge ever made is counted against the budget."""

    PAID = 3000
    FAULTS = ("ok", "ok", "ok", "down", "lost", "vanished", "delayed")

    def __init__(self):
        super().__init__()
        self.store = FaultyTables()
        self.books = {}
        self.boots = 0
        self.acquisitions = 0
        self.bills = 0
        self.sent_transfers = []
        self.reservations = []
        self.unsettled = []
        self.used = 0
        for name in range(3):
            self.start(name)
        row = BudgetRow(self.PAID, 1, 0, 0).to_value()
        self.store.write((Put(RowRef(BUDGETS, BUDGET), 0, row),))

    def start(self, name):
        self.boots += 1
        self.books[name] = GrantBook(f"boot{self.boots}")

    @rule(
        name=st.integers(0, 2), need=st.integers(1, 900), faults=st.lists(st.sampled_from(FAULTS))
    )
    def acquire_grant(self, name, need, faults):
        book = self.books[name]
        self.acquisitions += 1
        change = acquire_grant(book.boot, need, self.PAID, self.acquisitions, holders=3)
        self.store.script = deque(f"write {fault}" for fault in faults)
        done = run_batch(GrantBatch((change,), GrantSizing(10.0, 200)), self.store)
        self.store.script.clear()
        if done.tokens_by_change.get(change):
            book.add(Grant(change.grant, change.grant, BUDGET, done.tokens_by_change[change]))

    @rule(name=st.integers(0, 2), tokens=st.integers(1, 400))
    def reserve(self, name, tokens):
        reserved_charges = self.books[name].reserve(BUDGET, tokens)
        if reserved_charges is not None:
            self.reservations.append((self.books[name], reserved_charges))

    @rule(fraction=st.floats(0, 1), is_duplicate=st.booleans())
    def finish(self, fraction, is_duplicate):
        if not self.reservations:
            return
        book, reserved_charges = self.reservations.pop(0)
        reserved_tokens = sum(charge.tokens for charge in reserved_charges)
        charges = allocate_tokens(reserved_charges, int(reserved_tokens * fraction))
        book.spend(BUDGET, reserved_charges, charges)
        self.used += sum(charge.tokens for charge in charges)
        self.unsettled.append((book, charges, is_duplicate))

    @rule()
    def settle_charges(self):
        if not self.unsettled:
            return
        book, charges, is_duplicate = self.unsettled.pop(0)
        self.bills += 1
        ledger_record = record(f"k{self.bills}", () if is_duplicate else charges)
        if is_duplicate:
            self.used -= sum(charge.tokens for charge in charges)
        book.settle(BUDGET, charges, ledger_record)
        book.settle(BUDGET, (), ledger_record)

    @rule(name=st.integers(0, 2), to=st.integers(0, 2), tokens=st.integers(1, 500))
    def transfer(self, name, to, tokens):
        transfer = self.books[name].transfer("council", "winter", tokens, str(to))
        if transfer is not None:
            self.sent_transfers.append((to, transfer))

    @rule(index=st.integers(0, 50))
    def deliver(self, index):
        if self.sent_transfers:
            to, transfer = self.sent_transfers[index % len(self.sent_transfers)]
            self.books[to].receive(transfer, BUDGET)
            for book in self.books.values():
                book.acknowledge((transfer.transfer,))

    @rule(name=st.integers(0, 2), fault=st.sampled_from(FAULTS))
    def maintain(self, name, fault):
        book = self.books[name]
        for grant in book.grants():
            if not grant.persisted:
                change = PersistTransfer(grant.id, grant.source, BUDGET, book.boot, grant.amount)
            elif grant.idle:
                change = CloseGrant(grant.id, BUDGET, grant.amount, grant.settled)
            else:
                continue
            self.store.script = deque([f"write {fault}"])
            done = run_batch(GrantBatch((change,), SIZING), self.store)
            self.store.script.clear()
            if done.error is None and done.tokens_by_change.get(change) == grant.amount:
                if isinstance(change, CloseGrant):
                    book.remove(BUDGET, grant.id)
                else:
                    grant.source = grant.id

    @rule(name=st.integers(0, 2))
    def crash(self, name):
        crashed_book = self.books[name]
        self.reservations = [r for r in self.reservations if r[0] is not crashed_book]
        self.unsettled = [u for u in self.unsettled if u[0] is not crashed_book]
        self.start(name)
        self.sent_transfers = [(to, t) for to, t in self.sent_transfers if to != name]

    @invariant()
    def nothing_is_overspent(self):
        spendable = sum(book.free(BUDGET) for book in self.books.values())
        reserved = sum(book.reserved(BUDGET) for book in self.books.values())
        row = self.store.budget(BUDGET)
        assert self.used + spendable + reserved <= row.granted <= self.PAID
        open_amount = sum(grant.amount for grant in self.store.grants().values())
        assert row.granted == row.settled + open_amount


# After a restore of the table service -------------------------------------------------------


@given("a copy of the table service")
def given_copy(context):
    context.copy = context.store.tables.copy()


@when(
    "the table service comes back from the copy, and router B acquires a grant for {need:d} tokens"
)
def when_restored(context, need):
    context.granted_before = sum(context.done.tokens_by_change.values())
    context.store.tables.restore(context.copy)
    context.done = run_batch(
        GrantBatch((acquire_grant("B", need, context.paid),), SIZING), context.store
    )


@then("both routers together were granted at most {paid:d} tokens")
def then_granted_in_all(context, paid):
    granted = context.granted_before + sum(context.done.tokens_by_change.values())
    assert granted <= paid, granted
