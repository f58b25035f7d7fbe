"""When an agent sent its heartbeats."""

from __future__ import annotations

from collections import OrderedDict

_KEPT_COUNT = 64


class HelloTimes:
    """Bounds the age of messages without a clock shared by the hosts.

    A message that names heartbeat N was sent after N was sent, so it is at
    most as old as N.
    """

    def __init__(self, now_s: float) -> None:
        self._sent_s: OrderedDict[int, float] = OrderedDict({0: now_s})

    @property
    def last_sequence(self) -> int:
        """Return the sequence of the last heartbeat."""
        return next(reversed(self._sent_s))

    def record(self, sequence: int, now_s: float) -> None:
        """Note that a heartbeat is being sent."""
        self._sent_s[sequence] = now_s
        if len(self._sent_s) > _KEPT_COUNT:
            self._sent_s.popitem(last=False)

    def earliest_sent_s(self, sequence: int) -> float | None:
        """Return the earliest time at which the message can have been sent.

        None if the heartbeat is unknown.
        """
        return self._sent_s.get(sequence)
