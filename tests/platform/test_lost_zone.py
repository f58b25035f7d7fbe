"""What callers of the other availability zones get when one is lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dogwoodpost.standins.site.sampler_app import SamplerFault
from tests.platform.platform_site import EVENT_COUNT

if TYPE_CHECKING:
    from tests.platform.platform_site import Site

HEARTBEAT_READ_S = 1.2
# Time after which callers are served as before the loss.
RECOVERY_S = 4.0
SERVED_S = 0.5
FAULT_COUNT = 200


async def test_callers_elsewhere_are_served_soon_after_a_zone_is_lost(
    site: Site,
) -> None:
    """Guards against a lost zone that stalls requests and jobs elsewhere.

    Zone b has one of two engines and one of two processes. Its process is
    killed and its engine does not answer, while its entry is still there.
    """
    lost, _ = site.engines
    site.register(lost, 'engines', zone='zone-b')
    for engine in site.engines:
        engine.event_gap_s = 0.1
    loop = asyncio.get_running_loop()
    async with site.node('node-1') as node:
        async with site.spawned('node-2', zone='zone-b') as gone:
            await asyncio.sleep(HEARTBEAT_READ_S)
            assert await site.submit(gone, site.job(4), 'job-1') == 202
            await asyncio.sleep(0.1)
            lost.faults.extend([SamplerFault.SILENT] * FAULT_COUNT)
            gone.process.kill()
            await gone.process.wait()
        start_s = loop.time()
        while loop.time() - start_s < RECOVERY_S:
            status, _, _ = await site.send(node, '/resumable/1')
            assert status == 200
        for engine in site.engines:
            engine.event_gap_s = 0.005
        for _ in range(5):
            sent_s = loop.time()
            status, _, _ = await site.send(node, '/resumable/1')
            assert status == 200
            assert loop.time() - sent_s < SERVED_S
        results = await site.results(node, 'job-1', 4)
        assert all(
            len(result['text'].splitlines()) == EVENT_COUNT
            for result in results
        )
