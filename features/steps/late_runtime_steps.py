"""Steps for routers and agents whose event loop is late."""

import asyncio
import json
import socket
import threading
import time
from dataclasses import replace
from types import SimpleNamespace

import xxhash
from backend_steps import DONE, FIRST, HEAD, SECOND, IgnoringSink, dispatch
from behave import given, then, when
from fleet_steps import post_json
from fleet_support import run, service_runs
from returns.result import Failure, Success

from bilberryshed.coordination import (
    AgentView,
    GrantBook,
    Members,
    MembershipSnapshot,
    Reclaim,
    Routing,
)
from bilberryshed.protocol import (
    Completed,
    FundsResponse,
    LedgerAppendResponse,
    NotRun,
    UsageRecord,
)
from bilberryshed.runtime import EngineBackend, FundingService, ServiceBackend
from bilberryshed.runtime._agent_queue import AgentQueue
from bilberryshed.runtime._attempts import Attempts, LinkLost
from bilberryshed.runtime._billing import Billing
from bilberryshed.runtime._ledger_service import LedgerService
from bilberryshed.runtime._placement_service import PlacementService
from bilberryshed.runtime._reclaim_service import ReclaimService
from bilberryshed.state import Address, GrantRow, Row, RowRef, StoreError, Vm
from bilberryshed.transport import TimerService
from bilberryshed_load import LoadRequest, send_request

LOAD = json.dumps({"models": ["m@1"], "slots": 4, "boot": 7}).encode()
BACKENDS = {
    "model engine": (EngineBackend, FIRST + SECOND + DONE),
    "plain service": (ServiceBackend, b"a whole response"),
}


async def stand_still(timers, start, end):
    """Measure the lag of the loop, and have it stand still for a time.

    :param start: seconds from now
    :param end: seconds from now
    """
    timers.watch_loop()
    asyncio.get_running_loop().call_later(start, time.sleep, end - start)


# Backend servers ------------------------------------------------------------------------------


def serve_once(listener, body, delay):
    """Respond to one request, in a thread of its own, so that the late loop does not delay it."""
    connection, _ = listener.accept()
    with connection:
        request = connection.recv(65_536)
        time.sleep(delay)
        connection.sendall(HEAD + (LOAD if request.startswith(b"GET /load") else body))


@given("a {kind} that sends its response within {delay:g} s")
def given_server(context, kind, delay):
    context.backend_class, body = BACKENDS[kind]
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.server = Address("127.0.0.1", listener.getsockname()[1])
    threading.Thread(target=serve_once, args=(listener, body, delay), daemon=True).start()


def call_late(context, start, end, call):
    """Return the result of a call of the backend's client while the loop stands still.

    :param call: receives the client
    """

    async def run():
        timers = TimerService()
        await stand_still(timers, start, end)
        started_at = time.monotonic()
        try:
            return await call(context.backend_class(context.server, timers))
        finally:
            context.elapsed = time.monotonic() - started_at
            timers.close()

    return context.loop.run_until_complete(run())


@when(
    "an agent whose event loop stands still from {start:g} s to {end:g} s runs an attempt with a "
    "deadline of {deadline:g} s"
)
def when_attempt(context, start, end, deadline):
    late_dispatch = replace(dispatch(), deadline=deadline)
    context.result = call_late(
        context, start, end, lambda backend: backend.run(late_dispatch, IgnoringSink())
    )


@when("an agent whose event loop stands still from {start:g} s to {end:g} s queries the load")
def when_load(context, start, end):
    context.result = call_late(context, start, end, lambda backend: backend.load())


@then("it took {least:g} to {most:g} s, the cancellation included")
def then_took(context, least, most):
    assert least <= context.elapsed <= most, context.elapsed


@then("the load is known")
def then_load(context):
    assert context.result is not None and context.result.boot == 7, context.result


# Routers --------------------------------------------------------------------------------------


def record(key="k"):
    """Return a usage record without charges."""
    return UsageRecord("c", "b", key, "r1", "a1", "s", "m@1", 0, (), 0.0)


class EndOfAttempt:
    """An attempt at an agent, and its response."""

    def __init__(self, context):
        self.attempts = Attempts(context)
        context.agent_links["a-1"] = SimpleNamespace(send=lambda message: True)
        service = SimpleNamespace(name="s", idempotent=False, price=0, deadline=0.3)
        customer = SimpleNamespace(name="c", priority=5)
        call = SimpleNamespace(
            request="r1",
            customer=customer,
            budget=SimpleNamespace(name="b"),
            key="k",
            service=service,
            model="",
            method="POST",
            path="/",
            body=b"",
        )
        self.execution = SimpleNamespace(call=call, abandoned=asyncio.Event(), chunks=[])

    async def run(self):
        """Run the attempt."""
        reservation = SimpleNamespace(parts=())
        return await self.attempts.run(self.execution, "a-1", "a1", reservation, False)

    def deliver(self):
        """Deliver the end of a response without a body."""
        digest = xxhash.xxh3_128().digest()
        self.attempts.on_frame(Completed("a1", 0, digest, "stop", 0, 0, record()))


class StateOfAttempt:
    """A query for an attempt of another router, and its answer."""

    def __init__(self, context):
        self.billing = Billing(context, None, None)
        context.agent_links["a-1"] = SimpleNamespace(send=lambda message: True)

    async def run(self):
        """Query the agent."""
        return await self.billing.query_attempt("a-1", "a1")

    def deliver(self):
        """Deliver the answer of the agent."""
        self.billing.on_attempt_result(NotRun("a1", "no_capacity", "it never ran"))


class FreeAgent:
    """A request that waits for an agent, and the report of one that is free."""

    def __init__(self, context):
        context.routing = Routing("two_choices")
        self.agent = AgentView("a-1", "z", models=frozenset({"m@1"}), running=2)
        context.routing.agents["a-1"] = self.agent
        self.queue = AgentQueue(context)
        self.queue.start()

    async def run(self):
        """Wait for the agent."""
        customer = SimpleNamespace(name="c", weight=1, priority=5)
        call = SimpleNamespace(target="m@1", model="", prompt=b"", customer=customer)
        return await self.queue.acquire(call, set())

    def deliver(self):
        """Deliver the report."""
        self.agent.running = 0


class TokensOfPeer:
    """A request for tokens from a peer, and its response."""

    def __init__(self, context):
        context.grant_book = GrantBook("r-1.1")
        context.members = SimpleNamespace(
            holder=lambda budget: "r-2", routers=lambda: ("r-2",), zones=lambda: 1
        )
        context.rollout = SimpleNamespace(
            current=SimpleNamespace(version=1, sheet=SimpleNamespace(budgets={}))
        )
        context.send_to_peer = lambda peer, message: True
        self.service = FundingService(context)
        self.at_store = asyncio.Event()
        self.service.worker = SimpleNamespace(submit=lambda *change: self.at_store.set())
        context.timers.subscribe(0.05, self.service._on_tick)

    async def run(self):
        """Request the tokens; returns whether the peer responded before the store was asked."""
        budget = SimpleNamespace(row_key="c/b", customer="c", name="b")
        round_ = asyncio.ensure_future(self.service._request_tokens(budget, 100))
        store = asyncio.ensure_future(self.at_store.wait())
        await asyncio.wait({round_, store}, return_when=asyncio.FIRST_COMPLETED)
        store.cancel()
        return not self.at_store.is_set() or None

    def deliver(self):
        """Deliver the response of the peer."""
        self.service.on_answer("r-2", FundsResponse("r-1.1.a1", 100, 0, (), False))


class RecordOfWriter:
    """A usage record that the writer of its shard commits."""

    def __init__(self, context):
        context.members = SimpleNamespace(shard_writer=lambda shard: "r-2")
        context.send_to_peer = lambda peer, message: True
        context.objects = SimpleNamespace(get=lambda name: asyncio.Event().wait())
        self.service = LedgerService(context)
        self.service.start()
        self.committed = asyncio.Event()

    async def run(self):
        """Submit the record; returns whether it was committed without an own writer."""
        self.service.submit(record(), lambda committed: self.committed.set())
        await self.committed.wait()
        return not self.service.writers or None

    def deliver(self):
        """Deliver the response of the writer."""
        self.service.on_append_response(LedgerAppendResponse("r-1.1.o1", (record(),)))


CASES = {
    "the end of an attempt": EndOfAttempt,
    "the state of an attempt": StateOfAttempt,
    "news of a free agent": FreeAgent,
    "tokens from a peer": TokensOfPeer,
    "the record of a writer": RecordOfWriter,
}
EXPECTED = {
    "the attempt has its response": Completed,
    "the attempt is known to be unrun": NotRun,
    "the request gets the agent": str,
    "the peer counts as reachable": bool,
    "the record was sent to the writer only": bool,
}


def router_context():
    """Return what the components of a router share."""
    settings = SimpleNamespace(
        name="r-1",
        queue_limit=50,
        queue_wait=0.5,
        ledger_shards=1,
        ledger_interval=0.05,
        grant_horizon=1.0,
        grant_least=1,
        zone="z",
    )
    return SimpleNamespace(
        settings=settings,
        boot="r-1.1",
        timers=TimerService(),
        metrics=SimpleNamespace(count=lambda name: None),
        agent_links={},
        peer_links={},
        spawn=asyncio.ensure_future,
    )


async def receive(case, stream):
    """Deliver the message of a case once a byte has arrived in a socket."""
    if await stream.read(1):
        case.deliver()


async def run_case(context, what, start=0.0, pause=0.0):
    """Run a case; a pause of 0 s delivers nothing."""
    router = router_context()
    case = CASES[what](router)
    near, far = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=near)
    receiving = asyncio.ensure_future(receive(case, reader))
    if pause:
        sender = threading.Timer(0.3, far.send, [b"x"])
        sender.start()
    await stand_still(router.timers, start, start + pause)
    started_at = time.monotonic()
    context.result = await case.run()
    context.elapsed = time.monotonic() - started_at
    router.timers.close()
    receiving.cancel()
    writer.close()
    far.close()


@when(
    "{what} comes to a router within 0.3 s, and its event loop stands still from {start:g} s for "
    "{pause:g} s"
)
def when_comes(context, what, start, pause):
    context.loop.run_until_complete(run_case(context, what, start, pause))


@when("{what} does not come to a router")
def when_missing(context, what):
    context.loop.run_until_complete(run_case(context, what))


@then("it is so that {expected}")
def then_expected(context, expected):
    assert isinstance(context.result, EXPECTED[expected]), context.result


@then("it is given up after {limit:g} s")
def then_given_up(context, limit):
    assert context.result is None or isinstance(context.result, LinkLost), context.result
    assert limit <= context.elapsed <= limit + 0.4, context.elapsed


# Orders ---------------------------------------------------------------------------------------


@when(
    "a router looks at an order that it sent {before:g} s ago, and stood still for {still:g} s of "
    "them"
)
def when_order(context, before, still):
    router, context.orders = router_context(), []
    router.draining = False
    router.members = SimpleNamespace(owns_task=lambda task: True)
    models = {"m@1": SimpleNamespace(engines=1)}
    router.rollout = SimpleNamespace(current=SimpleNamespace(sheet=SimpleNamespace(models=models)))
    router.routing = Routing("two_choices")
    router.routing.agents["a-1"] = AgentView("a-1", "z")
    router.agent_links["a-1"] = SimpleNamespace(send=context.orders.append)
    service = PlacementService(router)

    async def hold_lease():
        return True

    async def look():
        service._ensure_lease = hold_lease
        for now, responsive in ((0.0, 0.0), (before, before - still)):
            router.timers = SimpleNamespace(responsive_time=lambda time=responsive: time)
            service._on_tick(now)
            await asyncio.sleep(0.01)

    context.loop.run_until_complete(look())


@then("the order is {state}")
def then_order(context, state):
    assert len(context.orders) == (2 if state == "failed" else 1), context.orders


# Holders of grants ----------------------------------------------------------------------------

GRANT = GrantRow("c/b", "B.1", 500)
SNAPSHOTS = {
    "live": MembershipSnapshot((Vm("B", "router", "z", "", "live"),), {"A": "A.1"}),
    "gone": MembershipSnapshot((), {"A": "A.1"}),
    "restarted": MembershipSnapshot(
        (Vm("B", "router", "z", "", "live"),), {"A": "A.1", "B": "B.0"}
    ),
}


@given("a grant of a holder")
def given_grant(context):
    context.reclaim = Reclaim()


@when("passes find at these responsive times that the holder is: {passes}")
def when_passes(context, passes):
    for found in passes.split(", "):
        at, state = found.split()
        context.reclaim.revoke_gone(float(at), {"B.1.g1": GRANT}, SNAPSHOTS[state])


@then("the holder is {outcome}")
def then_holder(context, outcome):
    expected = ("B.1",) if outcome == "revoked" else ()
    assert context.reclaim.revoked == expected, context.reclaim.revoked


@when(
    "a router whose VM list lacks a holder reclaims at {first:g} and {second:g} responsive "
    "seconds, and {change}"
)
def when_reclaims(context, first, second, change):
    router = router_context()
    router.members = Members("A", "z")
    router.grant_book = GrantBook("A.1")
    ledger = SimpleNamespace(undelivered=lambda: [], all_records=no_records)
    context.service = ReclaimService(router, None, ledger)
    context.service.listed_vms = ()
    router.tables = SimpleNamespace(scan=scan_grant)

    async def list_vms():
        if change == "the list is unavailable":
            return Failure(StoreError(False, "down"))
        has_holder = change == "the list has it by then"
        return Success((Vm("B", "router", "z", "", "live"),) if has_holder else ())

    async def reclaim():
        router.vm_list = SimpleNamespace(vms=list_vms)
        for time_ in (first, second):
            router.timers = SimpleNamespace(responsive_time=lambda time=time_: time)
            await context.service._reclaim()

    context.loop.run_until_complete(reclaim())


async def scan_grant(table, prefix, after, limit):
    """Return the row of the grant."""
    return Success((Row(RowRef(table, "B.1.g1"), 1, GRANT.to_value()),))


async def no_records():
    """Return that the ledger cannot be read."""
    return


@then("it has revoked {who}")
def then_revoked(context, who):
    expected = {"B.1"} if who == "the holder" else set()
    assert context.service.revoked_boots == expected, context.service.revoked_boots


# Processes ------------------------------------------------------------------------------------


@when(
    "highland-council books a visit that takes {duration:g} s, and {first} and {second} are "
    "stopped from {start:g} s to {end:g} s"
)
def when_booking(context, duration, first, second, start, end):
    fleet = context.fleet
    fault = {"kind": "pause", "target": "/calls", "seconds": duration}
    for name, port in fleet.plan.backends.items():
        if name.startswith("s"):
            post_json(port, "/faults", fault)
    load_request = LoadRequest("highland-council", "late", "booking", body=b'{"visit": 1}')

    async def stop(booking):
        while not (booking.done() or service_runs(fleet).get("late")):
            await asyncio.sleep(0.01)
        await asyncio.sleep(start)
        for name in (first, second):
            fleet.set_suspended(name, True)
        await asyncio.sleep(end - start)
        for name in (first, second):
            fleet.set_suspended(name, False)

    async def book():
        url = fleet.plan.router_urls[0]
        booking = asyncio.ensure_future(send_request(url, load_request))
        await stop(booking)
        return await booking

    context.result = run(context, book)
