"""Graceful stop of the HTTP interface."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Iterator

_RETRY_AFTER_S = 1.0


class Lifecycle:
    """Counts running requests and refuses new ones during a stop."""

    def __init__(self) -> None:
        self._running_count = 0
        self._stopping = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def stopping(self) -> bool:
        """Return whether a stop has begun."""
        return self._stopping

    def begin_stop(self) -> None:
        """Refuse new requests from now on; running requests continue."""
        self._stopping = True

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait for running requests; return whether all have ended in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as running during the block.

        :raises RequestError: a stop has begun.
        """
        if self._stopping:
            raise RequestError(
                'stopping',
                'this entry is stopping',
                status=503,
                not_run=True,
                retry_after_s=_RETRY_AFTER_S,
            )
        self._running_count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._running_count -= 1
            if not self._running_count:
                self._idle.set()
