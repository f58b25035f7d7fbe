"""Processes of the system that are killed, stopped and suspended."""

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
    """Guards against the loss of accepted jobs when a process is killed."""
    for engine in site.engines:
        engine.faults.extend([SamplerFault.SILENT] * 4)
    job = site.job(item_count=4)
    async with (
        site.spawned('node-1') as first,
        site.spawned('node-2') as second,
    ):
        assert await site.submit(first, job, 'job-1') == 202
        first.process.send_signal(signal.SIGKILL)
        await first.process.wait()
        for engine in site.engines:
            engine.faults.clear()
        results = await site.results(second, 'job-1', 4, timeout_s=15.0)
    assert {result['state'] for result in results} == {'completed'}
    assert len({result['id'] for result in results}) == 4


async def test_planned_stop_cuts_nothing(site: Site) -> None:
    """Guards against requests and items that are aborted by a planned stop."""
    async with (
        site.spawned('node-1') as first,
        site.spawned('node-2') as second,
    ):
        assert await site.submit(first, site.job(item_count=3), 'job-1') == 202
        first.process.send_signal(signal.SIGTERM)
        statuses = []
        for _ in range(10):
            statuses.append((await site.send(first, '/safe/a'))[0])
            await asyncio.sleep(0.05)
        async with site.session.get(f'{first.ready}/api/readyz') as response:
            assert response.status == 503
        async with asyncio.timeout(6.0):
            assert await first.process.wait() == 0
        assert statuses == [200] * 10
        results = await site.results(second, 'job-1', 3)
    assert {result['state'] for result in results} == {'completed'}


async def test_all_processes_may_be_killed_at_once(site: Site) -> None:
    """Guards against job state that is only kept in memory."""
    for engine in site.engines:
        engine.faults.extend([SamplerFault.SILENT] * 2)
    async with site.spawned('node-1') as killed:
        assert (
            await site.submit(killed, site.job(item_count=2), 'job-1') == 202
        )
        killed.process.kill()
        await killed.process.wait()
    for engine in site.engines:
        engine.faults.clear()
    async with site.spawned('node-1') as restarted:
        results = await site.results(restarted, 'job-1', 2, timeout_s=15.0)
    assert {result['state'] for result in results} == {'completed'}


async def test_sighup_during_startup_does_not_end_the_process(
    site: Site,
) -> None:
    """Guards against a SIGHUP that ends a process while it starts.

    The platform sends the signal when it has changed the settings file.
    """
    async with site.spawned('node-1', sighup_count=20) as spawned:
        spawned.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        assert spawned.process.returncode is None
        assert (await site.send(spawned, '/safe/a'))[0] == 200


async def test_planned_stop_answers_requests_it_has_just_accepted(
    site: Site,
) -> None:
    """Guards against requests that a stop aborts right after acceptance.

    A new connection is opened every 50 ms until none is accepted any more.
    Requests take 0.3 s, so that some are always running.
    """
    site.plain.work_s = 0.3
    async with site.spawned('node-1') as node:
        stop_time = asyncio.get_running_loop().time() + 0.5
        calls: list[asyncio.Task[int]] = []
        is_signalled = False
        while node.process.returncode is None:
            calls.append(
                asyncio.create_task(_status_or_not_connected(site, node))
            )
            await asyncio.sleep(0.05)
            if (
                not is_signalled
                and asyncio.get_running_loop().time() > stop_time
            ):
                node.process.send_signal(signal.SIGTERM)
                is_signalled = True
        statuses = await asyncio.gather(*calls)
    assert node.process.returncode == 0
    assert set(statuses) <= {200, _NOT_CONNECTED}
    assert statuses.count(200) > 40


_NOT_CONNECTED = -1


async def _status_or_not_connected(site: Site, node: SpawnedNode) -> int:
    """Return a response's status, _NOT_CONNECTED if the port is closed."""
    try:
        return (await site.send(node, '/safe/a'))[0]
    except aiohttp.ClientConnectorError:
        return _NOT_CONNECTED


async def test_restarted_process_does_not_use_what_was_removed_meanwhile(
    site: Site,
) -> None:
    """Guards against the use of removed endpoints and keys after a restart."""
    removed = site.engines[0]
    async with site.spawned('node-1') as node:
        status, _, _ = await site.send(node, '/safe/a')
        assert status == 200
        assert await site.submit(node, site.job(item_count=4), 'job-1') == 202
        await site.results(node, 'job-1', 4)
        node.process.kill()
        await node.process.wait()
    site.put('servers', removed.endpoint_id, None)
    configuration = site.configuration(version=3)
    configuration['tenants'][0]['apiKeys'] = ['key-of-today']
    site.configure(configuration)
    seen_request_count = len(removed.requests)
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
    assert len(removed.requests) == seen_request_count


async def test_holders_of_a_duty_never_overlap(site: Site) -> None:
    """Guards against orders of two processes that do the same duty at a time.

    The holder of the lease is suspended twice for longer than its lease, while
    versions are announced, and is resumed with calls in progress.
    """
    async with (
        site.spawned('node-1') as first,
        site.spawned('node-2') as second,
    ):
        nodes = {'node-1': first, 'node-2': second}
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


# The site's leases last 1.5 s, and a successor waits for as long again.
_SUSPENSION_S = 6.0


async def _holder_of(site: Site, version: int) -> str:
    """Wait for an order to load a version; return the id of its sender."""
    async with asyncio.timeout(8.0):
        while True:
            for engine in site.engines:
                for order in engine.orders:
                    if order.version == version:
                        return order.holder
            await asyncio.sleep(0.01)


async def test_unlisted_results_are_listed_before_a_handover(
    site: Site,
) -> None:
    """Guards against finished results that are lost when a process stops.

    Results are listed every few tenths of a second; the jobs are handed over
    between two listings.
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
