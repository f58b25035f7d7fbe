"""Rate limiter."""

from __future__ import annotations


class TokenBucket:
    """Token bucket whose caller supplies the current time in seconds.

    :param rate_per_s: tokens added per second.
    :param burst: largest number of tokens in the bucket; it starts full.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_s: float | None = None

    def delay_s(self, now_s: float) -> float:
        """Return the time in seconds until a token is available."""
        self._refill(now_s)
        return max(0.0, (1.0 - self._tokens) / self._rate_per_s)

    def take(self, now_s: float) -> bool:
        """Take a token; return False if none is available."""
        self._refill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def block(self, now_s: float, duration_s: float) -> None:
        """Withhold tokens for a duration that a remote rate limit imposed."""
        self._refill(now_s)
        self._tokens = min(self._tokens, 1.0 - duration_s * self._rate_per_s)

    def _refill(self, now_s: float) -> None:
        if self._updated_s is not None:
            elapsed_s = max(0.0, now_s - self._updated_s)
            filled = self._tokens + elapsed_s * self._rate_per_s
            self._tokens = min(self._burst, filled)
        self._updated_s = now_s
