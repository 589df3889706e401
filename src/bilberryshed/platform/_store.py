"""Client of the platform's store."""

import base64
import json
import math
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import pycurl
from returns.result import Failure, Result, Success
from tornado.httpclient import HTTPRequest

from bilberryshed.coordination.admission import ByteCounter
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
from bilberryshed.transport import describe_error, fetch_response, http_client, logger

STATUS_CONFLICT = 412  # a row has another version than the precondition
STATUS_HISTORY_LOST = 410  # changes since the requested version are no longer available
REJECTED_STATUSES = (429, 503)  # the store rejected the call without any effect
MS_PER_SECOND = 1000
PAGE_SIZE = 500  # maximum rows in one response
CONNECT_TIMEOUT = 0.4  # seconds
MAX_TRANSFER_TIME = 8.0  # seconds that a response of the store may take while its bytes arrive
ERA_HEADER = "Store-Era"  # rises whenever the store comes back from a copy

RESTORED_MEANWHILE = StoreError(False, "the store was restored from a copy during the read")

Reply = tuple[int, Any]  # HTTP status and decoded body


class PlatformStore(ClockedTableService, ChangeFeed):
    """Client of the platform's store.

    Rows of the product's own tables contain JSON objects; rows of other tables are returned as
    bytes. A response of an earlier epoch than one received before is reported as a failed call, and
    so is a read whose pages are of several epochs.

    :param timeout: seconds for one call, not counting the time that it may wait for changes
    :param counter: counts the bytes read, while they arrive
    :param latest_clock: latest time of the store in a response of this epoch, in seconds
    :param latest_epoch: latest epoch in any response
    """

    __slots__ = ("base_url", "timeout", "counter", "client", "latest_clock", "latest_epoch")

    def __init__(
        self, address: Address, timeout: float, counter: ByteCounter | None = None
    ) -> None:
        self.latest_clock = 0.0
        self.latest_epoch = 0
        self.base_url = f"http://{address}"
        self.timeout = timeout
        self.counter = counter or ByteCounter()
        self.client = http_client()

    # The product's own tables ---------------------------------------------------------------

    async def read(self, refs: tuple[RowRef, ...]) -> Result[tuple[Row, ...], StoreError]:
        found: dict[RowRef, Row] = {}
        epoch: int | None = None
        for table in sorted({ref.table for ref in refs}):
            keys = sorted(ref.key for ref in refs if ref.table == table)
            rows = await self._range(table, keys[0], keys[-1] + "\x00")
            if isinstance(rows, Failure):
                return rows
            if epoch not in (None, self.latest_epoch):
                return Failure(RESTORED_MEANWHILE)
            epoch = self.latest_epoch
            found |= {row.ref: row for row in rows.unwrap()}
        return Success(tuple(found.get(ref, Row(ref, 0, {})) for ref in refs))

    async def transact(self, puts: tuple[Put, ...]) -> Result[int | None, StoreError]:
        body = {
            "precondition": [{**_row_address(put.ref), "rowVersion": put.version} for put in puts],
            "write": [
                {**_row_address(put.ref), "data": _encode_value(put.value)}
                for put in puts
                if put.value is not None
            ],
            "remove": [_row_address(put.ref) for put in puts if put.value is None],
        }
        reply = await self._call("POST", "/rows-tx", body, (STATUS_CONFLICT,))
        return reply.map(
            lambda item: None if item[0] == STATUS_CONFLICT else int(item[1]["rowVersion"])
        )

    @property
    def clock(self) -> float:
        return self.latest_clock

    @property
    def epoch(self) -> int:
        return self.latest_epoch

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> Result[tuple[Row, ...], StoreError]:
        start_key = max(prefix, after + "\x00") if after else prefix
        rows = await self._range(table, start_key, "", limit)
        return rows.map(lambda found: tuple(row for row in found if row.ref.key.startswith(prefix)))

    async def _range(
        self, table: str, start_key: str, end_key: str, limit: int = PAGE_SIZE
    ) -> Result[tuple[Row, ...], StoreError]:
        """Read the rows of one of the product's own tables in a range of keys."""
        pages = await self._pages(table, start_key, end_key, limit)
        if isinstance(pages, Failure):
            return pages
        try:
            rows = [_decode_row(item) for page in pages.unwrap() for item in page["rows"]]
        except (KeyError, TypeError, ValueError, RecursionError) as error:
            return Failure(StoreError(False, f"row of {table!r} cannot be decoded: {error!r}"))
        return Success(tuple(rows[:limit]))

    async def _pages(
        self, table: str, start_key: str, end_key: str, limit: int | None
    ) -> Result[list[Any], StoreError]:
        """Read all pages of a range of keys, or those with the first ``limit`` rows."""
        pages: list[Any] = []
        count, epoch = 0, self.latest_epoch
        while True:
            page = await self._page(table, start_key, end_key, limit)
            if isinstance(page, Failure):
                return page
            if pages and epoch != self.latest_epoch:
                return Failure(RESTORED_MEANWHILE)
            epoch = self.latest_epoch
            body = page.unwrap()
            pages.append(body)
            count += len(body["rows"])
            if not body["hasMore"] or (limit and count >= limit):
                return Success(pages)
            start_key = body["rows"][-1]["key"] + "\x00"

    async def _page(
        self, table: str, start_key: str, end_key: str, limit: int | None
    ) -> Result[Any, StoreError]:
        """Read one page; rows of a whole table may be large."""
        query = {"tableName": table, "part": "", "maxResults": min(limit or PAGE_SIZE, PAGE_SIZE)}
        if start_key:
            query["source"] = start_key
        if end_key:
            query["to"] = end_key
        reply = await self._call(
            "GET", f"/rows-get?{urlencode(query)}", None, is_large=limit is None
        )
        return reply.map(lambda item: item[1])

    # Other tables ---------------------------------------------------------------------------

    async def snapshot(self, table: str) -> Result[ChangeBatch, StoreError]:
        pages = await self._pages(table, "", "", None)
        if isinstance(pages, Failure):
            return pages
        rows = tuple(_decode_feed_row(item) for page in pages.unwrap() for item in page["rows"])
        # The first page has the oldest version: following changes from it misses none.
        version = int(pages.unwrap()[0]["rowVersion"])
        return Success(ChangeBatch(rows, version, self.latest_epoch, is_snapshot=True))

    async def changes(self, table: str, after: int, wait: float) -> Result[ChangeBatch, StoreError]:
        query = {"tableName": table, "after": after, "waitMs": int(wait * 1000)}
        path = f"/rows-feed?{urlencode(query)}"
        reply = await self._call("GET", path, None, (STATUS_HISTORY_LOST,), wait, wait > 0)
        if isinstance(reply, Failure):
            return reply
        status, body = reply.unwrap()
        if status == STATUS_HISTORY_LOST:
            return await self.snapshot(table)
        rows = tuple(_decode_feed_row(item) for item in body["rows"])
        version = int(body["rowVersion"])
        return Success(ChangeBatch(rows, version, self.latest_epoch, is_snapshot=False))

    # Calls ----------------------------------------------------------------------------------

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        expected_statuses: tuple[int, ...] = (),
        wait: float = 0.0,
        is_large: bool = False,
    ) -> Result[Reply, StoreError]:
        """Call the store.

        :param wait: seconds that the store may wait for changes
        :param is_large: whether the response may take long to transfer
        """
        limit = self.timeout + wait
        content = bytearray()

        def on_chunk(chunk: bytes) -> None:
            self.counter.on_read(len(chunk))
            content.extend(chunk)

        request = HTTPRequest(
            self.base_url + path,
            method=method,
            headers={"Content-Type": "application/json"} if body is not None else None,
            body=json.dumps(body) if body is not None else None,
            request_timeout=limit + (MAX_TRANSFER_TIME if is_large else 0.0),
            connect_timeout=CONNECT_TIMEOUT,
            prepare_curl_callback=_time_out_silent(limit) if is_large else None,
            streaming_callback=on_chunk,
        )
        is_write = body is not None
        try:
            response = await fetch_response(self.client, request)
        except Exception as error:
            http_error = describe_error(error)
            return Failure(StoreError(is_write and http_error.possibly_sent, http_error.detail))
        if not self._follow_epoch(response.headers.get(ERA_HEADER)):
            return Failure(StoreError(is_write, "response from before the store was restored"))
        if response.code in REJECTED_STATUSES:
            return Failure(StoreError(False, f"HTTP {response.code}"))
        if response.code >= 400 and response.code not in expected_statuses:
            return Failure(StoreError(response.code >= 500, f"HTTP {response.code} for {path}"))
        try:
            reply = json.loads(content)
            self._follow_clock(reply.get("serverTimeMs", 0) / MS_PER_SECOND)
            return Success((response.code, reply))
        except ValueError as error:
            return Failure(StoreError(is_write, f"response is not JSON: {error}"))

    def _follow_clock(self, clock: float) -> None:
        if not self.latest_clock and clock:
            logger().info("store_clock", epoch=self.latest_epoch, clock=clock)
        self.latest_clock = max(self.latest_clock, clock)

    def _follow_epoch(self, header: str | None) -> bool:
        """Record the epoch in a response; its clock may be behind that of the epoch before.

        :returns: ``False`` if the response is of an earlier epoch than the latest one
        """
        epoch = int(header) if header is not None and header.isdecimal() else self.latest_epoch
        if epoch > self.latest_epoch:
            logger().info(
                "store_epoch", epoch=epoch, before=self.latest_epoch, clock=self.latest_clock
            )
            self.latest_epoch, self.latest_clock = epoch, 0.0
        return epoch == self.latest_epoch


def _time_out_silent(seconds: float) -> Callable[[pycurl.Curl], None]:
    """Have a call fail after some seconds without a byte, however long a response takes.

    A large row takes longer than a call may be silent on a VM with a narrow network link; a call
    that timed out meanwhile would transfer the row from its start again and again. A transfer that
    stops midway is noticed some seconds later, as curl averages its rate.
    """

    def prepare(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.LOW_SPEED_LIMIT, 1)
        curl.setopt(pycurl.LOW_SPEED_TIME, math.ceil(seconds))

    return prepare


def _row_address(ref: RowRef) -> dict[str, str]:
    return {"tableName": ref.table, "part": "", "key": ref.key}


def _encode_value(value: dict[str, Any]) -> str:
    return base64.b64encode(json.dumps(value, separators=(",", ":")).encode()).decode()


def _decode_row(item: dict[str, Any]) -> Row:
    value = json.loads(base64.b64decode(item["data"]))
    return Row(RowRef(item["tableName"], item["key"]), int(item["rowVersion"]), value)


def _decode_feed_row(item: dict[str, Any]) -> FeedRow:
    if item.get("deleted"):
        return FeedRow(item["key"], None)
    return FeedRow(item["key"], base64.b64decode(item.get("data") or ""))
