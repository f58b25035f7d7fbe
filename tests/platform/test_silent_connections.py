"""Open connections that go silent for good while new ones work."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import uuid
from typing import TYPE_CHECKING

import pytest
from aiohttp import test_utils

from dogwoodpost.platform.store_relay import TIMEOUT_HEADER
from dogwoodpost.standins.site.sampler_app import SamplerApp
from tests.fakes.fault_proxy import FaultProxy
from tests.platform.platform_site import EVENT_COUNT
from tests.platform.platform_site import free_port

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.platform.platform_site import Node
    from tests.platform.platform_site import Site

# The bound ``stableMs`` of the users' deployments.
STABLE_S = 4.0
# The bound ``configApplyMs`` of the users' deployments.
CONFIG_APPLY_S = 2.5
# Fills all slots of both engines, so that as many connections are kept.
KEPT_COUNT = 16
# Attempts to fill the pool of connections to the store.
KEEP_ROUND_COUNT = 8
PLAIN_COUNT = 3
# Calls that take so long need a connection each.
PLAIN_WORK_S = 0.1


@pytest.fixture
async def engine_proxies(site: Site) -> AsyncIterator[list[FaultProxy]]:
    """Let the engines be reached through proxies."""
    async with contextlib.AsyncExitStack() as stack:
        proxies = []
        for engine in site.engines:
            engine.event_gap_s = 0.02
            proxy = await stack.enter_async_context(
                FaultProxy(site.address_of(engine)).serving()
            )
            site.move(engine, 'engines', proxy.address)
            proxies.append(proxy)
        yield proxies


@pytest.fixture
async def plain_proxies(site: Site) -> AsyncIterator[list[FaultProxy]]:
    """Serve several plain services that are reached through proxies."""
    others = [
        SamplerApp(f'plain-{number}') for number in range(1, PLAIN_COUNT)
    ]
    async with contextlib.AsyncExitStack() as stack:
        proxies = []
        for endpoint in (site.plain, *others):
            endpoint.work_s = PLAIN_WORK_S
            server = test_utils.TestServer(endpoint.app())
            await stack.enter_async_context(server)
            proxy = await stack.enter_async_context(
                FaultProxy(f'{server.host}:{server.port}').serving()
            )
            site.move(endpoint, 'plain', proxy.address)
            proxies.append(proxy)
        yield proxies


@pytest.fixture
async def store_proxy(site: Site) -> AsyncIterator[FaultProxy]:
    """Let ``node-1`` reach the store through a proxy."""
    async with FaultProxy(site.store_address).serving() as proxy:
        site.store_addresses['node-1'] = proxy.address
        yield proxy


def silence_open(proxies: list[FaultProxy], min_count: int) -> None:
    """Silence the open connections; each proxy must have some of them."""
    for proxy in proxies:
        assert proxy.silence_open() >= min_count


async def submit(
    site: Site, node: Node, item_count: int
) -> tuple[str, set[str]]:
    """Submit a job; return its id and those of its items."""
    job = site.job(item_count)
    job_id = uuid.uuid4().hex
    assert await site.submit(node, job, job_id) == 202
    return job_id, {item['id'] for item in job['requests']}


async def run_job(site: Site, node: Node, item_count: int) -> None:
    """Run a job to its end; its connections are kept."""
    job_id, _ = await submit(site, node, item_count)
    results = await site.results(node, job_id, item_count)
    assert len(results) == item_count


async def wait_until_begun(site: Site, item_ids: set[str]) -> None:
    """Wait until each item has reached an engine."""
    for _ in range(1_000):
        received = (engine.requests for engine in site.engines)
        requests = itertools.chain.from_iterable(received)
        if item_ids <= {request.request_id for request in requests}:
            return
        await asyncio.sleep(0.01)
    raise AssertionError('items have reached no engine')


async def keep_store_connections(
    site: Site, store_proxy: FaultProxy, count: int
) -> None:
    """Let ``node-1`` make calls for others that wait at the same time.

    On a busy host, some connections may not be open in time, and the process
    then refuses the calls of others for a while.
    """
    page = await site.store.read('quiet', '')
    url = f'http://127.0.0.1:{site.peer_port}/store/rows-feed'

    async def read_feed(number: int) -> None:
        # Fewer connections at once than servers queue.
        await asyncio.sleep(number * 0.002)
        async with site.session.get(
            url,
            params={
                'table': 'quiet',
                'after': str(page.version),
                'waitMs': '900',
            },
            headers={TIMEOUT_HEADER: '3000'},
        ) as response:
            await response.read()

    for _ in range(KEEP_ROUND_COUNT):
        await asyncio.gather(*(read_feed(number) for number in range(count)))
        if store_proxy.open_count >= count:
            return
        await asyncio.sleep(1.0)
    raise AssertionError('too few connections to the store are kept')


@pytest.mark.parametrize('item_count', [1, 3, 12])
async def test_items_begin_soon_after_connections_go_silent(
    site: Site, engine_proxies: list[FaultProxy], item_count: int
) -> None:
    """Guards against items that wait on one silent connection after another.

    The pool keeps more silent connections than the job has items.
    """
    async with site.node('node-1') as node:
        await run_job(site, node, KEPT_COUNT)
        silence_open(engine_proxies, KEPT_COUNT // 2)
        async with asyncio.timeout(STABLE_S):
            job_id, item_ids = await submit(site, node, item_count)
            await wait_until_begun(site, item_ids)
        assert len(await site.results(node, job_id, item_count)) == item_count


async def test_retry_meets_no_second_silent_connection(
    site: Site, plain_proxies: list[FaultProxy]
) -> None:
    """Guards against requests whose attempts all end on silent connections."""
    async with site.node('node-1') as node:
        calls = (site.send(node, '/safe/a') for _ in range(KEPT_COUNT))
        await asyncio.gather(*calls)
        silence_open(plain_proxies, 1)
        status, _, _ = await site.send(node, '/safe/a')
        assert status == 200


async def test_stream_begins_soon_after_connections_go_silent(
    site: Site, engine_proxies: list[FaultProxy]
) -> None:
    """Guards against streams whose attempts all end on silent connections."""
    async with site.node('node-1') as node:
        await run_job(site, node, KEPT_COUNT)
        silence_open(engine_proxies, KEPT_COUNT // 2)
        async with asyncio.timeout(STABLE_S):
            status, _, body = await site.send(node, '/resumable/a')
        assert status == 200
        assert body.count(b'data: piece') == EVENT_COUNT


async def test_score_comes_soon_after_connections_go_silent(
    site: Site, plain_proxies: list[FaultProxy]
) -> None:
    """Guards against texts that are scored on silent connections in turn."""
    async with site.node('node-1') as node:
        await run_job(site, node, KEPT_COUNT)
        silence_open(plain_proxies, 1)
        async with asyncio.timeout(STABLE_S):
            job_id, _ = await submit(site, node, 1)
            [result] = await site.results(node, job_id, 1)
        assert result['state'] == 'completed'


@pytest.mark.parametrize('kept_count', [10, 50, 200])
async def test_key_is_revoked_soon_after_store_connections_go_silent(
    site: Site, store_proxy: FaultProxy, kept_count: int
) -> None:
    """Guards against feeds that read on one silent connection after another.

    A burst has left as many connections to the store.
    """
    site.peer_port = free_port()
    async with site.node('node-1') as node:
        await keep_store_connections(site, store_proxy, kept_count)
        # Connections in use until a moment ago would be kept.
        await asyncio.sleep(1.0)
        assert store_proxy.silence_open() >= kept_count
        configuration = site.configuration(version=3)
        configuration['tenants'][0]['apiKeys'] = ['another-key']
        site.configure(configuration)
        async with asyncio.timeout(CONFIG_APPLY_S):
            status = 200
            while status != 401:
                status, _, _ = await site.send(node, '/safe/a')
