"""A batch job that its client has not ended is read again later."""

from __future__ import annotations

import asyncio
import json
import sys
import time
import uuid
from collections import deque
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-3'))

import small_site as lib  # noqa: E402
from dogwoodpost.standins.site.sampler_app import SamplerApp  # noqa: E402
from limited_machine import call  # noqa: E402

_MODEL = 'daka510000'
_ITEM_COUNT = 8
# 120 on the sheets; shorter, so that the script sees what comes after it.
_STATUS_S = 20 if lib.TROUBLE else 120
_READ_INTERVAL_S = 4.0
_WATCH_S = 100.0
_NOT_FOUND = (404, 410)


def _job() -> bytes:
    return json.dumps(
        {
            'step': 1,
            'model': _MODEL,
            'minVersion': 1,
            'desired': 1,
            'requests': [
                {
                    'id': uuid.uuid4().hex[:16],
                    'path': f'/pule252/3/{number}',
                    'headers': {
                        'X-Model': _MODEL,
                        'X-Token-Usage': '540,400',
                        'X-Prompt-Prefix': '9c2e41:300,5d07b8:240',
                    },
                    'body': 'q83vEjRWeJA=',
                    'tokens': 940,
                    'group': 'g1002a',
                }
                for number in range(_ITEM_COUNT)
            ],
        }
    ).encode()


async def main(site: lib.SmallSite) -> int:
    site.bounds['statusS'] = _STATUS_S
    site.configure(
        routes=[
            {
                'name': 'r-pule252',
                'prefix': '/pule252/',
                'kind': 'rollout',
                'service': 'huvo11a',
                'timeoutMs': 10000,
                'targetLatencyMs': 500,
                'dueMs': 7500,
                'queueTtlS': 40,
                'priority': 0,
                'maxAttempts': 3,
                'public': False,
            }
        ],
        services=[{'name': 'huvo11a', 'engine': {'slots': 16}}],
    )
    sampler = SamplerApp(
        'i-7f3a91c2', event_count=25, models=(_MODEL,), faults=deque()
    )
    sampler.event_gap_s = 0.02
    async with lib.serving(sampler.app()) as address:
        models = [{'name': _MODEL, 'version': 1, 'adapters': []}]
        entry = lib.server_entry('huvo11a', address, models=models)
        site.put('servers', 'i-7f3a91c2', entry)
        addresses = [
            (await site.start_front(f'front-montevideo-a-{number}'))[1]
            for number in (1, 2)
        ]
        await asyncio.sleep(2.0)
        return await _read(site, addresses)


async def _read(site: lib.SmallSite, addresses: list[str]) -> int:
    job_id = uuid.uuid4().hex[:16]
    status, _ = await call(
        addresses[0], 'POST', '/pule252/7c41e0', job_id, _job()
    )
    site.record.add(f'job {job_id} is submitted: status {status}')
    if status != 202:
        return lib.EXIT_NOT_RUN
    start_s = time.monotonic()
    known: list[object] = []
    while time.monotonic() - start_s < _WATCH_S:
        for address in addresses:
            status, body = await call(
                address, 'GET', f'/api/lots/{job_id}?after=0', job_id
            )
            results = json.loads(body)['results'] if status == 200 else []
            age_s = time.monotonic() - start_s
            site.record.add(
                f'{age_s:.1f} s after the 202, read from the start: status '
                f'{status}, {len(results)} results'
            )
            is_lost = status in _NOT_FOUND
            if status == 200:
                is_lost = results[: len(known)] != known
                known = max(known, results, key=len)
            if is_lost:
                site.record.add(
                    f'{len(known)} results were read before, and the client '
                    'has not ended the job'
                )
                return lib.EXIT_BROKEN
        await asyncio.sleep(_READ_INTERVAL_S)
    return lib.EXIT_HELD if len(known) == _ITEM_COUNT else lib.EXIT_NOT_RUN


if __name__ == '__main__':
    sys.exit(lib.run_case(main, FOLDER))
