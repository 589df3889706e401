"""Steps for the contracts of the platform's ports."""

import asyncio
import time

from behave import given, then, when
from returns.result import Failure
from tornado.httpserver import HTTPServer

from bilberryshed.state import Address, Put, RowRef, Vm
from bilberryshed.transport import HttpObjectStore, HttpTableService, HttpVmList
from bilberryshed_load import free_port
from bilberryshed_standins import LaggingVmList, PlatformStandin, WeightStore

TIMEOUT = 0.3  # seconds until a call to the platform fails
PAUSE_TIME = 0.6  # seconds; longer than TIMEOUT, so that the call times out


def ref(key):
    """Return a reference to a row of the test table."""
    return RowRef("t", key)


@given("a platform stand-in over HTTP")
def given_platform(context):
    context.platform = PlatformStandin(LaggingVmList(0.3), WeightStore(1e9))
    context.port = free_port()

    async def listen():
        context.server = HTTPServer(context.platform.application())
        context.server.listen(context.port, "127.0.0.1")
        address = Address("127.0.0.1", context.port)
        context.tables = HttpTableService(address, TIMEOUT)
        context.objects = HttpObjectStore(address, TIMEOUT)
        context.vm_list = HttpVmList(address, TIMEOUT)

    context.loop.run_until_complete(listen())
    context.add_cleanup(context.server.stop)


def run(context, coroutine):
    """Run a coroutine of a port and unwrap its result."""
    return context.loop.run_until_complete(coroutine).unwrap()


def write(context, *rows):
    """Write rows given as (key, version, value)."""
    puts = tuple(Put(ref(key), version, value) for key, version, value in rows)
    return run(context, context.tables.write(puts))


def read(context, key):
    """Read one row."""
    return run(context, context.tables.read((ref(key),)))[0]


@when("rows a and b are written at version 0")
def when_rows_written(context):
    assert write(context, ("a", 0, {"n": 1}), ("b", 0, {"n": 1}))


@when("rows a and c are written at versions 1 and 7")
def when_stale_write(context):
    context.second_accepted = write(context, ("a", 1, {"n": 2}), ("c", 7, {"n": 2}))


@then("the second write is refused and row a has its first value")
def then_refused(context):
    assert context.second_accepted is False
    assert read(context, "a").value == {"n": 1}
    assert read(context, "c").version == 0


@when("row a is written, deleted and written again")
def when_rewritten(context):
    assert write(context, ("a", 0, {"n": 1}))
    assert write(context, ("a", 1, None))
    assert read(context, "a").version == 0
    assert write(context, ("a", 0, {"n": 2}))


@then("row a has version 3")
def then_version(context):
    assert read(context, "a").version == 3


@when("rows k1 to k9 are written")
def when_many_rows(context):
    assert write(context, *((f"k{n}", 0, {"n": n}) for n in range(1, 10)))


@then("scanning 4 rows after k2 returns k3, k4, k5, k6")
def then_scan(context):
    rows = run(context, context.tables.scan("t", "k", "k2", 4))
    assert [row.ref.key for row in rows] == ["k3", "k4", "k5", "k6"]


@when("object o is created twice with different bytes")
def when_object_created_twice(context):
    assert run(context, context.objects.put_if_absent("o", b"first"))
    context.second_accepted = run(context, context.objects.put_if_absent("o", b"second"))


@then("the second creation is refused and the object has its first bytes")
def then_first_bytes(context):
    assert context.second_accepted is False
    assert run(context, context.objects.get("o")) == b"first"


@then("reading object nothing returns none")
def then_missing_object(context):
    assert run(context, context.objects.get("nothing")) is None


@when("objects x/2, x/1 and y/1 are created")
def when_objects(context):
    for name in ("x/2", "x/1", "y/1"):
        assert run(context, context.objects.put_if_absent(name, b""))


@then("the names with prefix x/ are x/1, x/2")
def then_names(context):
    assert run(context, context.objects.names("x/", "", 10)) == ("x/1", "x/2")


@given("the fault {fault} is injected for {path}")
def given_fault(context, fault, path):
    context.platform.fault_injector.add(
        fault, path, time.monotonic() + 60, count=1, seconds=PAUSE_TIME
    )


@given("the platform is stopped")
def given_platform_stopped(context):
    context.server.stop()
    context.loop.run_until_complete(context.server.close_all_connections())


@when("{call} is attempted")
def when_called(context, call):
    calls = {
        "a write": lambda: context.tables.write((Put(ref("a"), 0, {"n": 1}),)),
        "a put": lambda: context.objects.put_if_absent("o", b"1"),
        "a read": lambda: context.tables.read((ref("a"),)),
    }
    context.result = context.loop.run_until_complete(calls[call]())


@then("the call fails, its outcome is {ambiguity}, and it took effect: {effect}")
def then_fails(context, ambiguity, effect):
    assert isinstance(context.result, Failure), context.result
    assert context.result.failure().ambiguous == (ambiguity == "ambiguous"), context.result
    stored = bool(context.platform.tables.rows) or bool(context.platform.objects.objects)
    assert stored == (effect == "yes")


@given("the VM list lags by 0.3 seconds")
def given_lag(context):
    vm = Vm("v1", "router", "wick", "127.0.0.1:1", "live")
    context.platform.vm_list.set(time.monotonic() - 1, vm)


@when("VM v1 is reported as leaving")
def when_leaving(context):
    vm = Vm("v1", "router", "wick", "127.0.0.1:1", "leaving")
    context.platform.vm_list.set(time.monotonic(), vm)


@then("the list shows v1 as leaving only after the lag")
def then_lag(context):
    assert run(context, context.vm_list.vms())[0].state == "live"
    context.loop.run_until_complete(asyncio.sleep(0.35))
    assert run(context, context.vm_list.vms())[0].state == "leaving"
