"""Accepts, ends and runs batch jobs."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core.batches import JobHead
from dogwoodpost.core.batches import JobState
from dogwoodpost.core.batches.job_memory import max_job_memory_bytes
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.errors import MemoryExceededError
from dogwoodpost.errors import RequestError
from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.ports.job_forwarding import ForwardOutcome
from dogwoodpost.services.batches.job_cache import JobCache
from dogwoodpost.services.batches.job_cleaner import JobCleaner
from dogwoodpost.services.batches.job_reader import JobReader
from dogwoodpost.services.batches.job_store import StoredHead
from dogwoodpost.services.batches.job_workers import JobWorkers
from dogwoodpost.services.batches.result_cache import ResultCache
from dogwoodpost.services.batches.takeover_watch import TakeoverWatch
from dogwoodpost.services.composite_service import CompositeService
from dogwoodpost.services.entry.refusals import memory_refusal
from dogwoodpost.services.entry.refusals import store_unavailable

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core import ids
    from dogwoodpost.core.allowed_regions import AllowedRegions
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.core.membership.peer_states import ItemDemand
    from dogwoodpost.core.memory_budget import MemoryBudget
    from dogwoodpost.core.memory_budget import MemoryReservation
    from dogwoodpost.ports.job_forwarding import JobSubmission
    from dogwoodpost.services.batches.batch_context import BatchContext
    from dogwoodpost.services.batches.job_forwarder import JobForwarder
    from dogwoodpost.services.membership.presence_service import (
        PresenceService,
    )

_log = structlog.get_logger(__name__)
_NO_REGION_RETRY_AFTER_S = 1.0
# Hosts with more memory may replace those that can't run a job.
_TOO_LARGE_RETRY_AFTER_S = 2.0


class BatchService(CompositeService):
    """Accepts, ends and runs batch jobs at one process.

    ``reader`` answers the calls that read jobs.

    :param retention_s: how long results stay readable after acceptance.
    :param settle_s: time within which all processes have to show what one of
        them has shown, in seconds.
    """

    def __init__(
        self,
        context: BatchContext,
        presence: PresenceService,
        forwarder: JobForwarder,
        *,
        retention_s: float,
        settle_s: float,
    ) -> None:
        super().__init__()
        self._context = context
        self._presence = presence
        self._forwarder = forwarder
        self._job_cache = JobCache(context.store, context.memory)
        self._result_cache = ResultCache(context.memory)
        self._workers = JobWorkers(
            context, self._job_cache, self._result_cache
        )
        self.directory = self._workers.directory
        self.reader = JobReader(
            context,
            self._workers,
            self._job_cache,
            self._result_cache,
            settle_s=settle_s,
        )
        self._takeover_watch = TakeoverWatch(context, presence, self._workers)
        self._job_cleaner = JobCleaner(
            context,
            presence,
            self.directory,
            self._job_cache,
            retention_s=retention_s,
        )
        context.metrics.add_gauge(
            'complete_open_jobs',
            'Complete batch jobs that are kept until their clients end them.',
            lambda: len(self._kept_open_since_s()),
        )
        context.metrics.add_gauge(
            'oldest_complete_open_job_timestamp_seconds',
            'Acceptance of the oldest of these jobs; 0 without any.',
            lambda: min(self._kept_open_since_s(), default=0.0),
        )

    def _kept_open_since_s(self) -> list[float]:
        """Return when the jobs that only wait for their end were accepted."""
        return [
            stored_head.head.accepted_wall_s
            for _, stored_head in self.directory.heads()
            if stored_head.head.is_kept_open
        ]

    async def open_parts(self) -> None:
        """Start the background parts of the service."""
        await self.open_part(self._running_workers())
        await self.run_part(self._takeover_watch)
        await self.run_part(self._job_cleaner)

    @asynccontextmanager
    async def _running_workers(self) -> AsyncIterator[None]:
        try:
            yield
        finally:
            await self._workers.cancel()

    @property
    def memory(self) -> MemoryBudget:
        """Return the memory for all work of the process."""
        return self._context.memory

    @property
    def running_count(self) -> int:
        """Return how many items run here."""
        return self._workers.running_count

    def own_demands(self, now_s: float) -> tuple[ItemDemand, ...]:
        """Return what each trainer runs and waits for at this process."""
        return self._context.dispatcher.own_demands(now_s)

    async def submit(
        self,
        job: BatchJob,
        deadline_s: float,
        submission: JobSubmission | None,
        memory: MemoryReservation,
    ) -> None:
        """Store a job durably, here or through another process.

        :param deadline_s: when storing must end, on the process's clock.
        :param memory: memory that the job takes while it is submitted; if it
            runs here, it keeps the memory until its run ends.
        :param submission: the client's call, None if another process has
            forwarded it.
        :raises RequestError: the job is not accepted, or the outcome is
            unknown.
        """
        if self.directory.get(job.job_id) is not None:
            return
        allowed_regions = self._context.routes.allowed_regions(
            job.route_name, job.client_account_id
        )
        self._check_has_region(job, allowed_regions)
        self._check_size(job, allowed_regions)
        if submission is None:
            self._check_accepts_forwarded()
            await self._accept(job, deadline_s, memory)
            return
        outcome = await self._forwarder.forward(
            job, submission, allowed_regions
        )
        if outcome is ForwardOutcome.ACCEPTED:
            return
        try:
            await self._accept(job, deadline_s, memory)
        except RequestError as error:
            if error.not_run and outcome is ForwardOutcome.UNKNOWN:
                # The other process may still store the job.
                raise RequestError(
                    'outcome_unknown', str(error), status=504
                ) from error
            raise

    async def end(
        self,
        job_id: ids.JobId,
        client_account_id: ids.ClientAccountId | None,
        deadline_s: float,
    ) -> None:
        """End a job; listed results stay readable.

        :raises RequestError: there is no such job, or the store did not
            confirm the change.
        """
        while True:
            stored_head = await self.reader.head(job_id, client_account_id)
            if stored_head.head.is_ended:
                return
            head = msgspec.structs.replace(
                stored_head.head, state=JobState.ENDED
            )
            try:
                version = await self._context.store.write_head(
                    job_id, stored_head.version, head, (), deadline_s
                )
            except RowConflictError:
                await self.reader.refresh(job_id)
            except StoreError as error:
                raise store_unavailable(str(error)) from error
            else:
                self.directory.update(job_id, StoredHead(head, version))
                _log.info('job_ended', job_id=job_id, version=version)
                return

    async def hand_over(self) -> None:
        """Release all unfinished jobs to other processes."""
        await self._workers.hand_over()

    def _check_has_region(
        self, job: BatchJob, allowed_regions: AllowedRegions
    ) -> None:
        """Refuse a job that no endpoint in an allowed region can run.

        :raises RequestError: there is no such endpoint.
        """
        if not allowed_regions.is_limited:
            return
        configuration = self._context.routes.configuration
        route = configuration.routes.get(job.route_name)
        if route is None:
            return
        router = self._context.router
        if any(
            router.has_endpoint(
                RouteQuery(service=service, allowed_regions=allowed_regions)
            )
            for service in route.services
        ):
            return
        raise RequestError(
            'no_endpoint',
            'no endpoint of the job is in a region that route and client '
            'account allow',
            status=503,
            not_run=True,
            retry_after_s=_NO_REGION_RETRY_AFTER_S,
        )

    def _check_size(
        self, job: BatchJob, allowed_regions: AllowedRegions
    ) -> None:
        """Refuse a job that is too large for a process which may run it.

        Any process in the allowed regions may have to take the job over, so
        the one with the least memory decides.

        :raises RequestError: the job is too large.
        """
        size_bytes = self._context.job_memory_bytes(job)
        max_bytes = max_job_memory_bytes(
            self._presence.least_memory_bytes(allowed_regions)
        )
        if size_bytes <= max_bytes:
            return
        _log.warning(
            'job_too_large',
            job_id=job.job_id,
            items=len(job.items),
            size_bytes=size_bytes,
            max_bytes=max_bytes,
        )
        raise RequestError(
            'job_too_large',
            f'the job takes {size_bytes} bytes of memory, and a process can '
            f'run jobs of {max_bytes} bytes; split the job',
            status=503,
            not_run=True,
            retry_after_s=_TOO_LARGE_RETRY_AFTER_S,
        )

    def _check_accepts_forwarded(self) -> None:
        """Refuse a forwarded job if the sender should accept it itself.

        :raises RequestError: this process is leaving or may be cut off from
            the store.
        """
        is_leaving = self._presence.is_leaving
        if is_leaving or not self._presence.is_confirmed:
            raise RequestError(
                'no_owner',
                'this process takes no jobs from others now',
                status=503,
                not_run=True,
            )

    async def _accept(
        self, job: BatchJob, deadline_s: float, memory: MemoryReservation
    ) -> None:
        """Store a job and run it.

        :raises RequestError: the job is not accepted, or the outcome is
            unknown.
        """
        size_bytes = self._context.job_memory_bytes(job)
        try:
            memory.resize(size_bytes)
        except MemoryExceededError as error:
            raise memory_refusal(error) from error
        identity = self._context.identity
        head = JobHead(
            owner_id=identity.process_id,
            owner_incarnation=identity.incarnation,
            client_account_id=job.client_account_id,
            accepted_wall_s=job.accepted_wall_s,
            total_count=len(job.items),
            route_name=job.route_name,
            memory_bytes=size_bytes,
        )
        with self._workers.reserve_start(job.job_id):
            version = await self._store_job(job, head, deadline_s)
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
        self._job_cache.add(job)
        stored_head = StoredHead(head, version)
        self._workers.start(job, stored_head, memory)
        self.directory.update(job.job_id, stored_head)

    async def _store_job(
        self, job: BatchJob, head: JobHead, deadline_s: float
    ) -> int | None:
        """Store a job; return its head's version, None if already stored.

        :raises RequestError: the job is not accepted, or the outcome is
            unknown.
        """
        try:
            return await self._context.store.accept(
                job, head, deadline_s, self._context.head_regions(head)
            )
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
            raise store_unavailable(str(error)) from error
