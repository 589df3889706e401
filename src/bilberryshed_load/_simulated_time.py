"""An event loop in simulated time: sleeps take no real time; event order is reproducible."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

CLEANUP_ITERATIONS = 4  # loop iterations for cancelled tasks and the tasks that they await to end

T = TypeVar("T")


class _SkippingSelector(selectors.DefaultSelector):
    """Advances the clock by the timeout of each select call instead of blocking.

    ``SelectSelector`` would fail in a process with more than 1,024 open files.

    :param simulated_time: initial simulated time, in seconds
    """

    def __init__(self, simulated_time: float) -> None:
        super().__init__()
        self.simulated_time = simulated_time

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock by the timeout and poll without blocking."""
        if timeout:
            self.simulated_time += timeout
        return super().select(0)


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """A loop whose clock stops while code runs and skips the time that it would sleep.

    :param start_time: initial simulated time, in seconds
    """

    def __init__(self, start_time: float) -> None:
        self.clock_selector = _SkippingSelector(start_time)
        super().__init__(self.clock_selector)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.clock_selector.simulated_time


def run_in_simulated_time(main: Coroutine[Any, Any, T], start_time: float = 0.0) -> T:
    """Run a coroutine to completion in simulated time.

    :param start_time: initial simulated time, in seconds
    """
    loop = SimulatedTimeLoop(start_time)
    try:
        return loop.run_until_complete(main)
    finally:
        for _ in range(CLEANUP_ITERATIONS):
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
        loop.close()
