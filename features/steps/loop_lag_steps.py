"""Steps for responsive time and timeouts in it."""

import asyncio
import contextlib
import math
import socket
import threading
import time

from behave import given, then, when

from bilberryshed.coordination import TICK_INTERVAL, LoopLag
from bilberryshed.transport import TimerService

SEND_DELAY = 0.02  # seconds from the start of a pause until the peer sends
ROUNDING = 1e-6  # seconds
MAX_TAKEN = 5.0  # seconds after which a timeout counts as one that never ends
MAX_LATE = 0.02  # seconds that a timeout may take beyond its limit


# Responsive time -------------------------------------------------------------------------------


def tick(context, gaps):
    """Have the loop tick after gaps in seconds; ``-`` is none."""
    for gap in gaps.split(",") if gaps != "-" else ():
        context.now += float(gap)
        context.lag.on_tick(context.now)


@given("an event loop that was on time for 1 s, and ticks then after {gaps} s")
def given_ticks(context, gaps):
    context.lag, context.now = LoopLag(), 0.0
    for number in range(round(1 / TICK_INTERVAL) + 1):
        context.now = number * TICK_INTERVAL
        context.lag.on_tick(context.now)
    tick(context, gaps)


@then("{after:g} s after its last tick it has been responsive for {seconds:g} s in all")
@then("{after:g} s after its end it has been responsive for {seconds:g} s in all")
def then_responsive(context, after, seconds):
    measured = context.lag.responsive_time(context.now + after)
    assert abs(measured - seconds) < ROUNDING, measured


@when("a time stamp is taken {before:g} s after its last tick")
def when_stamped(context, before):
    context.stamp = context.lag.responsive_time(context.now + before)


@when("the loop then ticks after {gaps} s")
def when_ticks(context, gaps):
    tick(context, gaps)


@then("{after:g} s after its last tick at most {most:g} s of it have passed")
def then_passed(context, after, most):
    passed = context.lag.responsive_time(context.now + after) - context.stamp
    assert passed <= most + ROUNDING, passed


@when("the measurement ends {after:g} s after its last tick")
def when_ends(context, after):
    context.now += after
    context.lag.stop(context.now)


# Timeouts --------------------------------------------------------------------------------------


def start_timers():
    """Return a timer service that measures the lag, with ticks at multiples from now on."""
    loop = asyncio.get_running_loop()
    timers = TimerService(phase=loop.time() % TICK_INTERVAL)
    timers.watch_loop()
    return timers


def block(start, pause):
    """Block the running loop once for a pause in seconds."""
    if pause:
        asyncio.get_running_loop().call_later(start, time.sleep, pause)


async def measure(timers, seconds, until=math.inf):
    """Return the seconds after which a timeout ends."""
    began = timers.now()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(MAX_TAKEN), timers.timeout(seconds, timers.now() + until):
            await asyncio.Event().wait()
    return timers.now() - began


@given("a peer that sends data 0.02 s after the pause began, and a timeout of {seconds:g} s")
def given_peer(context, seconds):
    context.seconds, context.sends_at = seconds, None


@given("a peer that sends data after {at:g} s that are no pause, and a timeout of {seconds:g} s")
def given_late_peer(context, at, seconds):
    context.seconds, context.sends_at = seconds, at


@when("the loop of the process is blocked from {start:g} s for {pause:g} s")
def when_blocked(context, start, pause):
    context.data = b""
    sends_at = start + SEND_DELAY if context.sends_at is None else context.sends_at + pause

    async def read():
        timers = start_timers()
        own, other = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=own)
        sender = threading.Timer(sends_at, other.sendall, [b"data"])
        sender.start()
        block(start, pause)
        with contextlib.suppress(TimeoutError):
            async with timers.timeout(context.seconds):
                # A read in a task of its own takes the loop more turns than a plain one.
                done, _ = await asyncio.wait({asyncio.ensure_future(reader.read(4))})
                context.data = done.pop().result()
        sender.join()
        writer.close()
        other.close()

    context.loop.run_until_complete(read())


@then("the data is read")
def then_read(context):
    assert context.data == b"data"


@given("an event loop that was blocked for {pause:g} s until 0.04 s ago")
def given_blocked_before(context, pause):
    async def start():
        context.timers = start_timers()
        await asyncio.sleep(0.001)
        time.sleep(pause - 0.01)  # so that the tick after the next one is 0.06 s after it
        await asyncio.sleep(0.04)

    context.loop.run_until_complete(start())


@given("an event loop that is blocked for {pause:g} s at every turn")
def given_always_blocked(context, pause):
    async def start():
        context.timers = start_timers()

        def turn():
            time.sleep(pause)
            context.loop.call_soon(turn)

        context.loop.call_later(0.01, turn)

    context.loop.run_until_complete(start())


@given("an event loop that is blocked from {start:g} s for {pause:g} s")
def given_blocked(context, start, pause):
    async def begin():
        context.timers = start_timers()
        block(start, pause)

    context.loop.run_until_complete(begin())


@when("a timeout of {seconds:g} s begins")
def when_timeout(context, seconds):
    context.taken = context.loop.run_until_complete(measure(context.timers, seconds))


@when("a timeout of {seconds:g} s begins that ends in {until:g} s in any case")
def when_timeout_until(context, seconds, until):
    context.taken = context.loop.run_until_complete(measure(context.timers, seconds, until))


@then("it ends after {least:g} to {most:g} s")
def then_taken(context, least, most):
    assert least - ROUNDING <= context.taken <= most, context.taken


@when("timeouts of {seconds} s begin")
def when_timeouts(context, seconds):
    context.limits = [
        float(part) for part in seconds.replace("and", ",").split(",") if part.strip()
    ]

    async def plain(limit):
        began = context.loop.time()
        await asyncio.sleep(limit)
        return context.loop.time() - began

    async def both():
        timers = start_timers()
        context.plain, context.measured = await asyncio.gather(
            asyncio.gather(*(plain(limit) for limit in context.limits)),
            asyncio.gather(*(measure(timers, limit) for limit in context.limits)),
        )

    context.loop.run_until_complete(both())


@then("each ends at its limit, at most 20 ms late")
def then_on_time(context):
    """Compare with plain timers, so that a busy machine does not count as an error."""
    for limit, plain, taken in zip(context.limits, context.plain, context.measured, strict=True):
        assert limit - ROUNDING <= taken <= plain + MAX_LATE, (limit, plain, taken)


@when("a task with a timeout of {seconds:g} s is cancelled after {after:g} s")
def when_cancelled(context, seconds, after):
    async def cancel():
        timers = start_timers()
        task = asyncio.ensure_future(measure(timers, seconds))
        await asyncio.sleep(after)
        task.cancel()
        await asyncio.wait({task})
        await asyncio.sleep(seconds)  # a timer that was left over would raise in the loop
        return task

    context.task = context.loop.run_until_complete(cancel())


@then("it was cancelled, and not timed out")
def then_cancelled(context):
    assert context.task.cancelled()
