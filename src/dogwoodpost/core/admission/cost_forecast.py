"""Predicts the cost of requests from earlier requests of the account."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids

# Weight of the latest request in the exponential moving average.
_SMOOTHING_FACTOR = 0.1
# Before an account's first requests have ended, their full estimate counts.
_INITIAL_RATIO = 1.0
_MIN_RATIO = 0.01


class CostForecast:
    """Average ratio of actual to estimated cost per client account.

    Each service has its own forecast. Callers set their token limit far above
    the number of tokens that are generated; without the ratio, expected waits
    would come out several times too long.
    """

    def __init__(self) -> None:
        self._ratios: dict[ids.ClientAccountId, float] = {}

    def expected_tokens(
        self, account_id: ids.ClientAccountId, estimated_tokens: float
    ) -> float:
        """Return the expected cost of a request, in tokens."""
        ratio = self._ratios.get(account_id, _INITIAL_RATIO)
        return estimated_tokens * ratio

    def observe(
        self,
        account_id: ids.ClientAccountId,
        estimated_tokens: float,
        actual_tokens: float,
    ) -> None:
        """Update the account's ratio after a request has ended."""
        if estimated_tokens <= 0.0:
            return
        ratio = self._ratios.get(account_id, _INITIAL_RATIO)
        observed_ratio = actual_tokens / estimated_tokens
        ratio += _SMOOTHING_FACTOR * (observed_ratio - ratio)
        self._ratios[account_id] = max(ratio, _MIN_RATIO)
