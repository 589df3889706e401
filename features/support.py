"""In-memory fakes of the platform that inject faults, for tests of the decision logic."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from bilberryshed.coordination import BatchDone, GrantBatch, ReadRows
from bilberryshed.state import (
    BUDGETS,
    GRANTS,
    Address,
    BudgetRow,
    GrantRow,
    Row,
    RowRef,
    StoreError,
)
from bilberryshed_standins import MemoryObjects, MemoryTables

STORE_DOWN = StoreError(False, "the store is unavailable")
RESPONSE_LOST = StoreError(True, "the response was lost")


@dataclass
class FaultyTables:
    """A table service with scripted faults in its next calls.

    ``ok`` succeeds; ``down`` is refused without effect; ``lost`` takes effect but loses the
    response; ``vanished`` loses the request, which takes no effect; ``delayed`` loses the response
    and takes effect just before the next write.
    """

    script: deque = field(default_factory=deque)
    tables: MemoryTables = field(default_factory=MemoryTables)
    delayed: list = field(default_factory=list)

    def read(self, refs):
        """Read rows, or return the scripted error."""
        if self._next_fault("read") == "down":
            return STORE_DOWN
        rows = self.tables.read([(ref.table, ref.key) for ref in refs])
        return tuple(Row(RowRef(t, k), version, value) for t, k, version, value in rows)

    def write(self, puts):
        """Write rows, or return the scripted error."""
        self.apply_delayed()
        rows = [(put.ref.table, put.ref.key, put.version, put.value) for put in puts]
        fault = self._next_fault("write")
        if fault == "down":
            return STORE_DOWN
        if fault == "vanished":
            return RESPONSE_LOST
        if fault == "delayed":
            self.delayed.append(rows)
            return RESPONSE_LOST
        written = self.tables.write(rows)
        return RESPONSE_LOST if fault == "lost" else written

    def apply_delayed(self):
        """Apply the delayed writes."""
        while self.delayed:
            self.tables.write(self.delayed.pop(0))

    def _next_fault(self, kind):
        if self.script and self.script[0].startswith(kind):
            return self.script.popleft().split()[1]
        return "ok"

    def budget(self, key):
        """Return the row of a budget."""
        return BudgetRow.from_value(self.tables.read([(BUDGETS, key)])[0][3])

    def grants(self):
        """Return all grant rows by id."""
        rows = self.tables.scan(GRANTS, "", "", 10_000)
        return {key: GrantRow.from_value(value) for _, key, _, value in rows}


def run_batch(batch: GrantBatch, store: FaultyTables, max_actions: int = 60) -> BatchDone:
    """Run a batch until it is done; fails after ``max_actions`` actions."""
    action = batch.start()
    for _ in range(max_actions):
        if isinstance(action, BatchDone):
            return action
        if isinstance(action, ReadRows):
            action = batch.on_rows(store.read(action.refs))
        else:
            action = batch.on_written(store.write(action.puts))
    raise AssertionError("the batch is not done")


@dataclass
class FaultyObjects:
    """An object store whose puts can fail, with the faults of :class:`FaultyTables`.

    Delayed puts take effect only in ``apply_delayed``.
    """

    objects: MemoryObjects = field(default_factory=MemoryObjects)
    delayed: list = field(default_factory=list)

    def put(self, name, data, fault):
        """Create an object, or return the error of a fault."""
        if fault == "down":
            return STORE_DOWN
        if fault == "vanished":
            return RESPONSE_LOST
        if fault == "delayed":
            self.delayed.append((name, data))
            return RESPONSE_LOST
        created = self.objects.put_if_absent(name, data)
        return RESPONSE_LOST if fault == "lost" else created

    def apply_delayed(self):
        """Apply the delayed puts."""
        while self.delayed:
            self.objects.put_if_absent(*self.delayed.pop(0))


def run_random_histories(machine_class, count):
    """Run random histories of a state machine; a fixed seed makes them reproducible."""
    options = settings(
        max_examples=count,
        stateful_step_count=40,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(machine_class, settings=options)


async def call_server_that_stops(text, call):
    """Return what a call returns whose server sends some text and closes the connection.

    :param call: called with the server's address
    """

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(text.encode().decode("unicode_escape").encode())
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    try:
        return await call(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
    finally:
        server.close()
