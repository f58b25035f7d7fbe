"""HTTP header fields: hop-by-hop fields and the content type."""

from __future__ import annotations

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


def is_event_stream(headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether the content type is that of an event stream."""
    return any(
        value.partition(';')[0].strip().lower() == EVENT_STREAM
        for name, value in headers
        if name.lower() == 'content-type'
    )


def _listed_in_connection(
    headers: Iterable[tuple[str, str]],
) -> frozenset[str]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for token in value.split(',')
    )
