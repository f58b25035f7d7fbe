"""Budget of retries for one route."""

from __future__ import annotations

from collections import deque

_WINDOW_S = 10.0
_SLOT_S = 1.0
_RETRY_SHARE = 0.2
# Lets a route with little traffic retry at all.
_MIN_RETRY_COUNT = 3


class _Slot:
    """Counts of one slot of the window."""

    def __init__(self, start_s: float) -> None:
        self.start_s = start_s
        self.first_count = 0
        self.retry_count = 0


class RetryBudget:
    """Allows retries up to 20% of the first attempts of the last 10 s."""

    def __init__(self) -> None:
        self._slots: deque[_Slot] = deque()

    def record_first_attempt(self, now_s: float) -> None:
        """Count a first attempt."""
        self._slot(now_s).first_count += 1

    def try_retry(self, now_s: float) -> bool:
        """Count a retry if the budget allows it."""
        slot = self._slot(now_s)
        first_count = sum(one.first_count for one in self._slots)
        retry_count = sum(one.retry_count for one in self._slots)
        allowed = max(_MIN_RETRY_COUNT, int(first_count * _RETRY_SHARE))
        if retry_count >= allowed:
            return False
        slot.retry_count += 1
        return True

    def _slot(self, now_s: float) -> _Slot:
        while self._slots and self._slots[0].start_s <= now_s - _WINDOW_S:
            self._slots.popleft()
        last = self._slots[-1] if self._slots else None
        if last is None or now_s >= last.start_s + _SLOT_S:
            last = _Slot(now_s)
            self._slots.append(last)
        return last
