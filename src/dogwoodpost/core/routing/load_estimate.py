"""Load of one endpoint, from lagging reports and own dispatches."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core import messages

_MS_PER_S = 1_000.0
# Older reports say nothing about the present load.
REPORT_LIFETIME_S = 10.0


class LoadEstimate:
    """Corrects the last report by the dispatches it could not contain."""

    def __init__(self) -> None:
        self._started_s: dict[ids.AttemptId, float] = {}
        self._reported_count = 0
        self._reported_s: float | None = None
        self._own_at_report: set[ids.AttemptId] = set()
        self._finished_since_count = 0

    @property
    def own_count(self) -> int:
        """Return the number of own attempts in flight."""
        return len(self._started_s)

    def begin(self, attempt_id: ids.AttemptId, now_s: float) -> None:
        """Note an own dispatch."""
        self._started_s[attempt_id] = now_s

    def finish(self, attempt_id: ids.AttemptId) -> float | None:
        """Note the end of an own attempt; return when it began."""
        started_s = self._started_s.pop(attempt_id, None)
        if attempt_id in self._own_at_report:
            self._own_at_report.discard(attempt_id)
            self._finished_since_count += 1
        return started_s

    def report(self, load: messages.EndpointLoad, now_s: float) -> None:
        """Take a report that describes ``age_ms`` ago."""
        at_s = now_s - load.age_ms / _MS_PER_S
        if self._reported_s is not None and at_s < self._reported_s:
            return
        self._reported_s = at_s
        self._reported_count = load.running_count + load.waiting_count
        self._finished_since_count = 0
        self._own_at_report = {
            attempt_id
            for attempt_id, started_s in self._started_s.items()
            if started_s <= at_s
        }

    def count(self, now_s: float) -> int:
        """Return the estimated number of requests at the endpoint."""
        own_count = len(self._started_s)
        if self._reported_s is None:
            return own_count
        if now_s - self._reported_s > REPORT_LIFETIME_S:
            return own_count
        since_count = own_count - len(self._own_at_report)
        corrected = self._reported_count - self._finished_since_count
        return max(own_count, max(corrected, 0) + since_count)
