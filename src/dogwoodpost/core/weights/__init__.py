"""Distribution of weight versions to hosts and swaps on endpoints."""

from __future__ import annotations

from dogwoodpost.core.weights.token_bucket import TokenBucket
from dogwoodpost.core.weights.weight_plan import SwapAction
from dogwoodpost.core.weights.weight_plan import WeightPlan

__all__ = ('SwapAction', 'TokenBucket', 'WeightPlan')
