"""Budget of retries for one route."""

from __future__ import annotations

from collections import deque

_WINDOW_S = 10.0
_SLOT_S = 1.0
_MAX_RETRY_SHARE = 0.2
# Allows some retries on routes with little traffic.
_MIN_RETRY_COUNT = 3


class _Slot:
    """Counts of attempts in one slot of the window."""

    def __init__(self, start_s: float) -> None:
        self.start_s = start_s
        self.first_attempt_count = 0
        self.retry_count = 0


class RetryBudget:
    """Limits retries to 20% of the first attempts of the last 10 s.

    Up to 3 retries are allowed however few first attempts there were.
    """

    def __init__(self) -> None:
        self._slots: deque[_Slot] = deque()

    def record_first_attempt(self, now_s: float) -> None:
        """Count a first attempt."""
        self._slot(now_s).first_attempt_count += 1

    def try_retry(self, now_s: float) -> bool:
        """Count a retry and return True if the budget allows it."""
        current_slot = self._slot(now_s)
        first_attempt_count = sum(
            slot.first_attempt_count for slot in self._slots
        )
        retry_count = sum(slot.retry_count for slot in self._slots)
        allowed_count = max(
            _MIN_RETRY_COUNT, int(first_attempt_count * _MAX_RETRY_SHARE)
        )
        if retry_count >= allowed_count:
            return False
        current_slot.retry_count += 1
        return True

    def _slot(self, now_s: float) -> _Slot:
        while self._slots and self._slots[0].start_s <= now_s - _WINDOW_S:
            self._slots.popleft()
        last = self._slots[-1] if self._slots else None
        if last is None or now_s >= last.start_s + _SLOT_S:
            last = _Slot(now_s)
            self._slots.append(last)
        return last
