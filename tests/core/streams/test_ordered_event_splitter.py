"""Streams that are cut behind whole events."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodpost.core.streams import OrderedEventSplitter
from dogwoodpost.errors import EndpointError


def event(number: int) -> bytes:
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


def feed_all(cutter: OrderedEventSplitter, chunks: list[bytes]) -> bytes:
    pieces = [cutter.feed(chunk) for chunk in chunks]
    return b''.join(piece.data for piece in pieces if piece is not None)


@given(
    count=st.integers(1, 6),
    cuts=st.lists(st.integers(0, 150), max_size=12),
)
def test_chunks_do_not_matter(count: int, cuts: list[int]) -> None:
    """Guards against bytes that are lost or repeated between chunks."""
    whole = b': comment\n\n' + b''.join(event(n) for n in range(count))
    bounds = [0, *sorted(min(cut, len(whole)) for cut in cuts), len(whole)]
    chunks = [whole[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    cutter = OrderedEventSplitter()
    assert feed_all(cutter, chunks) == whole
    cutter.finish()


def test_the_beginning_of_an_event_is_held_back() -> None:
    """Guards against halves of events before an event of another run."""
    cutter = OrderedEventSplitter()
    piece = cutter.feed(event(0) + event(1)[:-3])
    assert piece is not None
    assert (piece.data, piece.last_event_id) == (event(0), 0)
    assert cutter.feed(b'') is None
    with pytest.raises(EndpointError):
        cutter.finish()


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
def test_events_that_do_not_join_are_refused(
    after: int | None, data: bytes
) -> None:
    """Guards against gaps and repeats where two runs are joined."""
    with pytest.raises(EndpointError):
        OrderedEventSplitter(after).feed(data)
