"""Detects that the requests of a route slow down as a whole."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids

_RECENT_S = 1.0
_MAX_EXPECTED_FACTOR = 3.0
_MIN_SLOW_COUNT = 4
# A route that is slow for longer than this is taken to be slower for good,
# for example because of a new version of its service.
_MAX_HOLD_S = 300.0


class OverloadGuard:
    """Compares the share of slow requests with the one that is expected.

    Requests in flight and those that ended in the last second count. The
    delay at which a slowdown was detected stays the measure until it is over:
    the latencies of the slowdown raise the delay of the route, and against
    that delay the same latencies would look normal again.
    """

    def __init__(self) -> None:
        self._start_times_s: dict[ids.AttemptId, float] = {}
        # End and latency of requests.
        self._ended: deque[tuple[float, float]] = deque()
        self._held_delay_s: float | None = None
        self._held_since_s = 0.0

    @property
    def running_count(self) -> int:
        """Return the number of requests in flight."""
        return len(self._start_times_s)

    def begin(self, attempt_id: ids.AttemptId, now_s: float) -> None:
        """Record the first send of a request."""
        self._start_times_s[attempt_id] = now_s

    def end(self, attempt_id: ids.AttemptId, now_s: float) -> None:
        """Record the end of a request, whatever its result."""
        start_s = self._start_times_s.pop(attempt_id, None)
        if start_s is None:
            return
        self._ended.append((now_s, now_s - start_s))
        self._drop_old(now_s)

    def is_slowed_down(
        self, delay_s: float, percentile: float, now_s: float
    ) -> bool:
        """Return whether the route has slowed down as a whole.

        :param delay_s: delay that a share of ``1 - percentile / 100`` of the
            requests is expected to exceed.
        """
        self._drop_old(now_s)
        held_s = self._held_delay_s
        if held_s is not None and now_s - self._held_since_s >= _MAX_HOLD_S:
            held_s = self._held_delay_s = None
        measure_s = delay_s if held_s is None else min(held_s, delay_s)
        if not self._exceeds(measure_s, percentile, now_s):
            self._held_delay_s = None
            return False
        if held_s is None:
            self._held_since_s = now_s
        self._held_delay_s = measure_s
        return True

    def _exceeds(
        self, delay_s: float, percentile: float, now_s: float
    ) -> bool:
        slow_count = sum(
            now_s - start_s >= delay_s
            for start_s in self._start_times_s.values()
        ) + sum(latency_s > delay_s for _, latency_s in self._ended)
        if slow_count < _MIN_SLOW_COUNT:
            return False
        expected = 1.0 - percentile / 100.0
        # Below the 67th percentile, three times the expected share would be
        # more than all requests.
        limit = min(_MAX_EXPECTED_FACTOR * expected, (1.0 + expected) / 2.0)
        total_count = len(self._start_times_s) + len(self._ended)
        return slow_count > limit * total_count

    def _drop_old(self, now_s: float) -> None:
        while self._ended and self._ended[0][0] <= now_s - _RECENT_S:
            self._ended.popleft()
