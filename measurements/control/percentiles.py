"""Percentiles of measured values."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the smallest value that covers ``percent`` of all values."""
    ordered = sorted(values)
    rank = math.ceil(len(ordered) * percent / 100)
    return ordered[max(rank, 1) - 1]
