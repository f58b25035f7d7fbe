"""Downloads of weights between agents, also from failing sources."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp
import pytest
import pytest_asyncio
from aiohttp import web
from aiohttp.test_utils import TestServer

from dogwoodpost.core import ids
from dogwoodpost.core.weights.weight_plan import FROM_WEIGHT_STORE
from dogwoodpost.errors import PlatformError
from dogwoodpost.ports.weight_store import WeightStore
from dogwoodpost.services.agent.weights import add_weight_routes
from dogwoodpost.services.agent.weights import WeightCache
from dogwoodpost.services.agent.weights.weight_cache import DIGEST_HEADER
from dogwoodpost.services.agent.weights.weight_cache import LENGTH_HEADER

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MODEL = ids.ModelName('slate')
ONE = ids.WeightVersion(1)
DATA = bytes(range(256)) * 20_000


class FakeStore(WeightStore):
    """Counts the copies that cross the billed link."""

    def __init__(self) -> None:
        self.fetch_count = 0
        self.is_failing = False

    async def latest_version(
        self, model: ids.ModelName
    ) -> ids.WeightVersion | None:
        return ONE

    async def fetch(
        self, model: ids.ModelName, version: ids.WeightVersion
    ) -> bytes:
        self.fetch_count += 1
        if self.is_failing:
            raise PlatformError('down')
        return DATA


class Agents:
    """Weight caches that serve each other on loopback."""

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        self.store = FakeStore()
        self._stack = stack

    async def add(self) -> tuple[WeightCache, str]:
        session = await self._stack.enter_async_context(
            aiohttp.ClientSession()
        )
        cache = WeightCache(session, self.store, source_timeout_s=2.0)
        self._stack.push_async_callback(cache.close)
        app = web.Application()
        add_weight_routes(app, cache)
        return cache, await self.serve(app)

    async def serve(self, app: web.Application) -> str:
        server = TestServer(app, host='127.0.0.1')
        await self._stack.enter_async_context(server)
        return str(server.make_url('')).rstrip('/')


@pytest_asyncio.fixture
async def agents() -> AsyncIterator[Agents]:
    async with contextlib.AsyncExitStack() as stack:
        yield Agents(stack)


async def test_chain_of_agents_fetches_one_copy_from_the_store(
    agents: Agents,
) -> None:
    """Guards against traffic on the billed link per agent or endpoint."""
    chain = [await agents.add() for _ in range(4)]
    orders = []
    for place, (cache, _) in enumerate(chain):
        source = chain[place - 1][1] if place else FROM_WEIGHT_STORE
        for _ in range(2):
            orders.append(cache.get_or_fetch(MODEL, ONE, [source]))
    # The last agents start first, before their sources have any data.
    copies = await asyncio.gather(*reversed(orders))
    assert set(copies) == {DATA}
    assert agents.store.fetch_count == 1


def broken_source(kind: str) -> web.Application:
    async def serve(request: web.Request) -> web.StreamResponse:
        offset = int(request.query['offset'])
        response = web.StreamResponse()
        if kind == 'refuses':
            raise web.HTTPNotFound
        if kind != 'no length':
            response.headers[LENGTH_HEADER] = str(len(DATA))
        response.headers[DIGEST_HEADER] = 'wrong' if kind == 'digest' else ''
        response.content_length = len(DATA) - offset
        await response.prepare(request)
        if kind == 'breaks off':
            await response.write(DATA[offset : offset + 1000])
            assert request.transport is not None
            request.transport.close()
        else:
            await response.write(DATA[offset:])
        return response

    app = web.Application()
    app.router.add_get('/weights/{model}/{version}', serve)
    return app


@pytest.mark.parametrize('kind', ['refuses', 'no length', 'digest'])
async def test_incomplete_or_damaged_weights_are_refused(
    agents: Agents, kind: str
) -> None:
    """Guards against engines that load damaged weights."""
    url = await agents.serve(broken_source(kind))
    cache, _ = await agents.add()
    with pytest.raises(PlatformError):
        await cache.get_or_fetch(MODEL, ONE, [url])
    # A later command starts a new download.
    assert await cache.get_or_fetch(MODEL, ONE, [FROM_WEIGHT_STORE]) == DATA


async def test_failed_source_is_replaced_by_the_next(agents: Agents) -> None:
    """Guards against a failed source agent that blocks its successors."""
    root, root_url = await agents.add()
    await root.get_or_fetch(MODEL, ONE, [FROM_WEIGHT_STORE])
    gone = await agents.serve(broken_source('refuses'))
    cache, _ = await agents.add()
    assert await cache.get_or_fetch(MODEL, ONE, [gone, root_url]) == DATA
    assert agents.store.fetch_count == 1


async def test_two_versions_are_kept(agents: Agents) -> None:
    """Guards against host memory that fills up with old versions."""
    cache, url = await agents.add()
    for version in (1, 2, 3):
        await cache.get_or_fetch(
            MODEL, ids.WeightVersion(version), [FROM_WEIGHT_STORE]
        )
    reader, _ = await agents.add()
    assert (
        await reader.get_or_fetch(MODEL, ids.WeightVersion(3), [url]) == DATA
    )
    assert len(cache._copies) == 2
