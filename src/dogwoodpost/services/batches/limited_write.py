"""Write whose time can be limited while it runs."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class LimitedWrite:
    """Abandons a write of results that the store refuses.

    Otherwise the write would be repeated for as long as the process lives.
    """

    def __init__(self) -> None:
        # Set while a write runs.
        self._timeout: asyncio.Timeout | None = None

    def limit(self, timeout_s: float) -> None:
        """Abandon a running write after a time."""
        if self._timeout is not None:
            now_s = asyncio.get_running_loop().time()
            self._timeout.reschedule(now_s + timeout_s)

    @asynccontextmanager
    async def running(self, timeout_s: float | None) -> AsyncIterator[None]:
        """Run a write within the context.

        :raises TimeoutError: the write was abandoned.
        """
        async with asyncio.timeout(timeout_s) as self._timeout:
            try:
                yield
            finally:
                self._timeout = None
