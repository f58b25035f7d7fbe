"""Deletes batch jobs whose results need not be readable any more."""

from __future__ import annotations

from typing import TYPE_CHECKING

import mode
import structlog

from dogwoodpost.core.batches.takeover import takeover_delay_s
from dogwoodpost.errors import StoreError

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.services.batches.batch_context import BatchContext
    from dogwoodpost.services.batches.job_directory import JobDirectory
    from dogwoodpost.services.membership.presence_service import (
        PresenceService,
    )

_log = structlog.get_logger(__name__)
_INTERVAL_S = 5.0
_TIMEOUT_S = 5.0
# Results stay readable for longer than is promised.
_RETENTION_MARGIN_S = 60.0


class JobCleaner(mode.Service):
    """Cleans up after the jobs for which this process ranks first.

    :param retention_s: how long results stay readable after acceptance.
    """

    def __init__(
        self,
        context: BatchContext,
        presence: PresenceService,
        directory: JobDirectory,
        *,
        retention_s: float,
    ) -> None:
        super().__init__()
        self._context = context
        self._presence = presence
        self._directory = directory
        self._retention_s = retention_s + _RETENTION_MARGIN_S

    @mode.Service.task
    async def _clean_up(self) -> None:
        while not self.should_stop:
            await self._context.clock.sleep(_INTERVAL_S)
            oldest_s = self._context.clock.wall_s() - self._retention_s
            for job_id, stored in self._directory.heads():
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
        deadline_s = clock.monotonic_s() + _TIMEOUT_S
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
