"""Headers that pass through the entry."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING
from urllib.parse import unquote_plus

from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.core.http_headers import end_to_end_headers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core.http_headers import Headers

_CALLERS_ONLY = frozenset(
    {
        'authorization',
        'content-length',
        'cookie',
        'expect',
        'host',
    }
)
# The agent names the attempt in it.
_ENGINE_ONLY = frozenset({'x-request-id'})
_OWN_PREFIX = 'dogwoodpost-'


def request_headers(
    headers: Iterable[tuple[str, str]], key: str | None, kind: ServiceKind
) -> Headers:
    """Return the headers of a request that an endpoint may see.

    Headers that carry the key in any common encoding are dropped.
    """
    dropped = _CALLERS_ONLY
    if kind is ServiceKind.ENGINE:
        dropped |= _ENGINE_ONLY
    return tuple(
        (name, value)
        for name, value in end_to_end_headers(headers, dropped)
        if not name.lower().startswith(_OWN_PREFIX)
        and not carries_key(f'{name}: {value}', key)
    )


def response_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a response that the caller sees."""
    return end_to_end_headers(headers)


def carries_key(text: str, key: str | None) -> bool:
    """Return whether a text holds a key, plain, quoted or in Base64."""
    if not key:
        return False
    if key in text or key in unquote_plus(text):
        return True
    return any(key in _decoded(word) for word in text.split())


def _decoded(word: str) -> str:
    padded = word + '=' * (-len(word) % 4)
    try:
        raw = base64.b64decode(padded, altchars=b'-_', validate=False)
    except (binascii.Error, ValueError):
        return ''
    return raw.decode('utf-8', 'replace')
