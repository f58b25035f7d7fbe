"""Graceful stop of a process after a stop signal."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core.stop_schedule import StopSchedule
    from dogwoodpost.platform.duties import Duties
    from dogwoodpost.platform.ingress import Ingress
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.batches.batch_service import BatchService
    from dogwoodpost.services.entry.http.lifecycle import Lifecycle
    from dogwoodpost.services.http_server import Listener
    from dogwoodpost.services.membership.presence_service import (
        PresenceService,
    )

_log = structlog.get_logger(__name__)
_IDLE_POLL_INTERVAL_S = 0.05


class PlannedStop:
    """Ends a process's requests, batch items and leases within its grace.

    Requests are served until the load balancer has noticed the stop, and
    later those that can end in time. Batch items may finish within the grace
    period; unfinished jobs are handed over to other processes.

    :param front_listener: address of the clients, None without one.
    """

    def __init__(
        self,
        schedule: StopSchedule,
        clock: Clock,
        *,
        presence: PresenceService,
        ingress: Ingress,
        lifecycle: Lifecycle,
        batches: BatchService,
        duties: Duties,
        front_listener: Listener | None,
    ) -> None:
        self._schedule = schedule
        self._clock = clock
        self._presence = presence
        self._ingress = ingress
        self._lifecycle = lifecycle
        self._batches = batches
        self._duties = duties
        self._front_listener = front_listener

    async def run(self) -> None:
        """Run the stages of the stop, each until its end at the latest."""
        schedule = self._schedule
        _log.info(
            'process_leaving',
            running_items=self._batches.running_count,
            grace_s=schedule.grace_s,
        )
        self._presence.leave()
        self._ingress.closes_connections = True
        self._lifecycle.begin_drain(schedule)
        refuse_waiting = asyncio.create_task(self._refuse_waiting())
        release_leases = asyncio.create_task(self._duties.release())
        while self._batches.running_count:
            if self._clock.monotonic_s() > schedule.items_end_s:
                break
            await self._clock.sleep(_IDLE_POLL_INTERVAL_S)
        async with self._stage('jobs', schedule.requests_end_s):
            await self._batches.hand_over()
        await self._clock.sleep(self._left_s(schedule.notice_end_s))
        async with self._stage('leases', schedule.requests_end_s):
            await release_leases
        await self._end_requests()
        refuse_waiting.cancel()

    async def _refuse_waiting(self) -> None:
        """Refuse the requests that wait when batch items are handed over.

        Those that begin to run later would be cut, and those that still wait
        at the end would get no answer.
        """
        await self._clock.sleep(self._left_s(self._schedule.items_end_s))
        self._ingress.active_requests.refuse_waiting(
            self._lifecycle.stopping_error()
        )

    async def _end_requests(self) -> None:
        """Close the clients' address, then wait for running requests."""
        if self._front_listener is not None:
            await self._front_listener.stop()
        left_s = self._left_s(self._schedule.requests_end_s)
        if not await self._lifecycle.wait_idle(left_s):
            _log.warning('requests_cut_by_stop')
        self._lifecycle.begin_stop()

    @asynccontextmanager
    async def _stage(self, name: str, end_s: float) -> AsyncIterator[None]:
        """Abandon the block when a stage of the stop ends."""
        try:
            async with asyncio.timeout(self._left_s(end_s)):
                yield
        except TimeoutError:
            _log.warning('stop_stage_abandoned', stage=name)

    def _left_s(self, end_s: float) -> float:
        return max(end_s - self._clock.monotonic_s(), 0.0)
