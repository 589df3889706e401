"""Background tasks and boot ids."""

import asyncio
import uuid
from collections.abc import Coroutine
from typing import Any

from bilberryshed.transport._logs import logger


class BackgroundTasks:
    """Tasks that are not awaited; a failure is logged."""

    __slots__ = ("tasks",)

    def __init__(self) -> None:
        self.tasks: set[asyncio.Future[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> "asyncio.Future[Any]":
        """Schedule a coroutine on the event loop."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: "asyncio.Future[Any]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger().error("task_failed", error=repr(task.exception()))


def new_boot_id(name: str) -> str:
    """Return a boot id: it identifies this incarnation of a process and is never reused."""
    return f"{name}.{uuid.uuid4().hex[:12]}"
