"""Headers that pass through the entry."""

from __future__ import annotations

import msgspec
from multidict import CIMultiDict

from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.services.entry.http.header_filter import request_headers


def test_names_can_be_carried_by_messages() -> None:
    """Guards against aiohttp's header names, which msgspec cannot encode."""
    headers = CIMultiDict({'Content-Type': 'application/json'})
    filtered = request_headers(headers.items(), None, ServiceKind.PLAIN)
    assert msgspec.msgpack.encode(filtered)
