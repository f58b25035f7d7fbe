"""Accepts, serves and takes over batch jobs."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core.batches import ItemResult
from dogwoodpost.core.batches import JobHead
from dogwoodpost.core.batches import JobState
from dogwoodpost.errors import RequestError
from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.ports.job_forwarding import ForwardOutcome
from dogwoodpost.services.batches.job_cache import JobCache
from dogwoodpost.services.batches.job_cleaner import JobCleaner
from dogwoodpost.services.batches.job_store import StoredHead
from dogwoodpost.services.batches.job_workers import JobWorkers
from dogwoodpost.services.batches.result_cache import ResultCache
from dogwoodpost.services.batches.takeover_watch import TakeoverWatch
from dogwoodpost.services.composite_service import CompositeService

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.ports.job_forwarding import JobSubmission
    from dogwoodpost.services.batches.batch_context import BatchContext
    from dogwoodpost.services.batches.job_forwarder import JobForwarder
    from dogwoodpost.services.membership.presence_service import (
        PresenceService,
    )

_log = structlog.get_logger(__name__)
# Heads older than this are read from the store before a client is told that
# nothing is there.
_MAX_HEAD_AGE_S = 1.5


class ResultPage(msgspec.Struct, frozen=True, kw_only=True):
    """Results from one position on."""

    total_count: int
    results: tuple[ItemResult, ...]
    next_position: int


class BatchService(CompositeService):
    """Batch jobs at one process.

    :param retention_s: how long results stay readable after acceptance.
    """

    def __init__(
        self,
        context: BatchContext,
        presence: PresenceService,
        forwarder: JobForwarder,
        *,
        retention_s: float,
    ) -> None:
        super().__init__()
        self._context = context
        self._presence = presence
        self._forwarder = forwarder
        self._jobs = JobCache(context.store)
        self._cache = ResultCache()
        self._workers = JobWorkers(context, self._jobs, self._cache)
        self.directory = self._workers.directory
        self._takeovers = TakeoverWatch(context, presence, self._workers)
        self._cleaner = JobCleaner(
            context, presence, self.directory, retention_s=retention_s
        )

    async def open_parts(self) -> None:
        """Start the work beside clients' calls."""
        await self.open_part(self._running_workers())
        await self.run_part(self._takeovers)
        await self.run_part(self._cleaner)

    @asynccontextmanager
    async def _running_workers(self) -> AsyncIterator[None]:
        try:
            yield
        finally:
            await self._workers.cancel()

    @property
    def running_count(self) -> int:
        """Return how many items run here."""
        return self._workers.running_count

    async def submit(
        self,
        job: BatchJob,
        deadline_s: float,
        submission: JobSubmission | None,
    ) -> None:
        """Store a job; when this returns, it is kept.

        :param submission: the client's call, None if another process has
            passed it on.
        :raises RequestError: it is not accepted, or that is unknown.
        """
        if self.directory.get(job.job_id) is not None:
            return
        if submission is None:
            self._check_takes_forwarded()
            await self._accept(job, deadline_s)
            return
        outcome = await self._forwarder.forward(job, submission)
        if outcome is ForwardOutcome.ACCEPTED:
            return
        try:
            await self._accept(job, deadline_s)
        except RequestError as error:
            if error.not_run and outcome is ForwardOutcome.UNKNOWN:
                # The other process may still store it.
                raise RequestError(
                    'outcome_unknown', str(error), status=504
                ) from error
            raise

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
            job = await self._jobs.get(job_id)
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
        await self._workers.hand_over()

    def _check_takes_forwarded(self) -> None:
        """Refuse at once what another process can better accept itself.

        :raises RequestError: this process may be cut off, or is leaving.
        """
        is_leaving = self._presence.is_leaving
        if is_leaving or not self._presence.is_confirmed:
            raise RequestError(
                'no_owner',
                'this process takes no jobs from others now',
                status=503,
                not_run=True,
            )

    async def _accept(self, job: BatchJob, deadline_s: float) -> None:
        identity = self._context.identity
        head = JobHead(
            owner_id=identity.process_id,
            owner_incarnation=identity.incarnation,
            client_account_id=job.client_account_id,
            accepted_wall_s=job.accepted_wall_s,
            total_count=len(job.items),
        )
        with self._workers.starting(job.job_id):
            version = await self._write(job, head, deadline_s)
        if version is None:
            _log.info('job_known', job_id=job.job_id)
            return
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
        self._jobs.add(job)
        stored = StoredHead(head, version)
        self._workers.start(job, stored)
        self.directory.learn(job.job_id, stored)

    async def _write(
        self, job: BatchJob, head: JobHead, deadline_s: float
    ) -> int | None:
        """Return the version of a new job's head, None if it is known.

        :raises RequestError: it is not accepted, or that is unknown.
        """
        try:
            return await self._context.store.accept(job, head, deadline_s)
        except RowConflictError:
            return None
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
