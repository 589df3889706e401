"""Results of ports, in the form that decisions take them."""

from typing import TypeVar

from returns.result import Failure, Result

from bilberryshed.state import StoreError

T = TypeVar("T")


def plain(result: Result[T, StoreError]) -> T | StoreError:
    """Return the value of a port's result, or its error as a value."""
    return result.failure() if isinstance(result, Failure) else result.unwrap()
