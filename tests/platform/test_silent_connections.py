"""Open connections that go silent for good while new ones work."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import uuid
from typing import TYPE_CHECKING

import pytest

from tests.platform.silencing_proxy import silencing_proxy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.platform.platform_site import Node
    from tests.platform.platform_site import Site
    from tests.platform.silencing_proxy import SilencingProxy

# The bound ``stableMs`` of the users' deployments.
STABLE_S = 4.0
# Fills all slots of both engines, so that as many connections are kept.
KEPT_COUNT = 16


@contextlib.asynccontextmanager
async def proxied(
    site: Site, services: tuple[str, ...]
) -> AsyncIterator[list[SilencingProxy]]:
    """Let the endpoints of services be reached through proxies."""
    async with contextlib.AsyncExitStack() as stack:
        proxies = []
        for endpoint, service in site.endpoints():
            if service in services:
                proxy = await stack.enter_async_context(
                    silencing_proxy(site.address_of(endpoint))
                )
                site.move(endpoint, service, proxy.address)
                proxies.append(proxy)
        yield proxies


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


@pytest.mark.parametrize('item_count', [1, 3, 12])
async def test_items_begin_soon_after_connections_go_silent(
    site: Site, item_count: int
) -> None:
    """Guards against items that wait on one silent connection after another.

    The pool keeps more silent connections than the job has items.
    """
    for engine in site.engines:
        engine.event_gap_s = 0.02
    async with (
        proxied(site, ('engines',)) as proxies,
        site.node('node-1') as node,
    ):
        await run_job(site, node, KEPT_COUNT)
        for proxy in proxies:
            assert proxy.silence_open() >= KEPT_COUNT // 2
        async with asyncio.timeout(STABLE_S):
            job_id, item_ids = await submit(site, node, item_count)
            await wait_until_begun(site, item_ids)
        assert len(await site.results(node, job_id, item_count)) == item_count
