"""Steps for backend servers whose answers have no end, against a gateway process."""

import asyncio
from collections import deque

from behave import given, then, when
from gateway_program_steps import run

from bilberryshed.coordination.memory import AnswerBytes

TOKENS = {"tokens": "30,20"}


@given("the next {count:d} responses of the {kind} are: {fault}")
def given_repeated_fault(context, count, kind, fault):
    service = "desk" if kind.startswith("plain") else "model"
    script = deque([fault] * count)
    for id_, backend in context.harness.backends.items():
        if service in id_:
            backend.script = script


async def call(context, path):
    """Send a request, and return its response, ``None`` if there is none."""
    overrides = TOKENS if path.startswith("/chat/") else {}
    try:
        return await context.harness.call(path, **overrides)
    except (OSError, TimeoutError):
        return None


@when("{count:d} callers send requests to {path:S} at the same time")
def when_requests(context, count, path):
    async def send():
        return await asyncio.gather(*(call(context, path) for _ in range(count)))

    context.responses = run(context, send())


@when(
    "{count:d} callers send requests to {path:S} at the same time, while {others:d} others stream "
    "{other_path:S}"
)
def when_requests_beside(context, count, path, others, other_path):
    async def send():
        calls = [call(context, path) for _ in range(count)]
        calls += [call(context, other_path) for _ in range(others)]
        return (await asyncio.gather(*calls))[-others:]

    context.responses = run(context, send())


@then("none of them got a complete response")
def then_none_complete(context):
    complete = [r for r in context.responses if r and r.status == 200 and r.complete]
    assert not complete, complete[0]


@then("all of the others got a complete response")
def then_all_complete(context):
    broken = [r for r in context.responses if not r or r.status != 200 or not r.complete]
    assert not broken, (len(broken), broken[0])


@when("the servers are sound again")
def when_sound(context):
    for backend in context.harness.backends.values():
        backend.script = deque()


@given("an account of {total:d} bytes of answers with")
def given_account(context, total):
    context.account = AnswerBytes(total)
    for row in context.table:
        context.account.put(int(row["attempt"]), row["server"], int(row["size"]))


@then("the answers {listed} give way")
def then_give_way(context, listed):
    expected = [] if listed == "none" else [int(number) for number in listed.split(", ")]
    assert context.account.victims() == expected, context.account.victims()
