"""Sessions whose kept connections have gone silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import pytest

from tests.fakes.fault_proxy import FaultProxy
from tests.fakes.sessions import session_to_endpoints
from tests.fakes.sessions import session_to_the_store
from tests.platform.raw_endpoint import raw_endpoint

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.fakes.sessions import OpenSession
    from tests.platform.raw_endpoint import RawRequest
    from tests.platform.raw_endpoint import RawResponse

KEPT_COUNT = 12
TIMEOUT_S = 0.7


@pytest.mark.parametrize(
    'open_session', [session_to_endpoints, session_to_the_store]
)
async def test_one_call_learns_that_all_connections_are_silent(
    open_session: Callable[[], OpenSession],
) -> None:
    """Guards against as many failures as a burst has left connections."""

    async def answer(_request: RawRequest, response: RawResponse) -> None:
        await asyncio.sleep(0.05)
        await response.write_response(b'whole')

    async with (
        raw_endpoint(answer) as raw,
        FaultProxy(raw.address).serving() as proxy,
        open_session() as session,
    ):

        async def call() -> None:
            async with session.get(
                f'http://{proxy.address}/',
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            ) as response:
                assert await response.read() == b'whole'

        await asyncio.gather(*(call() for _ in range(KEPT_COUNT)))
        assert proxy.silence_open() == KEPT_COUNT
        with pytest.raises(TimeoutError):
            await call()
        await call()
