"""Tests of the retry budget and of retry delays."""

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
def test_budget_limits_retries_to_share_of_first_attempts(
    steps: list[tuple[float, bool]],
) -> None:
    """Guards against more retries in a window than the budget allows."""
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
        first_count = sum(at_s > now_s - 10.0 for at_s in first_s)
        retry_count = sum(at_s > now_s - 9.0 for at_s in retries_s)
        # The budget drops whole slots of one second, so a retry may leave its
        # window up to 1 s early.
        assert (
            retry_count <= max(3, (first_count + 1) * 0.2) or is_retry is False
        )


def test_budget_allows_minimum_of_retries() -> None:
    """Guards against routes that never retry for lack of traffic."""
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
def test_delay_has_jitter_and_ends_before_deadline(
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
