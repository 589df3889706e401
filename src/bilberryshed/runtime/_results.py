"""Helpers for the results of platform ports."""

from typing import TypeVar

from returns.result import Failure, Result, Success

from bilberryshed.state import Row, StoreError, TableService

PAGE_SIZE = 1_000  # rows per request

T = TypeVar("T")


def value_or_error(result: Result[T, StoreError]) -> T | StoreError:
    """Return the value of a result or its error, as the decision classes accept them."""
    return result.failure() if isinstance(result, Failure) else result.unwrap()


async def scan_all(tables: TableService, table: str) -> Result[tuple[Row, ...], StoreError]:
    """Read every row of a table in pages, in order of key."""
    rows: list[Row] = []
    after = ""
    while True:
        page = await tables.scan(table, "", after, PAGE_SIZE)
        if isinstance(page, Failure):
            return page
        rows += page.unwrap()
        if len(page.unwrap()) < PAGE_SIZE:
            return Success(tuple(rows))
        after = rows[-1].ref.key
