"""Processes of the operating system that are killed and stopped."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from dogwoodpost.standins.site.sampler_app import SamplerFault

if TYPE_CHECKING:
    from tests.platform.platform_site import Site
    from tests.platform.platform_site import SpawnedNode


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


async def test_planned_stop_answers_what_it_has_just_accepted(
    site: Site,
) -> None:
    """Guards against requests that a stop cuts off right after acceptance.

    Load: a new connection each 50 ms until none is accepted any more, with
    requests that take 0.3 s, so that some always run.
    """
    site.plain.work_s = 0.3
    async with site.spawned('node-1') as node:
        stop_time = asyncio.get_running_loop().time() + 0.5
        calls: list[asyncio.Task[int]] = []
        signalled = False
        while node.process.returncode is None:
            calls.append(asyncio.create_task(_status_of(site, node)))
            await asyncio.sleep(0.05)
            if not signalled and asyncio.get_running_loop().time() > stop_time:
                node.process.send_signal(signal.SIGTERM)
                signalled = True
        statuses = await asyncio.gather(*calls)
    assert node.process.returncode == 0
    assert set(statuses) <= {200, _NOT_CONNECTED}
    assert statuses.count(200) > 40


_NOT_CONNECTED = -1


async def _status_of(site: Site, node: SpawnedNode) -> int:
    """Return a status, _NOT_CONNECTED if nobody accepts connections."""
    try:
        return (await site.send(node, '/safe/a'))[0]
    except aiohttp.ClientConnectorError:
        return _NOT_CONNECTED


async def test_restarted_process_knows_what_has_left_meanwhile(
    site: Site,
) -> None:
    """Guards against endpoints and keys that come back with a restart."""
    left = site.engines[0]
    async with site.spawned('node-1') as node:
        status, _, _ = await site.send(node, '/safe/a')
        assert status == 200
        assert await site.submit(node, site.job(item_count=4), 'job-1') == 202
        await site.results(node, 'job-1', 4)
        node.process.kill()
        await node.process.wait()
    site.put('servers', left.endpoint_id, None)
    configuration = site.configuration(version=3)
    configuration['tenants'][0]['apiKeys'] = ['key-of-today']
    site.configure(configuration)
    seen_count = len(left.seen)
    async with site.spawned('node-1') as node:
        assert (await site.send(node, '/safe/a'))[0] == 401
        assert (await site.send(node, '/safe/a', key='key-of-today'))[0] == 200
        job = msgspec.json.encode(site.job(item_count=4))
        status, _, _ = await site.send(
            node,
            '/jobs/job-2',
            body=job,
            request_id='job-2',
            key='key-of-today',
        )
        assert status == 202
        await asyncio.sleep(1.0)
    assert len(left.seen) == seen_count


async def test_holders_of_a_duty_take_no_turns(site: Site) -> None:
    """Guards against two processes that both order and report for a moment.

    The holder is suspended in the middle of its duties for longer than its
    lease, time and again, while versions are named, and wakes up with calls
    under way.
    """
    async with site.spawned('node-1') as one, site.spawned('node-2') as two:
        nodes = {'node-1': one, 'node-2': two}
        for version in (2, 4):
            site.name_version(version)
            holder = nodes[await _holder_of(site, version)]
            holder.process.send_signal(signal.SIGSTOP)
            site.name_version(version + 1)
            await asyncio.sleep(_SUSPENSION_S)
            holder.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(0.5)
        await asyncio.sleep(1.0)
    orders = [order for engine in site.engines for order in engine.orders]
    assert len({order.holder for order in orders}) == 2
    for engine in site.engines:
        tokens = [order.fencing_token for order in engine.orders]
        assert tokens == sorted(tokens)
        versions = [order.version for order in engine.orders]
        assert len(versions) == len(set(versions))
    holders_by_token: dict[int, set[str]] = {}
    for order in orders:
        holders_by_token.setdefault(order.fencing_token, set()).add(
            order.holder
        )
    assert all(len(holders) == 1 for holders in holders_by_token.values())


# The site's leases last 1.5 s, and their successor waits as long again.
_SUSPENSION_S = 6.0


async def _holder_of(site: Site, version: int) -> str:
    """Wait for an order of a version; return which process sent it."""
    async with asyncio.timeout(8.0):
        while True:
            for engine in site.engines:
                for order in engine.orders:
                    if order.version == version:
                        return order.holder
            await asyncio.sleep(0.01)


async def test_results_that_wait_are_listed_before_a_stop(site: Site) -> None:
    """Guards against finished results that are lost with their process.

    Results are listed some tenths of a second apart; a stop comes between.
    """
    fast, slow = site.engines
    slow.event_gap_s = 2.0
    async with site.node('node-1') as node:
        assert await site.submit(node, site.job(8), 'job-1') == 202
        await asyncio.sleep(0.4)
        await node.process._batches.hand_over()
        head = await site.head('job-1')
    assert head.owner_id == ''
    assert head.listed_count == sum(fast.runs.values()) >= 2
