"""Cold endpoints and evacuated availability zones, through real processes."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from dogwoodpost.core.membership.announced_senders import MIN_ANNOUNCED_S

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.platform.platform_site import Node
    from tests.platform.platform_site import Site

RATE_PER_S = 8.0
OVERAGE = 1.5
SLACK = 5
COLD_S = 6.0
READ_S = 0.5
HEARTBEAT_READ_S = 1.2


def configure_cold(site: Site) -> None:
    configuration = site.configuration(version=3)
    for service in configuration['services']:
        service['coldStartS'] = COLD_S
        service['coldPerS'] = RATE_PER_S
    site.configure(configuration)


@contextlib.asynccontextmanager
async def load(
    site: Site, nodes: list[Node], interval_s: float
) -> AsyncIterator[list[int]]:
    """Send requests to all nodes in turn; yields their statuses."""
    statuses: list[int] = []
    tasks: set[asyncio.Task[None]] = set()

    async def send_one(node: Node) -> None:
        status, _, _ = await site.send(
            node, '/safe/1', headers={'X-Deadline-Ms': '1000'}
        )
        statuses.append(status)

    async def send_all() -> None:
        while True:
            for node in nodes:
                tasks.add(asyncio.create_task(send_one(node)))
                await asyncio.sleep(interval_s)

    sender = asyncio.create_task(send_all())
    try:
        yield statuses
    finally:
        sender.cancel()
        await asyncio.wait({sender, *tasks})


async def test_cold_endpoint_gets_what_it_bears(site: Site) -> None:
    """Guards against a burst of several processes that crashes an endpoint.

    The plain service has one endpoint, so that there is no warm one. The load
    is 50 requests a second.
    """
    configure_cold(site)
    plain = site.plain
    async with (
        site.node('node-1') as first,
        site.node('node-2') as second,
    ):
        async with load(site, [first, second], 0.02) as statuses:
            await asyncio.sleep(MIN_ANNOUNCED_S + HEARTBEAT_READ_S)
            assert set(statuses) == {200}
            plain.become_cold(COLD_S)
            site.register(plain, 'plain')
            await asyncio.sleep(READ_S)
            plain.arrivals_s.clear()
            plain.cold_limit_per_s = RATE_PER_S * OVERAGE + SLACK
            await asyncio.sleep(COLD_S - READ_S - 1.0)
            assert not plain.is_crashed
            most = plain.most_arrivals_in_a_second()
            assert most <= RATE_PER_S * OVERAGE + SLACK
            # A limit that sends nothing would not serve callers.
            assert most >= RATE_PER_S
            await asyncio.sleep(1.0 + READ_S)
            plain.arrivals_s.clear()
            await asyncio.sleep(1.0)
            assert plain.most_arrivals_in_a_second() > 2 * RATE_PER_S
    assert set(statuses) == {200, 503}


async def test_started_process_leaves_cold_endpoints_alone_at_first(
    site: Site,
) -> None:
    """Guards against bursts when all processes start at the same time."""
    configure_cold(site)
    plain = site.plain
    plain.become_cold(60.0)
    site.register(plain, 'plain')
    async with (
        site.node('node-1') as first,
        site.node('node-2') as second,
        load(site, [first, second], 0.02),
    ):
        await asyncio.sleep(1.0)
        assert not plain.arrivals_s
        await asyncio.sleep(MIN_ANNOUNCED_S + HEARTBEAT_READ_S)
        assert plain.arrivals_s
    most = plain.most_arrivals_in_a_second()
    assert most <= RATE_PER_S * OVERAGE + SLACK


async def test_evacuated_endpoint_gets_nothing_new(site: Site) -> None:
    """Guards against work for an evacuated zone; what runs there goes on."""
    configure_cold(site)
    staying, leaving = site.engines
    site.register(leaving, 'engines', zone='zone-b')
    leaving.event_gap_s = 0.2
    staying.event_gap_s = 0.2
    async with site.node('node-1', 'zone-b') as node:
        running = asyncio.create_task(site.send(node, '/stream/1'))
        await asyncio.sleep(0.1)
        assert len(leaving.requests) == 1
        site.evacuate('zone-b')
        await asyncio.sleep(READ_S)
        assert await site.submit(node, site.job(4), 'job-1') == 202
        site.name_version(2)
        for number in range(4):
            status, _, _ = await site.send(node, f'/stream/{number}')
            assert status == 200
        await site.results(node, 'job-1', 4)
        status, _, body = await running
        assert (status, body.count(b'id: ')) == (200, 6)
        assert len(leaving.requests) == 1
        assert not leaving.orders
        site.evacuate('zone-b', is_over=True)
        site.evacuate('zone-a')
        # No endpoint is known to be warm, and the process has not announced
        # yet that it may send to cold ones.
        await asyncio.sleep(MIN_ANNOUNCED_S + HEARTBEAT_READ_S)
        status, _, _ = await site.send(node, '/stream/5')
        assert status == 200
    assert len(leaving.requests) == 2


async def test_evacuated_service_refuses_at_once(site: Site) -> None:
    """Guards against requests that wait for an evacuation to end."""
    site.evacuate('zone-a')
    loop = asyncio.get_running_loop()
    async with site.node('node-1') as node:
        start_s = loop.time()
        status, headers, _ = await site.send(node, '/safe/1')
        assert status == 503
        assert float(headers['Retry-After']) > 0.0
        assert loop.time() - start_s < 0.5
    assert not site.plain.requests
