"""Items of a job are started by capacity and not by the job's size."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches import BatchItem
from dogwoodpost.core.batches.started_items import max_started_count
from dogwoodpost.core.batches.started_items import MIN_STARTED_COUNT
from dogwoodpost.services.batches.item_starter import ItemStarter
from dogwoodpost.services.batches.item_starter import ordered_batches

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from dogwoodpost.core.batches import ItemProgress


def make_items(
    count: int, group_size: int | None = 8, tokens: int = 10
) -> list[BatchItem]:
    return [
        BatchItem(
            item_id=ids.ItemId(f'item-{number}'),
            path='/p/',
            headers=(),
            body=b'',
            token_count=10,
            expected_token_count=tokens,
            group_id=(
                ids.GroupId(f'group-{number // group_size}')
                if group_size
                else None
            ),
        )
        for number in range(count)
    ]


def expected_tokens(item: BatchItem) -> int:
    return item.expected_token_count or 0


class FakeJob:
    """Records what is loaded and started."""

    def __init__(
        self,
        items: Sequence[BatchItem],
        listed_ids: Collection[ids.ItemId] = (),
        max_count: int = 32,
    ) -> None:
        self.started: list[ids.ItemId] = []
        self.unlisted: set[ids.ItemId] = set()
        self.loaded_groups: Counter[ids.GroupId | None] = Counter()
        self.max_unlisted_count = 0
        self.starter = ItemStarter(
            ordered_batches(items, listed_ids, expected_tokens),
            self._load,
            self._start,
            lambda: max_count,
        )

    async def _load(
        self, group_id: ids.GroupId | None
    ) -> Mapping[ids.ItemId, ItemProgress]:
        self.loaded_groups[group_id] += 1
        return {}

    def _start(
        self,
        items: Sequence[BatchItem],
        progress: Mapping[ids.ItemId, ItemProgress],
    ) -> None:
        self.started += [item.item_id for item in items]
        self.unlisted.update(item.item_id for item in items)
        self.max_unlisted_count = max(
            self.max_unlisted_count, len(self.unlisted)
        )

    async def list_all(self) -> None:
        """List the started items, the oldest first, until all have run."""
        rest = asyncio.create_task(self.starter.start_rest())
        while self.unlisted or self.starter.waiting_count:
            for item_id in [
                one for one in self.started if one in self.unlisted
            ][:5]:
                self.unlisted.discard(item_id)
                self.starter.note_ended([item_id])
            await asyncio.sleep(0)
        await rest


@pytest.mark.parametrize('group_size', [1, 8, 32, 40, None])
async def test_large_job_has_few_items_started_at_a_time(
    group_size: int | None,
) -> None:
    """Guards against an owner that a large job takes over its memory limit.

    Each item had a task, a run and a read of the store from the beginning.
    """
    items = make_items(2_000, group_size)
    job = FakeJob(items)
    await job.starter.start_first()
    # A batch that is larger than the limit runs alone.
    batch_size = group_size or MIN_STARTED_COUNT
    limit = max(32, batch_size)
    assert 0 < len(job.started) <= limit
    assert len(job.loaded_groups) <= limit
    assert job.starter.waiting_count == 2_000 - len(job.started)
    await job.list_all()
    assert sorted(job.started) == sorted(item.item_id for item in items)
    assert job.max_unlisted_count <= limit
    if group_size:
        assert set(job.loaded_groups.values()) == {1}


async def test_job_of_usual_size_starts_at_once() -> None:
    """Guards against slots that go to items which only happen to be loaded.

    The dispatcher compares the items that have started.
    """
    items = make_items(128)
    job = FakeJob(items, max_count=max_started_count(16))
    await job.starter.start_first()
    assert len(job.started) == 128
    await job.list_all()
    assert len(job.started) == 128


def test_started_items_depend_on_the_slots() -> None:
    """Guards against slots that stay free while items wait to be started."""
    assert max_started_count(0) == MIN_STARTED_COUNT
    assert max_started_count(1_000) == 2_000


async def test_begun_groups_and_long_items_start_first() -> None:
    """Guards against a step that ends late, with its longest item."""
    items = make_items(32, tokens=10) + [
        BatchItem(
            item_id=ids.ItemId('long'),
            path='/p/',
            headers=(),
            body=b'',
            token_count=10,
            expected_token_count=90,
        )
    ]
    job = FakeJob(items, listed_ids={ids.ItemId('item-17')}, max_count=8)
    await job.starter.start_first()
    assert job.started == [
        f'item-{number}' for number in range(16, 24) if number != 17
    ] + ['long']
    await job.list_all()
    assert job.started[8:] == [
        f'item-{number}' for number in [*range(16), *range(24, 32)]
    ]


async def test_stopped_job_starts_no_further_items() -> None:
    """Guards against items of an ended job that reach endpoints."""
    job = FakeJob(make_items(200))
    await job.starter.start_first()
    started_count = len(job.started)
    rest = asyncio.create_task(job.starter.start_rest())
    await asyncio.sleep(0)
    job.starter.stop()
    job.starter.note_ended(job.started)
    await rest
    assert len(job.started) == started_count
    assert job.starter.waiting_count == 0
