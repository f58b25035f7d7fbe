"""Hedged requests over loopback: a slow endpoint beside a fast one."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pytest
from aiohttp import test_utils
from aiohttp import web

from dogwoodpost.standins.site.sampler_app import SamplerApp

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.platform.platform_site import Site

SLOW_S = 2.0
FREED_S = 0.5
BODY = b'x' * 200_000


class Pair:
    """Two endpoints of a service; some of them are slow at times."""

    def __init__(self) -> None:
        self.slow: set[str] = set()
        self.last = ''
        self.freed_s: dict[str, float] = {}
        self.started: list[str] = []

    def app(self, name: str) -> web.Application:
        async def run(request: web.Request) -> web.StreamResponse:
            self.last = name
            self.started.append(name)
            headers = {
                'X-Request-Id': request.headers['X-Request-Id'],
                'X-Response-Signature': 'signed',
            }
            if name in self.slow:
                # The head and a part of the body arrive in time.
                response = web.StreamResponse(headers=headers)
                await response.prepare(request)
                await response.write(name.encode())
                try:
                    await asyncio.sleep(SLOW_S)
                finally:
                    loop = asyncio.get_running_loop()
                    self.freed_s[name] = loop.time()
                return response
            return web.Response(body=name.encode() + BODY, headers=headers)

        app = web.Application(handler_args={'handler_cancellation': True})
        app.router.add_route('*', '/{path:.*}', run)
        return app


@pytest.fixture
async def pair(site: Site) -> AsyncIterator[Pair]:
    """Serve both endpoints, and switch hedging on."""
    pair = Pair()
    site.policy = {'hedging': {'extra_send_share': 0.2, 'min_delay_ms': 50}}
    async with contextlib.AsyncExitStack() as stack:
        for sampler in (site.plain, SamplerApp('plain-1')):
            server = test_utils.TestServer(pair.app(sampler.endpoint_id))
            await stack.enter_async_context(server)
            address = f'{server.host}:{server.port}'
            site.move(sampler, 'plain', address)
        yield pair


async def test_response_of_the_fast_endpoint_frees_the_slow_one(
    site: Site, pair: Pair
) -> None:
    """Guards against joined responses and work that nobody waits for."""
    async with site.node('node-1') as node:
        loop = asyncio.get_running_loop()
        for _ in range(25):
            await site.send(node, '/safe/a')
        pair.slow = {pair.last}
        pair.started.clear()
        while not pair.slow & set(pair.started):
            start_s = loop.time()
            status, _, body = await site.send(node, '/safe/a')
        end_s = loop.time()
        assert status == 200
        assert end_s - start_s < SLOW_S
        assert body in {b'plain-0' + BODY, b'plain-1' + BODY}
        assert body.removesuffix(BODY).decode() not in pair.slow
        await asyncio.sleep(FREED_S)
        assert max(pair.freed_s.values()) < end_s + FREED_S
        assert node.process._router.own_loads() == {}


async def test_leaving_client_frees_both_endpoints(
    site: Site, pair: Pair
) -> None:
    """Guards against a second attempt that outlives its client."""
    async with site.node('node-1') as node:
        for _ in range(25):
            await site.send(node, '/safe/a')
        pair.slow = {'plain-0', 'plain-1'}
        pair.started.clear()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                await site.send(node, '/safe/a')
        left_s = asyncio.get_running_loop().time()
        assert set(pair.started) == pair.slow
        await asyncio.sleep(FREED_S)
        assert pair.freed_s.keys() == pair.slow
        assert max(pair.freed_s.values()) < left_s + FREED_S
        assert node.process._router.own_loads() == {}
