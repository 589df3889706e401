"""Steps for requests that crash backend servers."""

import json
import urllib.request

from behave import then, when
from fleet_support import CRASHING_REQUEST, run

from bilberryshed.coordination import Quarantine, QuarantineEntry, QuarantineState
from bilberryshed_load import send_request


@when("these events occur for a request content: {events}")
def when_content_events(context, events):
    context.quarantine, context.wall_time = Quarantine(), 1000.0
    for event in events.split(", "):
        if event.startswith("crash"):
            context.quarantine.on_crash(context.wall_time, "c", event.endswith("alone"))
        elif event == "success":
            context.quarantine.on_success(context.wall_time, "c")
        elif event.endswith("minutes"):
            context.wall_time += 60 * int(event.split()[0])
        elif event.startswith("merge"):
            state = QuarantineState(event.split()[1])
            context.quarantine.merge(
                context.wall_time, QuarantineEntry("c", state, context.wall_time + 600)
            )


@then("its quarantine state is {state}")
def then_quarantine_state(context, state):
    assert context.quarantine.standing(context.wall_time, "c") == state


def crashes(fleet):
    """Return the number of crashes, summed over all engines."""
    total = 0
    for name, port in fleet.plan.backends.items():
        if name.startswith("e"):
            with urllib.request.urlopen(f"http://127.0.0.1:{port}/crashes") as response:
                total += json.load(response)["crashes"]
    return total


@then("the crashing request was refused and {count:d} engines crashed")
def then_crashed(context, count):
    result = run(context, lambda: context.crashing)
    assert not result.complete and result.code == "quarantined", result
    assert crashes(context.fleet) == count, crashes(context.fleet)


@when("the crashing request is sent again to every router")
def when_crashing_resent(context):
    urls = context.fleet.plan.router_urls
    context.results = [
        run(context, lambda url=url: send_request(url, CRASHING_REQUEST)) for url in urls
    ]


@then("it is refused as quarantined and not run, and {count:d} engines crashed")
def then_quarantined(context, count):
    for result in context.results:
        assert (result.code, result.outcome) == ("quarantined", "not_run"), result
    assert crashes(context.fleet) == count, crashes(context.fleet)


@when("every router is killed and restarted")
def when_routers_restarted(context):
    routers = [p for p in context.fleet.plan.processes if p.program == "bilberryshed-router"]
    for process in routers:
        context.fleet.kill(process.name)
    for process in routers:
        context.fleet.start_process(process)
    context.fleet.wait_ready()
