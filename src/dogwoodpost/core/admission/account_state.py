"""Limits of one client account and what it uses of them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core.configuration import Limits

# Keeps a weight of zero from dividing by it.
_MIN_WEIGHT = 1e-6


class AccountState:
    """Running and waiting requests, and a token bucket.

    The bucket may go below zero: a request starts as long as it is not, and
    its actual cost is settled at the end. Large requests are therefore never
    locked out, and the rate holds on average.
    """

    def __init__(self, limits: Limits, now_s: float) -> None:
        self.limits = limits
        self.running_count = 0
        self.waiting_count = 0
        self._bucket_tokens = float(limits.token_burst_tokens)
        self._filled_s = now_s

    @property
    def weight(self) -> float:
        """Return the account's share relative to others."""
        return max(self.limits.weight, _MIN_WEIGHT)

    def change_limits(self, limits: Limits, now_s: float) -> None:
        """Apply limits of a new revision."""
        self._fill(now_s)
        self.limits = limits
        self._bucket_tokens = min(
            self._bucket_tokens, float(limits.token_burst_tokens)
        )

    def may_start(self, now_s: float) -> bool:
        """Return whether a request may start now."""
        if self.running_count >= self.limits.max_concurrency:
            return False
        return self.token_wait_s(now_s) <= 0.0

    def token_wait_s(self, now_s: float) -> float:
        """Return how long until the bucket is no longer below zero."""
        self._fill(now_s)
        if self._bucket_tokens >= 0.0:
            return 0.0
        if self.limits.token_rate_per_s <= 0.0:
            return math.inf
        return -self._bucket_tokens / self.limits.token_rate_per_s

    def charge(self, tokens: float, now_s: float) -> None:
        """Take tokens, or give back if negative."""
        self._fill(now_s)
        self._bucket_tokens = min(
            self._bucket_tokens - tokens, float(self.limits.token_burst_tokens)
        )

    def _fill(self, now_s: float) -> None:
        added = (now_s - self._filled_s) * self.limits.token_rate_per_s
        self._filled_s = now_s
        self._bucket_tokens = min(
            self._bucket_tokens + added, float(self.limits.token_burst_tokens)
        )
