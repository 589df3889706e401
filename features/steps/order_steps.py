"""Steps for orders, leases and placement."""

import time

from behave import then, when
from fleet_support import SHEET_PATH, run, submit_sheet

from bilberryshed.coordination import EngineView, Lease, LeaseRow, OrderFence, plan_orders
from bilberryshed.state import PLACEMENT_LEASE, Row
from bilberryshed_load import LoadRequest, send_request


@when("an agent's order fence receives: {events}")
def when_fence(context, events):
    fence = OrderFence()
    for event in events.split(", "):
        if event == "restart":
            fence = OrderFence()
        elif event.startswith("observe"):
            fence.observe(int(event.split()[1]))
        else:
            context.admission = fence.admit(int(event.split()[1]))


@then("the last order is {expected}")
def then_admission(context, expected):
    assert context.admission == expected, context.admission


@when("routers A and B act on the lease: {events}")
def when_lease(context, events):
    context.leases = {name: Lease(name, 10.0) for name in "AB"}
    context.wall_time, context.row = 1000.0, Row(PLACEMENT_LEASE, 0, {})
    for event in events.split(", "):
        if event.endswith("seconds"):
            context.wall_time += int(event.split()[0])
            continue
        lease = context.leases[event[0]]
        put = lease.acquire(context.wall_time, context.row)
        if put is None:
            lease.on_lost()
            continue
        context.row = Row(PLACEMENT_LEASE, put.version + 1, put.value)
        lease.on_acquired(put)


@then("the lease is held by {holders} with number {number:d}")
def then_lease(context, holders, number):
    held = [name for name, lease in context.leases.items() if lease.held(context.wall_time)]
    assert held == holders.split(" and "), held
    assert LeaseRow.from_value(context.row.value).number == number


@when("the sheet requires {desired} and the engines have {engines}")
def when_plan(context, desired, engines):
    counts = {part.split()[0]: int(part.split()[1]) for part in desired.split(", ")}
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


@when("a sheet is submitted in which brae-small@6 replaces brae-small@5")
def when_version_replaced(context):
    text = SHEET_PATH.read_text(encoding="utf-8")
    text = text.replace("brae-small@5", "brae-small@6").replace("brae-small,5", "brae-small,6")
    path = context.fleet.plan.directory / "version6.csv"
    path.write_text(text, encoding="utf-8")
    submit_sheet(context.fleet, path, 1)


@then("within {limit:d} seconds {count:d} engines have {new} and none has {old}")
def then_loaded(context, limit, count, new, old):
    deadline = time.monotonic() + limit
    while time.monotonic() < deadline:
        models = [status["models"] for status in context.fleet.statuses("bilberryshed-agent")]
        if sum(new in m for m in models) == count and not any(old in m for m in models):
            return
        time.sleep(0.1)
    raise AssertionError(models)


@then("highland-council receives a response from {model}")
def then_answered(context, model):
    load_request = LoadRequest(
        "highland-council", "", "drivers", prompt="Is the road open?", max_tokens=8, model=model
    )
    result = run(context, lambda: send_request(context.fleet.plan.router_urls[0], load_request))
    assert result.complete and result.text == load_request.expected_text, result
