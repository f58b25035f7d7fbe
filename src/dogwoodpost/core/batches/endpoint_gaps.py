"""Fast and slow averages of the time between stream events, by endpoint."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.batches.expected_gap import ExpectedGap
from dogwoodpost.core.batches.expected_gap import SLOW_WINDOW_S

if TYPE_CHECKING:
    from dogwoodpost.core import ids

_FAST_TIME_CONSTANT_S = 0.3
_SLOW_TIME_CONSTANT_S = 3.0
# Weight of the slow average in the fast one, in events, so that single gaps
# after a silence do not decide.
_SLOW_WEIGHT_COUNT = 1.0
_SLOW_RATIO = 1.5
# Events of one read of a socket are recorded within this time. Their gaps are
# added up before they count: the first one includes the time of the others,
# which are nearly zero.
READ_DURATION_S = 0.001
# Without newer events for this long, an endpoint counts as average again, so
# that one that was slow gets items and is measured anew.
_MAX_AGE_S = 6.0
_MIN_GAP_COUNT = 5
_MIN_ENDPOINT_COUNT = 2
# Avoids a division by zero where all events of an endpoint came at once.
_MIN_GAP_SUM_S = 1e-6
# The median is cached, so that all candidates of a decision are compared with
# the same value.
_MEDIAN_LIFETIME_S = 0.1
# Used for all endpoints while there are too few to compare.
_DEFAULT_GAP_S = 0.04
_BUCKET_COUNT = 12
_BUCKET_DURATION_S = SLOW_WINDOW_S / _BUCKET_COUNT


class _Gaps(msgspec.Struct):
    """Decayed sums of one endpoint.

    The quotient of the summed gaps and the number of events is the inverse of
    the mean rate of events over time, which stays right where several events
    arrive together.
    """

    pending_since_s: float
    updated_s: float
    bucket_number: int
    slow_buckets_s: list[float]
    pending_s: float = 0.0
    pending_count: int = 0
    fast_sum_s: float = 0.0
    fast_count: float = 0.0
    slow_sum_s: float = 0.0
    slow_count: float = 0.0
    covered_s: float = 0.0
    gap_count: int = 0


class EndpointGaps:
    """Averages over all streams of each endpoint, weighted by time."""

    def __init__(self) -> None:
        self._gaps: dict[ids.EndpointId, _Gaps] = {}
        self._median_s: float | None = None
        self._median_until_s = -math.inf

    def record(
        self, endpoint_id: ids.EndpointId, gap_s: float, now_s: float
    ) -> None:
        """Record the time between two consecutive events of a stream.

        :param gap_s: time between the events, in seconds.
        :param now_s: time of the later event, on the process's clock.
        """
        gaps = self._gaps.get(endpoint_id)
        if gaps is None or now_s - gaps.pending_since_s > _MAX_AGE_S:
            gaps = _Gaps(
                now_s, now_s, _bucket_number(now_s), [0.0] * _BUCKET_COUNT
            )
            self._gaps[endpoint_id] = gaps
        elif now_s - gaps.pending_since_s >= READ_DURATION_S:
            self._add_pending(gaps, now_s)
            gaps.pending_since_s = now_s
        gaps.pending_s += gap_s
        gaps.pending_count += 1

    def expected(
        self, endpoint_id: ids.EndpointId, now_s: float
    ) -> ExpectedGap:
        """Return an endpoint's expected gap, the median if it is unknown."""
        median_s = self._current_median_s(now_s)
        if median_s is None:
            return ExpectedGap(_DEFAULT_GAP_S, _DEFAULT_GAP_S)
        gaps = self._gaps.get(endpoint_id)
        if gaps is None or not self._is_current(gaps, now_s):
            return ExpectedGap(median_s, median_s)
        slow_s = _slow_average_s(gaps, median_s, now_s)
        decay = math.exp((gaps.updated_s - now_s) / _FAST_TIME_CONSTANT_S)
        fast_s = _fast_average_s(
            gaps.fast_sum_s * decay, gaps.fast_count * decay, slow_s
        )
        _advance_buckets(gaps, now_s)
        share = min(sum(gaps.slow_buckets_s) / SLOW_WINDOW_S, 1.0)
        return ExpectedGap(fast_s, slow_s, share)

    def typical_gap_s(self, now_s: float) -> float:
        """Return the median gap of all endpoints, 0.0 if it is unknown."""
        return self._current_median_s(now_s) or 0.0

    def _add_pending(self, gaps: _Gaps, now_s: float) -> None:
        """Add the gaps of the last read to the averages."""
        time_s = gaps.pending_since_s
        elapsed_s = time_s - gaps.updated_s
        gap_s = gaps.pending_s
        count = gaps.pending_count
        decay = math.exp(-elapsed_s / _FAST_TIME_CONSTANT_S)
        gaps.fast_sum_s = gaps.fast_sum_s * decay + gap_s
        gaps.fast_count = gaps.fast_count * decay + count
        decay = math.exp(-elapsed_s / _SLOW_TIME_CONSTANT_S)
        gaps.slow_sum_s = gaps.slow_sum_s * decay + gap_s
        gaps.slow_count = gaps.slow_count * decay + count
        # A silence without streams is not covered by their gaps.
        active_s = min(elapsed_s, gap_s)
        gaps.covered_s = gaps.covered_s * decay + active_s
        gaps.gap_count += count
        gaps.updated_s = time_s
        gaps.pending_s = 0.0
        gaps.pending_count = 0
        median_s = self._current_median_s(now_s)
        if median_s is None:
            return
        slow_s = _slow_average_s(gaps, median_s, time_s)
        fast_s = _fast_average_s(gaps.fast_sum_s, gaps.fast_count, slow_s)
        if fast_s >= _SLOW_RATIO * median_s:
            _advance_buckets(gaps, time_s)
            index = gaps.bucket_number % _BUCKET_COUNT
            gaps.slow_buckets_s[index] += active_s

    def _remove_old(self, now_s: float) -> None:
        """Forget endpoints without newer events, some of which have left."""
        old_ids = [
            endpoint_id
            for endpoint_id, gaps in self._gaps.items()
            if now_s - gaps.pending_since_s > _MAX_AGE_S
        ]
        for endpoint_id in old_ids:
            del self._gaps[endpoint_id]

    def _is_current(self, gaps: _Gaps, now_s: float) -> bool:
        if (
            gaps.pending_count
            and now_s - gaps.pending_since_s >= READ_DURATION_S
        ):
            self._add_pending(gaps, now_s)
        is_recent = now_s - gaps.updated_s <= _MAX_AGE_S
        return is_recent and gaps.gap_count >= _MIN_GAP_COUNT

    def _current_median_s(self, now_s: float) -> float | None:
        """Return the median gap, None with too few endpoints to compare."""
        if now_s < self._median_until_s:
            return self._median_s
        self._median_until_s = now_s + _MEDIAN_LIFETIME_S
        self._remove_old(now_s)
        averages_s = [
            max(gaps.slow_sum_s, _MIN_GAP_SUM_S) / gaps.slow_count
            for gaps in self._gaps.values()
            if gaps.gap_count >= _MIN_GAP_COUNT
        ]
        # With two endpoints the median is the gap of the faster one, so that
        # the slower one counts as slow.
        is_comparable = len(averages_s) >= _MIN_ENDPOINT_COUNT
        self._median_s = (
            statistics.median_low(averages_s) if is_comparable else None
        )
        return self._median_s


def _slow_average_s(gaps: _Gaps, median_s: float, now_s: float) -> float:
    """Return the slow average; time without events counts as average.

    Otherwise an endpoint whose first events fall into a temporary slowdown
    would count as slow for seconds.
    """
    decay = math.exp((gaps.updated_s - now_s) / _SLOW_TIME_CONSTANT_S)
    share = min(gaps.covered_s * decay / _SLOW_TIME_CONSTANT_S, 1.0)
    rate = gaps.slow_count / max(gaps.slow_sum_s, _MIN_GAP_SUM_S)
    return 1.0 / (share * rate + (1.0 - share) / median_s)


def _fast_average_s(sum_s: float, count: float, slow_s: float) -> float:
    return (sum_s + _SLOW_WEIGHT_COUNT * slow_s) / (count + _SLOW_WEIGHT_COUNT)


def _bucket_number(now_s: float) -> int:
    return int(now_s / _BUCKET_DURATION_S)


def _advance_buckets(gaps: _Gaps, now_s: float) -> None:
    """Clear the buckets that have left the window."""
    number = _bucket_number(now_s)
    passed_count = min(number - gaps.bucket_number, _BUCKET_COUNT)
    if passed_count <= 0:
        return
    for offset in range(passed_count):
        gaps.slow_buckets_s[(number - offset) % _BUCKET_COUNT] = 0.0
    gaps.bucket_number = number
