"""Texts of items that are assembled from several runs."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches import ItemText
from dogwoodpost.core.batches import StreamEvent
from dogwoodpost.core.streams import StreamRun
from dogwoodpost.errors import EndpointError


def event(number: int, version: int | None = None) -> StreamEvent:
    return StreamEvent(
        event_id=number,
        data=f'piece {number}',
        weight_version=None if version is None else ids.WeightVersion(version),
    )


@pytest.fixture
def text() -> ItemText:
    text = ItemText()
    text.begin_run(ids.WeightVersion(3))
    return text


def test_runs_join_and_versions_follow_their_events(text: ItemText) -> None:
    """Guards against versions that the client assumes, not the endpoint."""
    text.add(event(0))
    text.add(event(1, version=4))
    text.begin_run(ids.WeightVersion(5))
    text.add(event(2))
    assert text.text() == 'piece 0\npiece 1\npiece 2'
    assert text.versions() == (3, 4, 5)
    assert text.last_event_id == 2


@pytest.mark.parametrize('number', [0, 2, 7])
def test_events_with_a_gap_or_a_repeat_are_refused(
    text: ItemText, number: int
) -> None:
    """Guards against texts that lack an event or hold one twice."""
    text.add(event(0))
    with pytest.raises(EndpointError):
        text.add(event(number))


def test_an_event_without_any_version_is_refused() -> None:
    """Guards against texts whose weight version is unknown."""
    text = ItemText()
    run = StreamRun(after=None, names_versions=True)
    message = 'neither the event nor its response names a weight version'
    with pytest.raises(EndpointError, match=message):
        text.add(event(0))
    with pytest.raises(EndpointError, match=message):
        run.note_event()
    run.note_event(ids.WeightVersion(3))
    run.note_event()
    text.add(event(0, version=3))
    text.add(event(1))
    assert text.versions() == (3,)


def test_first_event_may_have_any_id(text: ItemText) -> None:
    """Guards against the assumption that event ids start at 0."""
    text.add(event(1))
    text.add(event(2))
    assert text.event_count == 2


@pytest.mark.parametrize(
    ('min_version', 'single', 'is_allowed'),
    [
        (None, False, True),
        (3, False, True),
        (4, False, False),
        (None, True, False),
        (3, True, False),
    ],
)
def test_versions_decide_whether_a_text_is_allowed(
    text: ItemText, min_version: int | None, single: bool, is_allowed: bool
) -> None:
    """Guards against samples older than the trainer's minimum version."""
    text.add(event(0))
    text.add(event(1, version=4))
    oldest = None if min_version is None else ids.WeightVersion(min_version)
    assert (
        text.has_allowed_versions(oldest, single_version=single) is is_allowed
    )
