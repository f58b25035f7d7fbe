"""Needs of the jobs that run at this process."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from dogwoodpost.core.batches.group_needs import ItemNeed

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.group_needs import GroupNeeds
    from dogwoodpost.core.batches.waiting_items import PlacementRequest


class JobNeeds:
    """Passes what happens to items to the needs of their job.

    Items of jobs that are not registered count as needed.
    """

    def __init__(self) -> None:
        self._by_job: dict[ids.JobId, GroupNeeds] = {}

    @contextmanager
    def registered(
        self, job_id: ids.JobId, needs: GroupNeeds
    ) -> Iterator[None]:
        """Use the needs of a job within the context."""
        self._by_job[job_id] = needs
        try:
            yield
        finally:
            del self._by_job[job_id]

    def note_waiting(self, request: PlacementRequest) -> None:
        """Record that an item waits, with its expected duration."""
        needs = self._by_job.get(request.job_id)
        if needs is not None:
            needs.note_waiting(request.item_id, request.expected_duration_s)

    def note_started(self, request: PlacementRequest, now_s: float) -> None:
        """Record that an item has a slot."""
        needs = self._by_job.get(request.job_id)
        if needs is not None:
            needs.note_started(request.item_id, now_s)

    def need(self, request: PlacementRequest, now_s: float) -> ItemNeed:
        """Return whether a trainer needs the group of an item."""
        needs = self._by_job.get(request.job_id)
        if needs is None:
            return ItemNeed.NEEDED
        return needs.need(request.item_id, request.due_s, now_s)
