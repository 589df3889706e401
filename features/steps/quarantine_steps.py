"""Steps for requests that crash backend servers."""

import json
import urllib.request

from behave import then, when
from fleet_support import CRASHING, run

from bilberryshed.coordination import Quarantine, QuarantineEntry, QuarantineState
from bilberryshed_load import send_request


@when("a content sees: {events}")
def when_sees(context, events):
    context.quarantine, context.wall = Quarantine(), 1000.0
    for event in events.split(", "):
        if event.startswith("crash"):
            context.quarantine.on_crash(context.wall, "c", event.endswith("alone"))
        elif event == "success":
            context.quarantine.on_success(context.wall, "c")
        elif event.endswith("minutes"):
            context.wall += 60 * int(event.split()[0])
        elif event.startswith("hear"):
            standing = QuarantineState(event.split()[1])
            context.quarantine.merge(
                context.wall, QuarantineEntry("c", standing, context.wall + 600)
            )


@then("its standing is {standing}")
def then_standing(context, standing):
    assert context.quarantine.standing(context.wall, "c") == standing


def crashes(fleet):
    """Return how many engines have crashed, over all engines."""
    total = 0
    for name, port in fleet.plan.backends.items():
        if name.startswith("e"):
            with urllib.request.urlopen(f"http://127.0.0.1:{port}/crashes") as response:
                total += json.load(response)["crashes"]
    return total


@then("the crashing request was refused and {count:d} engines crashed")
def then_crashed(context, count):
    answer = run(context, lambda: context.crashing)
    assert not answer.complete and answer.code == "quarantined", answer
    assert crashes(context.fleet) == count, crashes(context.fleet)


@when("the crashing request is sent again to every router")
def when_again(context):
    urls = context.fleet.plan.router_urls
    context.answers = [run(context, lambda url=url: send_request(url, CRASHING)) for url in urls]


@then("it is refused as quarantined and not run, and {count:d} engines crashed")
def then_quarantined(context, count):
    for answer in context.answers:
        assert (answer.code, answer.outcome) == ("quarantined", "not_run"), answer
    assert crashes(context.fleet) == count, crashes(context.fleet)


@when("every router is killed and started again")
def when_all_killed(context):
    routers = [p for p in context.fleet.plan.processes if p.program == "bilberryshed-router"]
    for process in routers:
        context.fleet.kill(process.name)
    for process in routers:
        context.fleet.start_process(process)
    context.fleet.wait_ready()
