"""Tests which responses another endpoint can continue."""

from __future__ import annotations

from dogwoodpost.core.streams import StreamProgress


def test_incomplete_event_prevents_resuming() -> None:
    """Guards against resuming a stream in the middle of an event."""
    progress = StreamProgress(resumable=True)
    progress.note_head(is_stream=True)
    progress.note_data(ends_event=True, last_event_id=3)
    assert progress.can_continue
    assert progress.last_event_id == 3
    progress.note_data(ends_event=False, last_event_id=None)
    assert not progress.can_continue


def test_begun_response_that_is_not_resumable_cannot_continue() -> None:
    """Guards against a second run of a request after output was sent."""
    progress = StreamProgress(resumable=False)
    assert progress.can_continue
    progress.note_head(is_stream=True)
    assert not progress.can_continue


def test_forwarded_failure_cannot_continue() -> None:
    """Guards against appending stream events to a failure response."""
    progress = StreamProgress(resumable=True)
    progress.note_head(is_stream=False)
    assert not progress.can_continue
