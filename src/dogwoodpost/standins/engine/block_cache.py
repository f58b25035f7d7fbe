"""Prefix cache in limited memory, with numbered events."""

from __future__ import annotations

from collections import deque
from collections import OrderedDict
from typing import NamedTuple
from typing import TYPE_CHECKING

from dogwoodpost.ports.endpoint_client import CacheEventBatch

if TYPE_CHECKING:
    from collections.abc import Sequence

_LOG_LENGTH = 4_096


class _Event(NamedTuple):
    sequence: int
    block: int
    stored: bool


class BlockCache:
    """Least recently used blocks, named by the hash of their prefix."""

    def __init__(self, max_block_count: int) -> None:
        self._max_block_count = max_block_count
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._log: deque[_Event] = deque(maxlen=_LOG_LENGTH)
        self._last_sequence = 0
        self.drop_events = False

    def match(self, hashes: Sequence[int]) -> int:
        """Return how many leading blocks are held, and mark them as used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, hashes: Sequence[int]) -> None:
        """Hold the blocks of a prompt; evict the least recently used."""
        for block in hashes[: self._max_block_count]:
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            self._blocks[block] = None
            self._record(block, stored=True)
            if len(self._blocks) > self._max_block_count:
                evicted, _ = self._blocks.popitem(last=False)
                self._record(evicted, stored=False)

    def clear(self) -> None:
        """Forget all blocks, as new weights require."""
        for block in self._blocks:
            self._record(block, stored=False)
        self._blocks.clear()

    def events_after(self, after: int) -> CacheEventBatch:
        """Return the events after a number, or a snapshot if it is unknown."""
        oldest = self._last_sequence - _LOG_LENGTH
        if not max(oldest, 0) <= after <= self._last_sequence:
            return CacheEventBatch(
                first_sequence=0,
                stored=tuple(self._blocks),
                cleared=True,
                last_sequence=self._last_sequence,
            )
        return _batch(after, [e for e in self._log if e.sequence > after])

    def _record(self, block: int, *, stored: bool) -> None:
        self._last_sequence += 1
        if not self.drop_events:
            event = _Event(self._last_sequence, block, stored)
            self._log.append(event)


def _batch(after: int, events: list[_Event]) -> CacheEventBatch:
    """Return the events up to the first gap.

    A batch does not tell the order of stored and evicted blocks, so it also
    ends before a block that is stored again after its eviction.
    """
    stored: list[int] = []
    evicted: set[int] = set()
    first = events[0].sequence if events else after + 1
    last = first - 1
    for event in events:
        again = event.stored and event.block in evicted
        if event.sequence != last + 1 or again:
            break
        last = event.sequence
        if event.stored:
            stored.append(event.block)
        else:
            evicted.add(event.block)
    return CacheEventBatch(
        first_sequence=first,
        stored=tuple(stored),
        evicted=tuple(evicted),
        last_sequence=last,
    )
