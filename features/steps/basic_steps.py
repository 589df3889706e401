"""Steps for settings, messages, responses, routing and the fair queue."""

import dataclasses
import re
import subprocess
import sys
import tempfile
import types
import typing
from pathlib import Path

import xxhash
from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as arbitrary
from hypothesis import strategies as st
from returns.result import Failure

from bilberryshed.coordination import (
    AgentView,
    FairQueue,
    Members,
    ResponseDamagedError,
    ResponseVerifier,
    Routing,
    owner,
    policies,
)
from bilberryshed.protocol import (
    Charge,
    Chunk,
    Completed,
    FrameError,
    Hello,
    UsageRecord,
    allocate_tokens,
    decode,
    encode,
    registered_classes,
)
from bilberryshed.state import ROUTING_POLICIES, AgentSettings, RouterSettings, Vm, load_settings

VALID_SETTINGS = """[vm]
name = r1
zone = wick
listen = 127.0.0.1:7001
link_listen = 127.0.0.1:7002

[platform]
platform = 127.0.0.1:7000

[routing]
policy = affinity
attempts = 3
"""
FUZZ_SETTINGS = settings(
    max_examples=300, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck)
)


def settings_findings(text):
    """Return the findings of loading router settings from a text."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "router.ini"
        path.write_text(text, encoding="utf-8")
        result = load_settings(RouterSettings, path)
    return result.failure() if isinstance(result, Failure) else ()


@when("router settings are loaded from a valid file")
def when_valid_settings(context):
    context.findings = settings_findings(VALID_SETTINGS)


@when("router settings are loaded from a valid file in which {change}")
def when_changed_settings(context, change):
    text = VALID_SETTINGS
    for old, new in re.findall(r'"([^"]*)" becomes "([^"]*)"', change):
        assert old in text
        text = text.replace(old, new)
    context.findings = settings_findings(text)


@then("there are no findings")
def then_no_findings(context):
    assert not context.findings, context.findings


@then('there is a finding "{text}"')
def then_settings_finding(context, text):
    shown = [f"{f.location}: {f.text}" for f in context.findings]
    assert any(line.startswith(text) for line in shown), shown


@then("there are {count:d} settings findings")
def then_settings_count(context, count):
    assert len(context.findings) == count, context.findings


@then("the sample settings in etc have no findings")
def then_sample_settings(context):
    for pattern, cls in (("router*.ini", RouterSettings), ("agent*.ini", AgentSettings)):
        paths = list(Path("etc").glob(pattern))
        assert paths, pattern
        for path in paths:
            load_settings(cls, path).unwrap()


# Messages -------------------------------------------------------------------------------------


def values_of(hint):
    """Return a strategy for the values of a field type."""
    if hint is float:
        return st.floats(allow_nan=False)
    if hint is int:
        return st.integers(-(2**63), 2**63 - 1)
    if isinstance(hint, types.UnionType):
        return st.one_of(*(values_of(option) for option in hint.__args__))
    if typing.get_origin(hint) is tuple:
        return st.lists(values_of(typing.get_args(hint)[0]), max_size=3).map(tuple)
    if dataclasses.is_dataclass(hint):
        return messages_of(hint)
    return st.from_type(hint)


def messages_of(cls):
    """Return a strategy for the messages of a class."""
    hints = typing.get_type_hints(cls)
    return st.builds(cls, **{name: values_of(hints[name]) for name in cls.__slots__})


any_message = st.one_of(*(messages_of(cls) for cls in registered_classes()))


@then("random messages of every class decode to themselves")
def then_round_trip(context):
    @FUZZ_SETTINGS
    @arbitrary(any_message)
    def check(message):
        assert decode(encode(message)) == message

    check()


@then("random bytes and damaged messages decode or raise FrameError")
def then_decoder_robust(context):
    @FUZZ_SETTINGS
    @arbitrary(any_message, st.binary(max_size=8), st.integers(0, 200))
    def check(message, noise, position):
        data = encode(message)
        for damaged in (noise, data[:position], data[:position] + noise + data[position:]):
            try:
                assert type(decode(damaged)) in registered_classes()
            except FrameError:
                continue

    check()


# Responses ------------------------------------------------------------------------------------

CHUNKS = (b"salt ", b"grit ", b"road ")


def end_frame(attempt, chunks):
    """Return the end frame of a response."""
    record = UsageRecord("c", "b", "k", "r", attempt, "s", "m@1", 0, (), 0.0)
    digest = xxhash.xxh3_128(b"".join(chunks)).digest()
    return Completed(attempt, len(chunks), digest, "stop", 1, 1, record)


@when("the frames arrive: {frames}")
def when_frames(context, frames):
    verifier = ResponseVerifier("a1")
    context.outcome = "damaged"
    try:
        for frame in frames.split(", "):
            if frame == "end of nothing":
                verifier.finish(end_frame("a1", ()))
            elif frame.endswith("end"):
                verifier.finish(end_frame("a2" if "other" in frame else "a1", CHUNKS))
            else:
                number = int(frame[-1])
                attempt = "a2" if "other" in frame else "a1"
                data = b"?" if "changed" in frame else CHUNKS[number]
                verifier.add(Chunk(attempt, number, data))
        context.outcome = "complete"
    except ResponseDamagedError as error:
        context.error = error


@then("the frames form a {outcome} response")
def then_response_outcome(context, outcome):
    assert context.outcome == outcome


@when("{used:d} tokens are used of reservations {reservations}")
def when_tokens_used(context, used, reservations):
    reserved = [Charge(f"g{n}", int(amount)) for n, amount in enumerate(reservations.split(", "))]
    try:
        charges = allocate_tokens(reserved, used)
        context.charges = ", ".join(str(charge.tokens) for charge in charges) or "none"
    except ValueError:
        context.charges = "refused"


@then("the charges are {charges}")
def then_charges(context, charges):
    assert context.charges == charges, context.charges


# Routing --------------------------------------------------------------------------------------


@given("agents")
def given_agents(context):
    context.agents = {}
    for row in context.table:
        context.agents[row["name"]] = AgentView(
            row["name"],
            "wick",
            models=frozenset({row["models"]}),
            slots=int(row["slots"]),
            running=int(row["running"]),
            draining=row["draining"] == "yes",
            healthy=row["healthy"] == "yes",
        )


@given("{name} is idle")
def given_idle(context, name):
    context.agents[name].running = 0


def routing(context, policy):
    """Return the routing of the scenario with its agents."""
    if not hasattr(context, "routing"):
        context.routing = Routing(policy)
        context.routing.agents = context.agents
        context.chosen = []
        context.draws = iter([(n * 0.37 % 1, n * 0.61 % 1) for n in range(1000)])
    return context.routing


def choose(context, policy="affinity", prefixes=(), now=0.0):
    """Choose an agent once and record its name, ``none`` if no agent can serve."""
    agent = routing(context, policy).choose(now, "m@1", prefixes, frozenset(), next(context.draws))
    context.chosen.append(agent.name if agent else "none")
    return context.chosen[-1]


@when("policy {policy} chooses {count:d} times for m@1")
def when_choose(context, policy, count):
    for _ in range(count):
        context.last_agent = choose(context, policy)
        context.routing.finished(0.0, context.last_agent, True)


@when("policy {policy} chooses {count:d} times for m@1 with no attempt ending")
def when_choose_unfinished(context, policy, count):
    for _ in range(count):
        choose(context, policy)


@when("policy affinity chooses for a prompt and the attempt ends")
def when_prompt(context):
    context.last_agent = choose(context, prefixes=(1, 2, 3))
    context.routing.finished(0.0, context.last_agent, True)


@when(
    "policy affinity chooses for the same prompt {count:d} times, "
    "each attempt ending before the next"
)
def when_same_prompt(context, count):
    for _ in range(count):
        name = choose(context, prefixes=(1, 2, 3, 4))
        context.routing.finished(0.0, name, True)


@when("policy affinity chooses for the same prompt {count:d} times with no attempt ending")
def when_same_prompt_unfinished(context, count):
    for _ in range(count):
        choose(context, prefixes=(1, 2, 3))


@when("{names} fails 3 times in a row")
@when("{names} fail 3 times in a row")
def when_fail(context, names):
    for name in names.split(", "):
        for _ in range(3):
            routing(context, "affinity").finished(0.0, name, False)


@then("only {names} were chosen")
def then_only_chosen(context, names):
    assert set(context.chosen) <= set(names.split(", ")), set(context.chosen)


@then("{names} were both chosen")
def then_all_chosen(context, names):
    assert set(context.chosen) == set(names.split(", ")), context.chosen


@then("all attempts were routed to the same agent")
def then_same_agent(context):
    assert len(set(context.chosen)) == 1, context.chosen


@then("no agent is chosen next")
def then_none_chosen(context):
    assert choose(context) == "none"


@then("an agent is chosen next")
def then_one_chosen(context):
    assert choose(context) != "none"


@then("{name} is not chosen for {seconds:d} seconds and then chosen again")
def then_ejected(context, name, seconds):
    while_ejected = {choose(context, now=seconds - 0.1) for _ in range(3)}
    after_ejection = {choose(context, now=seconds + 0.1) for _ in range(6)}
    assert name not in while_ejected and name in after_ejection, (while_ejected, after_ejection)


@when("1000 keys are owned by 10 members and one leaves")
def when_member_leaves(context):
    names = [f"r{n}" for n in range(10)]
    context.before = {f"k{n}": owner(f"k{n}", names) for n in range(1000)}
    context.after = {key: owner(key, names[1:]) for key in context.before}


@then("only keys of the member that left change their owner")
def then_other_owners_unchanged(context):
    for key, name in context.before.items():
        assert name == "r0" or context.after[key] == name


@given("the VM list contained router r2 and its link is {link}")
def given_listed(context, link):
    context.members = Members("r1", "wick")
    context.members.on_list((Vm("r2", "router", "wick", "127.0.0.1:1", "live"),))
    if link == "up":
        context.members.on_link_up(Hello("r2", "boot", "router", "wick", ""))


@when("the VM list no longer contains r2")
def when_unlisted(context):
    context.members.on_list(())


@then("r2 is {outcome}")
def then_member(context, outcome):
    assert ("r2" in context.members.by_name) == (outcome == "kept")


@then("the policies of the settings equal the registered ones")
def then_policies(context):
    assert set(ROUTING_POLICIES) == set(policies)


@then("docs/operators/settings.md equals the output of scripts/settings_reference.py")
def then_settings_reference(context):
    page = Path("docs/operators/settings.md")
    committed = page.read_text(encoding="utf-8")
    subprocess.run([sys.executable, "scripts/settings_reference.py"], check=True)
    assert page.read_text(encoding="utf-8") == committed


# Fair queue -----------------------------------------------------------------------------------


def enqueue_arrivals(queue, arrivals):
    """Enqueue arrivals such as ``A``, ``B:2`` (weight) and ``C p1`` (priority).

    :returns: name of each entry by its number, such as ``A1`` for the first of customer A
    """
    names, counts = {}, {}
    for arrival in arrivals.split(", "):
        customer, _, priority = arrival.partition(" p")
        customer, _, weight = customer.partition(":")
        counts[customer] = counts.get(customer, 0) + 1
        entry = queue.enqueue(0.0, customer, int(weight or 1), int(priority or 0), "m@1")
        names[entry.number] = f"{customer}{counts[customer]}"
    return names


@when("requests arrive: {arrivals}")
def when_arrive(context, arrivals):
    context.queue = FairQueue(limit=50)
    context.names = enqueue_arrivals(context.queue, arrivals)


@then("after {seconds:d} seconds they are served in the order {order}")
def then_served(context, seconds, order):
    served = []
    while context.queue.entries:
        entry = context.queue.order(float(seconds))[0]
        context.queue.remove(entry, served=True)
        served.append(context.names[entry.number])
    assert ", ".join(served) == order, served


@when("60 requests of A and 1 of B arrive at a queue limited to 50 per customer")
def when_flood(context):
    context.queue = FairQueue(limit=50)
    enqueued = [context.queue.enqueue(0.0, "A", 1, 0, "m@1") for _ in range(60)]
    context.queue.enqueue(0.0, "B", 1, 0, "m@1")
    context.rejected = enqueued.count(None)


@then("{count:d} of A were rejected and B is served second")
def then_flood(context, count):
    assert context.rejected == count
    assert context.queue.order(0.0)[1].customer == "B"
