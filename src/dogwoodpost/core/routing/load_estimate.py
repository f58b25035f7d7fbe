"""Estimate of an endpoint's load from delayed reports and own attempts."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core import messages

_MS_PER_S = 1_000.0
# Older reports are ignored, since they no longer reflect the current load.
REPORT_LIFETIME_S = 10.0


class LoadEstimate:
    """Estimates the number of requests at one endpoint.

    A load report counts the requests of all entries at some time in the past.
    Subtracting this entry's own attempts at that time gives the requests of
    the other entries, which are assumed not to have changed since. This
    entry's own attempts are known exactly.
    """

    def __init__(self) -> None:
        self._start_times_s: dict[ids.AttemptId, float] = {}
        # Start and end times of own attempts that a later report may still
        # count, because reports are delayed.
        self._ended_attempts: deque[tuple[float, float]] = deque()
        self._other_entries_count = 0
        self._report_time_s: float | None = None

    @property
    def own_count(self) -> int:
        """Return the number of this entry's attempts in flight."""
        return len(self._start_times_s)

    def begin(self, attempt_id: ids.AttemptId, now_s: float) -> None:
        """Record the start of an own attempt."""
        self._start_times_s[attempt_id] = now_s

    def finish(self, attempt_id: ids.AttemptId, now_s: float) -> None:
        """Record the end of an own attempt."""
        started_s = self._start_times_s.pop(attempt_id, None)
        if started_s is None:
            return
        self._ended_attempts.append((started_s, now_s))
        while self._ended_attempts[0][1] < now_s - REPORT_LIFETIME_S:
            self._ended_attempts.popleft()

    def report(self, load: messages.EndpointLoad, now_s: float) -> None:
        """Apply a load report, which describes the state ``age_ms`` ago.

        Reports older than the last one are ignored.
        """
        time_s = now_s - load.age_ms / _MS_PER_S
        if self._report_time_s is not None and time_s < self._report_time_s:
            return
        self._report_time_s = time_s
        own_count = self._own_count_at(time_s)
        reported_count = load.running_count + load.waiting_count
        self._other_entries_count = max(reported_count - own_count, 0)

    def count(self, now_s: float) -> int:
        """Return the estimated number of requests at the endpoint."""
        own_count = len(self._start_times_s)
        if self._report_time_s is None:
            return own_count
        if now_s - self._report_time_s > REPORT_LIFETIME_S:
            return own_count
        return own_count + self._other_entries_count

    def _own_count_at(self, time_s: float) -> int:
        running = sum(
            started_s <= time_s for started_s in self._start_times_s.values()
        )
        ended = sum(
            started_s <= time_s < ended_s
            for started_s, ended_s in self._ended_attempts
        )
        return running + ended
