"""Steps for requests that crash backend servers."""

import itertools
import json
import time
import urllib.request

from behave import given, then, when
from fleet_support import CRASHING_REQUEST, run

from bilberryshed.coordination import Quarantine, QuarantineState, Suspect, probe_delay
from bilberryshed.protocol import BlockNotice, CrashedRun
from bilberryshed.runtime import QUARANTINE_POLICY
from bilberryshed_load import LoadRequest, send_request

RESTART_TIME = 2.5  # seconds in which a crashed engine is available again
prompt_numbers = itertools.count()


@when("these events occur for a request content: {events}")
def when_content_events(context, events):
    context.quarantine, context.now = Quarantine(QUARANTINE_POLICY), 1000.0
    for number, event in enumerate(events.split(", ")):
        run = CrashedRun(f"run-{number}", f"s-{number}", "c", (), event.endswith("alone"), 0.0)
        if event.startswith("crash") or event == "merge suspect":
            context.quarantine.record_crashes(context.now, [run])
        elif event == "success":
            context.quarantine.record_answer(context.now, context.now, {"c"}, ())
        elif event.endswith("minutes"):
            context.now += 60 * int(event.split()[0])
            context.quarantine.prune(context.now)
        elif event == "merge convicted":
            context.quarantine.merge(context.now, BlockNotice("c", (), 600.0, 1, 0.0))


@then("its quarantine state is {state}")
def then_quarantine_state(context, state):
    assert context.quarantine.standing(context.now, "c") == QuarantineState(state)


def crashed_runs(number, prompts, age=0.0):
    """Return the runs of prompts that one crash ends.

    :param age: seconds since the crash
    """
    return [
        CrashedRun(
            f"run-{number}-{position}",
            f"i-{number}/1",
            "same" if prompt.startswith("same ") else f"content-{number}-{position}",
            tuple(prompt.removeprefix("same ").split("/")),
            False,
            age,
        )
        for position, prompt in enumerate(prompts.split(", "))
    ]


def told_notice(prompts):
    """Return a notice of another router: it probes parts in doubt, or blocks them outright."""
    parts = tuple(prompts.removeprefix("probe ").split("/"))
    if prompts.startswith("probe "):
        return BlockNotice("", parts, 3.0, 0, 0.5)
    return BlockNotice("", parts, 300.0, 1, 0.5)


@when("these events occur for prompts: {events}")
def when_prompt_events(context, events):
    quarantine, now = Quarantine(), 1000.0
    for number, event in enumerate(events.split("; ")):
        name, _, prompts = event.partition(" ")
        now += 0.1
        if name == "crash":
            quarantine.record_crashes(now, crashed_runs(number, prompts))
        elif name == "late":
            runs = crashed_runs(number, prompts.removeprefix("crash "), age=0.4)
            quarantine.record_crashes(now, runs)
        elif name == "told":
            quarantine.merge(now, told_notice(prompts))
        elif name == "answer":
            quarantine.record_answer(now, now, (), prompts.split("/"))
        elif name == "early":
            quarantine.record_answer(now, now - 1.0, (), prompts.split()[1].split("/"))
        elif name == "probe":
            quarantine.start_probe(now, quarantine.matching_block("", prompts.split("/")))
        elif name == "restart":
            summary, quarantine = quarantine.summary(now), Quarantine()
            for notice in summary.blocks:
                quarantine.merge(now, notice)
            quarantine.record_crashes(now, summary.runs)
        else:
            now += float(name)
            quarantine.prune(now)
    context.quarantine, context.now = quarantine, now


@then("the blocked parts are {blocked}")
def then_blocked_parts(context, blocked):
    blocks = [b for b in context.quarantine.blocks.values() if b.suspect.parts]
    in_force = [block for block in blocks if context.now < block.until]
    actual = sorted("+".join(sorted(block.suspect.parts)) for block in in_force)
    assert actual == ([] if blocked == "none" else blocked.split(", ")), actual


@when("a router receives a block that names nothing")
def when_empty_block(context):
    context.quarantine, context.now = Quarantine(), 1000.0
    assert not context.quarantine.merge(context.now, BlockNotice("", (), 600.0, 1, 0.0))


@given("{count:d} routers that block the same part")
def given_blocking_routers(context, count):
    context.routers = [f"r-{number}" for number in range(count)]


@then("they let a request through 0, 1, 2, 3 and 4 s after the block has expired")
def then_in_turn(context):
    suspect = Suspect(parts=frozenset({"bad"}))
    delays = [probe_delay(suspect, name, context.routers) for name in context.routers]
    assert sorted(delays) == [0, 1, 2, 3, 4], delays


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
