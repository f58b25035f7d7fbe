"""Log lines with odd content."""

from __future__ import annotations

import logging
import os
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import pytest
import structlog
from hypothesis import given
from hypothesis import strategies

from dogwoodpost.observability import configure_buffered_logs
from dogwoodpost.observability import LogBuffer
from dogwoodpost.observability.logs import _serialize

if TYPE_CHECKING:
    from collections.abc import Iterator

VALUES = strategies.recursive(
    strategies.none()
    | strategies.integers()
    | strategies.sampled_from([10**400, -(10**30), float('nan'), object()])
    | strategies.text(
        strategies.characters(min_codepoint=0, max_codepoint=0x10FFFF)
    )
    | strategies.binary().map(
        lambda data: data.decode('utf-8', 'surrogateescape')
    ),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=10,
)


@given(strategies.dictionaries(strategies.text(), VALUES, max_size=4))
def test_line_with_any_content_is_written(event: dict[str, Any]) -> None:
    """Guards against a log call that raises and ends a task or a process."""
    line = _serialize(event)
    assert isinstance(msgspec.json.decode(line.encode()), dict)


@pytest.fixture
def pipe_logs() -> Iterator[tuple[int, LogBuffer]]:
    reading, writing = os.pipe()
    buffer = LogBuffer(writing, lambda: None)
    handlers = logging.root.handlers[:]
    configure_buffered_logs(buffer, process_id='p', incarnation='i')
    yield reading, buffer
    logging.root.handlers[:] = handlers
    structlog.reset_defaults()
    structlog.contextvars.clear_contextvars()
    os.close(reading)
    os.close(writing)


def test_messages_of_libraries_are_log_lines(
    pipe_logs: tuple[int, LogBuffer],
) -> None:
    """Guards against libraries that block on an unread standard error."""
    reading, buffer = pipe_logs
    logging.getLogger('library').error('failed %s', 7)
    buffer.flush()
    line = msgspec.json.decode(os.read(reading, 65_536))
    assert line['process_id'] == 'p'
    assert line['message'] == 'failed 7'


def test_closed_descriptor_drops_lines() -> None:
    """Guards against a start that fails because its log is closed."""
    drops: list[None] = []
    reading, writing = os.pipe()
    os.close(reading)
    os.close(writing)
    buffer = LogBuffer(writing, lambda: drops.append(None))
    buffer.msg('line')
    buffer.flush()
    assert len(drops) == 1
