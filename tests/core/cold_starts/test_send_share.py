"""Division of what a cold endpoint bears."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodpost.core import ids
from dogwoodpost.core.cold_starts.send_share import send_share

ENDPOINT = ids.EndpointId('e')
ALLOWANCE = 12


def processes(numbers: range | set[int]) -> set[ids.ProcessId]:
    return {ids.ProcessId(f'p{number}') for number in numbers}


@given(
    sender_count=st.integers(1, 40),
    others=st.lists(st.integers(40, 80), max_size=40),
)
def test_shares_of_all_senders_are_within_the_allowance(
    sender_count: int, others: list[int]
) -> None:
    """Guards against bursts while processes differ in whom they know.

    Each sender knows all senders, and some processes that do not send.
    """
    senders = processes(range(sender_count))
    total = 0
    for number, process_id in enumerate(sorted(senders)):
        known = senders | processes(set(others[number:]))
        total += send_share(ALLOWANCE, ENDPOINT, process_id, known)
    assert total <= ALLOWANCE


@pytest.mark.parametrize('count', [1, 2, 3, 4, 6, 12, 31, 340])
def test_senders_that_know_each_other_use_the_allowance(count: int) -> None:
    """Guards against a limit that leaves cold endpoints idle."""
    senders = processes(range(count))
    total = sum(
        send_share(ALLOWANCE, ENDPOINT, process_id, senders)
        for process_id in senders
    )
    assert total == ALLOWANCE
