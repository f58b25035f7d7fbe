"""Reads of the store by many processes."""

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
def test_feeds_stay_within_the_rate_of_the_store(
    reads_per_s: float, process_count: int, slower: bool
) -> None:
    """Guards against a fleet whose own reads are refused as too many.

    At 340 processes the feeds alone would make three times as many calls as
    the store of the grown sites allows.
    """
    budget = ReadBudget(reads_per_s, FEED_READS_PER_S)
    factor = budget.pause_factor(process_count)
    assert (factor > 1.0) is slower
    assert process_count * FEED_READS_PER_S / factor <= 0.6 * reads_per_s + 1


def test_changes_are_noticed_in_the_largest_fleet() -> None:
    """Guards against feeds that stand still for longer than a change may."""
    budget = ReadBudget(100.0, FEED_READS_PER_S)
    assert budget.pause_factor(10_000) == 8.0
