"""An unreadable entry of service discovery ends every process."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64encode

import loopback_site as site_parts

# Bytes of the entry that another writer leaves: brackets without an end.
ENTRY = b'{"service": "models", "state": "ready", "labels": ' + b'[' * 3_000
RESTART_DELAY_S = 0.5
WATCH_S = 20.0


def configuration() -> dict:
    return {
        'version': 2,
        'routes': [
            {
                'host': site_parts.HOST,
                'name': 'jobs',
                'prefix': '/jobs/',
                'kind': 'rollout',
                'service': 'models',
                'timeoutMs': 10_000,
                'maxAttempts': 3,
                'public': False,
                'priority': 0,
                'dueMs': 7_500,
                'queueTtlS': 60,
            },
        ],
        'services': [{'name': 'models', 'engine': {'slots': 12}}],
        'limits': {'maxBodyBytes': 33_554_432},
        'tenants': [{'name': site_parts.TENANT, 'apiKeys': [site_parts.KEY]}],
    }


def job() -> bytes:
    items = [
        {
            'id': site_parts.item_id(number),
            'path': f'/jobs/3/{number}',
            'headers': {
                'X-Model': site_parts.MODEL,
                'X-Token-Usage': '16,400',
            },
            'body': b64encode(b'prompt').decode(),
            'tokens': 416,
            'group': f'g{number}',
        }
        for number in range(8)
    ]
    return json.dumps(
        {
            'step': 0,
            'model': site_parts.MODEL,
            'minVersion': 1,
            'desired': 8,
            'requests': items,
        }
    ).encode()


async def keep_running(site, node, ends: list[float]) -> None:
    """Restart a process that ends, as the platform does."""
    while True:
        code = await node.process.wait()
        ends.append(time.monotonic())
        site.record(f'{node.name} ended by itself with code {code}')
        await asyncio.sleep(RESTART_DELAY_S)
        await site.spawn(node)


async def play(site: site_parts.Site) -> bool:
    for name in ('i-model-1', 'i-model-2'):
        sampler = site_parts.TimedSampler(
            name, event_count=60, models=(site_parts.MODEL,)
        )
        sampler.event_gap_s = 0.045
        await site.add_sampler(sampler, 'models', 'osborne-park')
    site.configure(configuration())
    nodes = [
        await site.start_node(f'front-osborne-park-{number}')
        for number in (1, 2)
    ]
    for node in nodes:
        await site.wait_ready(node)
    ends: dict[str, list[float]] = {node.name: [] for node in nodes}
    watches = [
        asyncio.create_task(keep_running(site, node, ends[node.name]))
        for node in nodes
    ]
    job_id = '9c41d07be2a35f68'
    status, _ = await site.call(
        nodes[0], 'POST', '/jobs/1', request_id=job_id, body=job()
    )
    site.record(f'batch job answered {status}')
    if status != 202:
        raise site_parts.CouldNotRunError('the job was not accepted')
    if site_parts.has_trouble():
        site.put('servers', 'i-other-writer', ENTRY)
        site.record('another writer has written an entry')
    await asyncio.sleep(WATCH_S)
    total = listed = None
    for node in nodes * 5:
        status, body = await site.call(
            node, 'GET', f'/api/lots/{job_id}?after=0', timeout_s=2.0
        )
        site.record(f'results at {node.name}: {status} {body[:60]!r}')
        if status == 200:
            page = json.loads(body)
            total, listed = page['total'], len(page['results'])
            break
        await asyncio.sleep(0.5)
    for watch in watches:
        watch.cancel()
    await asyncio.gather(*watches, return_exceptions=True)
    counts = {name: len(times) for name, times in ends.items()}
    site.record(f'ends: {counts}; listed {listed} of {total}')
    is_fault = all(count >= 3 for count in counts.values())
    is_lost = total is None
    return is_fault or is_lost


if __name__ == '__main__':
    site_parts.run_case(__file__, play, 90.0)
