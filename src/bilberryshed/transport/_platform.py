"""HTTP adapters for the platform's services."""

import json
from typing import Any
from urllib.parse import quote, urlencode

from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from bilberryshed.state import (
    Address,
    ObjectStore,
    Platform,
    Put,
    Row,
    RowRef,
    StoreError,
    TableService,
    Vm,
    VmList,
)
from bilberryshed.transport._http import describe_error, fetch_response, http_client

CONFLICT = 409
NOT_FOUND = 404
UNAVAILABLE = 503  # the platform guarantees that the call had no effect


class _HttpAdapter:
    """Base of the adapters: one base URL and one timeout in seconds for each call."""

    __slots__ = ("base_url", "timeout", "client")

    def __init__(self, address: Address, timeout: float) -> None:
        self.base_url = f"http://{address}"
        self.timeout = timeout
        self.client: AsyncHTTPClient = http_client()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        expected_statuses: tuple[int, ...] = (),
        is_write: bool = False,
    ) -> Result[tuple[int, bytes], StoreError]:
        request = HTTPRequest(
            self.base_url + path,
            method=method,
            body=body,
            request_timeout=self.timeout,
            connect_timeout=self.timeout,
        )
        try:
            response = await fetch_response(self.client, request)
            if response.code >= 500:
                response.rethrow()
        except Exception as error:
            http_error = describe_error(error)
            ambiguous = is_write and http_error.possibly_sent and http_error.status != UNAVAILABLE
            return Failure(StoreError(ambiguous, http_error.detail))
        if response.code >= 400 and response.code not in expected_statuses:
            return Failure(StoreError(False, f"HTTP {response.code} for {method} {path}"))
        return Success((response.code, response.body))

    async def _call_json(
        self,
        method: str,
        path: str,
        body: Any,
        expected_statuses: tuple[int, ...] = (),
        is_write: bool = False,
    ) -> Result[tuple[int, Any], StoreError]:
        data = None if body is None else json.dumps(body).encode()
        reply = await self._call(method, path, data, expected_statuses, is_write)
        return reply.bind(_parse_json)


def _parse_json(reply: tuple[int, bytes]) -> Result[tuple[int, Any], StoreError]:
    status, body = reply
    try:
        return Success((status, json.loads(body)))
    except ValueError as error:
        return Failure(StoreError(True, f"response is not JSON: {error}"))


class HttpTableService(_HttpAdapter, TableService):
    """Table service over HTTP."""

    __slots__ = ()

    async def read(self, refs: tuple[RowRef, ...]) -> Result[tuple[Row, ...], StoreError]:
        body = {"refs": [[ref.table, ref.key] for ref in refs]}
        reply = await self._call_json("POST", "/tables/read", body)
        return reply.map(lambda item: _parse_rows(item[1]))

    async def write(self, puts: tuple[Put, ...]) -> Result[bool, StoreError]:
        rows = [[put.ref.table, put.ref.key, put.version, put.value] for put in puts]
        reply = await self._call_json("POST", "/tables/write", {"puts": rows}, (CONFLICT,), True)
        return reply.map(lambda item: item[0] != CONFLICT)

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> Result[tuple[Row, ...], StoreError]:
        body = {"table": table, "prefix": prefix, "after": after, "limit": limit}
        reply = await self._call_json("POST", "/tables/scan", body)
        return reply.map(lambda item: _parse_rows(item[1]))


def _parse_rows(body: Any) -> tuple[Row, ...]:
    return tuple(
        Row(RowRef(table, key), version, value) for table, key, version, value in body["rows"]
    )


class HttpObjectStore(_HttpAdapter, ObjectStore):
    """Object store over HTTP."""

    __slots__ = ()

    async def put_if_absent(self, name: str, data: bytes) -> Result[bool, StoreError]:
        reply = await self._call("PUT", f"/objects/{quote(name)}", data, (CONFLICT,), True)
        return reply.map(lambda item: item[0] != CONFLICT)

    async def get(self, name: str) -> Result[bytes | None, StoreError]:
        reply = await self._call("GET", f"/objects/{quote(name)}", None, (NOT_FOUND,))
        return reply.map(lambda item: None if item[0] == NOT_FOUND else item[1])

    async def names(
        self, prefix: str, after: str, limit: int
    ) -> Result[tuple[str, ...], StoreError]:
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        reply = await self._call_json("GET", f"/names?{query}", None)
        return reply.map(lambda item: tuple(item[1]["names"]))


class HttpVmList(_HttpAdapter, VmList):
    """List of VMs over HTTP."""

    __slots__ = ()

    async def vms(self) -> Result[tuple[Vm, ...], StoreError]:
        reply = await self._call_json("GET", "/vms", None)
        return reply.map(lambda item: tuple(Vm(**entry) for entry in item[1]["vms"]))


def http_platform(address: Address, timeout: float) -> Platform:
    """Return the HTTP adapters for a platform.

    :param timeout: timeout of one call in seconds
    """
    return Platform(
        HttpTableService(address, timeout),
        HttpObjectStore(address, timeout),
        HttpVmList(address, timeout),
    )
