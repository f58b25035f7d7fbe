"""Deletes ended batch jobs after their retention time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import mode
import structlog

from dogwoodpost.core.batches.takeover import takeover_delay_s
from dogwoodpost.errors import MemoryExceededError
from dogwoodpost.errors import StoreError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core import ids
    from dogwoodpost.core.allowed_regions import AllowedRegions
    from dogwoodpost.core.batches import JobHead
    from dogwoodpost.services.batches.batch_context import BatchContext
    from dogwoodpost.services.batches.job_cache import JobCache
    from dogwoodpost.services.batches.job_directory import JobDirectory
    from dogwoodpost.services.batches.job_store import StoredHead
    from dogwoodpost.services.membership.presence_service import (
        PresenceService,
    )

_log = structlog.get_logger(__name__)
_CLEANUP_INTERVAL_S = 5.0
_DELETE_TIMEOUT_S = 5.0
_LOG_INTERVAL_S = 60.0
_LOG_COUNT = 5
# Results are kept longer than the promised retention time.
_RETENTION_MARGIN_S = 60.0


class JobCleaner(mode.Service):
    """Deletes the ended jobs for which this process ranks first.

    A job whose client has not ended it is kept, however old it is.

    :param retention_s: how long results stay readable after acceptance.
    """

    def __init__(
        self,
        context: BatchContext,
        presence: PresenceService,
        directory: JobDirectory,
        job_cache: JobCache,
        *,
        retention_s: float,
    ) -> None:
        super().__init__()
        self._context = context
        self._presence = presence
        self._directory = directory
        self._job_cache = job_cache
        self._retention_s = retention_s + _RETENTION_MARGIN_S
        self._next_log_s = -math.inf

    @mode.Service.task
    async def _clean_up(self) -> None:
        while not self.should_stop:
            await self._context.clock.sleep(_CLEANUP_INTERVAL_S)
            oldest_kept_s = self._context.clock.wall_s() - self._retention_s
            expired = [
                (job_id, stored_head)
                for job_id, stored_head in self._directory.heads()
                if stored_head.head.accepted_wall_s < oldest_kept_s
            ]
            self._log_kept_jobs(expired)
            for job_id, stored_head in expired:
                if stored_head.head.is_ended:
                    await self._delete_if_ranked_first(job_id, stored_head)

    def _log_kept_jobs(
        self, expired: Iterable[tuple[ids.JobId, StoredHead]]
    ) -> None:
        """Log, at intervals, the jobs that only their clients can end."""
        now_s = self._context.clock.monotonic_s()
        if now_s < self._next_log_s:
            return
        kept = [
            (stored_head.head.accepted_wall_s, job_id)
            for job_id, stored_head in expired
            if stored_head.head.is_kept_open
        ]
        if not kept:
            return
        self._next_log_s = now_s + _LOG_INTERVAL_S
        _log.info(
            'jobs_kept_open',
            jobs=len(kept),
            oldest_job_ids=[job_id for _, job_id in sorted(kept)[:_LOG_COUNT]],
            oldest_age_s=round(self._context.clock.wall_s() - min(kept)[0]),
        )

    async def _delete_if_ranked_first(
        self, job_id: ids.JobId, stored_head: StoredHead
    ) -> None:
        """Delete a job, unless another process in its regions ranks first."""
        head = stored_head.head
        allowed_regions = self._context.head_regions(head)
        if not allowed_regions.permits(self._presence.region):
            return
        delay_s = takeover_delay_s(
            job_id,
            self._context.identity.process_id,
            self._presence.live_process_ids(allowed_regions),
        )
        if delay_s > 0.0:
            return
        deadline_s = self._context.clock.monotonic_s() + _DELETE_TIMEOUT_S
        try:
            await self._delete_texts(job_id, head, allowed_regions)
            await self._context.store.delete(
                job_id, stored_head.version, deadline_s
            )
        except (StoreError, MemoryExceededError) as error:
            _log.info('job_not_deleted', job_id=job_id, error=str(error))
        else:
            _log.info('job_deleted', job_id=job_id)

    async def _delete_texts(
        self, job_id: ids.JobId, head: JobHead, allowed_regions: AllowedRegions
    ) -> None:
        job = await self._job_cache.get(job_id, head, allowed_regions)
        groups = {item.group_id for item in job.items} if job else set()
        for group_id in groups:
            if group_id is not None:
                await self._context.archive.delete(group_id)
