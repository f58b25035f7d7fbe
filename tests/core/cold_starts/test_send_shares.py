"""Division of what a cold endpoint bears."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodpost.core import ids
from dogwoodpost.core.cold_starts import EqualShares
from dogwoodpost.core.cold_starts import SendShares
from dogwoodpost.core.cold_starts import SingleSender

ENDPOINT = ids.EndpointId('e')
ALLOWANCE = 12
both_ways = pytest.mark.parametrize('shares', [EqualShares(), SingleSender()])


def processes(first: int, end: int) -> set[ids.ProcessId]:
    return {ids.ProcessId(f'p{number}') for number in range(first, end)}


@both_ways
@given(
    senders=st.integers(1, 40),
    others=st.lists(st.integers(40, 80), max_size=40),
)
def test_shares_of_all_senders_are_within_the_allowance(
    shares: SendShares, senders: int, others: list[int]
) -> None:
    """Guards against bursts while processes differ in whom they know.

    Each sender knows all senders, and some processes that do not send.
    """
    sending = processes(0, senders)
    total = 0
    for number, process_id in enumerate(sorted(sending)):
        extra = set(others[number:])
        known = sending | {ids.ProcessId(f'p{other}') for other in extra}
        total += shares.share(ALLOWANCE, ENDPOINT, process_id, known)
    assert total <= ALLOWANCE


@both_ways
@pytest.mark.parametrize('count', [1, 2, 3, 4, 6, 12, 31, 340])
def test_senders_that_know_each_other_use_the_allowance(
    shares: SendShares, count: int
) -> None:
    """Guards against a limit that leaves cold endpoints idle."""
    senders = processes(0, count)
    total = sum(
        shares.share(ALLOWANCE, ENDPOINT, process_id, senders)
        for process_id in senders
    )
    assert total == ALLOWANCE
