"""Steps for the audit, the burn rates and metrics."""

import re
import socket

from behave import given, then, when

from bilberryshed.coordination import TallyLine, TokenTrace, audit, burn_rates, trace_tokens
from bilberryshed.protocol import Charge, UsageRecord
from bilberryshed.state import Address, BudgetRow, GrantRow
from bilberryshed.transport import Metrics

BUDGET = "council/winter"
NOW = 100_000.0  # seconds since the epoch


@given(
    "a budget of {paid:d} paid with {granted:d} granted, {settled:d} settled "
    "and open grants {grants}"
)
def given_budget(context, paid, granted, settled, grants):
    context.budgets = {BUDGET: BudgetRow(paid, 1, granted, settled)}
    context.grants, context.paid = {}, {BUDGET: paid}
    for grant in () if grants == "none" else grants.split(", "):
        name, amount = grant.split()
        context.grants[name] = GrantRow(BUDGET, "A", int(amount))


@when("the ledger to be audited holds {bills}")
def when_bills(context, bills):
    records = []
    for bill in () if bills == "none" else bills.split(", "):
        key, tokens, charged, grant = re.fullmatch(
            r"(\w+) (\d+)(?: as (\d+))? on (\w+)", bill
        ).groups()
        charges = (Charge(grant, int(charged or tokens)),)
        fields = ("council", "winter", key, "r", "a", "s", "m@1", int(tokens))
        records.append(UsageRecord(*fields, charges, 0.0))
    context.audit = audit(records, context.budgets, context.grants, context.paid)


@then("the audit finds {finding}")
def then_finding(context, finding):
    if finding == "nothing":
        assert not context.audit.findings and not context.audit.overspend, context.audit
    else:
        assert any(finding in text for text in context.audit.findings), context.audit.findings


@when("the tallies are {lines}")
def when_tallies(context, lines):
    found = re.findall(r"(\d+) with (\d+) missed (\d+) minutes? ago", lines)
    context.lines = [
        TallyLine(NOW - 60 * int(ago), "drivers", "council", int(total), int(missed))
        for total, missed, ago in found
    ]


@then("the burn rates of 5 minutes and an hour are {short:f} and {long:f}")
def then_rates(context, short, long):
    rates = burn_rates(context.lines, NOW, (300.0, 3600.0))
    found = rates.get(("drivers", "council"), (0.0, 0.0))
    assert [round(rate, 6) for rate in found] == [short, long], found


@when("a process with a statsd address counts one answered request")
def when_counts(context):
    context.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.socket.bind(("127.0.0.1", 0))
    context.socket.settimeout(2)
    context.add_cleanup(context.socket.close)
    address = Address("127.0.0.1", context.socket.getsockname()[1])
    Metrics(address, "bilberryshed.test").count("answered")


@then("statsd receives {text}")
def then_statsd(context, text):
    assert context.socket.recv(1000).decode() == text


@given("the log of a gateway that is killed and started again")
def given_token_log(context):
    context.log = """
 0.1 a event=started vm=a boot=a.1
 0.1 a event=prepaid vm=a customer=council total=1000 before=
 0.2 a event=sent vm=a request=r1 customer=council reserved=120
 0.3 a event=tokens vm=a request=r1 customer=council reserved=120 spent=100 events=3
 0.4 a event=sent vm=a request=r2 customer=council reserved=50
 0.5 a event=tokens vm=a request=r2 customer=council reserved=50 spent=30 events=0
 0.6 a event=sent vm=a request=r3 customer=council reserved=60
 0.7 a event=sent vm=a request=r4 customer= reserved=0
 2.0 a event=started vm=a boot=a.2
 2.1 a event=account_closed vm=a boot=a.1 customer=council granted=900 charged=350 recorded=300
 2.2 a event=sent vm=a request=r5 customer=council reserved=70
 2.3 a event=tokens vm=a request=r5 customer=council reserved=70 spent=50 events=2
"""


@then(
    "the trace of tokens is {total:d} in all: {delivered:d} delivered, {undelivered:d} "
    "undelivered, {interrupted:d} interrupted, {written_off:d} written off, {left:d} left"
)
def then_token_trace(context, total, delivered, undelivered, interrupted, written_off, left):
    (trace,) = trace_tokens({"a.log": context.log}).traces
    expected = TokenTrace("council", total, delivered, undelivered, interrupted, written_off)
    assert trace == expected and trace.left == left, trace


@given('a line of it was cut within the field "{field}"')
def given_cut_line(context, field):
    head, _, rest = context.log.partition(f"{field}=")
    context.log = f"{head}{field}=\n" + rest.partition("\n")[2]


@then("the trace of tokens names line {number:d} as unreadable")
def then_unreadable(context, number):
    report = trace_tokens({"a.log": context.log})
    assert report.unreadable == (f"a.log:{number}",), report.unreadable
    assert len(report.traces) == 1, report.traces
