"""Which groups of a batch job its trainer still needs."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.job import BatchJob

# A group that ends this much after its due time is still of use to a trainer.
GRACE_S = 0.7
# Needs are computed at most this often unless a group was completed or an item
# turns out to be longer. An item of the usual length takes several times as
# long.
_MAX_AGE_S = 0.1


class ItemNeed(Enum):
    """Whether a trainer needs an item's group; values are log fields.

    ``SPARE``: other groups suffice for the number that the trainer waits for.
    ``LATE``: the group can't be complete in time.
    """

    NEEDED = 'needed'
    SPARE = 'spare'
    LATE = 'late'


class _ItemOutlook(msgspec.Struct):
    """Expected rest of an unfinished item.

    :param started_s: start of the current run, None while it waits.
    """

    duration_s: float = 0.0
    started_s: float | None = None

    def end_s(self, now_s: float) -> float:
        if self.started_s is None:
            return now_s + self.duration_s
        return max(self.started_s + self.duration_s, now_s)


class GroupNeeds:
    """Divides the groups of a job into needed, spare and late ones.

    If the trainer waits for fewer groups than the job has, those with the
    least work left count as needed, so that groups that have begun are
    completed before others begin. An item without a group is its own group.

    :param listed: ids of the items that already have a result.
    """

    def __init__(
        self, job: BatchJob, listed: Iterable[ids.ItemId] = ()
    ) -> None:
        self._group_by_item = {
            item.item_id: item.group_id or item.item_id for item in job.items
        }
        self._groups: dict[str, dict[ids.ItemId, _ItemOutlook]] = {}
        for item_id, group in self._group_by_item.items():
            self._groups.setdefault(group, {})[item_id] = _ItemOutlook()
        self._needed_count = job.desired_group_count or len(self._groups)
        self._needs: dict[str, ItemNeed] = {}
        self._valid_until_s = -math.inf
        for item_id in listed:
            self.note_finished(item_id)

    def note_finished(self, item_id: ids.ItemId) -> None:
        """Record that an item has a result; a repeat has no effect."""
        group = self._group_by_item.pop(item_id, None)
        if group is None:
            return
        del self._groups[group][item_id]
        if not self._groups[group]:
            del self._groups[group]
            self._needed_count -= 1
            self._valid_until_s = -math.inf

    def note_waiting(self, item_id: ids.ItemId, duration_s: float) -> None:
        """Record that an item waits, and how long the rest of it takes."""
        outlook = self._outlook(item_id)
        if outlook is None:
            return
        if duration_s > outlook.duration_s:
            # The group may be late now.
            self._valid_until_s = -math.inf
        outlook.duration_s = duration_s
        outlook.started_s = None

    def note_started(self, item_id: ids.ItemId, now_s: float) -> None:
        """Record that an item runs."""
        outlook = self._outlook(item_id)
        if outlook is not None:
            outlook.started_s = now_s

    def need(
        self, item_id: ids.ItemId, due_s: float, now_s: float
    ) -> ItemNeed:
        """Return whether the trainer needs an item's group.

        :param due_s: when the job is due, on the process's clock.
        """
        group = self._group_by_item.get(item_id)
        if group is None:
            return ItemNeed.NEEDED
        if now_s >= self._valid_until_s:
            self._needs = self._compute_needs(due_s, now_s)
            self._valid_until_s = now_s + _MAX_AGE_S
        return self._needs[group]

    def _outlook(self, item_id: ids.ItemId) -> _ItemOutlook | None:
        group = self._group_by_item.get(item_id)
        return None if group is None else self._groups[group][item_id]

    def _compute_needs(
        self, due_s: float, now_s: float
    ) -> dict[str, ItemNeed]:
        ranked: list[tuple[bool, float, str]] = []
        for group, outlooks in self._groups.items():
            ends_s = [outlook.end_s(now_s) for outlook in outlooks.values()]
            is_late = max(ends_s) > due_s + GRACE_S
            work_s = sum(ends_s) - len(ends_s) * now_s
            ranked.append((is_late, work_s, group))
        # Groups with the same work left keep their order in the job.
        ranked.sort(key=lambda entry: entry[:2])
        needs: dict[str, ItemNeed] = {}
        for rank, (is_late, _, group) in enumerate(ranked):
            if is_late:
                needs[group] = ItemNeed.LATE
            elif rank < self._needed_count:
                needs[group] = ItemNeed.NEEDED
            else:
                needs[group] = ItemNeed.SPARE
        return needs
