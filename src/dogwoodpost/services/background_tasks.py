"""Background tasks of a service."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Coroutine

_log = structlog.get_logger(__name__)


class BackgroundTasks:
    """Keeps references to running tasks and logs their failures."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        """Run a coroutine in a task and return the task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def wait(self, timeout_s: float | None = None) -> None:
        """Wait until all tasks have ended or the timeout has expired."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await self.wait()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            _log.error('background_task_failed', exc_info=error)
