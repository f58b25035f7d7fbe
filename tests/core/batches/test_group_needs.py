"""Needed, spare and late groups of a job."""

from __future__ import annotations

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches.group_needs import GroupNeeds
from dogwoodpost.core.batches.group_needs import ItemNeed
from tests.services.batches.test_job_invariants import batch_job


@pytest.fixture
def needs() -> GroupNeeds:
    """Return the needs of two groups of two items, one of them desired."""
    job = batch_job()
    items = tuple(
        msgspec.structs.replace(item, group_id=ids.GroupId(f'g{number // 2}'))
        for number, item in enumerate(job.items)
    )
    job = msgspec.structs.replace(job, items=items, desired_group_count=1)
    return GroupNeeds(job)


def needs_of(needs: GroupNeeds, now_s: float) -> list[ItemNeed]:
    return [
        needs.need(ids.ItemId(f'item-{number}'), 7.0, now_s)
        for number in (0, 2)
    ]


def test_group_with_least_work_left_is_needed(needs: GroupNeeds) -> None:
    """Guards against slots for spare groups while a needed one waits."""
    needs.note_waiting(ids.ItemId('item-0'), 3.0)
    needs.note_waiting(ids.ItemId('item-2'), 2.0)
    assert needs_of(needs, 0.0) == [ItemNeed.SPARE, ItemNeed.NEEDED]
    # The first group overtakes the other one once it has begun.
    needs.note_started(ids.ItemId('item-0'), 0.0)
    assert needs_of(needs, 1.5) == [ItemNeed.NEEDED, ItemNeed.SPARE]
    for number in (0, 1):
        needs.note_finished(ids.ItemId(f'item-{number}'))
    assert needs_of(needs, 1.5)[1] is ItemNeed.SPARE


def test_group_that_cannot_end_in_time_is_late(needs: GroupNeeds) -> None:
    """Guards against a late group that counts as the needed one.

    The due time is 7 s, with 0.7 s of grace.
    """
    needs.note_waiting(ids.ItemId('item-0'), 3.0)
    needs.note_waiting(ids.ItemId('item-2'), 3.2)
    assert needs_of(needs, 4.6) == [ItemNeed.NEEDED, ItemNeed.LATE]
    assert needs_of(needs, 4.8) == [ItemNeed.LATE, ItemNeed.LATE]
