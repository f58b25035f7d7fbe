"""Limits of one client account and its current use of them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core.configuration import Limits

# Prevents a division by zero for accounts with a weight of zero.
_MIN_WEIGHT = 1e-6


class AccountState:
    """Request counts and token bucket of a client account.

    The bucket may go below zero: a request may start while the bucket is not
    below zero, whatever its cost, and the charge is corrected to the actual
    cost when the request ends. Requests larger than the bucket can therefore
    start, and the rate holds on average.
    """

    def __init__(self, limits: Limits, now_s: float) -> None:
        self.limits = limits
        self.running_count = 0
        self.waiting_count = 0
        self._bucket_tokens = float(limits.token_burst_tokens)
        self._refilled_s = now_s

    @property
    def weight(self) -> float:
        """Return the weight in fair queueing, always above zero."""
        return max(self.limits.weight, _MIN_WEIGHT)

    def change_limits(self, limits: Limits, now_s: float) -> None:
        """Apply the limits of a new configuration revision."""
        self._refill(now_s)
        self.limits = limits
        self._bucket_tokens = min(
            self._bucket_tokens, float(limits.token_burst_tokens)
        )

    def may_start(self, now_s: float) -> bool:
        """Return whether the limits allow a request to start now."""
        if self.running_count >= self.limits.max_concurrency:
            return False
        return self.token_wait_s(now_s) <= 0.0

    def token_wait_s(self, now_s: float) -> float:
        """Return the seconds until the bucket is no longer below zero.

        The result is infinite if the bucket is never refilled.
        """
        self._refill(now_s)
        if self._bucket_tokens >= 0.0:
            return 0.0
        if self.limits.token_rate_per_s <= 0.0:
            return math.inf
        return -self._bucket_tokens / self.limits.token_rate_per_s

    def charge(self, tokens: float, now_s: float) -> None:
        """Deduct tokens from the bucket; a negative amount is a refund."""
        self._refill(now_s)
        self._bucket_tokens = min(
            self._bucket_tokens - tokens, float(self.limits.token_burst_tokens)
        )

    def _refill(self, now_s: float) -> None:
        added_tokens = (
            now_s - self._refilled_s
        ) * self.limits.token_rate_per_s
        self._refilled_s = now_s
        self._bucket_tokens = min(
            self._bucket_tokens + added_tokens,
            float(self.limits.token_burst_tokens),
        )
