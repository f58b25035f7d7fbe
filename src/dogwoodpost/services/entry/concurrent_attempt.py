"""An attempt whose response is awaited beside that of another attempt."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from dogwoodpost.core import ids
    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from dogwoodpost.services.entry.attempt_run import AttemptRun


class ConcurrentAttempt:
    """Awaits the first event of an attempt in a task of its own.

    A response is held back until it is complete, so its first event shows
    that the attempt has succeeded. A response that is too long to be held
    back counts as a success too: from then on it is forwarded as it arrives.
    """

    def __init__(
        self, attempt: AttemptRun, endpoint_id: ids.EndpointId
    ) -> None:
        self.endpoint_id = endpoint_id
        self._events = attempt.events()
        self._is_closed = False
        self.task = asyncio.create_task(self._first_event())

    @property
    def needs_close(self) -> bool:
        """Return whether the attempt runs or its response was not read."""
        if self._is_closed:
            return False
        return not self.task.done() or self.error is None

    @property
    def error(self) -> BaseException | None:
        """Return why the ended attempt failed, None if it succeeded."""
        if self.task.cancelled():
            return asyncio.CancelledError()
        return self.task.exception()

    async def events(self) -> AsyncGenerator[AttemptEvent, None]:
        """Yield the response of an attempt that succeeded."""
        self._is_closed = True
        async with aclosing(self._events):
            yield self.task.result()
            async for event in self._events:
                yield event

    async def close(self) -> None:
        """Cancel the attempt if it runs, and close its connection.

        Must run in a task that was created after the attempt: an attempt that
        is cancelled before its first step would not report its end.
        """
        self._is_closed = True
        self.task.cancel()
        await asyncio.wait([self.task])
        await self._events.aclose()

    async def _first_event(self) -> AttemptEvent:
        return await anext(self._events)
