"""Ejects endpoints that fail or are much slower than their peers."""

from __future__ import annotations

import math
import statistics
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.routing.settings import OutlierSettings

# Weight of a new sample in the exponential moving averages.
_EMA_WEIGHT = 0.2
# The median covers all endpoints of a service, up to thousands, and changes
# slowly, so it is cached for this time.
_MEDIAN_TTL_S = 1.0
# Bounds the exponent of the ejection backoff.
_MAX_EJECTION_COUNT = 16


class Health(Enum):
    """Health of an endpoint, which decides whether it gets work.

    A probing endpoint has served its ejection time and gets one request at a
    time until enough of them succeed.
    """

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    PROBING = 'probing'


class _EndpointStats:
    """Results and ejection state of one endpoint."""

    def __init__(self) -> None:
        self.failures_in_row = 0
        self.last_timeout_s = -math.inf
        self.failure_share = 0.0
        self.result_count = 0
        self.mean_s_per_unit: float | None = None
        self.timed_sample_count = 0
        self.ejected_until_s: float | None = None
        self.ejection_count = 0
        self.successful_probe_count = 0
        self.probe: ids.AttemptId | None = None

    def reset_results(self) -> None:
        """Discard the results from before an ejection."""
        self.failures_in_row = 0
        self.last_timeout_s = -math.inf
        self.failure_share = 0.0
        self.result_count = 0
        self.mean_s_per_unit = None
        self.timed_sample_count = 0


class OutlierDetector:
    """Ejects outliers among the endpoints of one service."""

    def __init__(self, settings: OutlierSettings) -> None:
        self._settings = settings
        self._stats: dict[ids.EndpointId, _EndpointStats] = {}
        self._median: float | None = None
        self._median_until_s = -math.inf

    def add(self, endpoint_id: ids.EndpointId) -> None:
        """Start to track an endpoint."""
        self._stats.setdefault(endpoint_id, _EndpointStats())

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Stop tracking an endpoint."""
        self._stats.pop(endpoint_id, None)

    def health(self, endpoint_id: ids.EndpointId, now_s: float) -> Health:
        """Return whether an endpoint is healthy, ejected, or probing."""
        until_s = self._stats[endpoint_id].ejected_until_s
        if until_s is None:
            return Health.HEALTHY
        return Health.EJECTED if now_s < until_s else Health.PROBING

    def needs_probe(self, endpoint_id: ids.EndpointId, now_s: float) -> bool:
        """Return whether a probe may be sent to an endpoint on probation.

        Only one probe may be in flight at a time.
        """
        if self.health(endpoint_id, now_s) is not Health.PROBING:
            return False
        return self._stats[endpoint_id].probe is None

    def begin(
        self,
        endpoint_id: ids.EndpointId,
        attempt_id: ids.AttemptId,
        now_s: float,
    ) -> None:
        """Record an attempt; if a probe is due, the attempt becomes it."""
        if self.needs_probe(endpoint_id, now_s):
            self._stats[endpoint_id].probe = attempt_id

    def abandon(
        self, endpoint_id: ids.EndpointId, attempt_id: ids.AttemptId
    ) -> None:
        """Record an attempt that ended without a conclusive result."""
        stats = self._stats.get(endpoint_id)
        if stats is not None and stats.probe == attempt_id:
            stats.probe = None

    def record(
        self,
        endpoint_id: ids.EndpointId,
        attempt_id: ids.AttemptId,
        *,
        failed: bool,
        timed_out: bool = False,
        s_per_unit: float | None,
        now_s: float,
    ) -> Health | None:
        """Record a result, and eject the endpoint if it is an outlier.

        :param timed_out: the failure is that nothing came in time.
        :param s_per_unit: time per unit of work in seconds; None if unknown.
        :returns: the endpoint's health if the result has changed it.
        """
        stats = self._stats.get(endpoint_id)
        if stats is None:
            return None
        previous_until_s = stats.ejected_until_s
        if previous_until_s is None:
            self._record_result(stats, failed, timed_out, s_per_unit, now_s)
        elif stats.probe == attempt_id:
            slow = self._is_slow(s_per_unit, now_s)
            self._record_probe(stats, failed or slow, now_s)
        if stats.ejected_until_s == previous_until_s:
            return None
        return self.health(endpoint_id, now_s)

    def slowness(self, endpoint_id: ids.EndpointId, now_s: float) -> float:
        """Return the time per unit of work, relative to the median.

        The median is that of the service; 1.0 if either is unknown.
        """
        stats = self._stats[endpoint_id]
        median = self._current_median(now_s)
        if stats.mean_s_per_unit is None or not median:
            return 1.0
        return stats.mean_s_per_unit / median

    def timed_out_lately(
        self, endpoint_id: ids.EndpointId, now_s: float
    ) -> bool:
        """Return whether an attempt has just timed out at an endpoint.

        An attempt that completes since then ends this.
        """
        age_s = now_s - self._stats[endpoint_id].last_timeout_s
        return age_s < self._settings.timeout_memory_s

    def ejected_count(self) -> int:
        """Return how many endpoints are ejected or on probation."""
        return sum(
            stats.ejected_until_s is not None for stats in self._stats.values()
        )

    def max_ejected_count(self) -> int:
        """Return how many endpoints may be ejected at once.

        At least one endpoint always stays in rotation.
        """
        count = len(self._stats)
        share = math.floor(count * self._settings.max_ejected_share)
        return min(max(share, 1), max(count - 1, 0))

    def _record_result(
        self,
        stats: _EndpointStats,
        failed: bool,
        timed_out: bool,
        s_per_unit: float | None,
        now_s: float,
    ) -> None:
        """Record the result of an endpoint that is not ejected."""
        stats.result_count += 1
        stats.failures_in_row = stats.failures_in_row + 1 if failed else 0
        if timed_out:
            stats.last_timeout_s = now_s
        elif not failed:
            stats.last_timeout_s = -math.inf
        stats.failure_share += _EMA_WEIGHT * (failed - stats.failure_share)
        if s_per_unit is not None and not failed:
            stats.timed_sample_count += 1
            previous = stats.mean_s_per_unit
            stats.mean_s_per_unit = (
                s_per_unit
                if previous is None
                else previous + _EMA_WEIGHT * (s_per_unit - previous)
            )
        has_enough_samples = (
            stats.timed_sample_count >= self._settings.min_sample_count
        )
        slow = has_enough_samples and self._is_slow(
            stats.mean_s_per_unit, now_s
        )
        if slow or self._fails_too_often(stats):
            self._eject(stats, now_s)

    def _record_probe(
        self, stats: _EndpointStats, failed: bool, now_s: float
    ) -> None:
        stats.probe = None
        if failed:
            self._eject(stats, now_s)
            return
        stats.successful_probe_count += 1
        if stats.successful_probe_count >= self._settings.probe_count:
            stats.ejected_until_s = None
            stats.ejection_count = 0
            stats.reset_results()

    def _fails_too_often(self, stats: _EndpointStats) -> bool:
        settings = self._settings
        if stats.failures_in_row >= settings.failure_count:
            return True
        has_enough_results = stats.result_count >= settings.min_sample_count
        return (
            has_enough_results
            and stats.failure_share >= settings.failure_share
        )

    def _is_slow(self, s_per_unit: float | None, now_s: float) -> bool:
        median = self._current_median(now_s)
        if s_per_unit is None or not median:
            return False
        return s_per_unit > self._settings.slow_factor * median

    def _current_median(self, now_s: float) -> float | None:
        if now_s < self._median_until_s:
            return self._median
        values = [
            stats.mean_s_per_unit
            for stats in self._stats.values()
            if stats.mean_s_per_unit is not None
            and stats.ejected_until_s is None
        ]
        # With two endpoints, the low median is the value of the faster
        # endpoint, so the slower endpoint can be detected.
        self._median = statistics.median_low(values) if values else None
        self._median_until_s = now_s + _MEDIAN_TTL_S
        return self._median

    def _eject(self, stats: _EndpointStats, now_s: float) -> None:
        if stats.ejected_until_s is None:
            if self.ejected_count() >= self.max_ejected_count():
                return
        settings = self._settings
        duration_s = settings.base_ejection_s * 2**stats.ejection_count
        stats.ejected_until_s = now_s + min(
            duration_s, settings.max_ejection_s
        )
        stats.ejection_count = min(
            stats.ejection_count + 1, _MAX_EJECTION_COUNT
        )
        stats.successful_probe_count = 0
        stats.probe = None
