"""Prefix cache with a limited number of blocks."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from dogwoodpost.standins.engine.cache_event_log import CacheEventLog

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.ports.endpoint_client import CacheEventBatch
    from dogwoodpost.standins.engine.faults import EngineFaults


class PrefixCache:
    """LRU cache of blocks.

    A block is identified by the hash of all text up to its end.
    """

    def __init__(
        self,
        block_count: int,
        max_event_count: int,
        faults: EngineFaults,
        first_sequence: int = 0,
    ) -> None:
        self._block_count = block_count
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._log = CacheEventLog(max_event_count, first_sequence)
        self.faults = faults

    def __len__(self) -> int:
        return len(self._blocks)

    def matched_count(self, hashes: Sequence[int]) -> int:
        """Return how many blocks at the start of a chain are cached."""
        for index, block in enumerate(hashes):
            if block not in self._blocks:
                return index
        return len(hashes)

    def store(self, hashes: Sequence[int]) -> None:
        """Store a chain of blocks; its first block is the most recent.

        A chain without its first block cannot be used, so the blocks at its
        end are evicted first.
        """
        stored = hashes[: self._block_count]
        for block in reversed(stored):
            is_new = block not in self._blocks
            self._blocks[block] = None
            self._blocks.move_to_end(block)
            if is_new:
                self._log_event(block, is_stored=True)
        while len(self._blocks) > self._block_count:
            block, _ = self._blocks.popitem(last=False)
            self._log_event(block, is_stored=False)

    def clear(self) -> None:
        """Drop all blocks."""
        self._blocks.clear()
        self._log.reset()

    def events(self, after: int) -> CacheEventBatch:
        """Return the changes after a sequence number."""
        return self._log.page(after, tuple(self._blocks))

    def _log_event(self, block: int, *, is_stored: bool) -> None:
        if self.faults.consume('drop_cache_event_count'):
            self._log.drop()
        else:
            self._log.append(block, is_stored=is_stored)
