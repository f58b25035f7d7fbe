"""Cache of the batch jobs that this process has read or accepted."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.batches import BatchJob
from dogwoodpost.core.batches.job_memory import job_memory_bytes
from dogwoodpost.core.memory_budget import MemoryReservation
from dogwoodpost.errors import MemoryExceededError

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.allowed_regions import AllowedRegions
    from dogwoodpost.core.batches import JobHead
    from dogwoodpost.core.memory_budget import MemoryBudget
    from dogwoodpost.services.batches.job_store import JobStore

# Share of the memory for all work of a process.
_MAX_SHARE = 0.3
# Heads of an earlier version don't state the memory of their job.
_UNKNOWN_JOB_BYTES = 1024 * 1024


class _CachedJob(msgspec.Struct, frozen=True):
    job: BatchJob
    memory: MemoryReservation


class JobCache:
    """Keeps the jobs used last and loads others from the store.

    :param budget: memory for all work; cached jobs give way to other uses.
    """

    def __init__(self, store: JobStore, budget: MemoryBudget) -> None:
        self._store = store
        self._budget = budget
        self._cache_budget = budget.part(int(budget.max_bytes * _MAX_SHARE))
        self._cache_budget.add_reclaimer(self._drop_oldest)
        budget.add_reclaimer(self._drop_oldest)
        self._jobs: OrderedDict[ids.JobId, _CachedJob] = OrderedDict()
        self._load_locks: dict[ids.JobId, asyncio.Lock] = {}

    def add(self, job: BatchJob) -> None:
        """Add a job unless there is no memory for it."""
        if job.job_id in self._jobs:
            return
        memory = MemoryReservation(self._cache_budget)
        try:
            memory.grow(job_memory_bytes(job, max_started_count=0))
        except MemoryExceededError:
            return
        self._jobs[job.job_id] = _CachedJob(job, memory)

    async def get(
        self, job_id: ids.JobId, head: JobHead, allowed_regions: AllowedRegions
    ) -> BatchJob | None:
        """Return a job, None if there is none.

        :param allowed_regions: regions through which the bodies may pass.
        :raises StoreError: the job can't be read.
        :raises MemoryExceededError: there is no memory to load it now.
        """
        lock = self._load_locks.setdefault(job_id, asyncio.Lock())
        try:
            async with lock:
                return await self._get_or_load(job_id, head, allowed_regions)
        finally:
            if not lock.locked():
                self._load_locks.pop(job_id, None)

    async def _get_or_load(
        self, job_id: ids.JobId, head: JobHead, allowed_regions: AllowedRegions
    ) -> BatchJob | None:
        cached = self._jobs.get(job_id)
        if cached is not None:
            self._jobs.move_to_end(job_id)
            return cached.job
        with self._budget.reservation() as memory:
            memory.grow(head.memory_bytes or _UNKNOWN_JOB_BYTES)
            job = await self._store.load(job_id, allowed_regions)
        if job is not None:
            self.add(job)
        return job

    def _drop_oldest(self, missing_bytes: int) -> None:
        """Drop the jobs used longest ago until the bytes are free."""
        freed_bytes = 0
        while self._jobs and freed_bytes < missing_bytes:
            _, cached = self._jobs.popitem(last=False)
            freed_bytes += cached.memory.size_bytes
            cached.memory.release()
