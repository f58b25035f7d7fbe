"""Items of an ended job are sent to samplers by the process that took it over."""

from __future__ import annotations

import asyncio
import json
import os
import time
from base64 import b64encode

import loopback_site as site_parts
from aiohttp import web

from dogwoodpost.services.batches import job_rows

ITEM_COUNT = 40
BODY_BYTES = 400_000
ITEM_EVENTS = 140
EVENT_GAP_S = 0.045
DARK_S = 3.5
CANCEL_S = 3.0
BLOB_S = 0.025
BLOB_BYTES_PER_S = 80e6
JOB_ID = '9c41d07be2a35f68'


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


def job(item_ids: list[str]) -> bytes:
    items = [
        {
            'id': item_id,
            'path': f'/jobs/3/{number}',
            'headers': {
                'X-Model': site_parts.MODEL,
                'X-Token-Usage': '16,400',
            },
            'body': b64encode(os.urandom(BODY_BYTES)).decode(),
            'tokens': 416,
            'group': f'g{number // 8}',
        }
        for number, item_id in enumerate(item_ids)
    ]
    return json.dumps(
        {
            'step': 0,
            'model': site_parts.MODEL,
            'minVersion': 1,
            'desired': 5,
            'requests': items,
        }
    ).encode()


def slow_blobs(site) -> None:
    """Let object calls take the time that the settings name."""
    get = site.store_app._get_object
    busy_until = 0.0

    async def get_object(request: web.Request) -> web.Response:
        nonlocal busy_until
        response = await get(request)
        size = len(response.body) if response.body else 0
        now_s = time.monotonic()
        busy_until = max(busy_until, now_s) + size / BLOB_BYTES_PER_S
        await asyncio.sleep(busy_until - now_s + BLOB_S)
        return response

    site.store_app._get_object = get_object


async def owner_of(site) -> str:
    page = await site.store.read(job_rows.HEAD_TABLE, JOB_ID)
    head = job_rows.decode_head(page.rows[0].value or b'')
    return head.owner_id


async def play(site: site_parts.Site) -> bool:
    samplers = []
    for name in ('i-model-1', 'i-model-2'):
        sampler = site_parts.TimedSampler(
            name, event_count=ITEM_EVENTS, models=(site_parts.MODEL,)
        )
        sampler.event_gap_s = EVENT_GAP_S
        samplers.append(sampler)
        await site.add_sampler(sampler, 'models', 'osborne-park')
    site.configure(configuration())
    first = await site.start_node('front-osborne-park-1', 'osborne-park')
    second = await site.start_node('front-picton-1', 'picton')
    for node in (first, second):
        await site.wait_ready(node)
    await asyncio.sleep(4.5)
    ids = [site_parts.item_id(number) for number in range(ITEM_COUNT)]
    status, _ = await site.call(
        first, 'POST', '/jobs/1', request_id=JOB_ID, body=job(ids)
    )
    site.record(f'batch job answered {status}; owner {await owner_of(site)}')
    if status != 202:
        raise site_parts.CouldNotRunError('the job was not accepted')
    await asyncio.sleep(1.0)
    if site_parts.has_trouble():
        first.process.kill()
        await first.process.wait()
        site.record(f'{first.name} has lost power')
        asyncio.get_running_loop().call_later(
            DARK_S, lambda: asyncio.ensure_future(site.spawn(first))
        )
        while await owner_of(site) != second.name:
            await asyncio.sleep(0.01)
        site.record(f'{second.name} has claimed the job')
    else:
        await asyncio.sleep(3.0)
    await asyncio.sleep(float(os.environ.get('WAIT', '0.1')))
    status, _ = await site.call(second, 'DELETE', f'/api/lots/{JOB_ID}')
    end_s = time.monotonic()
    site.record(f'the end was answered {status}')
    if status != 200:
        raise site_parts.CouldNotRunError('the job was not ended')
    await asyncio.sleep(16.0)
    late = 0
    for sampler in samplers:
        for at_s, request_id, _ in sampler.log:
            after_s = at_s - end_s
            if request_id in ids and after_s > 0.0:
                site.record(
                    f'item {request_id} reached {sampler.endpoint_id}'
                    f' {after_s:.3f} s after the end'
                )
                late += after_s > CANCEL_S
    site.record(f'{late} items later than {CANCEL_S} s')
    return late > 0


if __name__ == '__main__':
    site_parts.run_case(__file__, play, 90.0, slow_blobs)
