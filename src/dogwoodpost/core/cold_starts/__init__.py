"""Limits on what is sent to endpoints that have just started."""

from __future__ import annotations

from dogwoodpost.core.cold_starts.cold_start_limiter import ColdStartLimiter
from dogwoodpost.core.cold_starts.cold_tracker import ColdTracker
from dogwoodpost.core.cold_starts.cold_tracker import DoubtReason

__all__ = (
    'ColdStartLimiter',
    'ColdTracker',
    'DoubtReason',
)
