"""Batch jobs whose size exceeds the capacity of their owner."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dogwoodpost.services.batches import job_rows
from dogwoodpost.services.batches.item_starter import MIN_STARTED_COUNT

if TYPE_CHECKING:
    from typing import Any

    from tests.platform.platform_site import Site

GROUP_SIZE = 8


def large_job(site: Site, item_count: int) -> dict[str, Any]:
    """Return a job that has many groups."""
    job = site.job(item_count=item_count)
    for number, item in enumerate(job['requests']):
        item['group'] = f'group-{number // GROUP_SIZE}'
    return job


async def test_large_job_starts_by_slots_and_completes(site: Site) -> None:
    """Guards against an owner that a large job takes over its memory limit.

    An item that waited had a task and a run, and its group's texts were read,
    however many waited before it.
    """
    item_count = 640
    text_reads: set[str] = set()
    read = site.store.read

    async def counted_read(table: str, partition: str, **options: Any) -> Any:
        if table == job_rows.TEXT_TABLE:
            text_reads.add(partition)
        return await read(table, partition, **options)

    site.store.read = counted_read
    for engine in site.engines:
        engine.event_gap_s = 0.2
    async with site.node('node-1') as node:
        job = large_job(site, item_count)
        assert await site.submit(node, job, 'job-1') == 202
        await asyncio.sleep(0.5)
        process = node.process
        assert process.running_item_count == item_count
        demands = process._batches.own_demands(0.0)
        waiting_count = sum(demand.waiting_count for demand in demands)
        assert 0 < waiting_count <= MIN_STARTED_COUNT
        assert 0 < len(text_reads) <= MIN_STARTED_COUNT / GROUP_SIZE
        for engine in site.engines:
            engine.event_gap_s = 0.0
        results = await site.results(node, 'job-1', item_count, 60.0)
    assert {result['id'] for result in results} == {
        item['id'] for item in job['requests']
    }
    assert {result['state'] for result in results} == {'completed'}
