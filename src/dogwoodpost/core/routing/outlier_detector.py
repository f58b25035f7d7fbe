"""Ejects endpoints that fail or are much slower than their peers."""

from __future__ import annotations

import math
import statistics
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.routing.settings import OutlierSettings

_SMOOTHING = 0.2
# The median covers all endpoints of a service, up to thousands, and changes
# slowly.
_MEDIAN_LIFETIME_S = 1.0


class Health(Enum):
    """State of an endpoint in the rotation."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    PROBING = 'probing'


class _Record:
    """Results of one endpoint."""

    def __init__(self) -> None:
        self.failures_in_row = 0
        self.failure_share = 0.0
        self.result_count = 0
        self.slowness: float | None = None
        self.slow_sample_count = 0
        self.ejected_until_s: float | None = None
        self.ejection_count = 0
        self.good_probe_count = 0
        self.probe: ids.AttemptId | None = None

    def forget_results(self) -> None:
        """Start afresh after an ejection."""
        self.failures_in_row = 0
        self.failure_share = 0.0
        self.result_count = 0
        self.slowness = None
        self.slow_sample_count = 0


class OutlierDetector:
    """Judges the endpoints of one service against each other."""

    def __init__(self, settings: OutlierSettings) -> None:
        self._settings = settings
        self._records: dict[ids.EndpointId, _Record] = {}
        self._median: float | None = None
        self._median_until_s = -math.inf

    def add(self, endpoint_id: ids.EndpointId) -> None:
        """Take an endpoint into account."""
        self._records.setdefault(endpoint_id, _Record())

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Forget an endpoint."""
        self._records.pop(endpoint_id, None)

    def health(self, endpoint_id: ids.EndpointId, now_s: float) -> Health:
        """Return whether an endpoint is in rotation, out, or on probation."""
        until_s = self._records[endpoint_id].ejected_until_s
        if until_s is None:
            return Health.HEALTHY
        return Health.EJECTED if now_s < until_s else Health.PROBING

    def wants_probe(self, endpoint_id: ids.EndpointId, now_s: float) -> bool:
        """Return whether one request may try an ejected endpoint."""
        if self.health(endpoint_id, now_s) is not Health.PROBING:
            return False
        return self._records[endpoint_id].probe is None

    def begin(
        self,
        endpoint_id: ids.EndpointId,
        attempt_id: ids.AttemptId,
        now_s: float,
    ) -> None:
        """Note an attempt; on an endpoint on probation it is the probe."""
        if self.wants_probe(endpoint_id, now_s):
            self._records[endpoint_id].probe = attempt_id

    def abandon(
        self, endpoint_id: ids.EndpointId, attempt_id: ids.AttemptId
    ) -> None:
        """Note an attempt that ended without telling of the endpoint."""
        record = self._records.get(endpoint_id)
        if record is not None and record.probe == attempt_id:
            record.probe = None

    def record(
        self,
        endpoint_id: ids.EndpointId,
        attempt_id: ids.AttemptId,
        *,
        failed: bool,
        s_per_unit: float | None,
        now_s: float,
    ) -> None:
        """Take a result; ``s_per_unit`` is its time per unit of work."""
        record = self._records.get(endpoint_id)
        if record is None:
            return
        if record.ejected_until_s is not None:
            if record.probe == attempt_id:
                slow = self._is_slow(s_per_unit, now_s)
                self._record_probe(record, failed or slow, now_s)
            return
        record.result_count += 1
        record.failures_in_row = record.failures_in_row + 1 if failed else 0
        record.failure_share += _SMOOTHING * (failed - record.failure_share)
        if s_per_unit is not None and not failed:
            record.slow_sample_count += 1
            previous = record.slowness
            record.slowness = (
                s_per_unit
                if previous is None
                else previous + _SMOOTHING * (s_per_unit - previous)
            )
        judged = record.slow_sample_count >= self._settings.min_sample_count
        slow = judged and self._is_slow(record.slowness, now_s)
        if slow or self._fails(record):
            self._eject(record, now_s)

    def slowness(self, endpoint_id: ids.EndpointId, now_s: float) -> float:
        """Return time per unit relative to the median of the service."""
        record = self._records[endpoint_id]
        median = self._current_median(now_s)
        if record.slowness is None or not median:
            return 1.0
        return record.slowness / median

    def ejected_count(self) -> int:
        """Return how many endpoints are out or on probation."""
        return sum(
            record.ejected_until_s is not None
            for record in self._records.values()
        )

    def max_ejected_count(self) -> int:
        """Return the cap, which leaves at least one endpoint."""
        count = len(self._records)
        share = math.floor(count * self._settings.max_ejected_share)
        return min(max(share, 1), max(count - 1, 0))

    def _record_probe(
        self, record: _Record, failed: bool, now_s: float
    ) -> None:
        record.probe = None
        if failed:
            self._eject(record, now_s)
            return
        record.good_probe_count += 1
        if record.good_probe_count >= self._settings.probe_count:
            record.ejected_until_s = None
            record.ejection_count = 0
            record.forget_results()

    def _fails(self, record: _Record) -> bool:
        settings = self._settings
        if record.failures_in_row >= settings.failure_count:
            return True
        enough = record.result_count >= settings.min_sample_count
        return enough and record.failure_share >= settings.failure_share

    def _is_slow(self, s_per_unit: float | None, now_s: float) -> bool:
        median = self._current_median(now_s)
        if s_per_unit is None or not median:
            return False
        return s_per_unit > self._settings.slow_factor * median

    def _current_median(self, now_s: float) -> float | None:
        if now_s < self._median_until_s:
            return self._median
        values = [
            record.slowness
            for record in self._records.values()
            if record.slowness is not None and record.ejected_until_s is None
        ]
        # With two endpoints the lower median is the faster one's figure, so
        # that the slower one can be told.
        self._median = statistics.median_low(values) if values else None
        self._median_until_s = now_s + _MEDIAN_LIFETIME_S
        return self._median

    def _eject(self, record: _Record, now_s: float) -> None:
        if record.ejected_until_s is None:
            if self.ejected_count() >= self.max_ejected_count():
                return
        settings = self._settings
        duration_s = settings.base_ejection_s * 2**record.ejection_count
        record.ejected_until_s = now_s + min(
            duration_s, settings.max_ejection_s
        )
        record.ejection_count = min(record.ejection_count + 1, 16)
        record.good_probe_count = 0
        record.probe = None
