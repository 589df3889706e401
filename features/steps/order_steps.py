"""Steps for orders, leases and placement."""

import time

from behave import then, when
from fleet_support import SHEET, run, submit

from bilberryshed.coordination import EngineView, Lease, LeaseRow, OrderFence, plan_orders
from bilberryshed.state import PLACEMENT_LEASE, Row
from bilberryshed_load import LoadRequest, send_request


@when("an agent's gate sees: {events}")
def when_gate(context, events):
    gate = OrderFence()
    for event in events.split(", "):
        if event == "restart":
            gate = OrderFence()
        elif event.startswith("learn"):
            gate.observe(int(event.split()[1]))
        else:
            context.admission = gate.admit(int(event.split()[1]))


@then("the last order is {verdict}")
def then_order(context, verdict):
    assert context.admission == verdict, context.admission


@when("routers A and B act on the lease: {events}")
def when_lease(context, events):
    context.leases = {name: Lease(name, 10.0) for name in "AB"}
    context.wall, context.row = 1000.0, Row(PLACEMENT_LEASE, 0, {})
    for event in events.split(", "):
        if event.endswith("seconds"):
            context.wall += int(event.split()[0])
            continue
        lease = context.leases[event[0]]
        put = lease.acquire(context.wall, context.row)
        if put is None:
            lease.on_lost()
            continue
        context.row = Row(PLACEMENT_LEASE, put.version + 1, put.value)
        lease.on_acquired(put)


@then("{holders} hold it and the number is {number:d}")
def then_lease(context, holders, number):
    held = [name for name, lease in context.leases.items() if lease.held(context.wall)]
    assert held == holders.split(" and "), held
    assert LeaseRow.from_value(context.row.value).number == number


@when("the sheet wants {wanted} and the engines have {engines}")
def when_plan(context, wanted, engines):
    counts = {part.split()[0]: int(part.split()[1]) for part in wanted.split(", ")}
    views = []
    for engine in engines.split("; "):
        name, _, models = engine.partition(":")
        usable = "(gone)" not in models
        loaded = models.replace("(gone)", "").strip()
        loaded_set = frozenset(loaded.split("+")) if loaded else frozenset()
        views.append(EngineView(name, loaded_set, frozenset(), usable))
    context.orders = plan_orders(counts, tuple(views))


@then("the orders are {orders}")
def then_orders(context, orders):
    shown = ", ".join(f"{o.kind} {o.model} on {o.agent}" for o in context.orders) or "none"
    assert shown == orders, shown


@when("a sheet is submitted in which brae-small@6 takes the place of brae-small@5")
def when_version(context):
    text = SHEET.read_text(encoding="utf-8")
    text = text.replace("brae-small@5", "brae-small@6").replace("brae-small,5", "brae-small,6")
    path = context.fleet.plan.directory / "version6.csv"
    path.write_text(text, encoding="utf-8")
    submit(context.fleet, path, 1)


@then("within {limit:d} seconds {count:d} engines have {new} and none has {old}")
def then_loaded(context, limit, count, new, old):
    deadline = time.monotonic() + limit
    while time.monotonic() < deadline:
        models = [status["models"] for status in context.fleet.statuses("bilberryshed-agent")]
        if sum(new in m for m in models) == count and not any(old in m for m in models):
            return
        time.sleep(0.1)
    raise AssertionError(models)


@then("highland-council is answered by {model}")
def then_answered(context, model):
    question = LoadRequest(
        "highland-council", "", "drivers", prompt="Is the road open?", max_tokens=8, model=model
    )
    answer = run(context, lambda: send_request(context.fleet.plan.router_urls[0], question))
    assert answer.complete and answer.text == question.expected_text, answer
