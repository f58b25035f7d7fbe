"""Cache of the batch jobs that this process has read or accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.allowed_regions import AllowedRegions
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.services.batches.job_store import JobStore

_MAX_JOB_COUNT = 64


class JobCache:
    """Keeps the most recently added jobs and loads others from the store."""

    def __init__(self, store: JobStore) -> None:
        self._store = store
        self._jobs: dict[ids.JobId, BatchJob] = {}

    def add(self, job: BatchJob) -> None:
        """Add a job; the oldest one is dropped if the cache is full."""
        self._jobs[job.job_id] = job
        while len(self._jobs) > _MAX_JOB_COUNT:
            self._jobs.pop(next(iter(self._jobs)))

    async def get(
        self, job_id: ids.JobId, allowed_regions: AllowedRegions
    ) -> BatchJob | None:
        """Return a job, None if there is none.

        :param allowed_regions: regions through which the bodies may pass.
        :raises StoreError: the job can't be read.
        """
        job = self._jobs.get(job_id)
        if job is None:
            job = await self._store.load(job_id, allowed_regions)
            if job is not None:
                self.add(job)
        return job
