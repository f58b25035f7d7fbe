"""Starts the items of a batch job, a limited number of them at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.batches import BatchItem
from dogwoodpost.core.batches.started_items import MIN_STARTED_COUNT

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from dogwoodpost.core.batches import ItemProgress

    SavedProgress = Mapping[ids.ItemId, ItemProgress]

# Groups whose saved texts take longer to load are started one by one as their
# texts arrive.
_TEXT_LOAD_WAIT_S = 0.1


class ItemBatch(msgspec.Struct, frozen=True):
    """Items that are started together, all of one group or of none."""

    group_id: ids.GroupId | None
    items: tuple[BatchItem, ...]


class ItemStarter:
    """Starts the items of a job by groups, as earlier ones are listed.

    A started item has a task, its text and the saved progress of its group,
    so their number must depend on the capacity and not on the job's size.

    :param batches: items to start, in order.
    :param load: returns the saved progress of a group's items.
    :param start: starts the items of a batch.
    :param max_count: returns how many started items may have no listed result.
    """

    def __init__(
        self,
        batches: Iterable[ItemBatch],
        load: Callable[[ids.GroupId | None], Awaitable[SavedProgress]],
        start: Callable[[Sequence[BatchItem], SavedProgress], None],
        max_count: Callable[[], int],
    ) -> None:
        self._waiting = deque(batches)
        self._load = load
        self._start = start
        self._max_count = max_count
        self._unlisted: set[ids.ItemId] = set()
        self._has_room = asyncio.Event()
        self.waiting_count = sum(len(batch.items) for batch in self._waiting)

    async def start_first(self) -> None:
        """Start as many items as may be started now.

        Groups are started together so that slots go to the longest items of
        all groups first.
        """
        await self._start_batches(self._take_batches())

    async def start_rest(self) -> None:
        """Start the other items as there is room for them."""
        while self._waiting:
            await self._has_room.wait()
            self._has_room.clear()
            await self._start_batches(self._take_batches())

    def note_ended(self, item_ids: Iterable[ids.ItemId]) -> None:
        """Record that items are listed or will not run any more."""
        self._unlisted.difference_update(item_ids)
        self._has_room.set()

    def stop(self) -> None:
        """Start no further items."""
        self._waiting.clear()
        self.waiting_count = 0

    def _take_batches(self) -> list[ItemBatch]:
        """Remove and return the batches that there is room for.

        A batch that is larger than the limit is taken when nothing else runs.
        """
        max_count = self._max_count()
        taken: list[ItemBatch] = []
        while self._waiting:
            items = self._waiting[0].items
            if self._unlisted and len(self._unlisted) + len(items) > max_count:
                break
            self._unlisted.update(item.item_id for item in items)
            self.waiting_count -= len(items)
            taken.append(self._waiting.popleft())
        return taken

    async def _start_batches(self, batches: list[ItemBatch]) -> None:
        if not batches:
            return
        async with asyncio.TaskGroup() as tasks:
            loads = {
                tasks.create_task(self._load_batch(batch)): batch
                for batch in batches
            }
            await asyncio.wait(loads, timeout=_TEXT_LOAD_WAIT_S)
            for load in sorted(loads, key=lambda load: not load.done()):
                self._start(loads[load].items, await load)

    async def _load_batch(self, batch: ItemBatch) -> SavedProgress:
        return await self._load(batch.group_id)


def ordered_batches(
    items: Iterable[BatchItem],
    listed_ids: Collection[ids.ItemId],
    expected_tokens: Callable[[BatchItem], int],
) -> list[ItemBatch]:
    """Return the unlisted items in the order in which they should start.

    Groups with a listed item come first, so that they become complete, then
    those with the longest items, which decide when a step ends. Groups alike
    keep their order in the job.
    """
    groups: dict[ids.GroupId | None, list[BatchItem]] = {}
    begun_ids: set[ids.GroupId | None] = set()
    for item in items:
        if item.item_id not in listed_ids:
            groups.setdefault(item.group_id, []).append(item)
        elif item.group_id is not None:
            begun_ids.add(item.group_id)
    ungrouped = groups.get(None, [])
    ungrouped.sort(key=expected_tokens, reverse=True)
    batches = [
        batch
        for group_id, group_items in groups.items()
        for batch in _split(group_id, group_items)
    ]
    batches.sort(
        key=lambda batch: (
            batch.group_id not in begun_ids,
            -max(map(expected_tokens, batch.items)),
        )
    )
    return batches


def _split(
    group_id: ids.GroupId | None, items: Sequence[BatchItem]
) -> Iterator[ItemBatch]:
    for start in range(0, len(items), MIN_STARTED_COUNT):
        part = tuple(items[start : start + MIN_STARTED_COUNT])
        yield ItemBatch(group_id, part)
