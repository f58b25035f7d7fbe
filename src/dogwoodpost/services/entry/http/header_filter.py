"""Selects the headers that the entry passes on."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING
from urllib.parse import unquote_plus

from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.core.http_headers import CONTENT_LENGTH
from dogwoodpost.core.http_headers import end_to_end_headers
from dogwoodpost.core.http_headers import is_event_stream

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core.http_headers import Headers

_DROPPED_HEADERS = frozenset(
    {
        'authorization',
        'content-length',
        'cookie',
        'expect',
        'host',
    }
)
# The agent sets this header to the id of the attempt.
_DROPPED_FOR_ENGINES = frozenset({'x-request-id'})
_RESERVED_PREFIX = 'dogwoodpost-'


def request_headers(
    headers: Iterable[tuple[str, str]], key: str | None, kind: ServiceKind
) -> Headers:
    """Return the headers of a request to pass on to the endpoint.

    Headers that contain the key in any common encoding are dropped.

    :param key: the caller's key, None if the request has none.
    :param kind: kind of the service that the endpoint belongs to.
    """
    dropped = _DROPPED_HEADERS
    if kind is ServiceKind.ENGINE:
        dropped |= _DROPPED_FOR_ENGINES
    return tuple(
        (name, value)
        for name, value in end_to_end_headers(headers, dropped)
        if not name.lower().startswith(_RESERVED_PREFIX)
        and not contains_key(f'{name}: {value}', key)
    )


def response_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a response to pass on to the caller.

    An event stream goes without its length, which changes when another
    endpoint continues the stream.
    """
    items = tuple(headers)
    if is_event_stream(items):
        return end_to_end_headers(items, frozenset({CONTENT_LENGTH}))
    return end_to_end_headers(items)


def contains_key(text: str, key: str | None) -> bool:
    """Return whether a text contains a key.

    The key may be plain, percent-encoded or inside a Base64-encoded word.
    """
    if not key:
        return False
    if key in text or key in unquote_plus(text):
        return True
    return any(key in _base64_decoded(word) for word in text.split())


def _base64_decoded(word: str) -> str:
    padded = word + '=' * (-len(word) % 4)
    try:
        raw = base64.b64decode(padded, altchars=b'-_', validate=False)
    except (binascii.Error, ValueError):
        return ''
    return raw.decode('utf-8', 'replace')
