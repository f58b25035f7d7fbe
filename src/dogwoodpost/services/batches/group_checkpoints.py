"""Saves and loads the texts of a job's groups for later runs."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.core.batches import ItemProgress
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.batches.item_run import ItemRun
    from dogwoodpost.services.batches.text_archive import TextArchive

_log = structlog.get_logger(__name__)
# Trainers read about twice a second, so results that were listed longer ago
# than this count as read.
_ASSUMED_READ_DELAY_S = 1.5
# Items of the usual length complete within one interval. If a process is lost,
# longer items lose at most the text of about one interval.
_CHECKPOINT_INTERVAL_S = 1.0
_MIN_CHECKPOINT_EVENT_COUNT = 20


class GroupCheckpoints:
    """Checkpoints of the item texts of one job, saved by group.

    The runs of groups that a trainer has read are dropped.

    :param listed_at_s: when each item was listed, on the process's clock.
    """

    def __init__(
        self,
        archive: TextArchive,
        clock: Clock,
        job: BatchJob,
        listed_at_s: Mapping[ids.ItemId, float],
    ) -> None:
        self._archive = archive
        self._clock = clock
        self._job = job
        self._runs: dict[ids.ItemId, ItemRun] = {}
        self._listed_at_s = listed_at_s
        self._saved_counts: dict[ids.ItemId, int] = {}
        self._archived: set[ids.GroupId] = set()

    async def load(
        self, group_id: ids.GroupId | None
    ) -> dict[ids.ItemId, ItemProgress]:
        """Return the saved progress of a group's items."""
        if group_id is None:
            return {}
        saved_progress = await self._archive.load(group_id)
        if saved_progress:
            self._archived.add(group_id)
        return saved_progress

    def add_run(self, run: ItemRun) -> None:
        """Add a run whose text so far needs no checkpoint."""
        self._runs[run.item.item_id] = run
        self._saved_counts[run.item.item_id] = run.event_count

    async def write_checkpoints(self) -> None:
        """Save the texts of long items periodically, until cancelled.

        A process that takes the job over resumes from the checkpoints. The
        longest items determine when a training step ends.
        """
        while True:
            await self._clock.sleep(_CHECKPOINT_INTERVAL_S)
            self._drop_read_runs()
            await self._save(self._due_checkpoints())

    async def archive(self) -> None:
        """Save the texts of groups that may run again; delete the others."""
        progress_by_group: dict[ids.GroupId, list[ItemProgress]] = {}
        unread_ids = self._unread_group_ids()
        for run in self._runs.values():
            group_id = run.item.group_id
            progress = run.progress()
            if group_id in unread_ids and group_id and progress is not None:
                progress_by_group.setdefault(group_id, []).append(progress)
        await self._save(progress_by_group)
        _log.info(
            'groups_archived',
            job_id=self._job.job_id,
            groups=len(progress_by_group),
            items=sum(
                len(progresses) for progresses in progress_by_group.values()
            ),
        )
        await self._delete(self._archived - unread_ids)

    async def delete_all(self) -> None:
        """Delete the saved texts of a completed job."""
        await self._delete(self._archived)

    async def _delete(self, group_ids: set[ids.GroupId]) -> None:
        for group_id in group_ids:
            await self._archive.delete(group_id)

    def _drop_read_runs(self) -> None:
        """Drop the runs whose texts are not needed any more."""
        unread_ids = self._unread_group_ids()
        for item_id, run in list(self._runs.items()):
            is_listed = item_id in self._listed_at_s
            if is_listed and run.item.group_id not in unread_ids:
                del self._runs[item_id]
                del self._saved_counts[item_id]

    def _due_checkpoints(self) -> dict[ids.GroupId, list[ItemProgress]]:
        """Return the progress, by group, that needs a new checkpoint."""
        progress_by_group: dict[ids.GroupId, list[ItemProgress]] = {}
        for item_id, run in self._runs.items():
            group_id = run.item.group_id
            new_count = run.event_count - self._saved_counts[item_id]
            if group_id is None or new_count < _MIN_CHECKPOINT_EVENT_COUNT:
                continue
            progress = run.progress()
            if item_id in self._listed_at_s or progress is None:
                continue
            self._saved_counts[item_id] = run.event_count
            progress_by_group.setdefault(group_id, []).append(progress)
        return progress_by_group

    def _unread_group_ids(self) -> set[ids.GroupId]:
        """Return the groups that no trainer can have read completely."""
        assumed_read_s = self._clock.monotonic_s() - _ASSUMED_READ_DELAY_S
        return {
            item.group_id
            for item in self._job.items
            if item.group_id is not None
            and self._listed_at_s.get(item.item_id, math.inf) > assumed_read_s
        }

    async def _save(
        self, progress_by_group: dict[ids.GroupId, list[ItemProgress]]
    ) -> None:
        self._archived.update(progress_by_group)
        saves = [
            self._archive.save(group_id, progresses)
            for group_id, progresses in progress_by_group.items()
        ]
        await asyncio.gather(*saves)
