"""When the finished results of a batch job get their positions."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.job import BatchItem
    from dogwoodpost.core.batches.job import BatchJob

# Readers call about twice a second, and a call waits until there is news.
# After a longer pause than that, the next call is there and waits.
LISTING_INTERVAL_S = 0.55


class ListingSchedule:
    """Gathers results so that the decisive one finds its reader waiting.

    Load: a trainer goes on when it has read a number of whole groups. If
    each result is listed by itself, a call returns with the last but one,
    and the last one waits for the next call. Results are listed together
    instead, at most an interval apart, and at once where they make a step
    whole.
    """

    def __init__(
        self, job: BatchJob, listed: Iterable[ids.ItemId] = ()
    ) -> None:
        self._group_by_item = {one.item_id: _group(one) for one in job.items}
        self._unfinished_counts = Counter(self._group_by_item.values())
        self._wanted_count = job.desired_group_count or math.inf
        self._whole_count = 0
        self._is_urgent = False
        self._listed_s = -math.inf
        for item_id in listed:
            self.note_finished(item_id)
        self._is_urgent = False

    def note_finished(self, item_id: ids.ItemId) -> None:
        """Note that an item has a result; a repeat has no effect."""
        group = self._group_by_item.pop(item_id, None)
        if group is None:
            return
        self._unfinished_counts[group] -= 1
        if self._unfinished_counts[group]:
            return
        self._whole_count += 1
        is_enough = self._whole_count >= self._wanted_count
        if is_enough or not self._group_by_item:
            self._is_urgent = True

    def note_listed(self, now_s: float) -> None:
        """Note that all finished results are listed."""
        self._is_urgent = False
        self._listed_s = now_s

    def wait_s(self, now_s: float) -> float:
        """Return how long finished results may still wait, in seconds."""
        if self._is_urgent:
            return 0.0
        return max(self._listed_s + LISTING_INTERVAL_S - now_s, 0.0)


def _group(item: BatchItem) -> str:
    """Return what a reader counts as one."""
    return item.group_id or item.item_id
