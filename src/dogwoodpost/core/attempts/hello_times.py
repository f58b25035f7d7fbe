"""Send times of an agent's heartbeats."""

from __future__ import annotations

from collections import OrderedDict

_MAX_REMEMBERED_COUNT = 64


class HelloTimes:
    """Limits the age of messages without synchronised clocks.

    A message that quotes the sequence number of a heartbeat was sent after
    that heartbeat, so it is at most as old as the heartbeat. Times are seconds
    of the caller's monotonic clock.
    """

    def __init__(self, now_s: float) -> None:
        self._sent_s: OrderedDict[int, float] = OrderedDict({0: now_s})

    @property
    def last_sequence(self) -> int:
        """Return the sequence number of the last heartbeat."""
        return next(reversed(self._sent_s))

    def record(self, sequence: int, now_s: float) -> None:
        """Record that a heartbeat is being sent."""
        self._sent_s[sequence] = now_s
        if len(self._sent_s) > _MAX_REMEMBERED_COUNT:
            self._sent_s.popitem(last=False)

    def earliest_sent_s(self, sequence: int) -> float | None:
        """Return the earliest send time of a message quoting a heartbeat.

        None if the heartbeat was not sent, or too long ago to be remembered.
        """
        return self._sent_s.get(sequence)
