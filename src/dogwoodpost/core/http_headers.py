"""HTTP header fields: hop-by-hop fields and the content type."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'trailers',
        'transfer-encoding',
        'upgrade',
    }
)

# RFC 9110, sections 5.6.2 and 5.5; tabs are allowed in values.
TOKEN_PATTERN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
CONTROL_CODE_PATTERN = r'[\x00-\x08\x0a-\x1f\x7f]'
_TOKEN = re.compile(TOKEN_PATTERN)
_CONTROL_CODE = re.compile(CONTROL_CODE_PATTERN)

CONTENT_LENGTH = 'content-length'
# More digits than any length has; int() refuses thousands of them.
_MAX_DIGITS = 18
EVENT_STREAM = 'text/event-stream'
Headers = tuple[tuple[str, str], ...]


def end_to_end_headers(
    headers: Iterable[tuple[str, str]],
    also_dropped: frozenset[str] = frozenset(),
) -> Headers:
    """Return the headers without those that apply to one connection only.

    The names become plain strings, because aiohttp's names are of a subclass
    that messages cannot encode.

    :param also_dropped: names of further headers to drop, in lower case.
    """
    items = [(str(name), value) for name, value in headers]
    dropped = HOP_BY_HOP_HEADERS | also_dropped | _listed_in_connection(items)
    return tuple(
        (name, value) for name, value in items if name.lower() not in dropped
    )


def is_header_value(value: str) -> bool:
    """Return whether a text is a non-empty, visible header value in ASCII."""
    return bool(value) and value.isascii() and value.isprintable()


def is_header(name: str, value: str) -> bool:
    """Return whether a header can be sent: a token, and no control codes."""
    return (
        _TOKEN.fullmatch(name) is not None
        and _CONTROL_CODE.search(value) is None
    )


def is_request_target(path: str) -> bool:
    """Return whether a path with its query can stand in a request line."""
    return path.startswith('/') and is_header_value(path) and ' ' not in path


def is_event_stream(headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether the content type is that of an event stream."""
    return any(
        value.partition(';')[0].strip().lower() == EVENT_STREAM
        for name, value in headers
        if name.lower() == 'content-type'
    )


def content_length(headers: Iterable[tuple[str, str]]) -> int | None:
    """Return the length that a message states, None without a valid one."""
    values = {
        value.strip()
        for name, value in headers
        if name.lower() == CONTENT_LENGTH
    }
    value = values.pop() if len(values) == 1 else ''
    is_number = value.isascii() and value.isdigit()
    return int(value) if is_number and len(value) <= _MAX_DIGITS else None


def _listed_in_connection(
    headers: Iterable[tuple[str, str]],
) -> frozenset[str]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for token in value.split(',')
    )
