"""Tests of where events of a byte stream end."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodpost.core.streams import EventScanner
from dogwoodpost.core.streams import EventSplitter
from dogwoodpost.errors import EndpointError

LINE_ENDS = [b'\n', b'\r\n', b'\r']
LINES = [b': comment', b'', b'id: 1', b'data: a', b'data: b', b'', b': end']


def pieces(stream: bytes, cuts: list[int]) -> list[bytes]:
    bounds = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
    return [stream[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]


def scanned(parts: list[bytes]) -> EventScanner:
    scanner = EventScanner()
    for part in parts:
        scanner.feed(part)
    return scanner


def ends_inside(scanner: EventScanner) -> bool:
    try:
        scanner.check_end()
    except EndpointError:
        return True
    return False


@given(
    line_end=st.sampled_from(LINE_ENDS),
    cuts=st.lists(st.integers(0, 60), max_size=8),
)
def test_ends_are_independent_of_pieces_and_line_ends(
    line_end: bytes, cuts: list[int]
) -> None:
    """Guards against a whole stream that is taken for a broken one.

    Events that ended with CR or CRLF were not found, and neither was a line
    end that arrived in two pieces.
    """
    stream = b''.join(line + line_end for line in LINES)
    scanner = scanned(pieces(stream, cuts))
    scanner.check_end()
    assert scanner.has_events
    splitter = EventSplitter()
    blocks = [
        block for part in pieces(stream, cuts) for block in splitter.feed(part)
    ]
    assert b''.join(blocks) + splitter.finish() == stream


@pytest.mark.parametrize('line_end', LINE_ENDS)
def test_stream_may_end_only_between_events(line_end: bytes) -> None:
    """Guards against a part of an event that is taken for all of it."""
    whole = line_end.join([b'id: 1', b'data: a', b'', b''])
    stream = whole + line_end.join([b': comment', b'', b''])
    # The LF of a CRLF is not needed to know that the line has ended.
    allowed_ends = {0, len(whole) - (line_end == b'\r\n'), len(whole)}
    for end in range(len(whole) + 1):
        scanner = scanned([stream[:end]])
        assert ends_inside(scanner) == (end not in allowed_ends)
        assert scanner.has_events == (end in allowed_ends - {0})
    assert ends_inside(scanned([whole + b': comm']))
    scanned([whole + b': comment' + line_end]).check_end()
    scanned([stream]).check_end()


def test_comments_are_no_events() -> None:
    """Guards against keep-alives that make an empty stream look whole."""
    scanner = scanned([b': a\n\n', b'\n', b': b\n\n'])
    assert not scanner.has_events
    scanner.check_end()


def test_long_event_in_small_pieces_is_split_in_linear_time() -> None:
    """Guards against copying an incomplete event for each of its bytes."""
    event = b'data: ' + b'x' * 200_000 + b'\n\n'
    splitter = EventSplitter()
    blocks: list[bytes] = []
    for byte in event:
        blocks += splitter.feed(bytes([byte]))
    assert blocks == [event]
