"""Steps for backend servers that name a limit."""

import asyncio
import itertools
import json
import random
import re
import time
import urllib.request

from behave import given, then, when
from fleet_steps import post_json
from gateway_steps import run

from bilberryshed.coordination import NamedLimits, Permit, PermitIssuer, owner, parse_limit

WINDOW = 4.0  # seconds in which arrivals are counted
FACTOR, SLACK = 1.5, 5  # of what the limit allows in the window, and requests in addition
SERVICE_OF = {"model engine": "i-model", "plain server": "i-desk"}


def backend(context, kind, number):
    """Return a backend server by its kind and number."""
    return context.harness.backends[f"{SERVICE_OF[kind]}-{number}"]


@given("{kind:D} {number:d} takes {limit:f} requests a second")
def given_limit(context, kind, number, limit):
    context.limited = backend(context, kind, number)
    context.limited.limit = limit
    context.limited_since = None


@given("{kind:D} {number:d} takes {limit:d} requests a second")
def given_high_limit(context, kind, number, limit):
    given_limit(context, kind, number, float(limit))


async def send_load(context, rate, names, seconds, path):
    """Send requests at a steady rate to the gateways in turn; return response and duration."""
    loop, results, tasks = asyncio.get_running_loop(), [], []

    async def send(name, number):
        started_at = loop.time()
        options = {}
        if path.startswith("/chat"):
            options = {"tokens": "30,20", "parts": f"aa:10,p{number % 60}:10,own{number}:10"}
        response = await context.harness.call(path, name, "POST", **options)
        results.append((response, loop.time() - started_at))

    turns = itertools.cycle(names)
    started_at = loop.time()
    for number in range(int(rate * seconds)):
        tasks.append(asyncio.ensure_future(send(next(turns), number)))
        await asyncio.sleep(max(0.0, started_at + (number + 1) / rate - loop.time()))
    await asyncio.gather(*tasks)
    return results


def load(context, rate, count, seconds, path):
    """Send requests to the first gateways, and remember when the limit is first named."""
    if getattr(context, "limited_since", None) is None:
        context.limited_since = context.loop.time()
    context.received_before = len(context.limited.received)
    names = sorted(context.harness.gateways)[:count]
    context.results = run(context, send_load(context, rate, names, seconds, path))


@when(
    "{rate:d} prompts a second reach {count:d} gateways for {seconds:d} s, and after 1 s "
    "{kind:D} {number:d} takes {limit:f} a second"
)
def when_load_and_limit(context, rate, count, seconds, kind, number, limit):
    async def start_limit():
        await asyncio.sleep(1.0)
        context.limited.limit = limit
        context.limited_since = asyncio.get_running_loop().time()

    async def send():
        names = sorted(context.harness.gateways)[:count]
        _, context.results = await asyncio.gather(
            start_limit(), send_load(context, rate, names, seconds, "/chat/1")
        )

    context.seconds = seconds - 1.0
    run(context, send())


@when("{rate:d} prompts a second reach {count:d} gateways for {seconds:d} s")
def when_load(context, rate, count, seconds):
    load(context, rate, count, seconds, "/chat/1")


@when("{rate:d} plain requests a second reach {count:d} gateways for {seconds:d} s")
def when_plain_load(context, rate, count, seconds):
    load(context, rate, count, seconds, "/look/1")


@when("{count:d} prompts reach the first gateway")
def when_prompts_to_first(context, count):
    run(context, send_load(context, 20, ["gate-1"], count / 20, "/chat/1"))
    context.limited_since = context.loop.time()


@when("{kind:D} {number:d} takes all requests again")
def when_limit_ends(context, kind, number):
    backend(context, kind, number).limit = None


@when("the gateway that shares out the limit of {kind:D} {number:d} is killed")
def when_owner_killed(context, kind, number):
    name = owner(f"limit {backend(context, kind, number).id}/0", context.harness.gateways)
    run(context, context.harness.kill_gateway(name))


@then(
    "{kind:D} {number:d} got in no 4 s, from {delay:d} s on, more than one and a half times what "
    "it takes and 5 requests"
)
def then_limit_kept(context, kind, number, delay):
    arrivals = [r.at for r in backend(context, kind, number).received]
    check_arrivals(arrivals, context.limited_since + delay, context.limited.limit)


def check_arrivals(arrivals, start, limit):
    """Check that no window after a time has more arrivals than a limit allows."""
    late = [at for at in arrivals if at >= start]
    allowed = FACTOR * limit * WINDOW + SLACK
    most = max((sum(a <= b < a + WINDOW for b in late) for a in late), default=0)
    assert most <= allowed, (most, allowed, len(late))


@then("it got at least half of what it takes")
def then_used(context):
    arrived = sum(r.at >= context.limited_since for r in context.limited.received)
    assert arrived >= context.limited.limit * context.seconds / 2, arrived


@then("all prompts were served")
def then_all_served(context):
    statuses = [response.status for response, _ in context.results]
    assert all(status == 200 for status in statuses), statuses


@then("{kind:D} {number:d} got at least {least:d} of the latter")
def then_got_latter(context, kind, number, least):
    arrived = len(context.limited.received) - context.received_before
    assert arrived >= least, arrived


@then(
    "at most {most:d} prompts were served, and all others were refused with 503 and Retry-After "
    "in less than {seconds:f} s"
)
def then_refused_at_once(context, most, seconds):
    refused = [(r, took) for r, took in context.results if r.status != 200]
    assert len(context.results) - len(refused) <= most, len(context.results) - len(refused)
    for response, took in refused:
        assert response.status == 503 and "retry-after" in response.headers, response
        assert took < seconds, took


@given("engine {name:w} of the fleet takes {limit:f} requests a second")
def given_fleet_limit(context, name, limit):
    context.fleet_limit, context.fleet_limited_since = limit, time.time()
    post_json(context.fleet.plan.backends[name], "/limit", {"limit": limit})


@then(
    "engine {name:w} of the fleet got in no 4 s, from {delay:d} s on, more than one and a half "
    "times that and 5 requests"
)
def then_fleet_limit_kept(context, name, delay):
    port = context.fleet.plan.backends[name]
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/started") as response:
        arrivals = json.load(response)["times"]
    check_arrivals(arrivals, context.fleet_limited_since + delay, context.fleet_limit)


# Decisions ----------------------------------------------------------------------------------

SERVER = "i-1/1"
SEED = 26
CHANGE_AT = 15.0  # seconds at which another router becomes the coordinator
TRIP_TIME = 0.004  # seconds for a request to the coordinator and its response


class AskingRouter:
    """A router that sends a request if it has a permit, and else does without the server."""

    def __init__(self, name):
        self.name = name
        self.limited_until = 0.0
        self.permit = None

    def try_send(self, now, issuer, limit):
        """Return whether a request is sent now."""
        if now < self.limited_until:
            return False
        permit, self.permit = self.permit, None
        if permit is not None and permit.is_valid(now):
            return True
        decision = issuer.request(now, SERVER, limit, self.name)
        if decision.granted and decision.wait == 0:
            return True
        self.limited_until = now + TRIP_TIME + decision.wait
        if decision.granted:
            self.permit = Permit(self.limited_until)
        return False


@when(
    "{count:d} routers with {demand:d} requests a second in all ask for permits of a limit of "
    "{limit:f} for {seconds:d} s"
)
def when_permits(context, count, demand, limit, seconds):
    rng = random.Random(SEED)
    routers = [AskingRouter(f"r-{number}") for number in range(count)]
    issuer, now, changed = PermitIssuer(), 0.0, False
    context.sent_at, context.limit = [], limit
    while now < seconds:
        now += rng.expovariate(demand)
        if now >= CHANGE_AT and not changed:
            issuer, changed = PermitIssuer(), True
        if rng.choice(routers).try_send(now, issuer, limit):
            context.sent_at.append(now)


@then("no 4 s have more requests than one and a half times what it allows and 5")
def then_windows(context):
    check_arrivals(context.sent_at, 0.0, context.limit)


@then("at least two thirds of what it allows are used from {first:d} to {last:d} s")
def then_used_share(context, first, last):
    used = sum(first <= at < last for at in context.sent_at)
    assert used >= context.limit * (last - first) * 2 / 3, used


@when("a router learns of a limit: {events}")
def when_limit_events(context, events):
    context.named = NamedLimits()
    for event in events.split("; "):
        at, _, what = event.partition(": ")
        numbers = [float(text) for text in re.findall(r"\d+(?:\.\d+)?", what)]
        if what.startswith("named"):
            context.named.on_response(float(at), SERVER, numbers[0], float(at) - 0.1)
        elif what.startswith("none"):
            context.named.on_response(float(at), SERVER, None, numbers[0])
        elif "end" in what:
            context.named.on_notice(SERVER, None, numbers[0])
        else:
            context.named.on_notice(SERVER, numbers[0], numbers[1])


@then("the limit that it knows is {limit}")
def then_known_limit(context, limit):
    known = context.named.limit(SERVER)
    assert known == (None if limit == "none" else float(limit)), known


@then("it is read as {limit}")
def then_read(context, limit):
    assert str(parse_limit(context.active_outline["text"])) == limit
