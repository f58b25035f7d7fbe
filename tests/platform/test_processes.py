"""Processes of the operating system that are killed and stopped."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from dogwoodpost.standins.site.sampler_app import SamplerFault

if TYPE_CHECKING:
    from tests.platform.platform_site import Site


async def test_job_outlives_the_process_that_accepted_it(site: Site) -> None:
    """Guards against accepted jobs that are lost with a process."""
    for engine in site.engines:
        engine.faults.extend([SamplerFault.SILENT] * 4)
    job = site.job(item_count=4)
    async with site.spawned('node-1') as one, site.spawned('node-2') as two:
        assert await site.submit(one, job, 'job-1') == 202
        one.process.send_signal(signal.SIGKILL)
        await one.process.wait()
        for engine in site.engines:
            engine.faults.clear()
        results = await site.results(two, 'job-1', 4, timeout_s=15.0)
    assert {result['state'] for result in results} == {'completed'}
    assert len({result['id'] for result in results}) == 4


async def test_planned_stop_cuts_nothing(site: Site) -> None:
    """Guards against requests and items that a planned stop cuts off."""
    async with site.spawned('node-1') as one, site.spawned('node-2') as two:
        assert await site.submit(one, site.job(item_count=3), 'job-1') == 202
        one.process.send_signal(signal.SIGTERM)
        statuses = []
        for _ in range(10):
            statuses.append((await site.send(one, '/safe/a'))[0])
            await asyncio.sleep(0.05)
        async with site.session.get(f'{one.ready}/api/readyz') as response:
            assert response.status == 503
        async with asyncio.timeout(6.0):
            assert await one.process.wait() == 0
        assert statuses == [200] * 10
        results = await site.results(two, 'job-1', 3)
    assert {result['state'] for result in results} == {'completed'}


async def test_all_processes_may_be_killed_at_once(site: Site) -> None:
    """Guards against state that only processes hold."""
    for engine in site.engines:
        engine.faults.extend([SamplerFault.SILENT] * 2)
    async with site.spawned('node-1') as one:
        assert await site.submit(one, site.job(item_count=2), 'job-1') == 202
        one.process.kill()
        await one.process.wait()
    for engine in site.engines:
        engine.faults.clear()
    async with site.spawned('node-1') as one:
        results = await site.results(one, 'job-1', 2, timeout_s=15.0)
    assert {result['state'] for result in results} == {'completed'}


async def test_signal_of_changed_settings_ends_nothing(site: Site) -> None:
    """Guards against processes that a signal ends while they start."""
    async with site.spawned('node-1', hangups=20) as one:
        one.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        assert one.process.returncode is None
        assert (await site.send(one, '/safe/a'))[0] == 200
