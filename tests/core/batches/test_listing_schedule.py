"""Listing of results for a trainer that reads twice a second."""

from __future__ import annotations

import random
import statistics

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches import BatchItem
from dogwoodpost.core.batches import BatchJob
from dogwoodpost.core.batches.listing_schedule import LISTING_INTERVAL_S
from dogwoodpost.core.batches.listing_schedule import ListingSchedule

GROUP_COUNT = 10
GROUP_SIZE = 8
REQUIRED_GROUP_COUNT = 9
READ_INTERVAL_S = 0.5


def batch_job(required_count: int | None = REQUIRED_GROUP_COUNT) -> BatchJob:
    items = tuple(
        BatchItem(
            item_id=ids.ItemId(f'{group}-{number}'),
            path='/p/',
            headers=(),
            body=b'',
            token_count=10,
            group_id=ids.GroupId(f'group-{group}'),
        )
        for group in range(GROUP_COUNT)
        for number in range(GROUP_SIZE)
    )
    return BatchJob(
        job_id=ids.JobId('job'),
        host='h',
        client_account_id=None,
        accepted_wall_s=0.0,
        due_s=7.5,
        item_lifetime_s=20.0,
        max_attempt_count=3,
        items=items,
        desired_group_count=required_count,
    )


def finish_times(seed: int) -> list[tuple[float, ids.ItemId]]:
    """Return when items end: most early, some late, none after 8 s."""
    rng = random.Random(seed)
    return sorted(
        (min(rng.lognormvariate(0.0, 0.9) + 0.3, 8.0), item.item_id)
        for item in batch_job().items
    )


def listings(
    ends: list[tuple[float, ids.ItemId]],
) -> list[tuple[float, list[ids.ItemId]]]:
    """Return the times of listings and the items of each."""
    schedule = ListingSchedule(batch_job())
    listed: list[tuple[float, list[ids.ItemId]]] = []
    pending: list[ids.ItemId] = []
    for number, (end_s, item_id) in enumerate(ends):
        pending.append(item_id)
        schedule.note_finished(item_id)
        due_s = end_s + schedule.wait_s(end_s)
        if number + 1 < len(ends) and ends[number + 1][0] < due_s:
            continue
        listed.append((due_s, pending))
        schedule.note_listed(due_s)
        pending = []
    assert not pending
    return listed


def read_complete_s(listed: list[tuple[float, list[ids.ItemId]]]) -> float:
    """Return when a trainer has read enough complete groups.

    A call ends with the first new result. The next call follows half a second
    after the start of the last one, or at once if that time is over.
    """
    counts = dict.fromkeys(range(GROUP_COUNT), GROUP_SIZE)
    start_s = 0.0
    position = 0
    while True:
        end_s = max(start_s, listed[position][0])
        while position < len(listed) and listed[position][0] <= end_s:
            for item_id in listed[position][1]:
                counts[int(item_id.split('-')[0])] -= 1
            position += 1
        if sum(not count for count in counts.values()) >= REQUIRED_GROUP_COUNT:
            return end_s
        start_s = max(end_s, start_s + READ_INTERVAL_S)


def test_trainer_has_its_step_sooner_than_with_separate_listings() -> None:
    """Guards against steps whose last result waits for another call."""
    grouped_s = []
    separate_s = []
    best_s = []
    for seed in range(60):
        ends = finish_times(seed)
        grouped_s.append(read_complete_s(listings(ends)))
        separate_s.append(
            read_complete_s([(end_s, [item_id]) for end_s, item_id in ends])
        )
        all_ends: dict[str, float] = {}
        for end_s, item_id in ends:
            all_ends[item_id.split('-')[0]] = end_s
        best_s.append(sorted(all_ends.values())[REQUIRED_GROUP_COUNT - 1])
    lost_s = statistics.mean(grouped_s) - statistics.mean(best_s)
    separate_lost_s = statistics.mean(separate_s) - statistics.mean(best_s)
    assert lost_s <= 0.01
    assert separate_lost_s >= 0.05


@pytest.mark.parametrize('seed', range(20))
def test_no_result_waits_longer_than_the_interval(seed: int) -> None:
    """Guards against finished results that stay unlisted."""
    ends = {item_id: end_s for end_s, item_id in finish_times(seed)}
    listed = listings(finish_times(seed))
    assert sum(len(item_ids) for _, item_ids in listed) == len(ends)
    for listed_s, item_ids in listed:
        for item_id in item_ids:
            assert listed_s - ends[item_id] <= LISTING_INTERVAL_S + 1e-9


def test_groups_beyond_the_required_number_are_listed_at_once() -> None:
    """Guards against delayed results of groups that were submitted again.

    The trainer waits for those groups, however many others are complete.
    """
    schedule = ListingSchedule(batch_job())
    for group in range(GROUP_COUNT):
        for number in range(GROUP_SIZE):
            schedule.note_finished(ids.ItemId(f'{group}-{number}'))
        is_enough = group + 1 >= REQUIRED_GROUP_COUNT
        assert (schedule.wait_s(1.1) == 0.0) is (is_enough or group == 0)
        schedule.note_listed(1.0)


def test_last_result_of_a_job_without_group_count_is_listed_at_once() -> None:
    """Guards against a delay when no further result can follow."""
    job = batch_job(required_count=None)
    item_ids = [item.item_id for item in job.items]
    schedule = ListingSchedule(job, item_ids[:-2])
    schedule.note_listed(1.0)
    schedule.note_finished(item_ids[-2])
    assert schedule.wait_s(1.1) == pytest.approx(LISTING_INTERVAL_S - 0.1)
    schedule.note_finished(item_ids[-1])
    schedule.note_finished(item_ids[-1])
    assert schedule.wait_s(1.1) == 0.0
