"""Steps for the release of the grants of a terminated holder."""

import time

from behave import given, then, when
from fleet_support import records_reader, run, start_fleet

from bilberryshed.coordination import GONE_CONFIRM_TIME, MembershipSnapshot, Reclaim
from bilberryshed.protocol import Charge, UsageRecord
from bilberryshed.state import GRANTS, GrantRow, Vm, budget_key

BUDGET = budget_key("council", "winter")
MEMBER_BOOTS = {"A": "A.1", "x": "x.1", "y": "y.1"}


def vm(name, state="live"):
    """Return an entry of the VM list."""
    return Vm(name, "agent", "wick", "127.0.0.1:1", state)


@given("router B holds grant B.1.g1 of {amount:d} tokens")
def given_grant(context, amount):
    context.grants = {"B.1.g1": GrantRow(BUDGET, "B.1", amount)}
    context.boots = dict(MEMBER_BOOTS)
    context.listed = {name: vm(name) for name in MEMBER_BOOTS}
    context.reclaim = Reclaim()


@given("router A has persisted transfer B.1.t1 of {amount:d} tokens")
def given_persisted(context, amount):
    context.grants["B.1.t1"] = GrantRow(BUDGET, "A.1", amount)


@given("B is {listed} in the VM list and its link is {link}")
@when("B is {listed} in the VM list and its link is {link}")
def when_listed(context, listed, link):
    if listed != "missing":
        context.listed["B"] = vm("B", listed)
    if link == "up":
        context.boots["B"] = "B.1"
    elif link != "down":
        context.boots["B"] = "B.2"
    for now in (0.0, GONE_CONFIRM_TIME):
        context.revoked = context.reclaim.revoke_gone(
            now, context.grants, membership_snapshot(context)
        )


def membership_snapshot(context):
    """Return the VM list and the boot ids of the connected processes."""
    return MembershipSnapshot(tuple(context.listed.values()), context.boots)


@when("these processes acknowledge the revocation: {names}")
def when_acks(context, names):
    for name in names.split(", "):
        if name != "nobody":
            context.reclaim.acknowledge(name, context.boots[name], ("B.1",))


@when("then {event}")
def when_event(context, event):
    name = event.split()[-2] if "appears" in event else event.split()[0]
    if event.endswith("restarts"):
        context.boots[name] += "0"
    elif event.endswith("disconnects"):
        del context.boots[name]
    elif event.endswith("is gone"):
        del context.boots[name]
        context.listed[name] = vm(name, "gone")
    elif event.endswith("appears"):
        context.listed[name] = vm(name)
        context.boots[name] = f"{name}.1"


@when("the ledger holds bills of {bills}")
def when_bills(context, bills):
    context.records = []
    for number, bill in enumerate(bills.split(", ")):
        if bill != "nothing":
            tokens, grant = bill.split(" on ")
            charges = (Charge(grant, int(tokens)),)
            fields = ("council", "winter", f"k{number}", "r", "a", "s", "m@1", int(tokens))
            context.records.append(UsageRecord(*fields, charges, 0.0))


@then("B.1 is {expected}")
def then_revoked(context, expected):
    assert context.revoked == (("B.1",) if expected == "revoked" else ())


@then("the acknowledgements are {completeness}")
def then_acknowledgements(context, completeness):
    assert context.reclaim.is_complete(membership_snapshot(context)) == (completeness == "complete")


@then("closing settles {settled:d} tokens")
def then_settled(context, settled):
    grants_to_close = context.reclaim.grants_to_close(context.grants, context.records)
    assert [(c.grant, c.settled) for c in grants_to_close] == [("B.1.g1", settled)], grants_to_close


@given("a Cairnbrae fleet with its sheet active that reclaims every second")
def given_reclaiming(context):
    context.fleet = start_fleet(context, {"grants": {"reclaim_interval": "1"}})
    context.first_boot = context.fleet.status("r-inverness-1")["boot"]


@when("r-inverness-1 is restarted")
def when_restarted(context):
    process = context.fleet.plan.process("r-inverness-1")
    context.fleet.start_process(process)
    context.fleet.wait_for(process, "/ready")


@when("a-e1 is suspended and r-inverness-1 is restarted")
def when_suspended(context):
    context.fleet.wait_until_delivered(15.0)
    context.fleet.set_suspended("a-e1", True)
    when_restarted(context)


def open_grants(context):
    """Return the open grants of the killed router, found by its boot id."""
    rows = run(context, lambda: records_reader(context).tables.scan(GRANTS, "", "", 1000)).unwrap()
    grants = [GrantRow.from_value(row.value) for row in rows]
    return [grant for grant in grants if grant.holder == context.first_boot]


def wait_closed(context, limit):
    """Wait until no grant of the killed router is open.

    :param limit: seconds
    :raises AssertionError: with the open grants, if some remain after the limit
    """
    deadline = time.monotonic() + limit
    while open_grants(context):
        assert time.monotonic() < deadline, open_grants(context)
        time.sleep(0.2)


@then("within {limit:d} seconds no grant of the killed router is open")
def then_closed(context, limit):
    wait_closed(context, limit)


@then("for {seconds:d} seconds the grants of the killed router stay open")
def then_open(context, seconds):
    deadline = time.monotonic() + seconds
    before = open_grants(context)
    assert before, "the killed router had no open grants"
    while time.monotonic() < deadline:
        assert len(open_grants(context)) == len(before)
        time.sleep(0.2)


@then("after a-e1 resumes, within {limit:d} seconds no grant of the killed router is open")
def then_resumed(context, limit):
    context.fleet.set_suspended("a-e1", False)
    wait_closed(context, limit)
