"""Decides when the finished results of a batch job become readable."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.job import BatchItem
    from dogwoodpost.core.batches.job import BatchJob

# Readers call about twice a second, and a call waits until there are new
# results. After a longer interval, the reader's next call is already waiting.
LISTING_INTERVAL_S = 0.55


class ListingSchedule:
    """Delays the listing of results to list several of them together.

    Listing gives a result its position in the job's list, where readers see
    it. A trainer continues when it has read a number of complete groups. If
    each result were listed separately, a call would return with the last
    result but one, and the last one would have to wait for the next call.
    Results are listed together instead, at most ``LISTING_INTERVAL_S`` apart,
    and at once if they complete a step.

    :param listed: ids of the items whose results are already listed.
    """

    def __init__(
        self, job: BatchJob, listed: Iterable[ids.ItemId] = ()
    ) -> None:
        self._group_by_item = {
            item.item_id: _group_key(item) for item in job.items
        }
        self._unfinished_counts = Counter(self._group_by_item.values())
        self._required_group_count = job.desired_group_count or math.inf
        self._complete_group_count = 0
        self._is_urgent = False
        self._last_listed_s = -math.inf
        for item_id in listed:
            self.note_finished(item_id)
        self._is_urgent = False

    def note_finished(self, item_id: ids.ItemId) -> None:
        """Record that an item has a result; a repeat has no effect."""
        group = self._group_by_item.pop(item_id, None)
        if group is None:
            return
        self._unfinished_counts[group] -= 1
        if self._unfinished_counts[group]:
            return
        self._complete_group_count += 1
        has_enough_groups = (
            self._complete_group_count >= self._required_group_count
        )
        if has_enough_groups or not self._group_by_item:
            self._is_urgent = True

    def note_listed(self, now_s: float) -> None:
        """Record that all finished results are listed."""
        self._is_urgent = False
        self._last_listed_s = now_s

    def wait_s(self, now_s: float) -> float:
        """Return after how many seconds finished results are to be listed."""
        if self._is_urgent:
            return 0.0
        return max(self._last_listed_s + LISTING_INTERVAL_S - now_s, 0.0)


def _group_key(item: BatchItem) -> str:
    """Return an item's group; an item without a group is its own."""
    return item.group_id or item.item_id
