"""First attempt of a request with a second one beside it if it is slow."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.services.entry.attempt_failure import AttemptFailure
from dogwoodpost.services.entry.concurrent_attempt import ConcurrentAttempt

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from dogwoodpost.core import ids
    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from dogwoodpost.services.entry.attempt_run import AttemptRun
    from dogwoodpost.services.entry.request_hedge import RequestHedge
    from dogwoodpost.services.entry.request_state import RequestState

_log = structlog.get_logger(__name__)


class HedgedAttempts:
    """Forwards the first complete response of two attempts.

    The other attempt is cancelled at once. If one attempt fails, the other
    one is awaited. No task outlives :meth:`events`.

    :param delay_s: delay of the second attempt; None for no second attempt.
    :param start_second: starts the second attempt; returns None if there is
        to be none.
    """

    def __init__(
        self,
        hedge: RequestHedge,
        state: RequestState,
        delay_s: float | None,
        start_second: Callable[[], ConcurrentAttempt | None],
    ) -> None:
        self._hedge = hedge
        self._state = state
        self._delay_s = delay_s
        self._start_second = start_second
        self._attempts: list[ConcurrentAttempt] = []
        # In order of their ends; the last failure decides.
        self._ended: list[ConcurrentAttempt] = []
        self._closings: list[asyncio.Task[None]] = []
        self._reason = 'cancelled'

    async def events(
        self, first: AttemptRun, endpoint_id: ids.EndpointId
    ) -> AsyncGenerator[AttemptEvent, None]:
        """Yield the response of the attempt that completes first.

        :raises AttemptFailure: both attempts failed; the failure is that of
            the last one.
        """
        if self._delay_s is None:
            events = self._single(first)
        else:
            events = self._hedged(first, endpoint_id, self._delay_s)
        async with aclosing(events):
            async for event in events:
                yield event

    async def _single(
        self, attempt: AttemptRun
    ) -> AsyncGenerator[AttemptEvent, None]:
        try:
            async with aclosing(attempt.events()) as events:
                async for event in events:
                    self._hedge.end(has_response=True)
                    yield event
        finally:
            self._hedge.end(has_response=False)

    async def _hedged(
        self, first: AttemptRun, endpoint_id: ids.EndpointId, delay_s: float
    ) -> AsyncGenerator[AttemptEvent, None]:
        winner: ConcurrentAttempt | None = None
        async with self._closed_attempts():
            try:
                self._add(ConcurrentAttempt(first, endpoint_id))
                winner = await self._first_success(delay_s)
                self._hedge.end(has_response=True)
            finally:
                self._state.other_attempt_runs = False
                self._hedge.end(has_response=False)
                self._hedge.report(
                    winner.endpoint_id if winner else None, self._reason
                )
            self._close_all(except_for=winner)
            async with aclosing(winner.events()) as events:
                async for event in events:
                    yield event

    async def _first_success(self, delay_s: float) -> ConcurrentAttempt:
        """Return the attempt that completes first.

        :raises AttemptFailure: all attempts failed.
        """
        first = self._attempts[0]
        await asyncio.wait([first.task], timeout=delay_s)
        if not first.task.done():
            second = self._start_second()
            if second is not None:
                self._state.other_attempt_runs = True
                self._add(second)
        checked_count = 0
        while True:
            await self._wait_for_end(checked_count)
            attempt = self._ended[checked_count]
            checked_count += 1
            error = attempt.error
            if error is None:
                self._reason = (
                    'completed' if checked_count == 1 else 'other_failed'
                )
                return attempt
            if checked_count == len(self._attempts):
                self._reason = 'failed'
                raise error
            _log_unexpected(error)

    async def _wait_for_end(self, ended_count: int) -> None:
        """Wait until more than a number of attempts have ended."""
        while len(self._ended) <= ended_count:
            running = [
                attempt.task
                for attempt in self._attempts
                if attempt not in self._ended
            ]
            await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            # Lets the callback run that notes the end.
            await asyncio.sleep(0)

    def _add(self, attempt: ConcurrentAttempt) -> None:
        self._attempts.append(attempt)

        def note_end(_task: asyncio.Task[AttemptEvent]) -> None:
            self._ended.append(attempt)
            if attempt.error is not None:
                self._state.other_attempt_runs = False

        attempt.task.add_done_callback(note_end)

    def _close_all(self, except_for: ConcurrentAttempt | None = None) -> None:
        for attempt in self._attempts:
            if attempt is not except_for and attempt.needs_close:
                self._closings.append(asyncio.create_task(attempt.close()))

    @asynccontextmanager
    async def _closed_attempts(self) -> AsyncIterator[None]:
        """Close all attempts at the end of the block, also if cancelled."""
        try:
            yield
        finally:
            self._close_all()
            await _wait_for_all(self._closings)


async def _wait_for_all(tasks: list[asyncio.Task[None]]) -> None:
    """Wait for tasks; a cancellation takes effect once they have ended."""
    cancellation: asyncio.CancelledError | None = None
    while any(not task.done() for task in tasks):
        try:
            await asyncio.wait(tasks)
        except asyncio.CancelledError as error:
            cancellation = error
    for task in tasks:
        if not task.cancelled() and task.exception() is not None:
            _log_unexpected(task.exception())
    if cancellation is not None:
        raise cancellation


def _log_unexpected(error: BaseException | None) -> None:
    """Log an error that no caller sees, unless it is a failed attempt."""
    if not isinstance(error, AttemptFailure | asyncio.CancelledError):
        _log.error('attempt_error', error=repr(error))
