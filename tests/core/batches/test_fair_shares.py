"""Weighted max-min fair shares."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodpost.core.batches.fair_shares import fair_shares

DEMANDS = st.lists(
    st.tuples(st.integers(0, 300), st.floats(0.01, 100.0)), max_size=12
)


@given(capacity=st.integers(0, 400), trainers=DEMANDS)
def test_shares_are_max_min_fair(
    capacity: int, trainers: list[tuple[int, float]]
) -> None:
    """Guards against slots that are promised twice or lent to nobody."""
    demands = {key: float(entry[0]) for key, entry in enumerate(trainers)}
    weights = {key: entry[1] for key, entry in enumerate(trainers)}
    shares = fair_shares(capacity, demands, weights)
    total = sum(shares.values())
    assert total <= capacity + 1e-6
    assert total == pytest.approx(min(capacity, sum(demands.values())))
    levels = {key: shares[key] / weights[key] for key in shares}
    for key, share in shares.items():
        assert 0.0 <= share <= demands[key]
        if share < demands[key] - 1e-6:
            assert levels[key] >= max(levels.values()) * (1.0 - 1e-6)


def test_unused_shares_are_lent_by_weight() -> None:
    """Guards against weights that are ignored."""
    shares = fair_shares(
        160, {'a': 10, 'b': 300, 'c': 300}, {'b': 1.0, 'c': 2.0}
    )
    assert shares == pytest.approx({'a': 10, 'b': 50, 'c': 100})
