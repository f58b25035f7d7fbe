"""Workers of the batch jobs that run at this process."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.expiring_keys import ExpiringKeys
from dogwoodpost.errors import MemoryExceededError
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
    from dogwoodpost.core.memory_budget import MemoryReservation
    from dogwoodpost.services.batches.batch_context import BatchContext
    from dogwoodpost.services.batches.job_cache import JobCache
    from dogwoodpost.services.batches.job_store import StoredHead
    from dogwoodpost.services.batches.result_cache import ResultCache

_log = structlog.get_logger(__name__)
_LOG_INTERVAL_S = 5.0


class JobWorkers:
    """Starts exactly one worker for each job that this process owns."""

    def __init__(
        self,
        context: BatchContext,
        job_cache: JobCache,
        result_cache: ResultCache,
    ) -> None:
        self.directory = JobDirectory(self._on_head_change)
        self.accepts_jobs = True
        self._context = context
        self._job_cache = job_cache
        self._result_cache = result_cache
        self._workers: dict[ids.JobId, JobWorker] = {}
        self._reserved_job_ids: set[ids.JobId] = set()
        self._background = BackgroundTasks()
        self._logged_jobs: ExpiringKeys[ids.JobId] = ExpiringKeys()

    @property
    def running_count(self) -> int:
        """Return how many items run here."""
        return sum(
            job_worker.running_count for job_worker in self._workers.values()
        )

    def owns(self, head: JobHead) -> bool:
        """Return whether this run of the process owns a job."""
        identity = self._context.identity
        return head.belongs_to(identity.process_id, identity.incarnation)

    def is_active(self, job_id: ids.JobId) -> bool:
        """Return whether a job runs here or is being started."""
        return job_id in self._workers or job_id in self._reserved_job_ids

    def running_job(self, job_id: ids.JobId) -> BatchJob | None:
        """Return a job that runs here, None if it does not."""
        worker = self._workers.get(job_id)
        return worker.job if worker is not None else None

    @contextmanager
    def reserve_start(self, job_id: ids.JobId) -> Iterator[None]:
        """Prevent other code paths from starting a job within the context.

        The feed of heads may deliver an accepted job before the store has
        answered the write.
        """
        self._reserved_job_ids.add(job_id)
        try:
            yield
        finally:
            self._reserved_job_ids.discard(job_id)

    def start(
        self,
        job: BatchJob,
        stored_head: StoredHead,
        memory: MemoryReservation,
        listed_item_ids: Sequence[ids.ItemId] = (),
    ) -> None:
        """Run a job unless it runs here already.

        :param memory: memory of the job, which the run takes over.
        :param listed_item_ids: items whose results are already listed.
        """
        job_id = job.job_id
        if job_id in self._workers or not self._may_run(job_id, stored_head):
            return

        def on_listed(
            listed_head: StoredHead, results: list[ItemResult]
        ) -> None:
            first_position = listed_head.head.listed_count - len(results)
            self._result_cache.add(job_id, first_position, results)
            self.directory.update(job_id, listed_head)

        worker = JobWorker(
            self._context, job, stored_head, listed_item_ids, on_listed
        )
        self._workers[job_id] = worker
        self._background.spawn(self._run(worker, memory.moved()))

    def load_and_start(
        self, job_id: ids.JobId, stored_head: StoredHead
    ) -> None:
        """Load a job that this process owns from the store and run it."""
        self._background.spawn(self._load_and_start(job_id, stored_head))

    async def hand_over(self) -> None:
        """Release all unfinished jobs to other processes."""
        self.accepts_jobs = False
        workers = list(self._workers.values())
        await asyncio.gather(*(worker.hand_over() for worker in workers))

    async def cancel(self) -> None:
        """Stop all work."""
        await self._background.cancel()

    def _on_head_change(
        self, job_id: ids.JobId, stored_head: StoredHead | None
    ) -> None:
        worker = self._workers.get(job_id)
        if worker is not None:
            if stored_head is not None:
                worker.update_head(stored_head)
            return
        if (
            stored_head is None
            or stored_head.head.is_complete
            or not self.accepts_jobs
        ):
            return
        if (
            self.owns(stored_head.head)
            and job_id not in self._reserved_job_ids
        ):
            # A write of this process took effect but its response was lost.
            self.load_and_start(job_id, stored_head)

    async def _load_and_start(
        self, job_id: ids.JobId, stored_head: StoredHead
    ) -> None:
        """Load a job and its listed items, and run it."""
        head = stored_head.head
        with (
            self.reserve_start(job_id),
            self._context.memory.reservation() as memory,
        ):
            try:
                job = await self._job_cache.get(
                    job_id, head, self._context.head_regions(head)
                )
                if job is None:
                    return
                memory.grow(self._context.job_memory_bytes(job))
                listed = await self._load_listed_item_ids(job_id, head)
            except StoreError as error:
                _log.warning('job_not_read', job_id=job_id, error=str(error))
            except MemoryExceededError as error:
                self.log_lack_of_memory(job_id, error)
            else:
                self.start(job, stored_head, memory, listed)

    def log_lack_of_memory(
        self, job_id: ids.JobId, error: MemoryExceededError
    ) -> None:
        """Log, at intervals, that a job can't be run here for now."""
        now_s = self._context.clock.monotonic_s()
        if job_id not in self._logged_jobs.current(now_s):
            self._logged_jobs.add(job_id, now_s + _LOG_INTERVAL_S)
            _log.warning(
                'job_waits_for_memory', job_id=job_id, error=str(error)
            )

    def _may_run(self, job_id: ids.JobId, stored_head: StoredHead) -> bool:
        """Return whether no newer head ends the job or gives it away.

        The feed may deliver such a head while the job is being stored or
        loaded, when no worker is there yet to receive it.
        """
        newest = self.directory.get(job_id)
        if newest is None or newest.version <= stored_head.version:
            return True
        may_run = not newest.head.is_complete and self.owns(newest.head)
        if not may_run:
            _log.info(
                'job_not_started',
                job_id=job_id,
                version=newest.version,
                owner=newest.head.owner_id,
                state=newest.head.state.value,
            )
        return may_run

    async def _load_listed_item_ids(
        self, job_id: ids.JobId, head: JobHead
    ) -> list[ids.ItemId]:
        listed: list[ids.ItemId] = []
        while len(listed) < head.listed_count:
            page = await self._context.store.results(job_id, len(listed))
            if not page:
                break
            listed += [result.item_id for result in page]
        return listed

    async def _run(self, worker: JobWorker, memory: MemoryReservation) -> None:
        try:
            await worker.run()
        finally:
            del self._workers[worker.job.job_id]
            memory.release()
