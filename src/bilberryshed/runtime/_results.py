"""Results of ports: as decisions take them, and tables read whole."""

from typing import TypeVar

from returns.result import Failure, Result, Success

from bilberryshed.state import Row, StoreError, TableService

PAGE_SIZE = 1_000  # rows read at once

T = TypeVar("T")


def value_or_error(result: Result[T, StoreError]) -> T | StoreError:
    """Return the value of a port's result, or its error as a value."""
    return result.failure() if isinstance(result, Failure) else result.unwrap()


async def scan_all(tables: TableService, table: str) -> Result[tuple[Row, ...], StoreError]:
    """Read every row of a table, page by page, by key."""
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
