"""One batch job with many items, and the memory that it needs."""

from __future__ import annotations

import asyncio
import base64
import json
import os
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
from limited_machine import is_fault  # noqa: E402
from limited_machine import Machine  # noqa: E402

_MEMORY_MB = 180
_NODES = tuple(f'front-osborne-park-{number}' for number in (1, 2, 3))
_MODEL = 'daka510000'
_ITEM_COUNT = 20_000 if lib.TROUBLE else 80
_GROUP_SIZE = 8
_BODY_BYTES = 60
_WATCH_S = 45.0
_SUBMIT_TRIES = 20


def _encoded_body() -> str:
    return base64.b64encode(os.urandom(_BODY_BYTES)).decode()


def _job() -> dict[str, object]:
    return {
        'step': 1,
        'model': _MODEL,
        'minVersion': 1,
        'desired': 9,
        'requests': [
            {
                'id': uuid.uuid4().hex[:16],
                'path': f'/pule252/3/{number}',
                'headers': {
                    'X-Model': _MODEL,
                    'X-Token-Usage': '540,400',
                    'X-Prompt-Prefix': '9c2e41:300,5d07b8:240',
                },
                'body': _encoded_body(),
                'tokens': 940,
                'group': f'g{number // _GROUP_SIZE}',
                'scorer': {
                    'id': uuid.uuid4().hex[:16],
                    'host': lib.HOST,
                    'path': f'/pufi791/{number}',
                    'body': _encoded_body(),
                },
            }
            for number in range(_ITEM_COUNT)
        ],
    }


async def submit(
    site: lib.SmallSite, machines: list[Machine], body: bytes
) -> str | None:
    """Submit the job until it is accepted; return its id."""
    job_id = uuid.uuid4().hex[:16]
    for number in range(_SUBMIT_TRIES):
        machine = machines[number % len(machines)]
        await machine.is_up.wait()
        status, _ = await call(
            machine.address, 'POST', '/pule252/7c41e0', job_id, body
        )
        site.record.add(
            f'job {job_id} of {_ITEM_COUNT} items, {len(body) / 1e6:.2f} MB, '
            f'sent to {machine.node}: status {status}'
        )
        if status == 202:
            return job_id
        await asyncio.sleep(0.5)
    return None


async def main(site: lib.SmallSite) -> int:
    site.zones = lib.SWANMAT_ZONES
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
            },
            {
                'name': 'r-pufi791',
                'prefix': '/pufi791/',
                'kind': 'safe',
                'service': 'wuno96b',
                'timeoutMs': 1500,
                'targetLatencyMs': 299,
                'priority': 2,
                'maxAttempts': 4,
                'public': True,
            },
        ],
        services=[
            {'name': 'huvo11a', 'engine': {'slots': 12}},
            {'name': 'wuno96b'},
        ],
    )
    sampler = SamplerApp(
        'i-7f3a91c2', event_count=20, models=(_MODEL,), faults=deque()
    )
    sampler.event_gap_s = 0.02
    scorer = SamplerApp('i-02d9e6b4', faults=deque())
    scorer.work_s = 0.045
    async with (
        lib.serving(sampler.app()) as sampler_address,
        lib.serving(scorer.app()) as scorer_address,
    ):
        models = [{'name': _MODEL, 'version': 1, 'adapters': []}]
        entries = {
            'i-7f3a91c2': lib.server_entry(
                'huvo11a',
                sampler_address,
                zone='osborne-park',
                slots=12,
                models=models,
            ),
            'i-02d9e6b4': lib.server_entry(
                'wuno96b', scorer_address, zone='osborne-park', slots=6
            ),
        }
        for endpoint_id, entry in entries.items():
            site.put('servers', endpoint_id, entry)
        machines = [Machine(site, node, _MEMORY_MB) for node in _NODES]
        tasks = [asyncio.create_task(machine.run()) for machine in machines]
        try:
            return await _watch(site, machines, sampler)
        finally:
            for task in tasks:
                task.cancel()


async def _watch(
    site: lib.SmallSite, machines: list[Machine], sampler: SamplerApp
) -> int:
    for machine in machines:
        async with asyncio.timeout(20.0):
            await machine.is_up.wait()
    await asyncio.sleep(2.0)
    job_id = await submit(site, machines, json.dumps(_job()).encode())
    if job_id is None:
        return lib.EXIT_NOT_RUN
    end_s = time.monotonic() + _WATCH_S
    while time.monotonic() < end_s and not is_fault(machines):
        await asyncio.sleep(0.5)
    for machine in machines:
        await machine.is_up.wait()
        status, body = await call(
            machine.address, 'GET', f'/api/lots/{job_id}?after=0', job_id
        )
        listed = len(json.loads(body)['results']) if status == 200 else '?'
        site.record.add(
            f'{machine.node}: killed {machine.kill_count} times, peak '
            f'{machine.peak_mb:.0f} MB; reading the job: status {status}, '
            f'{listed} results on the first page'
        )
    site.record.add(f'{len(sampler.runs)} items have run at the sampler')
    return lib.EXIT_BROKEN if is_fault(machines) else lib.EXIT_HELD


if __name__ == '__main__':
    sys.exit(lib.run_case(main, FOLDER))
