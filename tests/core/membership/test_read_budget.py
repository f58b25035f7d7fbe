"""Read rate of many processes at the store."""

from __future__ import annotations

import pytest

from dogwoodpost.core.membership.read_budget import ReadBudget

FEED_READS_PER_S = 46.0


@pytest.mark.parametrize(
    ('reads_per_s', 'process_count', 'slower'),
    [
        (2_000.0, 1, False),
        (2_000.0, 8, False),
        (6_000.0, 40, False),
        (6_000.0, 180, True),
        (6_000.0, 340, True),
    ],
)
def test_feeds_stay_within_the_read_limit(
    reads_per_s: float, process_count: int, slower: bool
) -> None:
    """Guards against feeds that exceed the read limit of the store.

    Without a slow-down, the feeds of 340 processes alone make three times as
    many calls as the store of the grown sites allows.
    """
    budget = ReadBudget(reads_per_s, FEED_READS_PER_S)
    factor = budget.pause_factor(process_count)
    assert (factor > 1.0) is slower
    assert process_count * FEED_READS_PER_S / factor <= 0.6 * reads_per_s + 1


def test_pause_factor_is_limited() -> None:
    """Guards against pauses after which changes take effect too late."""
    budget = ReadBudget(100.0, FEED_READS_PER_S)
    assert budget.pause_factor(10_000) == 8.0
