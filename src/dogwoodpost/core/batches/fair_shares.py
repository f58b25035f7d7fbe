"""Weighted max-min fair shares of a capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Mapping

_Key = TypeVar('_Key')


def fair_shares(
    capacity: float,
    demands: Mapping[_Key, float],
    weights: Mapping[_Key, float],
) -> dict[_Key, float]:
    """Return each demand's share of a capacity.

    No share exceeds its demand. What a small demand leaves unused is divided
    among the others in proportion to their weights.

    :param weights: positive weights; a missing one is 1.0.
    """
    # In this order, a demand that exceeds its part of the rest means that all
    # later ones exceed theirs too.
    by_need = sorted(
        demands, key=lambda key: demands[key] / weights.get(key, 1.0)
    )
    left = max(capacity, 0.0)
    weight_left = sum(weights.get(key, 1.0) for key in by_need)
    shares: dict[_Key, float] = {}
    for key in by_need:
        weight = weights.get(key, 1.0)
        # Rounding errors of the subtractions must not exceed the capacity.
        part = (
            left * min(weight / weight_left, 1.0) if weight_left > 0 else left
        )
        share = min(demands[key], part)
        shares[key] = share
        left = max(left - share, 0.0)
        weight_left -= weight
    return shares
