"""Tasks that a service runs beside its main loops."""

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

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    async def wait(self, timeout_s: float | None = None) -> None:
        """Wait until all tasks have ended, or for a time."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await self.wait()

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            _log.error('background_task_failed', exc_info=error)
