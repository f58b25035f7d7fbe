"""Headers that concern one connection only."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

Headers = tuple[tuple[str, str], ...]

# RFC 9110, section 7.6.1.
_HOP_BY_HOP = frozenset(
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


def without_hop_by_hop(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str] = frozenset()
) -> Headers:
    """Return the headers that pass on to the next connection.

    :param dropped: names in lower case that are dropped as well.
    """
    items = list(headers)
    listed = {
        token.strip().lower()
        for name, value in items
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    excluded = _HOP_BY_HOP | listed | dropped
    return tuple(
        (name, value) for name, value in items if name.lower() not in excluded
    )
