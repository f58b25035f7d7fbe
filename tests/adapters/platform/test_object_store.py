"""Statuses that the object store's client takes for a failure."""

from __future__ import annotations

import aiohttp
import pytest

from dogwoodpost.adapters.platform.object_store import HttpObjectStore
from dogwoodpost.errors import StoreUnavailableError
from tests.platform.raw_endpoint import raw_endpoint
from tests.platform.raw_endpoint import RawRequest
from tests.platform.raw_endpoint import RawResponse

STATUSES = ('000', '203', '204', '206', '302', '304', '400', '503', '600')


@pytest.mark.parametrize('status', STATUSES)
async def test_other_response_is_no_object(status: str) -> None:
    """Guards against empty and partial objects, and against lost ones."""

    async def answer(_: RawRequest, response: RawResponse) -> None:
        await response.write_head('Content-Length: 0', status=f'{status} X')

    async with raw_endpoint(answer) as raw, aiohttp.ClientSession() as session:
        objects = HttpObjectStore(session, f'http://{raw.address}')
        with pytest.raises(StoreUnavailableError):
            await objects.get('a')
        if status.startswith('2'):
            await objects.put('a', b'data')
            await objects.delete('a')
            return
        with pytest.raises(StoreUnavailableError):
            await objects.put('a', b'data')
        with pytest.raises(StoreUnavailableError):
            await objects.delete('a')
