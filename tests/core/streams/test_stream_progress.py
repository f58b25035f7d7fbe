"""Which responses can go on at another endpoint."""

from __future__ import annotations

from dogwoodpost.core.streams import StreamProgress


def test_only_whole_events_can_be_followed() -> None:
    """Guards against runs that are joined in the middle of an event."""
    progress = StreamProgress(resumable=True)
    progress.note_head(is_stream=True)
    progress.note_data(ends_event=True, last_event_id=3)
    assert progress.can_continue
    assert progress.last_event_id == 3
    progress.note_data(ends_event=False, last_event_id=None)
    assert not progress.can_continue


def test_a_response_that_has_begun_stays_with_its_endpoint() -> None:
    """Guards against second runs of streams that may run only once."""
    progress = StreamProgress(resumable=False)
    assert progress.can_continue
    progress.note_head(is_stream=True)
    assert not progress.can_continue


def test_a_failure_that_was_passed_on_is_final() -> None:
    """Guards against events of a stream behind the head of a failure."""
    progress = StreamProgress(resumable=True)
    progress.note_head(is_stream=False)
    assert not progress.can_continue
