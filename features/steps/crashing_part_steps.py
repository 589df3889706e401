"""Steps for prompts with a part that crashes the model engines."""

import asyncio
import contextlib
import itertools

from behave import given, then, when
from gateway_steps import given_faults, run

BAD_INTERVAL = 0.3  # seconds between prompts that crash engines
HARMLESS_INTERVAL = 0.08  # seconds between harmless prompts
EVENT_INTERVAL = 0.1  # seconds between the events of an answer
FIFTH = 4  # index of the fifth crash
CLUMP_SIZE = 9  # prompts that each gateway gets at once
CLUMP_DELAY = 0.15  # seconds after the start of a clump at which engines crash
CALLER_PATIENCE = 0.05  # seconds after which a caller cuts its connection

prompt_numbers = itertools.count()


@given("{count:d} gateways in one zone")
def given_gateways(context, count):
    async def start():
        for number in range(2, count + 1):
            await context.harness.add_gateway(f"gate-{number}")
        gateways = context.harness.gateways.values()
        await context.harness.wait_until(
            lambda: all(len(g.context.peer_links) == count - 1 for g in gateways)
        )

    run(context, start())


@given("the part bad crashes each model engine that begins to answer it, after {events:d} events")
def given_crashing_part(context, events):
    context.harness.set_crashing_part("bad", events)
    for backend in context.harness.backends.values():
        backend.delay = EVENT_INTERVAL


async def send_prompt(context, gateway, parts):
    """Send a prompt that is like no other one; return the response, ``None`` if it broke off."""
    number = next(prompt_numbers)
    listed = ",".join(f"{part}:10" for part in (*parts.split("/"), f"own{number}"))
    try:
        return await context.harness.call(
            "/once/1", gateway, body=b"prompt %d" % number, tokens="40,20", parts=listed
        )
    except (OSError, TimeoutError):
        return None


async def send_steadily(context, gateways, parts, interval, seconds, results):
    """Send prompts at an interval, each without waiting for the ones before.

    :param results: gets the time of each prompt and its response
    """
    loop = asyncio.get_running_loop()
    tasks, deadline = [], loop.time() + seconds

    async def send(gateway, listed):
        at = loop.time()
        results.append((at, await send_prompt(context, gateway, listed)))

    turns = zip(itertools.cycle(gateways), itertools.cycle(parts.split(", ")), strict=False)
    while loop.time() < deadline:
        tasks.append(asyncio.ensure_future(send(*next(turns))))
        await asyncio.sleep(interval)
    await asyncio.gather(*tasks)


@when(
    "prompts with the parts {bad} and harmless ones with the parts {harmless} reach all gateways "
    "for {seconds:d} s"
)
def when_mixed_load(context, bad, harmless, seconds):
    context.bad, context.harmless = [], []
    gateways = sorted(context.harness.gateways)

    async def send():
        await asyncio.gather(
            send_steadily(context, gateways, bad, BAD_INTERVAL, seconds, context.bad),
            send_steadily(
                context, gateways, harmless, HARMLESS_INTERVAL, seconds, context.harmless
            ),
        )

    run(context, send())


def crash_times(context):
    """Return the times of all crashes, in order."""
    return sorted(at for backend in context.harness.backends.values() for at in backend.crashes)


def bad_arrivals(context):
    """Return the times at which prompts with the part reached an engine."""
    return [
        received.at
        for backend in context.harness.backends.values()
        for received in backend.received
        if "bad" in received.shared_parts
    ]


@then(
    "at most {most:d} prompts with the part reached an engine later than {seconds:d} s after "
    "the fifth crash"
)
def then_few_arrivals(context, most, seconds):
    crashes = crash_times(context)
    assert crashes, "no engine crashed"
    fifth = crashes[FIFTH] if len(crashes) > FIFTH else float("inf")
    late = [at for at in bad_arrivals(context) if at > fifth + seconds]
    assert len(late) <= most, (len(late), len(crashes))


@then(
    "at least half of the harmless prompts later than {seconds:d} s after it were answered at the "
    "first attempt"
)
def then_harmless_answered(context, seconds):
    crashes = crash_times(context)
    start = crashes[min(FIFTH, len(crashes) - 1)] + seconds
    late = [response for at, response in context.harmless if at > start]
    answered = [r for r in late if r is not None and r.status == 200 and b"id: 1\n" in r.body]
    assert len(late) >= 10, (len(late), len(crashes))
    assert len(answered) * 2 >= len(late), (len(answered), len(late))


@when(
    "the second gateway {event} while prompts with the parts {parts} reach the first for "
    "{seconds:d} s"
)
def when_second_away(context, event, parts, seconds):
    async def crash_engines():
        sending = send_steadily(context, ["gate-1"], parts, BAD_INTERVAL, seconds, [])
        if event == "starts again":
            await context.harness.kill_gateway("gate-2")
            await sending
            await context.harness.add_gateway("gate-2")
        else:
            cut = asyncio.ensure_future(cut_links(context.harness.gateways["gate-2"]))
            await sending
            cut.cancel()
        await wait_linked(context)

    run(context, crash_engines())


async def cut_links(gateway):
    """Close the links of a gateway as soon as they open, until cancelled."""
    while True:
        for link in tuple(gateway.context.peer_links.values()):
            link.abort()
        await asyncio.sleep(0)


async def wait_linked(context):
    gateways = context.harness.gateways.values()
    await context.harness.wait_until(
        lambda: all(len(g.context.peer_links) == len(gateways) - 1 for g in gateways)
    )
    await asyncio.sleep(0.2)  # for the messages that follow a new link


@when(
    "prompts with the parts {parts} crash {count:d} engines, and {seconds:f} s later all gateways "
    "are killed"
)
def when_crashes_and_restart(context, parts, count, seconds):
    async def crash_engines():
        while len(crash_times(context)) < count:
            await send_prompt(context, "gate-1", parts)
        await asyncio.sleep(seconds)

    run(context, crash_engines())
    when_all_restart(context)


@when("all gateways are killed and start again")
def when_all_restart(context):
    async def restart():
        names = sorted(context.harness.gateways)
        for name in names:
            await context.harness.kill_gateway(name)
        for name in names:
            await context.harness.add_gateway(name)
        await wait_linked(context)

    run(context, restart())


@when("{count:d} prompts with the parts {parts} reach the second gateway")
def when_prompts_to_second(context, count, parts):
    context.arrived_before = len(bad_arrivals(context))

    async def send():
        for _ in range(count):
            await send_prompt(context, "gate-2", parts)

    assert crash_times(context), "no engine crashed before"
    run(context, send())


@then("none of them reached an engine")
def then_none_arrived(context):
    arrived = len(bad_arrivals(context)) - context.arrived_before
    assert arrived == 0, arrived


@when("{count:d} different prompts with the parts {parts} are broken off by {whom}")
def when_broken_off(context, count, parts, whom):
    async def send():
        for _ in range(count):
            sending = send_prompt(context, "gate-1", parts)
            if whom == "their callers":
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(sending, CALLER_PATIENCE)
            else:
                assert (await sending).status == 502

    if whom != "their callers":
        given_faults(context, "model engines", ", ".join(["reset"] * count))
    run(context, send())


@then("{count:d} prompts with the parts {parts} are answered by the first gateway")
def then_answered(context, count, parts):
    async def send():
        return [await send_prompt(context, "gate-1", parts) for _ in range(count)]

    responses = run(context, send())
    assert all(r is not None and r.status == 200 and r.complete for r in responses), responses


@when(
    "prompts with the parts {parts} get a failure and then crash an engine, {count:d} times in turn"
)
def when_failure_and_crash(context, parts, count):
    for _ in range(count):
        given_faults(context, "model engines", "error")
        assert run(context, send_prompt(context, "gate-1", parts)).status == 500
        assert run(context, send_prompt(context, "gate-1", parts)).status == 502
    assert len(crash_times(context)) == count


@then("the next prompt with the parts {parts} is refused with {status:d}")
def then_refused(context, parts, status):
    before = len(bad_arrivals(context))
    assert run(context, send_prompt(context, "gate-1", parts)).status == status
    assert len(bad_arrivals(context)) == before


@when(
    "{count:d} prompts with a part whose id has {length:d} characters are answered by the first "
    "gateway"
)
def when_long_id(context, count, length):
    then_answered(context, count, "f" * length)


@then("it keeps no id of more than {length:d} characters")
def then_short_ids(context, length):
    gateway = context.harness.gateways["gate-1"].context
    kept = [*gateway.quarantine.quarantine.answered_at]
    kept += [id_ for view in gateway.backends.views.values() for id_ in view.sent_prefixes]
    assert kept and max(map(len, kept)) <= length, max(map(len, kept))


@when(
    "clumps of prompts with the parts {parts} reach all gateways for {seconds:d} s, beside "
    "{other}, and {count:d} engines crash at once after {delay:d} s"
)
def when_clumps(context, parts, seconds, other, count, delay):
    gateways = sorted(context.harness.gateways)
    context.clumped, context.bad = [], []

    async def crash():
        await asyncio.sleep(delay + CLUMP_DELAY)
        alive = [b for b in context.harness.backends.values() if b.is_streaming and b.is_listening]
        for backend in alive[:count]:
            with contextlib.suppress(ConnectionResetError):
                backend.crash()

    async def send_clumps():
        started_at = asyncio.get_running_loop().time()
        tasks = []
        for _ in range(seconds):
            for gateway in gateways * CLUMP_SIZE:
                # Only the first part is the same, so that the prompts are spread over the engines.
                distinct = f"{parts}{len(tasks)}"
                call = send_clumped(context, started_at, gateway, distinct)
                tasks.append(asyncio.ensure_future(call))
            await asyncio.sleep(1.0)
        await asyncio.gather(*tasks)

    async def send_all():
        calls = [send_clumps(), crash()]
        if other != "nothing else":
            bad = other.rpartition(" ")[2]
            calls.append(send_steadily(context, gateways, bad, 1.0, seconds, context.bad))
        await asyncio.gather(*calls)

    run(context, send_all())


async def send_clumped(context, started_at, gateway, parts):
    """Send a prompt of a clump; note the seconds since the start, and the response."""
    at = asyncio.get_running_loop().time() - started_at
    context.clumped.append((at, await send_prompt(context, gateway, parts)))


@then(
    "at least {share:g} of the clumped prompts later than {seconds:d} s were answered at the first "
    "attempt"
)
def then_clumped_answered(context, share, seconds):
    late = [response for at, response in context.clumped if at > seconds]
    answered = [r for r in late if r is not None and r.status == 200 and r.complete]
    assert len(late) >= 10 and len(answered) >= share * len(late), (len(answered), len(late))
