"""Estimates the rate at which a service drains its queue."""

from __future__ import annotations

import math

# Time constant of the exponential decay of earlier observations.
_TIME_CONSTANT_S = 5.0
# Over a shorter time, the rate depends mainly on which requests ended first.
_MIN_OBSERVED_S = 2.0


class DrainRate:
    """Average of the tokens completed per second of backlogged time.

    Time without waiting requests is left out, because a service that is not
    fully loaded completes fewer tokens than it could.
    """

    def __init__(self) -> None:
        self._completed_tokens = 0.0
        self._backlogged_s = 0.0
        self._updated_s: float | None = None

    def advance(self, now_s: float, *, backlogged: bool) -> None:
        """Add the time since the last call if requests waited during it."""
        if self._updated_s is not None and backlogged:
            elapsed_s = now_s - self._updated_s
            decay = math.exp(-elapsed_s / _TIME_CONSTANT_S)
            self._completed_tokens *= decay
            self._backlogged_s = self._backlogged_s * decay + elapsed_s
        self._updated_s = now_s

    def record_completed(self, tokens: float) -> None:
        """Add the cost of a completed request; call only while backlogged."""
        self._completed_tokens += tokens

    def tokens_per_s(self) -> float | None:
        """Return the rate, or None after too little backlogged time."""
        if self._backlogged_s < _MIN_OBSERVED_S:
            return None
        return self._completed_tokens / self._backlogged_s
