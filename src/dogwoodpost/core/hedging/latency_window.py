"""Recent latencies of one route."""

from __future__ import annotations

import math
from bisect import bisect_left
from bisect import insort
from collections import deque

WINDOW_S = 30.0
MIN_SAMPLE_COUNT = 20
# Bounds the memory of a busy route; the newest latencies are kept.
_MAX_SAMPLE_COUNT = 1_024
_MEDIAN = 50.0


class LatencyWindow:
    """Percentiles over the latencies of the last 30 s.

    The latencies are also kept in sorted order, so that a percentile takes
    constant time.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()
        self._sorted: list[float] = []

    def record(self, latency_s: float, now_s: float) -> None:
        """Add the latency of a request that has just ended."""
        self._samples.append((now_s, latency_s))
        insort(self._sorted, latency_s)
        if len(self._samples) > _MAX_SAMPLE_COUNT:
            self._drop_oldest()
        self._drop_old(now_s)

    def percentile_s(self, percentile: float, now_s: float) -> float | None:
        """Return a percentile by nearest rank, None with too few samples."""
        self._drop_old(now_s)
        count = len(self._sorted)
        if count < MIN_SAMPLE_COUNT:
            return None
        rank = max(math.ceil(count * percentile / 100.0), 1)
        return self._sorted[rank - 1]

    def median_s(self, now_s: float) -> float | None:
        """Return the median, None with too few samples."""
        return self.percentile_s(_MEDIAN, now_s)

    def _drop_old(self, now_s: float) -> None:
        while self._samples and self._samples[0][0] <= now_s - WINDOW_S:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, latency_s = self._samples.popleft()
        del self._sorted[bisect_left(self._sorted, latency_s)]
