"""Graceful stop of the HTTP interface."""

from __future__ import annotations

import asyncio
import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodpost.core.stop_schedule import StopSchedule

_RETRY_AFTER_S = 1.0


class Lifecycle:
    """Counts running requests and refuses new ones during a stop.

    :param retry_after_s: when a refused client may come back.
    """

    def __init__(self, retry_after_s: float = _RETRY_AFTER_S) -> None:
        self._retry_after_s = retry_after_s
        self._schedule: StopSchedule | None = None
        self._running_count = 0
        self._stopping = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def stopping(self) -> bool:
        """Return whether a stop has begun."""
        return self._stopping

    def begin_drain(self, schedule: StopSchedule) -> None:
        """Refuse requests from now on that the stop could cut."""
        self._schedule = schedule

    def check_time(self, time_limit_s: float, now_s: float) -> None:
        """Check that a request can end before a stop cuts it.

        :param time_limit_s: longest time that the request may take.
        :raises RequestError: it may not; it has not run.
        """
        schedule = self._schedule
        if schedule and not schedule.may_take(time_limit_s, now_s):
            raise self.stopping_error()

    def left_s(self, now_s: float) -> float:
        """Return the time until requests are cut, infinite without a stop."""
        if self._schedule is None:
            return math.inf
        return max(self._schedule.requests_end_s - now_s, 0.0)

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
            raise self.stopping_error()
        self._running_count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._running_count -= 1
            if not self._running_count:
                self._idle.set()

    def stopping_error(self) -> RequestError:
        """Return the refusal of a request because of the stop."""
        return RequestError(
            'stopping',
            'this process is stopping',
            status=503,
            not_run=True,
            retry_after_s=self._retry_after_s,
        )
