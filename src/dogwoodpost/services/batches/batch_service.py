"""Accepts, serves and takes over batch jobs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import mode
import msgspec
import structlog

from dogwoodpost.core.batches import ItemResult
from dogwoodpost.core.batches import JobHead
from dogwoodpost.core.batches import JobState
from dogwoodpost.core.batches.takeover import takeover_delay_s
from dogwoodpost.errors import RequestError
from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.services.background_tasks import BackgroundTasks
from dogwoodpost.services.batches.job_directory import JobDirectory
from dogwoodpost.services.batches.job_store import StoredHead
from dogwoodpost.services.batches.job_worker import JobWorker
from dogwoodpost.services.batches.result_cache import ResultCache

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.services.batches.batch_context import BatchContext
    from dogwoodpost.services.membership.presence_service import (
        PresenceService,
    )

_log = structlog.get_logger(__name__)
_TAKEOVER_CHECK_S = 0.25
_WRITE_TIMEOUT_S = 1.0
# Heads older than this are read from the store before a client is told that
# nothing is there.
_MAX_HEAD_AGE_S = 1.5
_MAX_CACHED_JOB_COUNT = 64
_CLEAN_UP_INTERVAL_S = 5.0
_CLEAN_UP_TIMEOUT_S = 5.0
# Results stay readable for longer than is promised.
_RETENTION_MARGIN_S = 60.0


class ResultPage(msgspec.Struct, frozen=True, kw_only=True):
    """Results from one position on."""

    total_count: int
    results: tuple[ItemResult, ...]
    next_position: int


class BatchService(mode.Service):
    """Batch jobs at one process.

    :param retention_s: how long results stay readable after acceptance.
    """

    def __init__(
        self,
        context: BatchContext,
        presence: PresenceService,
        *,
        retention_s: float,
    ) -> None:
        super().__init__()
        self.directory = JobDirectory(self._head_changed)
        self._context = context
        self._presence = presence
        self._retention_s = retention_s + _RETENTION_MARGIN_S
        self._workers: dict[ids.JobId, JobWorker] = {}
        self._adopting: set[ids.JobId] = set()
        self._orphaned_since_s: dict[ids.JobId, float] = {}
        self._jobs: dict[ids.JobId, BatchJob] = {}
        self._cache = ResultCache()
        self._background = BackgroundTasks()
        self._accepting = True

    async def on_stop(self) -> None:
        """Stop all work."""
        await self._background.cancel()

    @property
    def running_count(self) -> int:
        """Return how many items run here."""
        return sum(one.running_count for one in self._workers.values())

    async def submit(self, job: BatchJob, deadline_s: float) -> None:
        """Store a job; when this returns, it is kept.

        :raises RequestError: it is not accepted, or that is unknown.
        """
        known = self.directory.get(job.job_id)
        if known is None:
            await self._accept(job, deadline_s)

    async def results(
        self,
        job_id: ids.JobId,
        client_account_id: ids.ClientAccountId | None,
        first: int,
        wait_s: float,
    ) -> ResultPage:
        """Return results from a position on, waiting for one if asked to.

        :raises RequestError: there is no such job, or it can't be read.
        """
        clock = self._context.clock
        end_s = clock.monotonic_s() + wait_s
        while True:
            stored = await self._head(job_id, client_account_id)
            head = stored.head
            found = await self._results(job_id, first, head)
            left_s = end_s - clock.monotonic_s()
            if found or head.is_complete or left_s <= 0.0:
                return ResultPage(
                    total_count=head.total_count,
                    results=tuple(found),
                    next_position=first + len(found),
                )
            await self.directory.wait_change(
                job_id, stored.version, min(left_s, _MAX_HEAD_AGE_S)
            )

    async def item_body(
        self,
        job_id: ids.JobId,
        client_account_id: ids.ClientAccountId | None,
        item_id: ids.ItemId,
    ) -> bytes:
        """Return the body of an item of an open job.

        :raises RequestError: there is no such item, or it can't be read.
        """
        await self._head(job_id, client_account_id)
        try:
            job = await self._job(job_id)
        except StoreError as error:
            raise _unreadable(error) from error
        if job is not None:
            for item in job.items:
                if item.item_id == item_id:
                    return item.body
        raise _unknown_job()

    async def end(
        self,
        job_id: ids.JobId,
        client_account_id: ids.ClientAccountId | None,
        deadline_s: float,
    ) -> None:
        """End a job; what is listed stays.

        :raises RequestError: there is no such job, or it is not known to have
            ended.
        """
        while True:
            stored = await self._head(job_id, client_account_id)
            if stored.head.state is JobState.ENDED:
                return
            head = msgspec.structs.replace(stored.head, state=JobState.ENDED)
            try:
                version = await self._context.store.write_head(
                    job_id, stored.version, head, (), deadline_s
                )
            except RowConflictError:
                await self._refresh(job_id)
            except StoreError as error:
                raise _unreadable(error) from error
            else:
                self.directory.learn(job_id, StoredHead(head, version))
                _log.info('job_ended', job_id=job_id, version=version)
                return

    async def hand_over(self) -> None:
        """Leave all unfinished jobs to other processes."""
        self._accepting = False
        workers = list(self._workers.values())
        await asyncio.gather(*(worker.hand_over() for worker in workers))

    async def _accept(self, job: BatchJob, deadline_s: float) -> None:
        identity = self._context.identity
        head = JobHead(
            owner_id=identity.process_id,
            owner_incarnation=identity.incarnation,
            client_account_id=job.client_account_id,
            accepted_wall_s=job.accepted_wall_s,
            total_count=len(job.items),
        )
        # The feed may tell of the job before the answer comes; only one of
        # the two starts it.
        self._adopting.add(job.job_id)
        try:
            version = await self._context.store.accept(job, head, deadline_s)
        except RowConflictError:
            _log.info('job_known', job_id=job.job_id)
            return
        except StoreOutcomeUnknownError as error:
            _log.warning(
                'job_outcome_unknown', job_id=job.job_id, error=str(error)
            )
            raise RequestError(
                'outcome_unknown', str(error), status=504
            ) from error
        except StoreError as error:
            _log.warning('job_refused', job_id=job.job_id, error=str(error))
            raise RequestError(
                'store_unavailable',
                str(error),
                status=503,
                not_run=True,
                retry_after_s=0.2,
            ) from error
        finally:
            self._adopting.discard(job.job_id)
        _log.info(
            'job_accepted',
            job_id=job.job_id,
            version=version,
            step=job.step,
            model=job.model,
            min_version=job.min_version,
            items=len(job.items),
            desired_groups=job.desired_group_count,
        )
        self._jobs[job.job_id] = job
        stored = StoredHead(head, version)
        self._start_worker(job, stored, ())
        self.directory.learn(job.job_id, stored)

    async def _head(
        self,
        job_id: ids.JobId,
        client_account_id: ids.ClientAccountId | None,
    ) -> StoredHead:
        """Return a job's head for its client account.

        :raises RequestError: there is no such job, or that is not known.
        """
        stored = self.directory.get(job_id)
        age_s = self._context.clock.monotonic_s() - self.directory.contact_s
        if stored is None or age_s > _MAX_HEAD_AGE_S:
            try:
                stored = await self._refresh(job_id)
            except StoreError as error:
                raise _unreadable(error) from error
        if stored is None:
            raise _unknown_job()
        if stored.head.client_account_id != client_account_id:
            raise _unknown_job()
        return stored

    async def _refresh(self, job_id: ids.JobId) -> StoredHead | None:
        stored = await self._context.store.read_head(job_id)
        if stored is not None:
            self.directory.learn(job_id, stored)
        return stored

    async def _results(
        self, job_id: ids.JobId, first: int, head: JobHead
    ) -> list[ItemResult]:
        found = self._cache.page(job_id, first)
        if found or first >= head.listed_count:
            return found
        try:
            read = await self._context.store.results(job_id, first)
        except StoreError as error:
            raise _unreadable(error) from error
        self._cache.add(job_id, first, read)
        return self._cache.page(job_id, first) or read[:1]

    async def _job(self, job_id: ids.JobId) -> BatchJob | None:
        job = self._jobs.get(job_id)
        if job is None:
            job = await self._context.store.load(job_id)
            if job is not None:
                self._jobs[job_id] = job
        while len(self._jobs) > _MAX_CACHED_JOB_COUNT:
            self._jobs.pop(next(iter(self._jobs)))
        return job

    def _head_changed(
        self, job_id: ids.JobId, stored: StoredHead | None
    ) -> None:
        worker = self._workers.get(job_id)
        if worker is not None:
            if stored is not None:
                worker.note_head(stored)
            return
        if stored is None or stored.head.is_complete or not self._accepting:
            return
        if self._owns(stored.head) and job_id not in self._adopting:
            # Accepted or claimed by a call whose answer was lost.
            self._background.spawn(self._adopt(job_id, stored))

    def _owns(self, head: JobHead) -> bool:
        identity = self._context.identity
        return head.belongs_to(identity.process_id, identity.incarnation)

    async def _adopt(self, job_id: ids.JobId, stored: StoredHead) -> None:
        """Read what is needed to run a job that this process owns."""
        self._adopting.add(job_id)
        try:
            job = await self._job(job_id)
            listed = await self._listed_items(job_id, stored.head)
        except StoreError as error:
            _log.warning('job_not_read', job_id=job_id, error=str(error))
            return
        finally:
            self._adopting.discard(job_id)
        if job is not None and job_id not in self._workers:
            self._start_worker(job, stored, listed)

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

    def _start_worker(
        self,
        job: BatchJob,
        stored: StoredHead,
        listed: tuple[ids.ItemId, ...] | list[ids.ItemId],
    ) -> None:
        if job.job_id in self._workers:
            return

        def on_listed(new: StoredHead, results: list[ItemResult]) -> None:
            first = new.head.listed_count - len(results)
            self._cache.add(job.job_id, first, results)
            self.directory.learn(job.job_id, new)

        worker = JobWorker(self._context, job, stored, listed, on_listed)
        self._workers[job.job_id] = worker
        self._background.spawn(self._run_worker(job.job_id, worker))

    async def _run_worker(self, job_id: ids.JobId, worker: JobWorker) -> None:
        try:
            await worker.run()
        finally:
            del self._workers[job_id]

    @mode.Service.task
    async def _watch_owners(self) -> None:
        while not self.should_stop:
            now_s = self._context.clock.monotonic_s()
            for job_id, stored in self.directory.heads():
                if self._is_orphaned(job_id, stored.head, now_s):
                    self._consider_takeover(job_id, stored, now_s)
                else:
                    self._orphaned_since_s.pop(job_id, None)
            await self._context.clock.sleep(_TAKEOVER_CHECK_S)

    def _is_orphaned(
        self, job_id: ids.JobId, head: JobHead, now_s: float
    ) -> bool:
        if head.is_complete or not self._accepting:
            return False
        if not self._presence.is_confirmed:
            self._orphaned_since_s.clear()
            return False
        if self._owns(head):
            return job_id not in self._workers
        return not self._presence.view.is_alive(
            head.owner_id, head.owner_incarnation, now_s
        )

    def _consider_takeover(
        self, job_id: ids.JobId, stored: StoredHead, now_s: float
    ) -> None:
        since_s = self._orphaned_since_s.setdefault(job_id, now_s)
        delay_s = takeover_delay_s(
            job_id,
            self._context.identity.process_id,
            self._presence.view.alive(now_s),
        )
        if now_s - since_s < delay_s or job_id in self._adopting:
            return
        self._orphaned_since_s.pop(job_id, None)
        if self._owns(stored.head):
            self._background.spawn(self._adopt(job_id, stored))
        else:
            self._background.spawn(self._take_over(job_id, stored))

    async def _take_over(self, job_id: ids.JobId, stored: StoredHead) -> None:
        identity = self._context.identity
        head = msgspec.structs.replace(
            stored.head,
            owner_id=identity.process_id,
            owner_incarnation=identity.incarnation,
        )
        deadline_s = self._context.clock.monotonic_s() + _WRITE_TIMEOUT_S
        try:
            version = await self._context.store.write_head(
                job_id, stored.version, head, (), deadline_s
            )
        except RowConflictError:
            _log.info('job_taken_elsewhere', job_id=job_id)
            return
        except StoreError as error:
            _log.info('job_not_taken', job_id=job_id, error=str(error))
            return
        _log.info(
            'job_taken_over',
            job_id=job_id,
            version=version,
            previous_owner=stored.head.owner_id,
            listed=head.listed_count,
            total=head.total_count,
        )
        self.directory.learn(job_id, StoredHead(head, version))

    @mode.Service.task
    async def _clean_up(self) -> None:
        """Delete jobs whose results need not be readable any more."""
        while not self.should_stop:
            await self._context.clock.sleep(_CLEAN_UP_INTERVAL_S)
            oldest_s = self._context.clock.wall_s() - self._retention_s
            for job_id, stored in self.directory.heads():
                expired = stored.head.accepted_wall_s < oldest_s
                if expired and stored.head.is_complete:
                    await self._delete_if_first(job_id)

    async def _delete_if_first(self, job_id: ids.JobId) -> None:
        clock = self._context.clock
        delay_s = takeover_delay_s(
            job_id,
            self._context.identity.process_id,
            self._presence.view.alive(clock.monotonic_s()),
        )
        if delay_s > 0.0:
            return
        deadline_s = clock.monotonic_s() + _CLEAN_UP_TIMEOUT_S
        try:
            await self._delete_texts(job_id)
            await self._context.store.delete(job_id, deadline_s)
        except StoreError as error:
            _log.info('job_not_deleted', job_id=job_id, error=str(error))
        else:
            _log.info('job_deleted', job_id=job_id)

    async def _delete_texts(self, job_id: ids.JobId) -> None:
        job = await self._context.store.load(job_id)
        groups = {item.group_id for item in job.items} if job else set()
        for group_id in groups:
            if group_id is not None:
                await self._context.archive.delete(group_id)


def _unknown_job() -> RequestError:
    return RequestError(
        'unknown_job', 'there is no such batch job', status=404, not_run=True
    )


def _unreadable(error: StoreError) -> RequestError:
    return RequestError(
        'store_unavailable',
        str(error),
        status=503,
        not_run=True,
        retry_after_s=0.2,
    )
