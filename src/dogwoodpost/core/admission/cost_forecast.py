"""Learns how the cost of requests relates to their estimates."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids

_SMOOTHING = 0.1
# Estimates count in full until an account has a few results.
_INITIAL_RATIO = 1.0
_MIN_RATIO = 0.01


class CostForecast:
    """Ratio of actual to estimated cost per client account of a service.

    Callers set their maximum of tokens far above what is generated; without
    the ratio, expected waits come out several times too long.
    """

    def __init__(self) -> None:
        self._ratios: dict[ids.ClientAccountId, float] = {}

    def expected_tokens(
        self, account_id: ids.ClientAccountId, estimated_tokens: float
    ) -> float:
        """Return the expected cost of a request."""
        ratio = self._ratios.get(account_id, _INITIAL_RATIO)
        return estimated_tokens * ratio

    def observe(
        self,
        account_id: ids.ClientAccountId,
        estimated_tokens: float,
        actual_tokens: float,
    ) -> None:
        """Learn from a request that has ended."""
        if estimated_tokens <= 0.0:
            return
        ratio = self._ratios.get(account_id, _INITIAL_RATIO)
        observed = actual_tokens / estimated_tokens
        ratio += _SMOOTHING * (observed - ratio)
        self._ratios[account_id] = max(ratio, _MIN_RATIO)
