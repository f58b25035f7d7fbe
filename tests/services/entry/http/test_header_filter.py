"""Headers that the entry passes on."""

from __future__ import annotations

import msgspec
from multidict import CIMultiDict

from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.services.entry.http.header_filter import request_headers


def test_header_names_can_be_encoded() -> None:
    """Guards against header names of aiohttp's type in messages to agents.

    msgspec cannot encode that type.
    """
    headers = CIMultiDict({'Content-Type': 'application/json'})
    filtered = request_headers(headers.items(), None, ServiceKind.PLAIN)
    assert msgspec.msgpack.encode(filtered)
