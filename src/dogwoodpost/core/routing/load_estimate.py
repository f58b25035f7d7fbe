"""Load of one endpoint, from lagging reports and own dispatches."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core import messages

_MS_PER_S = 1_000.0
# Older reports say nothing about the present load.
REPORT_LIFETIME_S = 10.0


class LoadEstimate:
    """Corrects the last report by what happened since the time it describes.

    The report counts the requests of all entries. What it counts beyond the
    own ones of that time are the others', taken as unchanged since; the own
    ones are known exactly.
    """

    def __init__(self) -> None:
        self._started_s: dict[ids.AttemptId, float] = {}
        # Begin and end of own attempts that a report to come may still count.
        self._ended: deque[tuple[float, float]] = deque()
        self._others_count = 0
        self._reported_s: float | None = None

    @property
    def own_count(self) -> int:
        """Return the number of own attempts in flight."""
        return len(self._started_s)

    def begin(self, attempt_id: ids.AttemptId, now_s: float) -> None:
        """Note an own dispatch."""
        self._started_s[attempt_id] = now_s

    def finish(self, attempt_id: ids.AttemptId, now_s: float) -> None:
        """Note the end of an own attempt."""
        started_s = self._started_s.pop(attempt_id, None)
        if started_s is None:
            return
        self._ended.append((started_s, now_s))
        while self._ended[0][1] < now_s - REPORT_LIFETIME_S:
            self._ended.popleft()

    def report(self, load: messages.EndpointLoad, now_s: float) -> None:
        """Take a report that describes ``age_ms`` ago."""
        at_s = now_s - load.age_ms / _MS_PER_S
        if self._reported_s is not None and at_s < self._reported_s:
            return
        self._reported_s = at_s
        own_count = self._own_count_at(at_s)
        reported_count = load.running_count + load.waiting_count
        self._others_count = max(reported_count - own_count, 0)

    def count(self, now_s: float) -> int:
        """Return the estimated number of requests at the endpoint."""
        own_count = len(self._started_s)
        if self._reported_s is None:
            return own_count
        if now_s - self._reported_s > REPORT_LIFETIME_S:
            return own_count
        return own_count + self._others_count

    def _own_count_at(self, at_s: float) -> int:
        running = sum(
            started_s <= at_s for started_s in self._started_s.values()
        )
        ended = sum(
            started_s <= at_s < ended_s for started_s, ended_s in self._ended
        )
        return running + ended
