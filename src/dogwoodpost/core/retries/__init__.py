"""Budget and backoff of retries."""

from __future__ import annotations

from dogwoodpost.core.retries.retry_budget import RetryBudget
from dogwoodpost.core.retries.retry_policy import RetryPolicy

__all__ = ('RetryBudget', 'RetryPolicy')
