"""Stand-in for the store of the users' platform: rows with versions, transactions and a feed.

``RowStore.fault`` selects the injected fault: ``ok`` is none; ``busy`` rejects calls with 503;
``lost`` commits a transaction and withholds the response; ``late`` withholds the response and
attempts the transaction ``LATE_DELAY`` later; ``silent`` holds every call before it is processed.
After ``UNANSWERED_TIME``, a held call is processed and gets its response, so that a late
transaction is attempted again.

``RowStore.restore`` brings the rows of an earlier ``RowStore.copy`` back. What operators and
backend servers wrote since is written again, under versions that were given out before.
"""

import asyncio
import base64
import json
import time
from collections.abc import Collection
from dataclasses import dataclass, field, replace
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

LATE_DELAY = 0.5  # seconds after which a late transaction is attempted
UNANSWERED_TIME = 30.0  # seconds for which a call is held without a response
FEED_POLL_INTERVAL = 0.02  # seconds between checks for changes

RowAddress = tuple[str, str]  # table and key
FOREIGN_TABLES = ("op", "servers")  # tables that operators and backend servers write


@dataclass(slots=True)
class StoredRow:
    """A row; ``data`` is ``None`` after its deletion."""

    data: bytes | None
    version: int


@dataclass(slots=True, frozen=True)
class RowStoreCopy:
    """All rows of a store at one version."""

    rows: dict[RowAddress, StoredRow]
    version: int


@dataclass(slots=True)
class RowStore:
    """Rows of all tables.

    :param epoch: increased by each restore from a copy
    :param fault: active fault
    :param oldest_version: version before which the change history is truncated
    :param calls: methods and paths of the calls so far
    """

    rows: dict[RowAddress, StoredRow] = field(default_factory=dict)
    version: int = 0
    oldest_version: int = 0
    epoch: int = 1
    fault: str = "ok"
    calls: list[str] = field(default_factory=list)
    started_at: float = field(default_factory=time.monotonic)

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row unconditionally, as an operator or a backend server does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._set((table, key), data)

    def remove(self, table: str, key: str) -> None:
        """Delete a row."""
        self._set((table, key), None)

    def value(self, table: str, key: str) -> Any:
        """Return the value of a row, ``None`` if it is absent."""
        row = self.rows.get((table, key))
        return json.loads(row.data) if row and row.data is not None else None

    def values(self, table: str) -> dict[str, Any]:
        """Return the values of all rows of a table."""
        keys = [key for name, key in self.rows if name == table]
        found = {key: self.value(table, key) for key in keys}
        return {key: value for key, value in found.items() if value is not None}

    def truncate_history(self) -> None:
        """Truncate the change history, so that every feed has to restart from a snapshot."""
        self.oldest_version = self.version

    def current_version(self, address: RowAddress) -> int:
        """Return the version of a row, 0 if it is absent."""
        row = self.rows.get(address)
        return row.version if row and row.data is not None else 0

    def transact(self, body: dict[str, Any]) -> bool:
        """Commit a transaction; return ``False`` if a precondition does not hold."""
        for item in body.get("precondition", ()):
            if self.current_version(_row_address(item)) != item["rowVersion"]:
                return False
        self.version += 1
        for item in body.get("write", ()):
            self.rows[_row_address(item)] = StoredRow(base64.b64decode(item["data"]), self.version)
        for item in body.get("remove", ()):
            self.rows[_row_address(item)] = StoredRow(None, self.version)
        return True

    def copy(self) -> "RowStoreCopy":
        """Return a copy of all rows, for :meth:`restore`."""
        rows = {address: replace(row) for address, row in self.rows.items()}
        return RowStoreCopy(rows, self.version)

    def restore(self, copy: "RowStoreCopy", rewritten: Collection[str] = FOREIGN_TABLES) -> None:
        """Come back from a copy, in a new epoch.

        :param rewritten: tables whose current rows are written again at once
        """
        current = self.rows
        self.rows = {address: replace(row) for address, row in copy.rows.items()}
        self.version, self.epoch = copy.version, self.epoch + 1
        self.oldest_version = min(self.oldest_version, self.version)
        for address, row in sorted(current.items(), key=lambda item: item[1].version):
            restored = self.rows.get(address)
            if address[0] in rewritten and (restored is None or restored.data != row.data):
                self._set(address, row.data)

    def clock(self) -> int:
        """Return the milliseconds of a monotonic clock."""
        return int((time.monotonic() - self.started_at) * 1000)

    def _set(self, address: RowAddress, data: bytes | None) -> None:
        self.version += 1
        self.rows[address] = StoredRow(data, self.version)


def _row_address(item: dict[str, Any]) -> RowAddress:
    return (item["tableName"], item["key"])


class _StoreHandler(RequestHandler):
    """Base handler: applies the active fault and sends JSON responses."""

    def initialize(self, store: RowStore) -> None:
        """Set the store that this handler serves."""
        self.store = store

    async def prepare(self) -> None:
        """Record the call and apply the active fault."""
        self.store.calls.append(f"{self.request.method} {self.request.path}")
        if self.store.fault == "busy":
            self.set_status(503)
            self.set_header("Store-Era", str(self.store.epoch))
            self.finish()
        elif self.store.fault == "silent":
            await asyncio.sleep(UNANSWERED_TIME)

    def reply(self, status: int, **fields: Any) -> None:
        """Send a JSON response with the store's version and clock."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header("Store-Era", str(self.store.epoch))
        body = {"rowVersion": self.store.version, "serverTimeMs": self.store.clock(), **fields}
        self.finish(json.dumps(body))

    def row_json(self, address: RowAddress, row: StoredRow) -> dict[str, Any]:
        """Return a row in the JSON form of responses."""
        row_json = {
            "tableName": address[0],
            "part": "",
            "key": address[1],
            "rowVersion": row.version,
        }
        if row.data is None:
            return {**row_json, "deleted": True}
        return {**row_json, "data": base64.b64encode(row.data).decode()}


class _TransactionHandler(_StoreHandler):
    async def post(self) -> None:
        """Commit a transaction; 412 if a precondition does not hold."""
        body, fault = json.loads(self.request.body), self.store.fault
        if fault == "late":
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_DELAY, self.store.transact, body)
            await asyncio.sleep(UNANSWERED_TIME)
        committed = self.store.transact(body)
        if fault == "lost":
            await asyncio.sleep(UNANSWERED_TIME)
        self.reply(200 if committed else 412)


class _RangeHandler(_StoreHandler):
    def get(self) -> None:
        """Return the rows of a key range of a table."""
        table, limit = self.get_query_argument("tableName"), int(self._argument("maxResults", 500))
        low, high = self._argument("source", ""), self._argument("to", "")
        found = sorted(
            address
            for address, row in self.store.rows.items()
            if address[0] == table and row.data is not None
            if address[1] >= low and (not high or address[1] < high)
        )
        rows = [self.row_json(address, self.store.rows[address]) for address in found[:limit]]
        self.reply(200, rows=rows, hasMore=len(found) > limit)

    def _argument(self, name: str, default: Any) -> Any:
        return self.get_query_argument(name, str(default), strip=False)


class _FeedHandler(_StoreHandler):
    async def get(self) -> None:
        """Return the rows changed after a version (long poll); 410 if that history is truncated."""
        table, after = self.get_query_argument("tableName"), int(self.get_query_argument("after"))
        deadline = time.monotonic() + int(self.get_query_argument("waitMs", "0")) / 1000
        while True:
            if not self.store.oldest_version <= after <= self.store.version:
                self.reply(410)
                return
            changed = [
                (row.version, address)
                for address, row in self.store.rows.items()
                if address[0] == table and row.version > after
            ]
            if changed or time.monotonic() >= deadline:
                break
            await asyncio.sleep(FEED_POLL_INTERVAL)
        rows = [self.row_json(address, self.store.rows[address]) for _, address in sorted(changed)]
        self.reply(200, rows=rows)


def serve_row_store(
    store: RowStore, port: int = 0, host: str = "127.0.0.1"
) -> tuple[HTTPServer, int]:
    """Serve a store over HTTP.

    :param port: port to listen on; 0 selects a free one
    :returns: the server and its port
    """
    args = {"store": store}
    server = HTTPServer(
        Application(
            [
                (r"/rows-tx", _TransactionHandler, args),
                (r"/rows-get", _RangeHandler, args),
                (r"/rows-feed", _FeedHandler, args),
            ]
        )
    )
    sockets = bind_sockets(port, host)
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]
