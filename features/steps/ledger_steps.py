"""Steps for the ledger."""

from behave import given, then, when
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)
from support import FaultyObjects, play_histories

from bilberryshed.coordination import PutSegment, ShardWriter
from bilberryshed.protocol import UsageRecord, decode


def bill(key, witness):
    """Return a record whose request id tells who offered it."""
    return UsageRecord("council", "winter", key, witness, "a", "drivers", "m@1", 0, (), 0.0)


def step(writer, store, fault="ok"):
    """Run one action of a writer; returns the records reported as kept."""
    action = writer.next_action()
    if action is None:
        return None
    name = f"{action.number:06d}"
    if isinstance(action, PutSegment):
        return writer.on_put(store.put(name, action.data, fault))
    return writer.on_read(store.objects.get(name))


def run(writer, store, faults=()):
    """Drive a writer until it rests; returns the records reported as kept."""
    kept, left = [], list(faults)
    for _ in range(60):
        is_put = writer.caught_up and bool(writer.waiting or writer.unwritten)
        records = step(writer, store, left.pop(0) if is_put and left else "ok")
        if records is None:
            return kept
        kept += records
        if is_put:
            store.apply_delayed()
    raise AssertionError("the writer does not rest")


def chain(store):
    """Return all records of the ledger, in order."""
    names = sorted(store.objects.objects)
    assert names == [f"{n:06d}" for n in range(1, len(names) + 1)], names
    return [record for name in names for record in decode(store.objects.get(name)).records]


@given("writer {name} of a shard")
def given_writer(context, name):
    context.store = getattr(context, "store", None) or FaultyObjects()
    context.writers = getattr(context, "writers", {})
    context.writers[name] = ShardWriter(0, name)


@when("A is offered bills {keys} and its puts go: {faults}")
def when_offered(context, keys, faults):
    writer = context.writers["A"]
    for key in keys.split(", "):
        writer.offer(bill(key, "A"))
    context.kept = {"A": run(writer, context.store, faults.split(", "))}


@when("A is offered bills {first} and B is offered bills {second} at the same moment")
def when_race(context, first, second):
    for name, keys in (("A", first), ("B", second)):
        for key in keys.split(", "):
            context.writers[name].offer(bill(key, name))
    context.kept = {"A": [], "B": []}
    for _ in range(20):
        for name, writer in context.writers.items():
            context.kept[name] += step(writer, context.store) or ()


@when("a new writer B is offered bills {keys}")
def when_new(context, keys):
    writer = context.writers["B"] = ShardWriter(0, "B")
    for key in keys.split(", "):
        writer.offer(bill(key, "B"))
    context.kept["B"] = run(writer, context.store)


@when("bills {keys} are kept one after the other by a writer that keeps {cache_size:d} whole")
def when_kept(context, keys, cache_size):
    context.writers["A"] = ShardWriter(0, "A", cache_size)
    for key in keys.split(", "):
        context.writers["A"].offer(bill(key, "A"))
        run(context.writers["A"], context.store)


@when("bill {key} is offered again by another witness")
def when_offered_again(context, key):
    assert context.writers["A"].offer(bill(key, "other")) is None
    context.kept = {"B": run(context.writers["A"], context.store)}


@when("{count:d} random histories of 2 ledger writers are played")
def when_histories(context, count):
    play_histories(LedgerHistories, count)


@then("the ledger holds each of {keys} once")
def then_once(context, keys):
    context.store.apply_delayed()
    assert sorted(record.key for record in chain(context.store)) == keys.split(", ")


@then("A reports each of {keys} as kept")
def then_reported(context, keys):
    assert sorted({record.key for record in context.kept["A"]}) == keys.split(", ")


@then("both report the record that the ledger holds")
def then_same(context):
    held = {record.key: record for record in chain(context.store)}
    for name, keys in (("A", ("k1", "k2")), ("B", ("k2", "k3"))):
        reported = {record.key: record for record in context.kept[name]}
        for key in keys:
            assert reported[key] == held[key]


@then("B reports the record of A")
def then_of_a(context):
    assert [r.request for r in context.kept["B"] if r.key == "k1"] == ["A"]


@then("every bill was kept once and every verdict was true")
def then_true(context):
    """The invariants were checked after each step of each history."""


class LedgerHistories(RuleBasedStateMachine):
    """Two writers of one shard, whose puts are lost, late and raced, and which restart."""

    FAULTS = ("ok", "ok", "down", "lost", "vanished", "delayed")

    def __init__(self):
        super().__init__()
        self.store = FaultyObjects()
        self.writers = [ShardWriter(0, "w0", cache_size=2), ShardWriter(0, "w1", cache_size=2)]
        self.starts = 2
        self.verdicts = []

    @rule(which=st.integers(0, 1), key=st.integers(0, 8))
    def offer(self, which, key):
        record = bill(f"k{key}", f"w{which}.{len(self.verdicts)}")
        kept = self.writers[which].offer(record)
        if kept is not None:
            self.verdicts.append(kept)

    @rule(which=st.integers(0, 1), fault=st.sampled_from(FAULTS))
    def act(self, which, fault):
        self.verdicts += step(self.writers[which], self.store, fault) or ()

    @rule()
    def late(self):
        self.store.apply_delayed()

    @rule(which=st.integers(0, 1))
    def restart(self, which):
        self.writers[which] = ShardWriter(0, f"w{self.starts}", cache_size=2)
        self.starts += 1

    @invariant()
    def every_bill_once(self):
        records = chain(self.store)
        keys = [record.key for record in records]
        assert len(keys) == len(set(keys)), keys
        held = {record.key: record for record in records}
        for verdict in self.verdicts:
            assert held[verdict.key] == verdict
