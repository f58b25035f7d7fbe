"""Requests in progress, to be ended when their key stops being valid."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from enum import Enum
from typing import TYPE_CHECKING

from dogwoodpost.errors import RequestError
from dogwoodpost.services.entry.http.authentication import check_identity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.configuration_source import ConfigurationSource
    from dogwoodpost.services.entry.http.authentication import Identity

# Freshness ends 3 s after the last read, and a revoked key has to stop
# working within 5 s; this leaves 1 s for a reconnect and 1 s of margin.
_STALE_GRACE_S = 1.0
_STALE_CHECK_INTERVAL_S = 0.25


class Phase(Enum):
    """How far a request has come."""

    WAITING = 'waiting'
    RUNNING = 'running'
    STREAMING = 'streaming'
    FINISHED = 'finished'


class ActiveRequest:
    """A request in progress and the task that handles it."""

    def __init__(self, task: asyncio.Task[None]) -> None:
        self.identity: Identity | None = None
        self.phase = Phase.WAITING
        self.route_name = ''
        self.request_id = ''
        self._task = task
        self._error: RequestError | None = None

    def end(self, error: RequestError) -> None:
        """Make the request fail with an error."""
        if self._error is not None or self.phase is Phase.FINISHED:
            return
        self._error = RequestError(
            error.code,
            str(error),
            status=error.status,
            not_run=self.phase is Phase.WAITING,
            retry_after_s=error.retry_after_s,
        )
        self._task.cancel()

    @contextmanager
    def ended_as_error(self) -> Iterator[None]:
        """Turn the cancellation by :meth:`end` into its error.

        :raises RequestError: the request was ended.
        """
        try:
            yield
        except asyncio.CancelledError:
            error = self._error
            if error is None or self._task.uncancel() > 0:
                # The caller has disconnected, so nobody reads an error.
                raise
            raise error from None


class ActiveRequests:
    """Checks requests in progress again at each revision."""

    def __init__(self, source: ConfigurationSource, clock: Clock) -> None:
        self._source = source
        self._clock = clock
        self._active: dict[int, ActiveRequest] = {}
        self._stale_since_s: float | None = None
        source.subscribe(self.recheck)

    def __len__(self) -> int:
        return len(self._active)

    @contextmanager
    def track(self) -> Iterator[ActiveRequest]:
        """Keep track of the current task's request during the block."""
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError('a request is handled outside of a task')
        active = ActiveRequest(task)
        self._active[id(active)] = active
        try:
            yield active
        finally:
            del self._active[id(active)]

    def recheck(self, configuration: Configuration) -> None:
        """End the requests whose key or account is no longer valid."""
        for active in list(self._active.values()):
            if active.identity is None:
                continue
            try:
                check_identity(configuration, active.identity)
            except RequestError as error:
                active.end(error)

    async def watch_freshness(self) -> None:
        """End waiting requests and open streams while keys are uncertain.

        Requests that an endpoint is running without a response so far are
        left to finish, because they were accepted with a valid key and may
        not be idempotent.
        """
        while True:
            await self._clock.sleep(_STALE_CHECK_INTERVAL_S)
            self.check_freshness(self._clock.monotonic_s())

    def check_freshness(self, now_s: float) -> None:
        """End what must not go on if the configuration has been stale."""
        if self._source.is_fresh():
            self._stale_since_s = None
            return
        if self._stale_since_s is None:
            self._stale_since_s = now_s
        if now_s - self._stale_since_s < _STALE_GRACE_S:
            return
        error = RequestError(
            'configuration_stale',
            'this entry cannot tell whether the key is still valid',
            status=503,
            retry_after_s=1.0,
        )
        for active in list(self._active.values()):
            keyed = active.identity is not None
            if keyed and active.phase is not Phase.RUNNING:
                active.end(error)
