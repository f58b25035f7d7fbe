"""When an agent sent its recent heartbeats."""

from __future__ import annotations

from collections import deque

# An entry that hears nothing for 3 s drops the agent, so a request that is
# older than this has been held up on its way.
MAX_START_AGE_S = 5.0


class HelloTimes:
    """Bounds the age of a message by the newest heartbeat that it names.

    The message was sent after that heartbeat was received, so its age is at
    most the heartbeat's. This needs no clock that hosts share.
    """

    def __init__(self, max_age_s: float = MAX_START_AGE_S) -> None:
        self.max_age_s = max_age_s
        self._times: deque[tuple[int, float]] = deque()
        self._latest = 0

    @property
    def latest_sequence(self) -> int:
        """Return the sequence of the newest heartbeat."""
        return self._latest

    def record(self, sequence: int, now_s: float) -> None:
        """Note a heartbeat directly before it is sent."""
        self._latest = sequence
        self._times.append((sequence, now_s))
        while self._times and self._times[0][1] < now_s - self.max_age_s:
            self._times.popleft()

    def is_stale(self, sequence: int, now_s: float) -> bool:
        """Return whether a message that names a heartbeat may be too old."""
        for known, sent_s in self._times:
            if known == sequence:
                return now_s - sent_s > self.max_age_s
        return True
