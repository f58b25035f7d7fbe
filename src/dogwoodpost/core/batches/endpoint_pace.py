"""Average time between the events of running streams, by endpoint."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from dogwoodpost.core import ids

_SMOOTHING_FACTOR = 0.1
# Without newer events for this long, an endpoint is assumed to be as fast as
# the median again, so that one that was slow gets items and is measured anew.
_MAX_AGE_S = 6.0
_MIN_GAP_COUNT = 5
_MIN_ENDPOINT_COUNT = 2
# The median is cached for this long, so that all candidates of a decision,
# and of other decisions at the same time, are compared with the same value.
_MEDIAN_LIFETIME_S = 0.1


class _Pace(msgspec.Struct):
    gap_s: float
    gap_count: int
    updated_s: float


class EndpointEventPace:
    """Moving average of the time between stream events, by endpoint."""

    def __init__(self) -> None:
        self._paces: dict[ids.EndpointId, _Pace] = {}
        self._median_s: float | None = None
        self._median_until_s = -math.inf

    def record(
        self, endpoint_id: ids.EndpointId, gap_s: float, now_s: float
    ) -> None:
        """Record the time between two consecutive events of a stream.

        :param gap_s: time between the events, in seconds.
        :param now_s: time of the later event, on the process's clock.
        """
        pace = self._paces.get(endpoint_id)
        if pace is None or now_s - pace.updated_s > _MAX_AGE_S:
            self._paces[endpoint_id] = _Pace(gap_s, 1, now_s)
            return
        # The first gaps are averaged with equal weights, so that no single
        # one dominates the average.
        weight = max(_SMOOTHING_FACTOR, 1.0 / (pace.gap_count + 1))
        pace.gap_s += weight * (gap_s - pace.gap_s)
        pace.gap_count += 1
        pace.updated_s = now_s

    def gap_ratio(self, endpoint_id: ids.EndpointId, now_s: float) -> float:
        """Return an endpoint's gap divided by the median, 1.0 if unknown."""
        pace = self._paces.get(endpoint_id)
        if pace is None or not _is_current(pace, now_s):
            return 1.0
        median_s = self._current_median_s(now_s)
        return pace.gap_s / median_s if median_s else 1.0

    def typical_gap_s(self, now_s: float) -> float:
        """Return the median gap of all endpoints, 0.0 if it is unknown."""
        return self._current_median_s(now_s) or 0.0

    def _current_median_s(self, now_s: float) -> float | None:
        """Return the median gap, None with too few endpoints to compare."""
        if now_s < self._median_until_s:
            return self._median_s
        gaps_s = [
            pace.gap_s
            for pace in self._paces.values()
            if _is_current(pace, now_s)
        ]
        # With two endpoints the median is the gap of the faster one, so that
        # the slower one gets a ratio above 1.0.
        is_comparable = len(gaps_s) >= _MIN_ENDPOINT_COUNT
        self._median_s = (
            statistics.median_low(gaps_s) if is_comparable else None
        )
        self._median_until_s = now_s + _MEDIAN_LIFETIME_S
        return self._median_s


def _is_current(pace: _Pace, now_s: float) -> bool:
    is_recent = now_s - pace.updated_s <= _MAX_AGE_S
    return is_recent and pace.gap_count >= _MIN_GAP_COUNT
