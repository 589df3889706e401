"""Steps for the ledger."""

from behave import given, then, when
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)
from support import FaultyObjects, run_random_histories

from bilberryshed.coordination import PutSegment, ShardWriter
from bilberryshed.protocol import UsageRecord, decode


def make_record(key, reporter):
    """Return a usage record whose request id names the process that reported it."""
    return UsageRecord("council", "winter", key, reporter, "a", "drivers", "m@1", 0, (), 0.0)


def run_next_action(writer, store, fault="ok"):
    """Run one action of a writer; returns the committed records, ``None`` if there is no action."""
    action = writer.next_action()
    if action is None:
        return None
    name = f"{action.number:06d}"
    if isinstance(action, PutSegment):
        return writer.on_put(store.put(name, action.data, fault))
    return writer.on_read(store.objects.get(name))


def run_until_idle(writer, store, faults=()):
    """Run a writer until it is idle; returns the records reported as committed."""
    committed, remaining_faults = [], list(faults)
    for _ in range(60):
        is_put = writer.caught_up and bool(writer.pending_records or writer.pending_segment)
        records = run_next_action(
            writer, store, remaining_faults.pop(0) if is_put and remaining_faults else "ok"
        )
        if records is None:
            return committed
        committed += records
        if is_put:
            store.apply_delayed()
    raise AssertionError("the writer does not become idle")


def ledger_records(store):
    """Return all records of the ledger in order; the segments must be numbered without gaps."""
    names = sorted(store.objects.objects)
    assert names == [f"{n:06d}" for n in range(1, len(names) + 1)], names
    return [record for name in names for record in decode(store.objects.get(name)).records]


@given("writer {name} of a shard")
def given_writer(context, name):
    context.store = getattr(context, "store", None) or FaultyObjects()
    context.writers = getattr(context, "writers", {})
    context.writers[name] = ShardWriter(0, name)


@when("bills {keys} are submitted to A and its puts result in: {faults}")
def when_bills_submitted(context, keys, faults):
    writer = context.writers["A"]
    for key in keys.split(", "):
        writer.submit(make_record(key, "A"))
    context.committed = {"A": run_until_idle(writer, context.store, faults.split(", "))}


@when("bills {first} are submitted to A and bills {second} to B concurrently")
def when_concurrent_bills(context, first, second):
    for name, keys in (("A", first), ("B", second)):
        for key in keys.split(", "):
            context.writers[name].submit(make_record(key, name))
    context.committed = {"A": [], "B": []}
    for _ in range(20):
        for name, writer in context.writers.items():
            context.committed[name] += run_next_action(writer, context.store) or ()


@when("bills {keys} are submitted to a new writer B")
def when_new_writer(context, keys):
    writer = context.writers["B"] = ShardWriter(0, "B")
    for key in keys.split(", "):
        writer.submit(make_record(key, "B"))
    context.committed["B"] = run_until_idle(writer, context.store)


@when("bills {keys} are committed one by one by a writer that caches {cache_size:d} record")
def when_committed(context, keys, cache_size):
    context.writers["A"] = ShardWriter(0, "A", cache_size)
    for key in keys.split(", "):
        context.writers["A"].submit(make_record(key, "A"))
        run_until_idle(context.writers["A"], context.store)


@when("bill {key} is submitted again by another reporter")
def when_bill_submitted_again(context, key):
    assert context.writers["A"].submit(make_record(key, "other")) is None
    context.committed = {"B": run_until_idle(context.writers["A"], context.store)}


@when("{count:d} random histories of 2 ledger writers are run")
def when_histories(context, count):
    run_random_histories(LedgerHistories, count)


@then("the ledger holds each of {keys} once")
def then_committed_once(context, keys):
    context.store.apply_delayed()
    assert sorted(record.key for record in ledger_records(context.store)) == keys.split(", ")


@then("A reports each of {keys} as committed")
def then_reported(context, keys):
    assert sorted({record.key for record in context.committed["A"]}) == keys.split(", ")


@then("both report the record that the ledger holds")
def then_both_match_ledger(context):
    ledger_by_key = {record.key: record for record in ledger_records(context.store)}
    for name, keys in (("A", ("k1", "k2")), ("B", ("k2", "k3"))):
        reported = {record.key: record for record in context.committed[name]}
        for key in keys:
            assert reported[key] == ledger_by_key[key]


@then("bill k1 is reported with the record of A")
def then_record_of_a(context):
    assert [r.request for r in context.committed["B"] if r.key == "k1"] == ["A"]


@then("every bill was committed once and every response matched the ledger")
def then_invariants_held(context):
    """Nothing to do: the state machine checks its invariants after each step."""


class LedgerHistories(RuleBasedStateMachine):
    """Two concurrent writers of one shard that restart and whose puts are lost or delayed."""

    FAULTS = ("ok", "ok", "down", "lost", "vanished", "delayed")

    def __init__(self):
        super().__init__()
        self.store = FaultyObjects()
        self.writers = [ShardWriter(0, "w0", cache_size=2), ShardWriter(0, "w1", cache_size=2)]
        self.starts = 2
        self.responses = []

    @rule(index=st.integers(0, 1), key=st.integers(0, 8))
    def offer(self, index, key):
        record = make_record(f"k{key}", f"w{index}.{len(self.responses)}")
        committed = self.writers[index].submit(record)
        if committed is not None:
            self.responses.append(committed)

    @rule(index=st.integers(0, 1), fault=st.sampled_from(FAULTS))
    def advance(self, index, fault):
        self.responses += run_next_action(self.writers[index], self.store, fault) or ()

    @rule()
    def apply_late_puts(self):
        self.store.apply_delayed()

    @rule(index=st.integers(0, 1))
    def restart(self, index):
        self.writers[index] = ShardWriter(0, f"w{self.starts}", cache_size=2)
        self.starts += 1

    @invariant()
    def every_bill_committed_once(self):
        records = ledger_records(self.store)
        keys = [record.key for record in records]
        assert len(keys) == len(set(keys)), keys
        ledger_by_key = {record.key: record for record in records}
        for response in self.responses:
            assert ledger_by_key[response.key] == response
