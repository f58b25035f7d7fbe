"""Takes over batch jobs whose owner process is gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import mode
import msgspec
import structlog

from dogwoodpost.core.batches.takeover import takeover_delay_s
from dogwoodpost.errors import MemoryExceededError
from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.services.background_tasks import BackgroundTasks
from dogwoodpost.services.batches.job_store import StoredHead

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.batches import JobHead
    from dogwoodpost.services.batches.batch_context import BatchContext
    from dogwoodpost.services.batches.job_workers import JobWorkers
    from dogwoodpost.services.membership.presence_service import (
        PresenceService,
    )

_log = structlog.get_logger(__name__)
_CHECK_INTERVAL_S = 0.25
_WRITE_TIMEOUT_S = 1.0


class TakeoverWatch(mode.Service):
    """Claims open jobs whose owner is not among the live processes.

    Also starts jobs that this process owns but does not run.
    """

    def __init__(
        self,
        context: BatchContext,
        presence: PresenceService,
        workers: JobWorkers,
    ) -> None:
        super().__init__()
        self._context = context
        self._presence = presence
        self._workers = workers
        self._orphaned_since_s: dict[ids.JobId, float] = {}
        self._background = BackgroundTasks()

    async def on_stop(self) -> None:
        """Cancel takeovers in progress."""
        await self._background.cancel()

    @mode.Service.task
    async def _check_owners(self) -> None:
        while not self.should_stop:
            now_s = self._context.clock.monotonic_s()
            for job_id, stored_head in self._workers.directory.heads():
                if self._is_orphaned(job_id, stored_head.head, now_s):
                    self._take_over_if_due(job_id, stored_head, now_s)
                else:
                    self._orphaned_since_s.pop(job_id, None)
            await self._context.clock.sleep(_CHECK_INTERVAL_S)

    def _is_orphaned(
        self, job_id: ids.JobId, head: JobHead, now_s: float
    ) -> bool:
        if head.is_complete or not self._workers.accepts_jobs:
            return False
        if not self._presence.is_confirmed:
            self._orphaned_since_s.clear()
            return False
        if self._workers.owns(head):
            return not self._workers.is_active(job_id)
        return not self._presence.view.is_alive(
            head.owner_id, head.owner_incarnation, now_s
        )

    def _take_over_if_due(
        self, job_id: ids.JobId, stored_head: StoredHead, now_s: float
    ) -> None:
        is_new = job_id not in self._orphaned_since_s
        since_s = self._orphaned_since_s.setdefault(job_id, now_s)
        allowed_regions = self._context.head_regions(stored_head.head)
        candidate_ids = self._presence.live_process_ids(allowed_regions)
        if not allowed_regions.permits(self._presence.region):
            if is_new and not candidate_ids:
                _log.warning(
                    'job_waits_for_region',
                    job_id=job_id,
                    previous_owner=stored_head.head.owner_id,
                    route=stored_head.head.route_name,
                )
            return
        delay_s = takeover_delay_s(
            job_id, self._context.identity.process_id, candidate_ids
        )
        if now_s - since_s < delay_s or self._workers.is_active(job_id):
            return
        self._orphaned_since_s.pop(job_id, None)
        if self._workers.owns(stored_head.head):
            self._workers.load_and_start(job_id, stored_head)
        else:
            self._background.spawn(self._take_over(job_id, stored_head))

    async def _take_over(
        self, job_id: ids.JobId, stored_head: StoredHead
    ) -> None:
        try:
            self._check_memory(stored_head.head)
        except MemoryExceededError as error:
            # Another process takes the job over, or this one does later.
            self._workers.log_lack_of_memory(job_id, error)
            return
        identity = self._context.identity
        head = msgspec.structs.replace(
            stored_head.head,
            owner_id=identity.process_id,
            owner_incarnation=identity.incarnation,
        )
        deadline_s = self._context.clock.monotonic_s() + _WRITE_TIMEOUT_S
        try:
            version = await self._context.store.write_head(
                job_id, stored_head.version, head, (), deadline_s
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
            previous_owner=stored_head.head.owner_id,
            listed=head.listed_count,
            total=head.total_count,
        )
        self._workers.directory.update(job_id, StoredHead(head, version))

    def _check_memory(self, head: JobHead) -> None:
        """Check that a job can be run here now.

        :raises MemoryExceededError: it would take too much memory.
        """
        with self._context.memory.reservation() as memory:
            memory.grow(head.memory_bytes)
