"""Client of the platform's store."""

import base64
import json
from typing import Any
from urllib.parse import urlencode

from returns.result import Failure, Result, Success
from tornado.httpclient import HTTPRequest

from bilberryshed.state import (
    Address,
    ChangeBatch,
    ChangeFeed,
    ClockedTableService,
    FeedRow,
    Put,
    Row,
    RowRef,
    StoreError,
)
from bilberryshed.transport import describe_error, http_client

CONFLICT = 412
HISTORY_LOST = 410
REFUSED = (429, 503)  # the store did nothing
PAGE = 500  # rows in one answer at most
CONNECT_TIMEOUT = 0.4  # seconds

Answer = tuple[int, Any]


class PlatformStore(ClockedTableService, ChangeFeed):
    """Rows of the platform's store.

    Rows of the product's own tables hold JSON objects; rows of others are handed out as bytes.

    :param timeout: seconds for one call, beside the time that it may wait for changes
    """

    __slots__ = ("base", "timeout", "client", "newest_clock")

    def __init__(self, address: Address, timeout: float) -> None:
        self.newest_clock = 0.0
        self.base = f"http://{address}"
        self.timeout = timeout
        self.client = http_client()

    # Tables of the product ------------------------------------------------------------------

    async def read(self, refs: tuple[RowRef, ...]) -> Result[tuple[Row, ...], StoreError]:
        found: dict[RowRef, Row] = {}
        for table in sorted({ref.table for ref in refs}):
            keys = sorted(ref.key for ref in refs if ref.table == table)
            rows = await self._range(table, keys[0], keys[-1] + "\x00")
            if isinstance(rows, Failure):
                return rows
            found |= {row.ref: row for row in rows.unwrap()}
        return Success(tuple(found.get(ref, Row(ref, 0, {})) for ref in refs))

    async def transact(self, puts: tuple[Put, ...]) -> Result[int | None, StoreError]:
        body = {
            "precondition": [{**_place(put.ref), "rowVersion": put.version} for put in puts],
            "write": [
                {**_place(put.ref), "data": _pack(put.value)}
                for put in puts
                if put.value is not None
            ],
            "remove": [_place(put.ref) for put in puts if put.value is None],
        }
        answer = await self._call("POST", "/rows-tx", body, (CONFLICT,))
        return answer.map(lambda item: None if item[0] == CONFLICT else int(item[1]["rowVersion"]))

    @property
    def clock(self) -> float:
        return self.newest_clock

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> Result[tuple[Row, ...], StoreError]:
        source = max(prefix, after + "\x00") if after else prefix
        rows = await self._range(table, source, "", limit)
        return rows.map(lambda found: tuple(row for row in found if row.ref.key.startswith(prefix)))

    async def _range(
        self, table: str, source: str, to: str, limit: int = PAGE
    ) -> Result[tuple[Row, ...], StoreError]:
        """Read the rows of one of the product's tables whose keys are in a range."""
        rows: list[Row] = []
        while True:
            page = await self._page(table, source, to, limit)
            if isinstance(page, Failure):
                return page
            body = page.unwrap()
            try:
                rows += [_own_row(item) for item in body["rows"]]
            except (KeyError, TypeError, ValueError) as error:
                return Failure(StoreError(False, f"row of {table!r} cannot be read: {error!r}"))
            if not body["hasMore"] or len(rows) >= limit:
                return Success(tuple(rows[:limit]))
            source = rows[-1].ref.key + "\x00"

    async def _page(self, table: str, source: str, to: str, limit: int) -> Result[Any, StoreError]:
        query = {"tableName": table, "part": "", "maxResults": min(limit, PAGE)}
        if source:
            query["source"] = source
        if to:
            query["to"] = to
        answer = await self._call("GET", f"/rows-get?{urlencode(query)}", None)
        return answer.map(lambda item: item[1])

    # Tables of others -----------------------------------------------------------------------

    async def snapshot(self, table: str) -> Result[ChangeBatch, StoreError]:
        rows: list[FeedRow] = []
        source, version = "", 0
        while True:
            page = await self._page(table, source, "", PAGE)
            if isinstance(page, Failure):
                return page
            body = page.unwrap()
            # Of several pages the first is the oldest: going on from it misses nothing.
            version = version or int(body["rowVersion"])
            rows += [_foreign_row(item) for item in body["rows"]]
            if not body["hasMore"]:
                return Success(ChangeBatch(tuple(rows), version, is_snapshot=True))
            source = rows[-1].key + "\x00"

    async def changes(self, table: str, after: int, wait: float) -> Result[ChangeBatch, StoreError]:
        query = {"tableName": table, "after": after, "waitMs": int(wait * 1000)}
        path = f"/rows-feed?{urlencode(query)}"
        answer = await self._call("GET", path, None, (HISTORY_LOST,), wait)
        if isinstance(answer, Failure):
            return answer
        status, body = answer.unwrap()
        if status == HISTORY_LOST:
            return await self.snapshot(table)
        rows = tuple(_foreign_row(item) for item in body["rows"])
        return Success(ChangeBatch(rows, int(body["rowVersion"]), is_snapshot=False))

    # Calls ----------------------------------------------------------------------------------

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        expected: tuple[int, ...] = (),
        wait: float = 0.0,
    ) -> Result[Answer, StoreError]:
        request = HTTPRequest(
            self.base + path,
            method=method,
            headers={"Content-Type": "application/json"} if body is not None else None,
            body=json.dumps(body) if body is not None else None,
            request_timeout=self.timeout + wait,
            connect_timeout=CONNECT_TIMEOUT,
        )
        writes = body is not None
        try:
            response = await self.client.fetch(request, raise_error=False)
            if response.code == 599:
                response.rethrow()
        except Exception as error:
            seen = describe_error(error)
            return Failure(StoreError(writes and seen.possibly_sent, seen.detail))
        if response.code in REFUSED:
            return Failure(StoreError(False, f"HTTP {response.code}"))
        if response.code >= 400 and response.code not in expected:
            return Failure(StoreError(response.code >= 500, f"HTTP {response.code} for {path}"))
        try:
            answer = json.loads(response.body)
            self.newest_clock = max(self.newest_clock, answer.get("serverTimeMs", 0) / 1000)
            return Success((response.code, answer))
        except ValueError as error:
            return Failure(StoreError(writes, f"answer is not JSON: {error}"))


def _place(ref: RowRef) -> dict[str, str]:
    return {"tableName": ref.table, "part": "", "key": ref.key}


def _pack(value: dict[str, Any]) -> str:
    return base64.b64encode(json.dumps(value, separators=(",", ":")).encode()).decode()


def _own_row(item: dict[str, Any]) -> Row:
    value = json.loads(base64.b64decode(item["data"]))
    return Row(RowRef(item["tableName"], item["key"]), int(item["rowVersion"]), value)


def _foreign_row(item: dict[str, Any]) -> FeedRow:
    if item.get("deleted"):
        return FeedRow(item["key"], None)
    return FeedRow(item["key"], base64.b64decode(item.get("data") or ""))
