"""An event loop in model time: sleeping costs nothing; each run has the same order of events."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _SkippingSelector(selectors.SelectSelector):
    """Advances the loop's clock by what the loop would have slept."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Never wait."""
        if timeout:
            self.elapsed += timeout
        return super().select(0)


class ModelTimeLoop(asyncio.SelectorEventLoop):
    """A loop whose time stands still while code runs and jumps while it would sleep."""

    def __init__(self) -> None:
        self.skipping = _SkippingSelector()
        super().__init__(self.skipping)

    def time(self) -> float:
        """Return model time in seconds."""
        return self.skipping.elapsed


def run_in_model_time(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in model time."""
    loop = ModelTimeLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
