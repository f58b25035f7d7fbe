"""A rollout step whose owning entry is killed."""

from __future__ import annotations

import asyncio

import aiohttp

from dogwoodpost.client import StepSubmission
from dogwoodpost.client import TrainerClient
from dogwoodpost.core import ids
from dogwoodpost.demo.administrator import administrator
from dogwoodpost.demo.local_system import MODEL_SERVICE
from measurements.path.processes import process_system

GROUP_COUNT = 24
SAMPLES_PER_GROUP = 4


async def test_killed_owner_loses_and_repeats_no_sample() -> None:
    """Guards against lost or duplicate samples when the owner is killed."""
    async with (
        process_system() as system,
        aiohttp.ClientSession() as session,
    ):
        _, scorer_url = await system.start_standin('scorer')
        _, engine_url = await system.start_standin('engine')
        platform = {
            'table_store_url': system.store_url,
            'object_store_url': system.store_url,
            'scorer_url': scorer_url,
        }
        owner = await system.start_entry('entry-1', platform=platform)
        other = await system.start_entry('entry-2', platform=platform)
        await system.start_agent('agent-1', MODEL_SERVICE, engine_url)
        async with administrator(owner.admin_port) as admin:
            key = await admin.create_account('account-1')
            await admin.declare_services(['account-1'])
        client = TrainerClient(
            session,
            [owner.url, other.url],
            trainer_id=ids.TrainerId('trainer-1'),
            key=key.key,
        )
        step_id = ids.StepId('step-1')
        await client.submit_step(
            StepSubmission(
                step_id=step_id,
                service=ids.ServiceName(MODEL_SERVICE),
                prompts=tuple(f'block {n}' for n in range(GROUP_COUNT)),
                samples_per_group=SAMPLES_PER_GROUP,
                max_tokens=200,
                max_version_lag=1,
                deadline_s=300.0,
            )
        )
        sample_ids: list[str] = []
        slots: list[tuple[int, int]] = []
        async with asyncio.timeout(150):
            async for batch in client.batches(step_id):
                if not slots:
                    owner.process.control.kill()
                sample_ids += [sample.sample_id for sample in batch.samples]
                slots += [
                    (sample.group, sample.index) for sample in batch.samples
                ]
                await client.acknowledge(batch)
    expected = {
        (group, index)
        for group in range(GROUP_COUNT)
        for index in range(SAMPLES_PER_GROUP)
    }
    assert sorted(slots) == sorted(expected)
    assert len(set(sample_ids)) == len(sample_ids)
