"""Cache of jobs, within the memory of the process."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.allowed_regions import ANY_REGION
from dogwoodpost.core.batches.job_memory import job_memory_bytes
from dogwoodpost.core.memory_budget import MemoryBudget
from dogwoodpost.errors import MemoryExceededError
from dogwoodpost.services.batches.job_cache import JobCache
from tests.services.batches.test_job_invariants import batch_job
from tests.services.batches.test_job_invariants import head

if TYPE_CHECKING:
    from dogwoodpost.core.batches import BatchJob

JOB_BYTES = job_memory_bytes(batch_job(b'x' * 10_000), max_started_count=0)
HEAD = msgspec.structs.replace(head('owner'), memory_bytes=JOB_BYTES)


class FakeStore:
    """Returns a job for each id, and counts the calls."""

    def __init__(self) -> None:
        self.load_counts: Counter[ids.JobId] = Counter()

    async def load(self, job_id: ids.JobId, _: object) -> BatchJob:
        self.load_counts[job_id] += 1
        await asyncio.sleep(0)
        return msgspec.structs.replace(batch_job(b'x' * 10_000), job_id=job_id)


@pytest.fixture
def store() -> Any:
    return FakeStore()


@pytest.fixture
def budget() -> MemoryBudget:
    return MemoryBudget(10 * JOB_BYTES)


async def get(cache: JobCache, number: int) -> BatchJob | None:
    return await cache.get(ids.JobId(f'job-{number}'), HEAD, ANY_REGION)


async def test_many_jobs_take_bounded_memory(
    store: FakeStore, budget: MemoryBudget
) -> None:
    """Guards against a cache that takes a process over its memory limit.

    It kept 64 jobs of any size.
    """
    cache = JobCache(store, budget)
    for number in range(20):
        job = await get(cache, number)
        assert job is not None
        assert job.job_id == f'job-{number}'
        assert 0 < budget.used_bytes <= 3 * JOB_BYTES
    for number in (19, 18, 17):
        await get(cache, number)
    assert store.load_counts.total() == 20
    await get(cache, 0)
    # The job used longest ago was dropped.
    for number in (17, 18):
        await get(cache, number)
    assert store.load_counts.total() == 21


async def test_simultaneous_readers_share_a_load(
    store: FakeStore, budget: MemoryBudget
) -> None:
    """Guards against as many copies of a job as there are readers."""
    cache = JobCache(store, budget)
    await asyncio.gather(*(get(cache, 1) for _ in range(20)))
    assert store.load_counts.total() == 1


async def test_cached_jobs_give_way_to_other_work(
    store: FakeStore, budget: MemoryBudget
) -> None:
    """Guards against work that is refused while jobs are cached.

    A job is not loaded while there is no memory for it.
    """
    cache = JobCache(store, budget)
    for number in range(3):
        await get(cache, number)
    with budget.reservation() as work:
        work.grow(10 * JOB_BYTES)
        with pytest.raises(MemoryExceededError):
            await get(cache, 0)
    assert budget.used_bytes == 0
    assert await get(cache, 0) is not None
