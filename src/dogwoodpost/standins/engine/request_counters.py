"""Request counters, and detection of leaked keys."""

from __future__ import annotations

import base64
from collections import Counter
from typing import TYPE_CHECKING
from urllib.parse import quote
from urllib.parse import unquote_to_bytes

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

_CREDENTIAL_HEADERS = frozenset(
    {'authorization', 'cookie', 'proxy-authorization'}
)


class CounterValues(msgspec.Struct, kw_only=True):
    """Body of ``GET /control/counters``.

    ``secret_count`` counts requests that contained a caller's key;
    ``executions`` maps a request id to the number of its executions;
    ``order_count`` counts weight orders that were not refused.
    """

    secret_count: int = 0
    started_count: int = 0
    completed_count: int = 0
    cancelled_count: int = 0
    order_count: int = 0
    executions: Counter[str] = msgspec.field(default_factory=Counter)


class SecretDetector:
    """Detects requests that contain a caller's key."""

    def __init__(self, known_secrets: Iterable[str]) -> None:
        self._encoded_forms = tuple(
            {
                form
                for secret in known_secrets
                for form in _encoded_forms(secret)
            }
        )

    def finds_secret(
        self, target: str, headers: Iterable[tuple[str, str]], body: bytes
    ) -> bool:
        """Return whether any part of a request contains a key.

        A header that usually carries credentials counts as a key.

        :param target: path and query string of the request.
        """
        items = list(headers)
        if any(name.lower() in _CREDENTIAL_HEADERS for name, _ in items):
            return True
        parts = [f'{name}: {value}' for name, value in items]
        whole = '\n'.join([target, *parts]).encode('utf-8', 'replace')
        return any(
            form in text
            for text in (whole, unquote_to_bytes(whole), body)
            for form in self._encoded_forms
        )


def _encoded_forms(secret: str) -> set[bytes]:
    """Return a secret as is, percent-encoded, and in both Base64 alphabets."""
    raw = secret.encode()
    return {
        raw,
        quote(secret, safe='').encode(),
        base64.b64encode(raw).rstrip(b'='),
        base64.urlsafe_b64encode(raw).rstrip(b'='),
    }
