"""Tests of splitting event streams into complete, ordered events."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodpost.core.streams import OrderedEventSplitter
from dogwoodpost.errors import EndpointError


def event(number: int) -> bytes:
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


def feed_all(splitter: OrderedEventSplitter, chunks: list[bytes]) -> bytes:
    pieces = [splitter.feed(chunk) for chunk in chunks]
    return b''.join(piece.data for piece in pieces if piece is not None)


@given(
    count=st.integers(1, 6),
    cuts=st.lists(st.integers(0, 150), max_size=12),
)
def test_events_are_independent_of_chunk_boundaries(
    count: int, cuts: list[int]
) -> None:
    """Guards against bytes lost or repeated at chunk boundaries."""
    stream = b': comment\n\n' + b''.join(event(n) for n in range(count))
    bounds = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
    chunks = [stream[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    splitter = OrderedEventSplitter()
    assert feed_all(splitter, chunks) == stream
    splitter.finish()


def test_incomplete_event_is_buffered() -> None:
    """Guards against forwarding part of an event.

    The stream may break off there and be continued by another run, whose
    first event would then follow that part.
    """
    splitter = OrderedEventSplitter()
    piece = splitter.feed(event(0) + event(1)[:-3])
    assert piece is not None
    assert (piece.data, piece.last_event_id) == (event(0), 0)
    assert splitter.feed(b'') is None
    with pytest.raises(EndpointError):
        splitter.finish()


@pytest.mark.parametrize(
    ('after', 'data'),
    [
        (None, event(0) + event(2)),
        (None, event(1) + event(1)),
        (4, event(4)),
        (4, event(0)),
        (None, b'id: x\ndata: y\n\n'),
    ],
)
def test_gaps_and_repeats_are_rejected(after: int | None, data: bytes) -> None:
    """Guards against lost or repeated events where a stream resumes."""
    with pytest.raises(EndpointError):
        OrderedEventSplitter(after).feed(data)


@pytest.mark.parametrize(
    'block', [b'data: text\n\n', b'text\n\n', b': a\ntext\n\n']
)
def test_continuation_has_only_events_with_ids(block: bytes) -> None:
    """Guards against text of another response in the middle of a stream.

    Without an earlier run, the same bytes are the endpoint's own response.
    """
    with pytest.raises(EndpointError):
        OrderedEventSplitter(1, continues=True).feed(block + event(2))
    piece = OrderedEventSplitter(1).feed(block + event(2))
    assert piece is not None
    assert piece.data == block + event(2)
    assert not piece.can_resume
