"""Fields of one server-sent event.

https://html.spec.whatwg.org/multipage/server-sent-events.html
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.errors import EndpointError

if TYPE_CHECKING:
    from collections.abc import Iterator

_ID_FIELD = b'id'
_COMMENT_START = b':'
# Longer ids exceed the integers that JSON represents exactly.
_MAX_ID_DIGITS = 15


def event_fields(block: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield the names and values of an event's fields, without comments."""
    for line in block.splitlines():
        name, _, value = line.partition(b':')
        if name:
            yield name, value.removeprefix(b' ')


def event_id(block: bytes) -> int | None:
    """Return the id of an event, None if it has none.

    :raises EndpointError: the id is not a number.
    """
    found: int | None = None
    for name, value in event_fields(block):
        if name == _ID_FIELD:
            found = parse_event_id(value)
    return found


def parse_event_id(value: bytes) -> int:
    """Return the number in an id field.

    :raises EndpointError: the value is not a number.
    """
    # The error of int() would quote the value.
    if not is_event_id(value):
        raise EndpointError('malformed event: its id is not a number')
    return int(value)


def is_event_id(value: bytes) -> bool:
    """Return whether a value is a number that can be the id of an event."""
    return value.isdigit() and len(value) <= _MAX_ID_DIGITS


def is_comment(block: bytes) -> bool:
    """Return whether a block has no fields, such as a keep-alive."""
    return all(
        not line or line.startswith(_COMMENT_START)
        for line in block.splitlines()
    )
