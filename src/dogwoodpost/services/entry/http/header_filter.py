"""Headers that pass through the entry."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING
from urllib.parse import unquote_plus

from dogwoodpost.core.configuration import ServiceKind

if TYPE_CHECKING:
    from collections.abc import Iterable

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

Headers = tuple[tuple[str, str], ...]


def request_headers(
    headers: Iterable[tuple[str, str]], key: str | None, kind: ServiceKind
) -> Headers:
    """Return the headers of a request that an endpoint may see.

    Headers that carry the key in any common encoding are dropped.
    """
    # aiohttp's names are a subclass of str that messages cannot carry.
    items = [(str(name), value) for name, value in headers]
    dropped = _HOP_BY_HOP | _CALLERS_ONLY | _listed_in_connection(items)
    if kind is ServiceKind.ENGINE:
        dropped |= _ENGINE_ONLY
    return tuple(
        (name, value)
        for name, value in items
        if name.lower() not in dropped
        and not name.lower().startswith(_OWN_PREFIX)
        and not carries_key(f'{name}: {value}', key)
    )


def response_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a response that the caller sees."""
    items = list(headers)
    dropped = _HOP_BY_HOP | _listed_in_connection(items)
    return tuple(
        (name, value) for name, value in items if name.lower() not in dropped
    )


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


def _listed_in_connection(
    headers: Iterable[tuple[str, str]],
) -> frozenset[str]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for token in value.split(',')
    )
