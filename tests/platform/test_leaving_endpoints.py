"""Endpoints that announce their shutdown in a response header."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.standins.site.sampler_app import SamplerFault
from tests.platform.platform_site import EVENT_COUNT

if TYPE_CHECKING:
    from tests.platform.platform_site import Node
    from tests.platform.platform_site import Site

# Upper limit of the time until a changed entry is read.
ENTRY_READ_S = 0.5


async def _serves(site: Site, node: Node) -> bool:
    """Return whether the plain endpoint gets a new request."""
    count = len(site.plain.requests)
    status, _, _ = await site.send(node, '/safe/a')
    reached = len(site.plain.requests) > count
    assert reached == (status == 200)
    return reached


@pytest.mark.parametrize(
    ('values', 'is_leaving'),
    [(('1',), True), (('1', '1'), True), (('0',), False), (('',), False)],
)
async def test_endpoint_that_announces_a_stop_gets_no_requests(
    site: Site, values: tuple[str, ...], is_leaving: bool
) -> None:
    """Guards against requests to endpoints that announced their stop."""
    async with site.node('node-1') as node:
        site.plain.leaving_values = values
        assert await _serves(site, node)
        site.plain.leaving_values = ()
        assert await _serves(site, node) is not is_leaving


@pytest.mark.parametrize('fault', [SamplerFault.FULL, SamplerFault.FAIL])
async def test_refusals_and_failures_announce_a_stop_too(
    site: Site, fault: SamplerFault
) -> None:
    """Guards against announcements that are read in successes only."""
    async with site.node('node-1') as node:
        site.plain.leaving_values = ('1',)
        site.plain.faults.extend([fault])
        await site.send(node, '/unsafe/a')
        assert not await _serves(site, node)


async def test_announcement_overrides_entries_that_say_ready(
    site: Site,
) -> None:
    """Guards against older entries that make a leaving endpoint ready.

    Such entries may be read after an outage of the store.
    """
    async with site.node('node-1') as node:
        site.plain.leaving_values = ('1',)
        assert await _serves(site, node)
        site.put('servers', site.plain.endpoint_id, None)
        await asyncio.sleep(ENTRY_READ_S)
        site.register(site.plain, 'plain')
        await asyncio.sleep(ENTRY_READ_S)
        assert not await _serves(site, node)


async def test_announcement_ends_with_the_incarnation(site: Site) -> None:
    """Guards against restarted endpoints that never get requests again."""
    async with site.node('node-1') as node:
        site.plain.leaving_values = ('1',)
        assert await _serves(site, node)
        site.plain.leaving_values = ()
        site.plain.born_ms += 1
        site.register(site.plain, 'plain')
        await asyncio.sleep(ENTRY_READ_S)
        assert await _serves(site, node)


async def test_running_items_complete_at_a_leaving_endpoint(
    site: Site,
) -> None:
    """Guards against streams that an announcement interrupts."""
    leaving, other = site.engines
    leaving.leaving_values = ('1',)
    leaving.event_gap_s = 0.1
    other.faults.extend([SamplerFault.FULL] * 4)
    async with site.node('node-1') as node:
        await site.submit(node, site.job(1), 'job-1')
        await site.results(node, 'job-1', 1)
        assert sum(leaving.runs.values()) == 1
        await site.submit(node, site.job(4), 'job-2')
        results = await site.results(node, 'job-2', 4)
    assert sum(leaving.runs.values()) == 1
    assert all(
        len(result['text'].splitlines()) == EVENT_COUNT for result in results
    )


async def test_interrupted_stream_resumes_at_another_endpoint(
    site: Site,
) -> None:
    """Guards against streams that resume at a leaving endpoint."""
    leaving, other = site.engines
    other.faults.extend([SamplerFault.FULL] * 2)
    leaving.leaving_values = ('1',)
    leaving.faults.append(SamplerFault.CUT_STREAM)
    async with site.node('node-1') as node:
        status, _, body = await site.send(node, '/resumable/a')
    assert status == 200
    assert body.count(b'data: ') == EVENT_COUNT
    assert sum(leaving.runs.values()) == 1
    assert sum(other.runs.values()) == 1


async def test_announcement_applies_to_the_endpoint_at_the_address(
    site: Site,
) -> None:
    """Guards against announcements that are ascribed to another endpoint."""
    successor, other = site.engines
    async with site.node('node-1') as node:
        other.leaving_values = ('1',)
        # The plain endpoint's entry still names the address of an engine.
        own_address = site.address_of(site.plain)
        site.move(site.plain, 'plain', site.address_of(other))
        await asyncio.sleep(ENTRY_READ_S)
        status, _, _ = await site.send(node, '/safe/a')
        assert status == 503
        site.move(site.plain, 'plain', own_address)
        await asyncio.sleep(ENTRY_READ_S)
        await site.submit(node, site.job(4), 'job-1')
        await site.results(node, 'job-1', 4)
    assert sum(other.runs.values()) == 0
    assert sum(successor.runs.values()) == 4
