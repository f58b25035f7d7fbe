"""Second attempt of one request: whether, when and where."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core.hedging import HedgeRefusal
from dogwoodpost.core.hedging import second_endpoint
from dogwoodpost.core.routing import Health

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.hedging import HedgePolicy
    from dogwoodpost.core.retries import RetryBudget
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.core.routing import RouteQuery
    from dogwoodpost.services.entry.hedger import Hedger
    from dogwoodpost.services.entry.request_state import RequestState

_log = structlog.get_logger(__name__)
_MS_PER_S = 1_000


class RequestHedge:
    """Decides on the second attempt of a request and reports its result."""

    def __init__(
        self, hedger: Hedger, policy: HedgePolicy, state: RequestState
    ) -> None:
        self._hedger = hedger
        self._context = hedger.context
        self._policy = policy
        self._state = state
        self._first: Endpoint | None = None
        self._second: Endpoint | None = None
        self._attempt_id: ids.AttemptId | None = None
        self._start_s = 0.0
        self._second_start_s = 0.0

    def begin(
        self, first: Endpoint, attempt_id: ids.AttemptId, query: RouteQuery
    ) -> float | None:
        """Record the first send; return the delay of the second one.

        :returns: None if there are too few latencies to hedge.
        """
        now_s = self._context.clock.monotonic_s()
        self._first = first
        self._attempt_id = attempt_id
        self._start_s = now_s
        self._policy.begin(attempt_id, now_s)
        history = self._hedger.history(query.service)
        if history.is_due(now_s):
            history.observe(self._hedger.service_state(query, now_s), now_s)
        delay_s = self._policy.delay_s(self._hedger.settings, now_s)
        if delay_s is None:
            self._count_refusal(HedgeRefusal.FEW_LATENCIES)
        return delay_s

    def choose(
        self, query: RouteQuery, budget: RetryBudget
    ) -> Endpoint | None:
        """Return the endpoint of the second attempt, None for no attempt.

        :param query: excludes all endpoints that were tried.
        :param budget: budget of the route's retries, which is charged.
        """
        now_s = self._context.clock.monotonic_s()
        chosen = self._chosen(query, budget, now_s)
        if isinstance(chosen, HedgeRefusal):
            self._count_refusal(chosen)
            return None
        self._policy.record_second(now_s)
        self._second = chosen
        self._second_start_s = now_s
        self._count('hedge_sent')
        return chosen

    def end(self, *, has_response: bool) -> None:
        """Record the end of the attempts; repeated calls have no effect.

        :param has_response: one of the attempts has a complete response.
        """
        if self._attempt_id is None:
            return
        now_s = self._context.clock.monotonic_s()
        latency_s = now_s - self._start_s if has_response else None
        self._policy.end(self._attempt_id, latency_s, now_s)
        self._attempt_id = None
        if latency_s is not None:
            is_hedged = self._second is not None
            operation = 'request_hedged' if is_hedged else 'request_not_hedged'
            self._context.metrics.observe(operation, latency_s)

    def report(self, winner: ids.EndpointId | None, reason: str) -> None:
        """Count and log the result of a second attempt, if there was one."""
        first, second = self._first, self._second
        if first is None or second is None:
            return
        is_won = winner == second.endpoint_id
        self._count('hedge_won' if is_won else 'hedge_lost')
        delay_s = self._second_start_s - self._start_s
        _log.info(
            'hedge',
            request_id=self._state.request.request_id,
            route=self._state.request.route.name,
            delay_ms=round(delay_s * _MS_PER_S, 1),
            first_endpoint=first.endpoint_id,
            second_endpoint=second.endpoint_id,
            winner=winner,
            reason=reason,
        )

    def _chosen(
        self, query: RouteQuery, budget: RetryBudget, now_s: float
    ) -> Endpoint | HedgeRefusal:
        refusal = self._policy.refusal(
            self._hedger.settings,
            self._hedger.service_state(query, now_s),
            self._hedger.history(query.service),
            min(self._state.remaining_s, self._hedger.stop_left_s(now_s)),
            now_s,
        )
        if refusal is not None:
            return refusal
        endpoint = self._healthy_endpoint(query, now_s)
        if endpoint is None:
            return HedgeRefusal.NO_ENDPOINT
        if not budget.try_retry(now_s):
            return HedgeRefusal.RETRY_BUDGET
        return endpoint

    def _healthy_endpoint(
        self, query: RouteQuery, now_s: float
    ) -> Endpoint | None:
        assert self._first is not None
        router = self._context.router
        model = self._state.request.service.model
        loading = self._hedger.loading_endpoint_ids(model, now_s)
        query = msgspec.structs.replace(
            query,
            excluded=query.excluded | loading,
            requires_free_slot=True,
            may_probe=False,
            may_use_cold=False,
        )
        healthy = [
            candidate
            for candidate in router.available_endpoints(query, now_s)
            if router.health(candidate.endpoint.endpoint_id, now_s)
            is Health.HEALTHY
        ]
        return second_endpoint(healthy, self._first, query.concurrency)

    def _count_refusal(self, refusal: HedgeRefusal) -> None:
        self._count(f'hedge_refused_{refusal.value}')

    def _count(self, name: str) -> None:
        self._context.metrics.events.labels(name).inc()
