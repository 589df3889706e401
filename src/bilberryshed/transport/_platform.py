"""The platform's services over HTTP."""

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
from bilberryshed.transport._http import describe_error, http_client

CONFLICT = 409
NOT_FOUND = 404
UNAVAILABLE = 503  # the platform says that it did nothing


class _HttpPort:
    """Base of the ports: one base URL and one timeout, in seconds."""

    __slots__ = ("base", "timeout", "client")

    def __init__(self, address: Address, timeout: float) -> None:
        self.base = f"http://{address}"
        self.timeout = timeout
        self.client: AsyncHTTPClient = http_client()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        expected: tuple[int, ...] = (),
        writes: bool = False,
    ) -> Result[tuple[int, bytes], StoreError]:
        request = HTTPRequest(
            self.base + path,
            method=method,
            body=body,
            request_timeout=self.timeout,
            connect_timeout=self.timeout,
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
            if response.code == 599 or response.code >= 500:
                response.rethrow()
        except Exception as error:
            seen = describe_error(error)
            ambiguous = writes and seen.sent and seen.status != UNAVAILABLE
            return Failure(StoreError(ambiguous, seen.detail))
        if response.code >= 400 and response.code not in expected:
            return Failure(StoreError(False, f"HTTP {response.code} for {method} {path}"))
        return Success((response.code, response.body))

    async def _json(
        self,
        method: str,
        path: str,
        body: Any,
        expected: tuple[int, ...] = (),
        writes: bool = False,
    ) -> Result[tuple[int, Any], StoreError]:
        data = None if body is None else json.dumps(body).encode()
        answer = await self._call(method, path, data, expected, writes)
        return answer.bind(_parse)


def _parse(answer: tuple[int, bytes]) -> Result[tuple[int, Any], StoreError]:
    status, body = answer
    try:
        return Success((status, json.loads(body)))
    except ValueError as error:
        return Failure(StoreError(True, f"answer is not JSON: {error}"))


class HttpTableService(_HttpPort, TableService):
    """Table service."""

    __slots__ = ()

    async def read(self, refs: tuple[RowRef, ...]) -> Result[tuple[Row, ...], StoreError]:
        body = {"refs": [[ref.table, ref.key] for ref in refs]}
        answer = await self._json("POST", "/tables/read", body)
        return answer.map(lambda item: _rows(item[1]))

    async def write(self, puts: tuple[Put, ...]) -> Result[bool, StoreError]:
        rows = [[put.ref.table, put.ref.key, put.version, put.value] for put in puts]
        answer = await self._json("POST", "/tables/write", {"puts": rows}, (CONFLICT,), True)
        return answer.map(lambda item: item[0] != CONFLICT)

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> Result[tuple[Row, ...], StoreError]:
        body = {"table": table, "prefix": prefix, "after": after, "limit": limit}
        answer = await self._json("POST", "/tables/scan", body)
        return answer.map(lambda item: _rows(item[1]))


def _rows(body: Any) -> tuple[Row, ...]:
    return tuple(
        Row(RowRef(table, key), version, value) for table, key, version, value in body["rows"]
    )


class HttpObjectStore(_HttpPort, ObjectStore):
    """Object store."""

    __slots__ = ()

    async def put_if_absent(self, name: str, data: bytes) -> Result[bool, StoreError]:
        answer = await self._call("PUT", f"/objects/{quote(name)}", data, (CONFLICT,), True)
        return answer.map(lambda item: item[0] != CONFLICT)

    async def get(self, name: str) -> Result[bytes | None, StoreError]:
        answer = await self._call("GET", f"/objects/{quote(name)}", None, (NOT_FOUND,))
        return answer.map(lambda item: None if item[0] == NOT_FOUND else item[1])

    async def names(
        self, prefix: str, after: str, limit: int
    ) -> Result[tuple[str, ...], StoreError]:
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        answer = await self._json("GET", f"/names?{query}", None)
        return answer.map(lambda item: tuple(item[1]["names"]))


class HttpVmList(_HttpPort, VmList):
    """List of VMs."""

    __slots__ = ()

    async def vms(self) -> Result[tuple[Vm, ...], StoreError]:
        answer = await self._json("GET", "/vms", None)
        return answer.map(lambda item: tuple(Vm(**entry) for entry in item[1]["vms"]))


def http_platform(address: Address, timeout: float) -> Platform:
    """Return the ports to a platform over HTTP.

    :param timeout: seconds for one call
    """
    return Platform(
        HttpTableService(address, timeout),
        HttpObjectStore(address, timeout),
        HttpVmList(address, timeout),
    )
