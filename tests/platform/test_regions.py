"""Work that is confined to regions, through real processes."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.batches.takeover import RANK_DELAY_S
from dogwoodpost.services.membership.presence_service import (
    HEARTBEAT_TIMEOUT_S,
)

if TYPE_CHECKING:
    from tests.platform.platform_site import Site

APPLY_S = 0.5
HEARTBEAT_READ_S = 1.2


def confined(
    site: Site, version: int, routes: dict[str, list[str]], account: list[str]
) -> dict[str, Any]:
    """Return a configuration that confines routes and the account."""
    configuration = site.configuration(version)
    for route in configuration['routes']:
        route['allowedRegions'] = routes.get(route['name'], [])
    configuration['tenants'][0]['allowedRegions'] = account
    return configuration


async def test_requests_follow_the_regions_in_force(site: Site) -> None:
    """Guards against requests that reach an endpoint of another region.

    The node is in region a, so that region b is never the nearest.
    """
    far, near = site.engines
    site.register(far, 'engines', zone='zone-b')
    site.configure(confined(site, 3, {'stream': ['region-b']}, []))
    async with site.node('node-1') as node:
        for number in range(4):
            status, _, _ = await site.send(node, f'/stream/{number}')
            assert status == 200
        assert len(far.requests) == 4
        site.configure(confined(site, 4, {'stream': ['region-a']}, []))
        await asyncio.sleep(APPLY_S)
        await site.send(node, '/stream/near')
        assert len(near.requests) == 1
        both = {'stream': ['region-a', 'region-b']}
        site.configure(confined(site, 5, both, ['region-b']))
        await asyncio.sleep(APPLY_S)
        await site.send(node, '/stream/far')
        assert (len(far.requests), len(near.requests)) == (5, 1)


async def test_work_without_a_region_is_refused_at_once(site: Site) -> None:
    """Guards against work that waits until its deadline, or goes elsewhere."""
    site.configure(confined(site, 3, {'safe': ['region-a']}, ['region-b']))
    loop = asyncio.get_running_loop()
    async with site.node('node-1') as node:
        start_s = loop.time()
        status, headers, _ = await site.send(node, '/safe/1')
        assert status == 503
        assert float(headers['Retry-After']) > 0.0
        assert await site.submit(node, site.job(1), 'job-1') == 503
        assert loop.time() - start_s < 0.5
    assert not site.plain.requests


async def test_items_and_scores_stay_in_the_regions_of_the_account(
    site: Site,
) -> None:
    """Guards against items and scoring calls that leave a region."""
    far, near = site.engines
    site.register(far, 'engines', zone='zone-b')
    site.register(site.plain, 'plain', zone='zone-b')
    site.configure(confined(site, 3, {}, ['region-b']))
    async with site.node('node-1') as node:
        assert await site.submit(node, site.job(6), 'job-1') == 202
        await site.results(node, 'job-1', 6)
        assert len(far.requests) == 6
        # The scorer leaves the region: texts wait, they are not sent after it.
        site.register(site.plain, 'plain', zone='zone-a')
        await asyncio.sleep(APPLY_S)
        scored_count = len(site.plain.requests)
        assert await site.submit(node, site.job(2), 'job-2') == 202
        await asyncio.sleep(1.0)
        assert len(site.plain.requests) == scored_count
        site.register(site.plain, 'plain', zone='zone-b')
        await site.results(node, 'job-2', 2)
    assert not near.requests


async def test_waiting_items_follow_a_change_of_the_regions(
    site: Site,
) -> None:
    """Guards against items that keep the regions with which they began."""
    far, near = site.engines
    site.register(far, 'engines', 'draining', zone='zone-b')
    site.configure(confined(site, 3, {}, []))
    for engine in site.engines:
        engine.event_gap_s = 0.1
    async with site.node('node-1') as node:
        assert await site.submit(node, site.job(16), 'job-1') == 202
        await asyncio.sleep(0.3)
        begun = len(near.requests)
        assert 0 < begun < 16
        site.register(far, 'engines', zone='zone-b')
        site.configure(confined(site, 4, {'jobs': ['region-b']}, []))
        await site.results(node, 'job-1', 16)
    assert len(far.requests) >= 16 - 2 * begun


async def test_job_is_taken_over_in_its_region_only(site: Site) -> None:
    """Guards against a process of another region that reads the bodies."""
    site.configure(confined(site, 3, {'jobs': ['region-a']}, []))
    for engine in site.engines:
        engine.event_gap_s = 0.3
    async with site.node('node-2', 'zone-b') as outside:
        async with site.spawned('node-1') as owner:
            await asyncio.sleep(HEARTBEAT_READ_S)
            assert await site.submit(owner, site.job(2), 'job-1') == 202
            owner.process.kill()
            await owner.process.wait()
        await asyncio.sleep(HEARTBEAT_TIMEOUT_S + 4 * RANK_DELAY_S)
        assert (await site.head('job-1')).owner_id == 'node-1'
        async with site.node('node-3') as inside:
            await site.results(inside, 'job-1', 2)
            assert (await site.head('job-1')).owner_id == 'node-3'
            page = await site.results(outside, 'job-1', 2)
    assert {result['state'] for result in page} == {'completed'}


async def test_job_from_outside_is_not_forwarded(site: Site) -> None:
    """Guards against bodies that pass through another process outside."""
    site.configure(confined(site, 3, {'jobs': ['region-a']}, []))
    async with (
        site.node('node-1', 'zone-b') as first,
        site.node('node-2', 'zone-b') as second,
    ):
        await asyncio.sleep(HEARTBEAT_READ_S)
        for node, name in ((first, 'node-1'), (second, 'node-2')):
            job = site.job(1)
            assert await site.submit(node, job, f'job-{name}') == 202
            head = await site.head(f'job-{name}')
            assert head.owner_id == name
            await site.results(node, f'job-{name}', 1)
    assert msgspec.json.encode(head.route_name) == b'"jobs"'
