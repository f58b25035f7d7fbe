"""Queue of the scoring calls that wait for the limit of their service."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.batches.scoring_limit import ScoringLimit

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.scoring_limit import LimitChange
    from dogwoodpost.core.batches.scoring_limit import OverloadSign
    from dogwoodpost.core.configuration import Service
    from dogwoodpost.core.policy import ScoringLimitPolicy
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline

_log = structlog.get_logger(__name__)
# Changes of the policy, the endpoints, the clients and the other owners also
# make it possible to start calls, and none of them notifies the queue.
_POLL_INTERVAL_S = 0.05
_LOG_INTERVAL_S = 1.0


class _ServiceCalls:
    """Calls at one service that run or wait.

    ``waiting`` is a heap by due time, then by arrival.
    """

    def __init__(self, service: Service) -> None:
        self.service = service
        self.limit = ScoringLimit()
        self.running_count = 0
        self.waiting: list[tuple[float, int, asyncio.Future[None]]] = []
        self.timer: asyncio.TimerHandle | None = None
        self.logged_s: float | None = None
        self.bounds_updated_s = -math.inf


class ScoringQueue:
    """Lets a limited number of scoring calls run at each service.

    While the policy is off, each call runs at once.

    :param owner_count: returns the number of processes that own batch items;
        they share the slots of a service.
    """

    def __init__(
        self,
        pipeline: RequestPipeline,
        owner_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self._pipeline = pipeline
        self._owner_count = owner_count
        self._calls: dict[ids.ServiceName, _ServiceCalls] = {}
        self._numbers = itertools.count()

    @property
    def is_enabled(self) -> bool:
        """Return whether the policy limits scoring calls now."""
        return self._policy().enabled

    @asynccontextmanager
    async def turn(
        self, service: Service, due_s: float
    ) -> AsyncIterator[None]:
        """Wait until a call may run, and count it within the block.

        :param due_s: when the step of the call is due.
        """
        calls = self._calls.get(service.name)
        if calls is None:
            calls = self._calls[service.name] = _ServiceCalls(service)
        calls.service = service
        await self._wait(calls, due_s)
        try:
            yield
        finally:
            self._release(calls)

    def record(
        self,
        service: ids.ServiceName,
        *,
        succeeded: bool,
        sign: OverloadSign | None,
        latency_s: float | None,
    ) -> None:
        """Adapt the limit to the outcome of a call.

        :param succeeded: whether the call returned a response with a score.
        :param sign: sign of overload that the call gave, if any.
        :param latency_s: time since the call was sent; None if it was not.
        """
        if not self.is_enabled:
            return
        limit = self._calls[service].limit
        now_s = self._pipeline.clock.monotonic_s()
        change: LimitChange | None = None
        if sign is not None:
            change = limit.record_overload(sign, now_s)
        elif succeeded and latency_s is not None:
            change = limit.record_success(latency_s, now_s)
        if change is not None:
            self._pipeline.metrics.events.labels(change.value).inc()

    async def _wait(self, calls: _ServiceCalls, due_s: float) -> None:
        """Wait until a call is counted as running."""
        if not self.is_enabled:
            calls.running_count += 1
            return
        start_s = self._pipeline.clock.monotonic_s()
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(calls.waiting, (due_s, next(self._numbers), future))
        self._start_ready(calls)
        try:
            await future
        except asyncio.CancelledError:
            # A future that is cancelled itself is skipped when its turn
            # comes.
            if future.done() and not future.cancelled():
                self._release(calls)
            raise
        wait_s = self._pipeline.clock.monotonic_s() - start_s
        self._pipeline.metrics.observe('scoring_wait', wait_s)

    def _release(self, calls: _ServiceCalls) -> None:
        calls.running_count -= 1
        self._start_ready(calls)

    def _start_ready(self, calls: _ServiceCalls) -> None:
        """Start the calls that may run, and look again while any waits."""
        self._drop_cancelled(calls)
        if not calls.waiting:
            return
        policy = self._policy()
        if policy.enabled:
            self._update_bounds(calls, policy)
        while calls.waiting and (
            not policy.enabled or calls.running_count < calls.limit.limit
        ):
            _, _, future = heapq.heappop(calls.waiting)
            calls.running_count += 1
            future.set_result(None)
            self._drop_cancelled(calls)
        if calls.waiting:
            self._log_wait(calls)
            if calls.timer is None:
                calls.timer = asyncio.get_running_loop().call_later(
                    _POLL_INTERVAL_S, self._on_timer, calls
                )

    def _on_timer(self, calls: _ServiceCalls) -> None:
        calls.timer = None
        self._start_ready(calls)

    def _drop_cancelled(self, calls: _ServiceCalls) -> None:
        """Remove the first calls in order while they are cancelled."""
        while calls.waiting and calls.waiting[0][2].cancelled():
            heapq.heappop(calls.waiting)

    def _update_bounds(
        self, calls: _ServiceCalls, policy: ScoringLimitPolicy
    ) -> None:
        pipeline = self._pipeline
        now_s = pipeline.clock.monotonic_s()
        if now_s - calls.bounds_updated_s < _POLL_INTERVAL_S:
            # The number of owners is counted over all processes.
            return
        calls.bounds_updated_s = now_s
        service = calls.service
        calls.limit.update_bounds(
            slot_count=pipeline.router.healthy_slot_count(
                service.name, service.endpoint_concurrency, now_s
            ),
            max_share=policy.max_share,
            owner_count=self._owner_count(),
            clients_active=pipeline.client_activity.is_active(
                service.name, now_s
            ),
            now_s=now_s,
        )

    def _log_wait(self, calls: _ServiceCalls) -> None:
        now_s = self._pipeline.clock.monotonic_s()
        if (
            calls.logged_s is not None
            and now_s - calls.logged_s < _LOG_INTERVAL_S
        ):
            return
        calls.logged_s = now_s
        _log.info(
            'scoring_calls_wait',
            service=calls.service.name,
            limit=calls.limit.limit,
            running=calls.running_count,
            waiting=len(calls.waiting),
        )

    def _policy(self) -> ScoringLimitPolicy:
        return self._pipeline.policy.current().scoring_limit
