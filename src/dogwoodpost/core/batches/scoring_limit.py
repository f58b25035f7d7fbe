"""Adaptive limit on the concurrent scoring calls at one service."""

from __future__ import annotations

import statistics
from collections import deque
from enum import Enum

# Clients can't take these from scoring, however few slots there are.
MIN_LIMIT = 2
_CUT_FACTOR = 0.7
# Increase over the lowest median that is a sign of overload.
_SLOW_FACTOR = 2.0
_BASELINE_S = 10.0
# The median of fewer latencies varies with the length of single texts.
_MIN_SAMPLE_COUNT = 8
_SAMPLE_COUNT = 16
# Least time between two cuts until the median latency is known.
_INITIAL_MEDIAN_S = 0.1
# How long an endpoint looks full after it has refused a call as full.
_FULL_S = 1.0


class OverloadSign(Enum):
    """Why a limit is cut; values are parts of metric names."""

    REFUSED = 'refused'
    TIMED_OUT = 'timed_out'
    SLOW = 'slow'


class LimitChange(Enum):
    """Change of a limit; values are metric names."""

    RAISED = 'scoring_limit_raised'
    CUT_REFUSED = 'scoring_limit_cut_refused'
    CUT_TIMED_OUT = 'scoring_limit_cut_timed_out'
    CUT_SLOW = 'scoring_limit_cut_slow'


_CUTS = {
    OverloadSign.REFUSED: LimitChange.CUT_REFUSED,
    OverloadSign.TIMED_OUT: LimitChange.CUT_TIMED_OUT,
    OverloadSign.SLOW: LimitChange.CUT_SLOW,
}


class ScoringLimit:
    """Additive increase and multiplicative decrease between bounds.

    The limit starts at its upper bound: a step's end is a single burst, which
    would be over before a limit that starts low had grown.

    Latencies are compared by the median of the last calls, because a single
    long text is no sign of overload.
    """

    def __init__(self) -> None:
        # None until the first change: as high as the bounds permit.
        self._limit: float | None = None
        self._max_limit = MIN_LIMIT
        self._upper_bound = MIN_LIMIT
        self._had_slots = False
        self._success_count = 0
        self._cut_s: float | None = None
        self._median_s = _INITIAL_MEDIAN_S
        self._refused_s: float | None = None
        self._latencies: deque[tuple[float, float]] = deque(
            maxlen=_SAMPLE_COUNT
        )
        self._medians: deque[tuple[float, float]] = deque()

    @property
    def limit(self) -> int:
        """Return the number of calls that may run at once."""
        return int(self._effective_limit())

    def update_bounds(
        self,
        *,
        slot_count: int,
        max_share: float,
        owner_count: int,
        clients_active: bool,
        now_s: float,
    ) -> None:
        """Set the upper bound from the current state of the service.

        :param slot_count: slots of the service's ready endpoints.
        :param max_share: share of the slots while clients use the service.
        :param owner_count: processes that own items, which divide the slots.
        :param clients_active: whether clients wait or send here.
        """
        owners = max(owner_count, 1)
        self._max_limit = max(slot_count // owners, MIN_LIMIT)
        self._upper_bound = self._max_limit
        if clients_active or self._looks_full(now_s):
            self._upper_bound = max(
                int(slot_count * max_share / owners), MIN_LIMIT
            )
        if slot_count:
            self._had_slots = True
        elif self._had_slots:
            # All endpoints are lost. When the first one returns, it must not
            # get the calls of all of them.
            self._limit = float(MIN_LIMIT)
            return
        if self._limit is not None:
            self._limit = min(self._limit, float(self._max_limit))

    def record_success(
        self, latency_s: float, now_s: float
    ) -> LimitChange | None:
        """Record a call that succeeded; return the change of the limit."""
        self._latencies.append((now_s, latency_s))
        self._success_count += 1
        if self._success_count < self.limit:
            return None
        self._success_count = 0
        if self._is_slow(now_s):
            return self._cut(OverloadSign.SLOW, now_s)
        if self._limit is None or self._limit >= self._upper_bound:
            return None
        self._limit = min(self._limit + 1.0, float(self._upper_bound))
        return LimitChange.RAISED

    def record_overload(
        self, sign: OverloadSign, now_s: float
    ) -> LimitChange | None:
        """Record a sign of overload; return the change of the limit."""
        if sign is OverloadSign.REFUSED:
            self._refused_s = now_s
        self._success_count = 0
        return self._cut(sign, now_s)

    def _effective_limit(self) -> float:
        if self._limit is None:
            return float(self._upper_bound)
        return max(min(self._limit, float(self._upper_bound)), MIN_LIMIT)

    def _looks_full(self, now_s: float) -> bool:
        """Return whether an endpoint has refused a call as full just now.

        The loads known here don't count: without clients, scoring itself may
        fill the endpoints.
        """
        return (
            self._refused_s is not None and now_s - self._refused_s <= _FULL_S
        )

    def _is_slow(self, now_s: float) -> bool:
        """Update the median and return whether it has grown too much."""
        start_s = now_s - _BASELINE_S
        latencies = [
            latency_s
            for ended_s, latency_s in self._latencies
            if ended_s >= start_s
        ]
        if len(latencies) < _MIN_SAMPLE_COUNT:
            return False
        self._median_s = statistics.median(latencies)
        self._medians.append((now_s, self._median_s))
        while self._medians[0][0] < start_s:
            self._medians.popleft()
        lowest_s = min(median_s for _, median_s in self._medians)
        return self._median_s > lowest_s * _SLOW_FACTOR

    def _cut(self, sign: OverloadSign, now_s: float) -> LimitChange | None:
        """Cut the limit, once for the calls that were sent together."""
        if self._cut_s is not None and now_s - self._cut_s < self._median_s:
            return None
        self._cut_s = now_s
        # Latencies from before the cut say nothing about the new limit.
        self._latencies.clear()
        limit = self._effective_limit()
        self._limit = max(limit * _CUT_FACTOR, float(MIN_LIMIT))
        return _CUTS[sign] if self._limit < limit else None
