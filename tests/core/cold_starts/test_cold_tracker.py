"""Endpoints that are cold, or may be."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.cold_starts.cold_tracker import ColdTracker
from dogwoodpost.core.cold_starts.cold_tracker import DoubtReason
from dogwoodpost.core.cold_starts.cold_tracker import ENTRY_DELAY_S

ENDPOINT = ids.EndpointId('e')
COLD_S = 3.0


@pytest.fixture
def tracker() -> ColdTracker:
    tracker = ColdTracker()
    tracker.note_entry(ENDPOINT, 0.0, 0.0)
    return tracker


def is_cold(tracker: ColdTracker, now_s: float) -> bool:
    return tracker.is_cold(ENDPOINT, COLD_S, now_s)


def test_endpoint_is_cold_for_as_long_as_its_entry_says(
    tracker: ColdTracker,
) -> None:
    """Guards against bursts at an endpoint that announces its cold start."""
    assert not is_cold(tracker, 0.1)
    tracker.note_entry(ENDPOINT, 2.0, 1.0)
    assert is_cold(tracker, 2.9)
    assert not is_cold(tracker, 3.1)


def test_unknown_endpoint_is_cold(tracker: ColdTracker) -> None:
    """Guards against bursts at an endpoint without a readable entry."""
    tracker.forget(ENDPOINT)
    assert is_cold(tracker, 1.0)


def test_failed_call_is_a_doubt_until_a_later_entry(
    tracker: ColdTracker,
) -> None:
    """Guards against an entry that was written before the restart."""
    tracker.doubt([ENDPOINT], DoubtReason.FAILED_CALL, 1.0)
    tracker.note_entry(ENDPOINT, 0.0, 1.0 + ENTRY_DELAY_S / 2)
    assert is_cold(tracker, 1.5)
    tracker.note_entry(ENDPOINT, 0.0, 1.0 + ENTRY_DELAY_S)
    assert not is_cold(tracker, 2.0)


def test_answers_end_a_doubt_once_a_new_entry_would_have_been_read(
    tracker: ColdTracker,
) -> None:
    """Guards against limits on an endpoint that had only lost a request."""
    tracker.doubt([ENDPOINT], DoubtReason.FAILED_CALL, 1.0)
    tracker.note_read(3.0)
    assert is_cold(tracker, 3.0)
    tracker.note_answer(ENDPOINT, 3.1)
    tracker.note_read(3.1 + ENTRY_DELAY_S / 2)
    assert is_cold(tracker, 3.6)
    tracker.note_read(3.1 + ENTRY_DELAY_S)
    assert not is_cold(tracker, 4.0)
    tracker.doubt([ENDPOINT], DoubtReason.FAILED_CALL, 5.0)
    assert is_cold(tracker, 60.0)


def test_answers_end_a_doubt_while_no_entries_are_read(
    tracker: ColdTracker,
) -> None:
    """Guards against limits that last as long as an outage of the store."""
    tracker.doubt([ENDPOINT], DoubtReason.FAILED_CALL, 1.0)
    tracker.note_answer(ENDPOINT, 2.0)
    tracker.note_answer(ENDPOINT, 4.0)
    assert is_cold(tracker, 4.9)
    assert not is_cold(tracker, 5.0)


def test_suspension_of_the_process_is_a_doubt(tracker: ColdTracker) -> None:
    """Guards against bursts by a process that knows nothing of the gap."""
    tracker.tick(0.0)
    tracker.tick(0.9)
    assert not is_cold(tracker, 1.0)
    assert is_cold(tracker, 9.0)
    tracker.note_read(9.0 + ENTRY_DELAY_S)
    assert not is_cold(tracker, 9.9)
