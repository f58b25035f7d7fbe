"""The batch jobs that run at this process."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.errors import StoreError
from dogwoodpost.services.background_tasks import BackgroundTasks
from dogwoodpost.services.batches.job_directory import JobDirectory
from dogwoodpost.services.batches.job_worker import JobWorker

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.core.batches import ItemResult
    from dogwoodpost.core.batches import JobHead
    from dogwoodpost.services.batches.batch_context import BatchContext
    from dogwoodpost.services.batches.job_cache import JobCache
    from dogwoodpost.services.batches.job_store import StoredHead
    from dogwoodpost.services.batches.result_cache import ResultCache

_log = structlog.get_logger(__name__)


class JobWorkers:
    """Starts each job that this process owns exactly once."""

    def __init__(
        self, context: BatchContext, jobs: JobCache, results: ResultCache
    ) -> None:
        self.directory = JobDirectory(self._head_changed)
        self.takes_jobs = True
        self._context = context
        self._jobs = jobs
        self._results = results
        self._workers: dict[ids.JobId, JobWorker] = {}
        self._starting: set[ids.JobId] = set()
        self._background = BackgroundTasks()

    @property
    def running_count(self) -> int:
        """Return how many items run here."""
        return sum(one.running_count for one in self._workers.values())

    def owns(self, head: JobHead) -> bool:
        """Return whether this run of the process owns a job."""
        identity = self._context.identity
        return head.belongs_to(identity.process_id, identity.incarnation)

    def has(self, job_id: ids.JobId) -> bool:
        """Return whether a job runs here, or is about to."""
        return job_id in self._workers or job_id in self._starting

    @contextmanager
    def starting(self, job_id: ids.JobId) -> Iterator[None]:
        """Keep a job from being started by another path meanwhile.

        The feed may tell of an accepted job before the answer comes.
        """
        self._starting.add(job_id)
        try:
            yield
        finally:
            self._starting.discard(job_id)

    def start(
        self,
        job: BatchJob,
        stored: StoredHead,
        listed: Sequence[ids.ItemId] = (),
    ) -> None:
        """Run a job.

        :param listed: items whose results are listed already.
        """
        job_id = job.job_id
        if job_id in self._workers:
            return

        def on_listed(new: StoredHead, results: list[ItemResult]) -> None:
            first = new.head.listed_count - len(results)
            self._results.add(job_id, first, results)
            self.directory.learn(job_id, new)

        worker = JobWorker(self._context, job, stored, listed, on_listed)
        self._workers[job_id] = worker
        self._background.spawn(self._run(job_id, worker))

    def adopt(self, job_id: ids.JobId, stored: StoredHead) -> None:
        """Run a job that this process owns and has not read."""
        self._background.spawn(self._adopt(job_id, stored))

    async def hand_over(self) -> None:
        """Leave all unfinished jobs to other processes."""
        self.takes_jobs = False
        workers = list(self._workers.values())
        await asyncio.gather(*(worker.hand_over() for worker in workers))

    async def cancel(self) -> None:
        """Stop all work."""
        await self._background.cancel()

    def _head_changed(
        self, job_id: ids.JobId, stored: StoredHead | None
    ) -> None:
        worker = self._workers.get(job_id)
        if worker is not None:
            if stored is not None:
                worker.note_head(stored)
            return
        if stored is None or stored.head.is_complete or not self.takes_jobs:
            return
        if self.owns(stored.head) and job_id not in self._starting:
            # Accepted or claimed by a call whose answer was lost.
            self.adopt(job_id, stored)

    async def _adopt(self, job_id: ids.JobId, stored: StoredHead) -> None:
        """Read what is needed to run a job, and run it."""
        with self.starting(job_id):
            try:
                job = await self._jobs.get(job_id)
                listed = await self._listed_items(job_id, stored.head)
            except StoreError as error:
                _log.warning('job_not_read', job_id=job_id, error=str(error))
                return
        if job is not None:
            self.start(job, stored, listed)

    async def _listed_items(
        self, job_id: ids.JobId, head: JobHead
    ) -> list[ids.ItemId]:
        listed: list[ids.ItemId] = []
        while len(listed) < head.listed_count:
            read = await self._context.store.results(job_id, len(listed))
            if not read:
                break
            listed += [result.item_id for result in read]
        return listed

    async def _run(self, job_id: ids.JobId, worker: JobWorker) -> None:
        try:
            await worker.run()
        finally:
            del self._workers[job_id]
