"""Rate at which a service works off its queue."""

from __future__ import annotations

import math

_TIME_CONSTANT_S = 5.0
# Younger figures are dominated by the requests that happened to end first.
_MIN_OBSERVED_S = 2.0


class DrainRate:
    """Tokens per second completed while requests were waiting.

    Only backlogged time counts, because an idle service completes less than
    it could.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._seconds = 0.0
        self._updated_s: float | None = None

    def advance(self, now_s: float, *, backlogged: bool) -> None:
        """Count the time since the last call if it was backlogged."""
        if self._updated_s is not None and backlogged:
            elapsed_s = now_s - self._updated_s
            decay = math.exp(-elapsed_s / _TIME_CONSTANT_S)
            self._tokens *= decay
            self._seconds = self._seconds * decay + elapsed_s
        self._updated_s = now_s

    def complete(self, tokens: float) -> None:
        """Count completed work; to be called while backlogged."""
        self._tokens += tokens

    def tokens_per_s(self) -> float | None:
        """Return the rate, or None until enough was observed."""
        if self._seconds < _MIN_OBSERVED_S:
            return None
        return self._tokens / self._seconds
