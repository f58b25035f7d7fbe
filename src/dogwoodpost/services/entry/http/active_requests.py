"""Ends requests in progress when their key stops being valid."""

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

# The configuration counts as stale 3 s after the last read, and a revoked key
# has to stop working within 5 s. A grace of 1 s allows for a reconnect and
# leaves a margin of 1 s.
_STALE_GRACE_S = 1.0
_STALE_CHECK_INTERVAL_S = 0.25


class RequestPhase(Enum):
    """Progress of a request.

    A request is WAITING until its first attempt at an endpoint starts.
    """

    WAITING = 'waiting'
    RUNNING = 'running'
    STREAMING = 'streaming'
    FINISHED = 'finished'


class ActiveRequest:
    """A request in progress and the task that handles it.

    :param task: is cancelled if the request has to fail.
    """

    def __init__(self, task: asyncio.Task[None]) -> None:
        self.identity: Identity | None = None
        self.phase = RequestPhase.WAITING
        self.route_name = ''
        self.request_id = ''
        self._task = task
        self._error: RequestError | None = None

    def fail(self, error: RequestError) -> None:
        """Cancel the request's task and let the request fail with an error.

        Only the first error counts. A finished request doesn't fail.
        """
        if self._error is not None or self.phase is RequestPhase.FINISHED:
            return
        self._error = RequestError(
            error.code,
            str(error),
            status=error.status,
            not_run=self.phase is RequestPhase.WAITING,
            retry_after_s=error.retry_after_s,
        )
        self._task.cancel()

    @contextmanager
    def cancellation_as_error(self) -> Iterator[None]:
        """Raise the error of :meth:`fail` in place of the cancellation.

        :raises RequestError: :meth:`fail` was called.
        """
        try:
            yield
        except asyncio.CancelledError:
            error = self._error
            if error is None or self._task.uncancel() > 0:
                # aiohttp cancelled the task because the caller has
                # disconnected, so no error response could be read.
                raise
            raise error from None


class ActiveRequests:
    """Checks the keys of requests in progress again at each revision."""

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
        """Track the request of the current task while the block runs."""
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError(
                'a request must be handled inside of an asyncio task'
            )
        active = ActiveRequest(task)
        self._active[id(active)] = active
        try:
            yield active
        finally:
            del self._active[id(active)]

    def refuse_waiting(self, error: RequestError) -> None:
        """End the requests that no endpoint has been asked to run."""
        for active in list(self._active.values()):
            if active.phase is RequestPhase.WAITING:
                active.fail(error)

    def recheck(self, configuration: Configuration) -> None:
        """End the requests whose key or client account is no longer valid."""
        for active in list(self._active.values()):
            if active.identity is None:
                continue
            try:
                check_identity(configuration, active.identity)
            except RequestError as error:
                active.fail(error)

    async def watch_freshness(self) -> None:
        """End waiting requests and open streams if the configuration is stale.

        A stale configuration doesn't tell whether a key is still valid.
        Requests that an endpoint is running without a response so far may
        finish, because they were accepted with a valid key and may not be
        idempotent.
        """
        while True:
            await self._clock.sleep(_STALE_CHECK_INTERVAL_S)
            self.check_freshness(self._clock.monotonic_s())

    def check_freshness(self, now_s: float) -> None:
        """End the requests described at :meth:`watch_freshness`.

        The configuration must have been stale for a grace period.
        """
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
            has_identity = active.identity is not None
            if has_identity and active.phase is not RequestPhase.RUNNING:
                active.fail(error)
