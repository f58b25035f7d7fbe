"""Time between the events of running streams, by endpoint."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from dogwoodpost.core import ids

_SMOOTHING = 0.1
# Without newer events an endpoint counts as typical again, so that it is
# tried again after it was slow.
_MEMORY_S = 6.0
_MIN_EVENT_COUNT = 5
_MIN_COMPARED_COUNT = 2
# All candidates of a decision, and of those at the same time, are compared
# with one figure.
_MEDIAN_LIFETIME_S = 0.1


class _Pace(msgspec.Struct):
    gap_s: float
    event_count: int
    seen_s: float


class EndpointEventPace:
    """Moving average of the gap between events, by endpoint."""

    def __init__(self) -> None:
        self._paces: dict[ids.EndpointId, _Pace] = {}
        self._median_s: float | None = None
        self._median_until_s = -math.inf

    def record(
        self, endpoint_id: ids.EndpointId, gap_s: float, now_s: float
    ) -> None:
        """Take the time between two events of one stream, in seconds."""
        pace = self._paces.get(endpoint_id)
        if pace is None or now_s - pace.seen_s > _MEMORY_S:
            self._paces[endpoint_id] = _Pace(gap_s, 1, now_s)
            return
        # A longer average at first, so that one gap decides nothing.
        weight = max(_SMOOTHING, 1.0 / (pace.event_count + 1))
        pace.gap_s += weight * (gap_s - pace.gap_s)
        pace.event_count += 1
        pace.seen_s = now_s

    def ratio(self, endpoint_id: ids.EndpointId, now_s: float) -> float:
        """Return an endpoint's gap relative to the median, 1.0 if unknown."""
        pace = self._paces.get(endpoint_id)
        if pace is None or not _is_known(pace, now_s):
            return 1.0
        median_s = self._current_median_s(now_s)
        return pace.gap_s / median_s if median_s else 1.0

    def typical_gap_s(self, now_s: float) -> float:
        """Return the median gap of all endpoints, 0.0 if it is unknown."""
        return self._current_median_s(now_s) or 0.0

    def _current_median_s(self, now_s: float) -> float | None:
        """Return the median gap, None if there is nothing to compare."""
        if now_s < self._median_until_s:
            return self._median_s
        known = [
            pace.gap_s
            for pace in self._paces.values()
            if _is_known(pace, now_s)
        ]
        # The lower one of two, so that a slow one among them shows.
        enough = len(known) >= _MIN_COMPARED_COUNT
        self._median_s = statistics.median_low(known) if enough else None
        self._median_until_s = now_s + _MEDIAN_LIFETIME_S
        return self._median_s


def _is_known(pace: _Pace, now_s: float) -> bool:
    recent = now_s - pace.seen_s <= _MEMORY_S
    return recent and pace.event_count >= _MIN_EVENT_COUNT
