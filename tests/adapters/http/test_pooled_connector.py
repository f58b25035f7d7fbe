"""Which kept connections are closed after a call on one went unanswered."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp
import pytest

from dogwoodpost.adapters.http.pooled_connector import limited_idle_time
from dogwoodpost.adapters.http.pooled_connector import PooledConnector
from dogwoodpost.observability import Metrics
from tests.platform.raw_endpoint import CHUNK
from tests.platform.raw_endpoint import raw_endpoint

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.platform.raw_endpoint import RawEndpoint
    from tests.platform.raw_endpoint import RawRequest
    from tests.platform.raw_endpoint import RawResponse

KEPT_COUNT = 6
# Longer than connections count as in use since their last bytes.
IDLE_S = 0.6
TIMEOUT_S = 0.7
DRIP_INTERVAL_S = 0.1


class DelayedEndpoint:
    """Answers after ``delay_s``.

    Requests with the id ``drip`` get an endless body a byte at a time, and
    those with the id ``flood`` as fast as it is read. Those with the id
    ``close`` are the last ones on their connection.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0

    async def answer(self, request: RawRequest, response: RawResponse) -> None:
        if request.request_id == 'drip':
            await response.write_head('Transfer-Encoding: chunked')
            while True:
                await response.write(b'1\r\nx\r\n')
                await asyncio.sleep(DRIP_INTERVAL_S)
        if request.request_id == 'flood':
            await response.write_head()
            await response.write_endlessly(CHUNK)
        await asyncio.sleep(self.delay_s)
        await response.write_response(b'whole')
        if request.request_id == 'close':
            response.close()


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    connector = PooledConnector(Metrics())
    async with aiohttp.ClientSession(connector=connector) as opened:
        yield opened


@contextlib.asynccontextmanager
async def delayed_endpoint() -> AsyncIterator[
    tuple[DelayedEndpoint, RawEndpoint]
]:
    delayed = DelayedEndpoint()
    async with raw_endpoint(delayed.answer) as raw:
        yield delayed, raw


async def call(
    session: aiohttp.ClientSession, address: str, request_id: str = ''
) -> None:
    async with session.get(
        f'http://{address}/',
        headers={'X-Request-Id': request_id},
        timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
    ) as response:
        await response.read()


async def keep_connections(
    session: aiohttp.ClientSession, delayed: DelayedEndpoint, address: str
) -> None:
    """Leave ``KEPT_COUNT`` idle connections to an address."""
    delayed.delay_s = 0.05
    await asyncio.gather(*(call(session, address) for _ in range(KEPT_COUNT)))
    delayed.delay_s = 0.0
    await asyncio.sleep(IDLE_S)


async def give_up_call(
    session: aiohttp.ClientSession, delayed: DelayedEndpoint, address: str
) -> None:
    delayed.delay_s = 2.0
    with pytest.raises(TimeoutError):
        await call(session, address)
    delayed.delay_s = 0.0


async def new_connection_count(
    session: aiohttp.ClientSession, delayed: DelayedEndpoint, raw: RawEndpoint
) -> int:
    """Return how many connections as many calls as before have to open."""
    count = raw.connection_count
    delayed.delay_s = 0.05
    calls = (call(session, raw.address) for _ in range(KEPT_COUNT - 1))
    await asyncio.gather(*calls)
    return raw.connection_count - count


async def test_silent_call_closes_the_other_idle_connections(
    session: aiohttp.ClientSession,
) -> None:
    """Guards against calls that try one silent connection after another."""
    async with (
        delayed_endpoint() as (delayed, raw),
        delayed_endpoint() as (other_delayed, other),
    ):
        await keep_connections(session, delayed, raw.address)
        await keep_connections(session, other_delayed, other.address)
        await give_up_call(session, delayed, raw.address)
        assert (
            await new_connection_count(session, delayed, raw) == KEPT_COUNT - 1
        )
        assert await new_connection_count(session, other_delayed, other) == 0


async def test_slow_call_beside_a_working_connection_closes_no_other(
    session: aiohttp.ClientSession,
) -> None:
    """Guards against slow endpoints that are taken for silent connections."""
    async with delayed_endpoint() as (delayed, raw):
        await keep_connections(session, delayed, raw.address)
        async with session.get(
            f'http://{raw.address}/', headers={'X-Request-Id': 'drip'}
        ):
            await give_up_call(session, delayed, raw.address)
            # The connection of the stream is in use, one was closed.
            assert await new_connection_count(session, delayed, raw) == 1


async def test_recently_used_connections_are_kept(
    session: aiohttp.ClientSession,
) -> None:
    """Guards against a closed connection that has worked since the silence."""
    async with delayed_endpoint() as (delayed, raw):
        await keep_connections(session, delayed, raw.address)
        delayed.delay_s = 2.0
        silent = asyncio.create_task(call(session, raw.address))
        await asyncio.sleep(TIMEOUT_S - 0.2)
        delayed.delay_s = 0.01
        calls = (call(session, raw.address) for _ in range(KEPT_COUNT - 1))
        await asyncio.gather(*calls)
        with pytest.raises(TimeoutError):
            await silent
        assert await new_connection_count(session, delayed, raw) == 0


async def test_unanswered_new_connection_closes_no_idle_one(
    session: aiohttp.ClientSession,
) -> None:
    """Guards against an endpoint's failure that costs kept connections."""
    async with delayed_endpoint() as (delayed, raw):
        await keep_connections(session, delayed, raw.address)
        delayed.delay_s = 0.5
        used = [
            asyncio.create_task(call(session, raw.address))
            for _ in range(KEPT_COUNT)
        ]
        await asyncio.sleep(0.02)
        delayed.delay_s = 2.0
        with pytest.raises(TimeoutError):
            await call(session, raw.address)
        await asyncio.gather(*used)
        assert await new_connection_count(session, delayed, raw) == 0


async def test_response_that_is_not_read_is_no_silence(
    session: aiohttp.ClientSession,
) -> None:
    """Guards against slow callers whose leaving costs kept connections."""
    async with delayed_endpoint() as (delayed, raw):
        await keep_connections(session, delayed, raw.address)
        async with session.get(
            f'http://{raw.address}/', headers={'X-Request-Id': 'flood'}
        ) as response:
            await asyncio.sleep(IDLE_S)
            response.close()
        assert await new_connection_count(session, delayed, raw) == 0


async def test_retry_uses_only_a_connection_that_was_heard_from(
    session: aiohttp.ClientSession,
) -> None:
    """Guards against retries on silent connections, and on too many new ones.

    The first retry opens a connection, the second one uses it too.
    """
    async with delayed_endpoint() as (delayed, raw):
        await keep_connections(session, delayed, raw.address)
        count = raw.connection_count
        for expected_count in (count + 1, count + 1):
            with limited_idle_time(IDLE_S / 2):
                await call(session, raw.address)
            assert raw.connection_count == expected_count
        await call(session, raw.address)
        assert raw.connection_count == count + 1


async def test_retry_does_not_fall_back_on_a_suspect_connection(
    session: aiohttp.ClientSession,
) -> None:
    """Guards against an old connection in place of one that was closed."""
    async with delayed_endpoint() as (delayed, raw):
        await keep_connections(session, delayed, raw.address)
        count = raw.connection_count
        await call(session, raw.address, 'close')
        await asyncio.sleep(0.05)
        with limited_idle_time(IDLE_S / 2):
            await call(session, raw.address)
        assert raw.connection_count == count + 1


async def test_two_slow_endpoints_cost_no_connections_to_others(
    session: aiohttp.ClientSession,
) -> None:
    """Guards against slow endpoints that cost all kept connections."""
    async with contextlib.AsyncExitStack() as stack:
        endpoints = [
            await stack.enter_async_context(delayed_endpoint())
            for _ in range(3)
        ]
        for delayed, raw in endpoints:
            await keep_connections(session, delayed, raw.address)
        for delayed, raw in endpoints[:2]:
            await give_up_call(session, delayed, raw.address)
        assert await new_connection_count(session, *endpoints[2]) == 0
