"""Limit on the second attempts of one route."""

from __future__ import annotations

from collections import deque

WINDOW_S = 10.0
_SLOT_S = 0.5


class HedgeBudget:
    """Limits second sends to a share of the first sends of the last 10 s.

    The limit is rounded down and has no minimum, so a quiet route gets no
    second sends. First sends are counted in slots, to bound the memory of a
    busy route; a slot counts only while all of it is within the window, so
    the limit is never exceeded.
    """

    def __init__(self) -> None:
        # Start and number of first sends of each slot.
        self._slots: deque[list[float]] = deque()
        self._first_count = 0
        self._second_sends_s: deque[float] = deque()

    def record_first(self, now_s: float) -> None:
        """Count a first send."""
        self._drop_old(now_s)
        if not self._slots or now_s >= self._slots[-1][0] + _SLOT_S:
            self._slots.append([now_s, 0])
        self._slots[-1][1] += 1
        self._first_count += 1

    def allows(self, share: float, now_s: float) -> bool:
        """Return whether a second send stays within the limit."""
        self._drop_old(now_s)
        return len(self._second_sends_s) < int(self._first_count * share)

    def record_second(self, now_s: float) -> None:
        """Count a second send."""
        self._second_sends_s.append(now_s)

    def _drop_old(self, now_s: float) -> None:
        start_s = now_s - WINDOW_S
        while self._slots and self._slots[0][0] <= start_s:
            self._first_count -= int(self._slots.popleft()[1])
        while self._second_sends_s and self._second_sends_s[0] <= start_s:
            self._second_sends_s.popleft()
