"""Decision whether a slow request gets a second attempt beside the first."""

from __future__ import annotations

from dogwoodpost.core.hedging.hedge_budget import HedgeBudget
from dogwoodpost.core.hedging.hedge_policy import HedgePolicy
from dogwoodpost.core.hedging.hedge_refusal import HedgeRefusal
from dogwoodpost.core.hedging.latency_window import LatencyWindow
from dogwoodpost.core.hedging.overload_guard import OverloadGuard
from dogwoodpost.core.hedging.second_endpoint import second_endpoint
from dogwoodpost.core.hedging.service_history import ServiceHistory
from dogwoodpost.core.hedging.service_state import ServiceState

__all__ = (
    'HedgeBudget',
    'HedgePolicy',
    'HedgeRefusal',
    'LatencyWindow',
    'OverloadGuard',
    'ServiceHistory',
    'ServiceState',
    'second_endpoint',
)
