"""Decisions on the second attempts of one route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.hedging.hedge_budget import HedgeBudget
from dogwoodpost.core.hedging.hedge_refusal import HedgeRefusal
from dogwoodpost.core.hedging.latency_window import LatencyWindow
from dogwoodpost.core.hedging.overload_guard import OverloadGuard

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.hedging.service_history import ServiceHistory
    from dogwoodpost.core.hedging.service_state import ServiceState
    from dogwoodpost.core.policy import HedgingPolicy

_MS_PER_S = 1_000.0


class HedgePolicy:
    """State of one route, and when its requests get a second attempt."""

    def __init__(self) -> None:
        self._latencies = LatencyWindow()
        self._budget = HedgeBudget()
        self._guard = OverloadGuard()

    def begin(self, attempt_id: ids.AttemptId, now_s: float) -> None:
        """Record the first send of a request."""
        self._budget.record_first(now_s)
        self._guard.begin(attempt_id, now_s)

    def end(
        self, attempt_id: ids.AttemptId, latency_s: float | None, now_s: float
    ) -> None:
        """Record the end of a request.

        :param latency_s: time from the first send to the complete response,
            None if there is none.
        """
        self._guard.end(attempt_id, now_s)
        if latency_s is not None:
            self._latencies.record(latency_s, now_s)

    def delay_s(self, settings: HedgingPolicy, now_s: float) -> float | None:
        """Return the delay of the second send, None with few latencies."""
        percentile_s = self._latencies.percentile_s(
            settings.latency_percentile, now_s
        )
        if percentile_s is None:
            return None
        return max(percentile_s, settings.min_delay_ms / _MS_PER_S)

    def refusal(
        self,
        settings: HedgingPolicy,
        state: ServiceState,
        history: ServiceHistory,
        remaining_s: float,
        now_s: float,
    ) -> HedgeRefusal | None:
        """Return why a request gets no second attempt now, None if it may.

        Called when the first attempt has run for the delay.

        :param remaining_s: time that is left for the second attempt.
        """
        if not settings.enabled:
            return HedgeRefusal.SWITCHED_OFF
        delay_s = self.delay_s(settings, now_s)
        median_s = self._latencies.median_s(now_s)
        if delay_s is None or median_s is None:
            return HedgeRefusal.FEW_LATENCIES
        if self._guard.is_slowed_down(
            delay_s, settings.latency_percentile, now_s
        ):
            return HedgeRefusal.SLOWDOWN
        if remaining_s <= median_s:
            return HedgeRefusal.NO_TIME
        if state.waiting_count:
            return HedgeRefusal.REQUESTS_WAIT
        if state.utilization > settings.max_utilization:
            return HedgeRefusal.UTILIZATION
        history_refusal = history.refusal(state, now_s)
        if history_refusal is not None:
            return history_refusal
        if not self._budget.allows(settings.extra_send_share, now_s):
            return HedgeRefusal.BUDGET
        return None

    def record_second(self, now_s: float) -> None:
        """Record that a second attempt is sent."""
        self._budget.record_second(now_s)
