"""After an outage of the store, the results of a job are never listed, and
its items run on after the job's end."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64encode

import loopback_site as site_parts
from aiohttp import web

GROUP_COUNT = 20
GROUP_SIZE = 16
EVENT_GAP_S = 0.03
# 93 characters of three bytes each, 279 bytes an event.
EVENT_TEXT = 'ሰላም' * 31
SAMPLER_COUNT = 5
OUTAGE_START_S = 0.5
OUTAGE_S = 4.5
END_AFTER_S = 10.0
CANCEL_S = 3.0
MAX_CALL_BYTES = 1024 * 1024
MAX_ENTRY_COUNT = 100
JOB_ID = '9c41d07be2a35f68'


def event_count(item_number: int) -> int:
    """Return the length of an item's output, 60 to 140 events."""
    return 60 + (item_number * 37) % 81


class TextSampler(site_parts.TimedSampler):
    """Streams texts of different lengths, outside of ASCII."""

    async def _stream(self, request, headers, fault) -> web.StreamResponse:
        total = event_count(int(request.path.rsplit('/', 1)[1]))
        first = int(request.headers.get('Last-Event-Id', '-1')) + 1
        headers = {**headers, 'Content-Type': 'text/event-stream'}
        if first < total:
            headers['X-Weight-Versions'] = '1'
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for number in range(first, total):
            event = f'id: {number}\ndata: {EVENT_TEXT}\n\n'
            await response.write(event.encode())
            await asyncio.sleep(EVENT_GAP_S)
        return response


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
            'body': b64encode(b'prompt').decode(),
            'tokens': 416,
            'group': f'g{number // GROUP_SIZE}',
        }
        for number, item_id in enumerate(item_ids)
    ]
    return json.dumps(
        {
            'step': 0,
            'model': site_parts.MODEL,
            'minVersion': 1,
            'desired': GROUP_COUNT,
            'requests': items,
        }
    ).encode()


def limit_transactions(site) -> None:
    """Refuse transactions beyond the limits that the pages name."""
    transact = site.store_app._transact

    async def limited(request: web.Request) -> web.Response:
        data = await request.read()
        body = json.loads(data)
        count = sum(
            len(body.get(kind, ())) for kind in ('expected', 'put', 'delete')
        )
        if len(data) > MAX_CALL_BYTES or count > MAX_ENTRY_COUNT:
            site.refused.append(len(data))
            return web.Response(status=413, text='the call is too large')
        return await transact(request)

    site.refused = []
    site.store_app._transact = limited


async def listed_count(site, node) -> tuple[int, int]:
    """Return how many results can be read, and the status of the last call."""
    count = 0
    while True:
        status, body = await site.call(
            node, 'GET', f'/api/lots/{JOB_ID}?after={count}'
        )
        if status != 200:
            return count, status
        page = json.loads(body)
        if not page['results']:
            return count, status
        count = page['next']


async def play(site: site_parts.Site) -> bool:
    samplers = []
    for number in range(SAMPLER_COUNT):
        sampler = TextSampler(
            f'i-model-{number}', event_count=1, models=(site_parts.MODEL,)
        )
        samplers.append(sampler)
        await site.add_sampler(sampler, 'models', 'osborne-park')
    site.configure(configuration())
    first = await site.start_node('front-osborne-park-1', 'osborne-park')
    second = await site.start_node('front-picton-1', 'picton')
    for node in (first, second):
        await site.wait_ready(node)
    await asyncio.sleep(4.5)
    ids = [
        site_parts.item_id(number)
        for number in range(GROUP_COUNT * GROUP_SIZE)
    ]
    status, _ = await site.call(
        first, 'POST', '/jobs/1', request_id=JOB_ID, body=job(ids)
    )
    start_s = time.monotonic()
    site.record(f'batch job of {len(ids)} items answered {status}')
    if status != 202:
        raise site_parts.CouldNotRunError('the job was not accepted')
    await asyncio.sleep(OUTAGE_START_S)
    if site_parts.has_trouble():
        site.store.is_down = True
        site.record('the store is down')
    await asyncio.sleep(OUTAGE_S)
    site.store.is_down = False
    site.record('the store is up')
    await asyncio.sleep(start_s + END_AFTER_S - time.monotonic())
    count, status = await listed_count(site, second)
    site.record(f'{count} results listed before the end, status {status}')
    status, _ = await site.call(second, 'DELETE', f'/api/lots/{JOB_ID}')
    end_s = time.monotonic()
    site.record(f'the end was answered {status}')
    if status != 200:
        raise site_parts.CouldNotRunError('the job was not ended')
    await asyncio.sleep(12.0)
    late = 0
    for sampler in samplers:
        for at_s, request_id, _ in sampler.log:
            after_s = at_s - end_s
            if request_id in ids and after_s > CANCEL_S:
                late += 1
                site.record(
                    f'item {request_id} reached {sampler.endpoint_id}'
                    f' {after_s:.3f} s after the end'
                )
    count, status = await listed_count(site, second)
    finished = sum(len(sampler.log) for sampler in samplers)
    site.record(f'{count} results listed in the end, status {status}')
    site.record(f'{finished} items were sent to samplers')
    site.record(
        f'{len(site.refused)} calls were over the limit of the store,'
        f' the largest {max(site.refused, default=0)} bytes'
    )
    site.record(f'{late} items later than {CANCEL_S} s after the end')
    return late > 0


if __name__ == '__main__':
    site_parts.run_case(__file__, play, 90.0, limit_transactions)
