"""Steps for requests that crash backend servers."""

import itertools
import json
import time
import urllib.request

from behave import then, when
from fleet_support import CRASHING_REQUEST, run

from bilberryshed.coordination import Quarantine, QuarantineEntry, QuarantineState
from bilberryshed_load import LoadRequest, send_request

RESTART_TIME = 2.5  # seconds in which a crashed engine is available again
prompt_numbers = itertools.count()


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


def send_prompts_after(context, message, count):
    """Send different prompts after common messages to the routers in turn; return the results."""
    urls = itertools.cycle(context.fleet.plan.router_urls)
    results = []
    for number in itertools.islice(prompt_numbers, count):
        prompt = LoadRequest(
            "highland-council",
            "",
            "drivers",
            prompt=f"Which road is open at {number}?",
            max_tokens=8,
            earlier=("Roads of today.", message),
        )
        url = next(urls)
        results.append(run(context, lambda url=url, prompt=prompt: send_request(url, prompt)))
    return results


@when("{count:d} different prompts after a message that crashes engines reach the routers in turn")
def when_crashing_messages(context, count):
    send_prompts_after(context, "CRASH-THE-ENGINE", count)
    assert crashes(context.fleet) > 0


@when("{seconds:d} s later {count:d} more of them reach the routers in turn")
def when_more_crashing_messages(context, seconds, count):
    time.sleep(seconds)
    context.crashes_before = crashes(context.fleet)
    send_prompts_after(context, "CRASH-THE-ENGINE", count)


@then("at most {most:d} of the latter crashed an engine")
def then_few_crashes(context, most):
    added = crashes(context.fleet) - context.crashes_before
    assert added <= most, (added, context.crashes_before)


@then("{count:d} prompts after another message are served by the routers in turn")
def then_others_served(context, count):
    time.sleep(RESTART_TIME)
    results = send_prompts_after(context, "All roads.", count)
    assert all(result.complete for result in results), results
