"""Texts of a job's groups that are kept for a later run."""

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
# Trainers read about twice a second.
_READ_TIME_S = 1.5
# An item of the usual length is done by then; what is lost with a process is
# at most this much of the longer ones.
_CHECKPOINT_INTERVAL_S = 1.0
_CHECKPOINT_EVENT_COUNT = 20


class GroupTexts:
    """Saves the texts of the groups of one job, and reads earlier ones.

    :param runs: the runs of the job's items; grows as they start.
    :param listed: when each item was listed, on the process's clock.
    """

    def __init__(
        self,
        archive: TextArchive,
        clock: Clock,
        job: BatchJob,
        runs: Mapping[ids.ItemId, ItemRun],
        listed: Mapping[ids.ItemId, float],
    ) -> None:
        self._archive = archive
        self._clock = clock
        self._job = job
        self._runs = runs
        self._listed = listed
        self._saved_counts: dict[ids.ItemId, int] = {}
        self._archived: set[ids.GroupId] = set()

    async def load(
        self, group_id: ids.GroupId | None
    ) -> dict[ids.ItemId, ItemProgress]:
        """Return what is known of the texts of a group's items."""
        if group_id is None:
            return {}
        earlier = await self._archive.load(group_id)
        if earlier:
            self._archived.add(group_id)
        return earlier

    def note_started(self, run: ItemRun) -> None:
        """Note a run whose text so far is saved, or was not fit for use."""
        self._saved_counts[run.item.item_id] = run.event_count

    async def write_checkpoints(self) -> None:
        """Save the texts of long items now and then.

        A process that takes the job over goes on from there: the longest
        items decide when a step ends.
        """
        while True:
            await self._clock.sleep(_CHECKPOINT_INTERVAL_S)
            await self._save(self._grown())

    async def archive(self) -> None:
        """Save the texts of groups that are run again elsewhere or later."""
        due: dict[ids.GroupId, list[ItemProgress]] = {}
        wanted = self._unread()
        for run in self._runs.values():
            group_id = run.item.group_id
            progress = run.progress()
            if group_id in wanted and group_id and progress is not None:
                due.setdefault(group_id, []).append(progress)
        await self._save(due)
        _log.info(
            'groups_archived',
            job_id=self._job.job_id,
            groups=len(due),
            items=sum(len(one) for one in due.values()),
        )
        await self._forget(self._archived - wanted)

    async def forget_all(self) -> None:
        """Delete the saved texts of a job that is complete."""
        await self._forget(self._archived)

    async def _forget(self, group_ids: set[ids.GroupId]) -> None:
        for group_id in group_ids:
            await self._archive.delete(group_id)

    def _grown(self) -> dict[ids.GroupId, list[ItemProgress]]:
        """Return the texts that have become longer by a checkpoint."""
        due: dict[ids.GroupId, list[ItemProgress]] = {}
        for item_id, run in self._runs.items():
            group_id = run.item.group_id
            new_count = run.event_count - self._saved_counts[item_id]
            if group_id is None or new_count < _CHECKPOINT_EVENT_COUNT:
                continue
            progress = run.progress()
            if item_id in self._listed or progress is None:
                continue
            self._saved_counts[item_id] = run.event_count
            due.setdefault(group_id, []).append(progress)
        return due

    def _unread(self) -> set[ids.GroupId]:
        """Return the groups that a trainer can't have read as a whole."""
        read_by_s = self._clock.monotonic_s() - _READ_TIME_S
        return {
            item.group_id
            for item in self._job.items
            if item.group_id is not None
            and self._listed.get(item.item_id, math.inf) > read_by_s
        }

    async def _save(self, due: dict[ids.GroupId, list[ItemProgress]]) -> None:
        self._archived.update(due)
        saves = [
            self._archive.save(group_id, one) for group_id, one in due.items()
        ]
        await asyncio.gather(*saves)
