"""Weight versions: fan-out within regions and swaps of endpoints."""

from __future__ import annotations

from dogwoodpost.core.weights.token_bucket import TokenBucket
from dogwoodpost.core.weights.weight_plan import SwapAction
from dogwoodpost.core.weights.weight_plan import WeightPlan

__all__ = ('SwapAction', 'TokenBucket', 'WeightPlan')
