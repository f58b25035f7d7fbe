"""Retry budget and delays."""

from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from dogwoodpost.core.retries import RetryBudget
from dogwoodpost.core.retries import RetryPolicy


@hypothesis.given(
    st.lists(st.tuples(st.floats(0.0, 3.0), st.booleans()), max_size=300)
)
def test_budget_is_a_share_of_recent_first_attempts(
    steps: list[tuple[float, bool]],
) -> None:
    """Guards against more retries than the budget in any window."""
    budget = RetryBudget()
    now_s = 0.0
    first_s: list[float] = []
    retries_s: list[float] = []
    for step_s, is_retry in steps:
        now_s += step_s
        if not is_retry:
            budget.record_first_attempt(now_s)
            first_s.append(now_s)
        elif budget.try_retry(now_s):
            retries_s.append(now_s)
        recent_first = sum(at_s > now_s - 10.0 for at_s in first_s)
        recent = sum(at_s > now_s - 9.0 for at_s in retries_s)
        # A slot of one second leaves the window as a whole.
        assert recent <= max(3, (recent_first + 1) * 0.2) or is_retry is False


def test_budget_allows_a_minimum() -> None:
    """Guards against routes with little traffic that never retry."""
    budget = RetryBudget()
    assert [budget.try_retry(1.0) for _ in range(4)] == [True] * 3 + [False]
    assert budget.try_retry(12.0)


@pytest.mark.parametrize(
    ('attempt_count', 'remaining_s', 'highest_s'),
    [
        (1, 10.0, 0.05),
        (2, 10.0, 0.1),
        (3, 10.0, None),
        (1, 0.0, None),
    ],
)
def test_delay(
    attempt_count: int, remaining_s: float, highest_s: float | None
) -> None:
    """Guards against delays without jitter or beyond the deadline."""
    rng = random.Random(3)
    delays = [
        RetryPolicy().delay_s(
            attempt_count, remaining_s, RetryBudget(), rng, 0.0
        )
        for _ in range(200)
    ]
    if highest_s is None:
        assert delays == [None] * 200
        return
    assert 0.0 <= min(delays) < 0.1 * highest_s
    assert 0.9 * highest_s < max(delays) <= highest_s
