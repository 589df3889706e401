"""Steps for gateways that share a customer's prepaid tokens."""

import asyncio
import re

from behave import given, then, when
from gateway_support import CUSTOMER

from bilberryshed_standins import EVENTS


def run(context, coroutine):
    """Run a coroutine on the scenario's event loop."""
    return context.loop.run_until_complete(coroutine)


@then("the gateway has returned its tokens to the pool")
def then_tokens_returned(context):
    assert context.finished
    rows = context.harness.store.values("prepaid")
    assert all(not row["holders"] for row in rows.values()), rows
    assert rows[CUSTOMER]["closed"] == 30 + EVENTS * 4, rows


async def send_prompts(context, gateways, count, tokens, seconds=0.0):
    """Send prompts to the gateways in turn.

    :param tokens: value of ``X-Token-Usage``
    :param seconds: time over which the prompts are spread
    :returns: the responses
    """
    responses = []
    for number in range(count):
        name = gateways[number % len(gateways)]
        responses.append(await context.harness.call("/chat/1", name, tokens=tokens))
        await asyncio.sleep(seconds / count)
    return responses


@when(
    "{count:d} prompts of {size:d} tokens for {max_output:d} output tokens are sent to both "
    "gateways in turn"
)
def when_prompts_to_both(context, count, size, max_output):
    call = send_prompts(context, ("gate-1", "gate-2"), count, f"{size},{max_output}")
    context.responses = run(context, call)


@when("both gateways have recorded new spending bounds")
def when_recorded(context):
    async def wait_until_recorded():
        now = asyncio.get_running_loop().time()
        spending_bounds = [
            gateway.context.spending_bounds for gateway in context.harness.gateways.values()
        ]
        await context.harness.wait_until(
            lambda: all(s.stored.composed_at > now for s in spending_bounds)
        )

    run(context, wait_until_recorded())


@when(
    "the store stops responding and {count:d} prompts of {size:d} tokens for {max_output:d} "
    "output tokens reach the second gateway in {seconds:d} s"
)
def when_store_unresponsive(context, count, size, max_output, seconds):
    context.harness.store.fault = "silent"
    call = send_prompts(context, ("gate-2",), count, f"{size},{max_output}", float(seconds))
    context.responses = run(context, call)


@then("{count:d} of them return {status:d}")
def then_status_count(context, count, status):
    actual = [response.status for response in context.responses]
    assert actual.count(status) == count, actual


@then("each of them has {count:d} events and is complete")
def then_each_complete(context, count):
    """An incomplete response uses fewer tokens, so that more requests fit than expected."""
    for response in context.responses:
        events = len(re.findall(rb"^id: ", response.body, re.MULTILINE))
        assert events == count and response.complete, (response.status, response.body)


@then("at least {count:d} of them return {status:d}")
def then_min_status_count(context, count, status):
    actual = [response.status for response in context.responses]
    assert actual.count(status) >= count, actual


@given("the first gateway holds all tokens and has not recorded its bounds")
def given_tokens_unavailable(context):
    async def take_all_tokens():
        first, second = (context.harness.gateways[name] for name in ("gate-1", "gate-2"))
        row = context.harness.store.value("prepaid", CUSTOMER)
        row |= {"closed": 0, "holders": {first.context.boot: 1000}}
        row["revision"] += 1
        context.harness.store.put("prepaid", CUSTOMER, row)
        for gateway in (first, second):
            gateway.funds.pool_sync.read_at = float("-inf")
            await gateway.funds.pool_sync.sync({})
        first.recorder.closed = True
        first.context.spending_bounds.stored = None

    run(context, take_all_tokens())


@when(
    "{count:d} prompts of {size:d} tokens for {max_output:d} output tokens reach the second "
    "gateway"
)
def when_prompts_to_second(context, count, size, max_output):
    context.responses = run(
        context, send_prompts(context, ("gate-2",), count, f"{size},{max_output}")
    )


@given("four gateways in one zone")
def given_four_gateways(context):
    async def start():
        for number in (2, 3, 4):
            await context.harness.add_gateway(f"gate-{number}")
        gateways = context.harness.gateways.values()
        await context.harness.wait_until(
            lambda: all(len(g.context.peer_links) == 3 and g.context.listed for g in gateways)
        )

    run(context, start())


def hub_name(context):
    """Return the name of the only hub, on which all gateways agree."""
    names = {name for g in context.harness.gateways.values() for name in g.context.hubs.names}
    assert len(names) == 1, names
    return names.pop()


@when(
    "{count:d} prompts of {size:d} tokens for {max_output:d} output tokens are sent to the four "
    "gateways in turn"
)
def when_prompts_to_four(context, count, size, max_output):
    names = sorted(context.harness.gateways)
    context.responses = run(context, send_prompts(context, names, count, f"{size},{max_output}"))


@then("only the hub holds tokens")
def then_hub_holds(context):
    async def wait():
        members = [g for n, g in context.harness.gateways.items() if n != hub_name(context)]
        await context.harness.wait_until(
            lambda: all(g.context.book.account(CUSTOMER).held == 0 for g in members)
        )

    run(context, wait())


@when("the pool has at least {tokens:d} tokens that no gateway holds")
def when_pool_has(context, tokens):
    def free(total=100_000):
        row = context.harness.store.values("prepaid")[CUSTOMER]
        return total - row["closed"] - sum(row["holders"].values())

    run(context, context.harness.wait_until(lambda: free() >= tokens))


@when("a gateway that is not the hub stops just after a prompt")
def when_member_stops(context):
    async def stop():
        name = min(context.harness.gateways.keys() - {hub_name(context)})
        gateway = context.harness.gateways[name]
        gateway.context.timers.close()  # so that it ends before the next return of unused tokens
        assert (await context.harness.call("/chat/1", name, tokens="30,100")).status == 200
        await gateway.funds.loans.close()
        context.stopped = gateway

    run(context, stop())


@then("{tokens:d} tokens are counted as used by all together within {seconds:g} s")
def then_counted(context, tokens, seconds):
    def counted():
        closed = context.harness.store.values("prepaid")[CUSTOMER]["closed"]
        gateways = context.harness.gateways.values()
        return closed + sum(g.context.book.account(CUSTOMER).used for g in gateways)

    async def wait():
        await context.harness.wait_until(lambda: counted() == tokens, seconds)

    assert context.stopped.context.book.account(CUSTOMER).held == 0
    run(context, wait())


@when(
    "the hub is killed and {count:d} prompts of {size:d} tokens for {max_output:d} output tokens "
    "reach the others"
)
def when_hub_killed(context, count, size, max_output):
    async def kill():
        await context.harness.kill_gateway(hub_name(context))
        others = context.harness.gateways.values()
        await context.harness.wait_until(
            lambda: all(len(g.context.peer_links) == 2 for g in others)
        )

    run(context, kill())
    names = sorted(context.harness.gateways)
    context.responses = run(context, send_prompts(context, names, count, f"{size},{max_output}"))
