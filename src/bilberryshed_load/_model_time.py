"""An event loop in model time: sleeping costs nothing; each run has the same order of events."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

LAST_TURNS = 4  # turns of the loop in which cancelled tasks, and what they wait for, end

T = TypeVar("T")


class _SkippingSelector(selectors.SelectSelector):
    """Advances the loop's clock by what the loop would have slept.

    :param elapsed: seconds on the clock at the start
    """

    def __init__(self, elapsed: float) -> None:
        super().__init__()
        self.elapsed = elapsed

    def select(self, timeout: float | None = None) -> list[Any]:
        """Never wait."""
        if timeout:
            self.elapsed += timeout
        return super().select(0)


class ModelTimeLoop(asyncio.SelectorEventLoop):
    """A loop whose time stands still while code runs and jumps while it would sleep.

    :param began: model time at the start, in seconds
    """

    def __init__(self, began: float) -> None:
        self.skipping = _SkippingSelector(began)
        super().__init__(self.skipping)

    def time(self) -> float:
        """Return model time in seconds."""
        return self.skipping.elapsed


def run_in_model_time(main: Coroutine[Any, Any, T], began: float = 0.0) -> T:
    """Run a coroutine to its end in model time.

    :param began: model time at the start, in seconds
    """
    loop = ModelTimeLoop(began)
    try:
        return loop.run_until_complete(main)
    finally:
        for _ in range(LAST_TURNS):
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
        loop.close()
