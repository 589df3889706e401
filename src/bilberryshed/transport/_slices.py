"""Runs long computations without holding the event loop."""

import asyncio
from collections.abc import Generator
from typing import TypeVar

SLICE_TIME = 0.002  # seconds for which a computation runs before other callbacks have their turn

Result = TypeVar("Result")


async def run_in_slices(steps: Generator[object, None, Result]) -> Result:
    """Run the steps of a computation to the end; other callbacks run before and in between.

    :param steps: yields after each short step and returns the result
    """
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(0)
        slice_ends_at = loop.time() + SLICE_TIME
        while loop.time() < slice_ends_at:
            try:
                next(steps)
            except StopIteration as end:
                result: Result = end.value
                return result
