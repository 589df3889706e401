"""An event loop in model time: sleeping costs nothing; each run has the same order of events."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

CLEANUP_ITERATIONS = 4  # turns of the loop in which cancelled tasks, and what they wait for, end

T = TypeVar("T")


class _SimulatedSelector(selectors.SelectSelector):
    """Advances the loop's clock by what the loop would have slept.

    :param now: seconds on the clock at the start
    """

    def __init__(self, now: float) -> None:
        super().__init__()
        self.now = now

    def select(self, timeout: float | None = None) -> list[Any]:
        """Never wait."""
        if timeout:
            self.now += timeout
        return super().select(0)


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """A loop whose time stands still while code runs and jumps while it would sleep.

    :param start_time: model time at the start, in seconds
    """

    def __init__(self, start_time: float) -> None:
        self.simulated_selector = _SimulatedSelector(start_time)
        super().__init__(self.simulated_selector)

    def time(self) -> float:
        """Return model time in seconds."""
        return self.simulated_selector.now


def run_in_simulated_time(main: Coroutine[Any, Any, T], start_time: float = 0.0) -> T:
    """Run a coroutine to its end in model time.

    :param start_time: model time at the start, in seconds
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
