"""Index of the prompt prefixes that endpoints probably have cached."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core import messages

_CONFIRMED_WEIGHT = 1.0


class CacheIndex:
    """Records which endpoints probably have which prefix blocks cached.

    Blocks come from cache events (confirmed) and from this entry's own
    dispatches (presumed). After a gap in the sequence numbers of an
    endpoint's events, all its earlier blocks are dropped.

    :param max_blocks: limit on stored (block, endpoint) pairs. Each endpoint
        may use an equal share and evicts its least recently stored blocks.
    :param presumed_weight: weight of a presumed block in a match; a
        confirmed block weighs 1.
    """

    def __init__(self, max_blocks: int, presumed_weight: float) -> None:
        self._max_blocks = max_blocks
        self._presumed_weight = presumed_weight
        self._blocks: dict[ids.EndpointId, OrderedDict[int, float]] = {}
        self._holders: dict[int, dict[ids.EndpointId, None]] = {}
        self._next_sequence: dict[ids.EndpointId, int] = {}
        self._block_count = 0

    def __len__(self) -> int:
        return self._block_count

    def add(self, endpoint_id: ids.EndpointId) -> None:
        """Start to track the blocks of an endpoint."""
        self._blocks.setdefault(endpoint_id, OrderedDict())

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Remove an endpoint and its blocks."""
        self.invalidate(endpoint_id)
        self._blocks.pop(endpoint_id, None)
        self._next_sequence.pop(endpoint_id, None)

    def invalidate(self, endpoint_id: ids.EndpointId) -> None:
        """Drop all blocks of an endpoint."""
        blocks = self._blocks.get(endpoint_id)
        if not blocks:
            return
        for block in blocks:
            self._drop_holder(block, endpoint_id)
        self._block_count -= len(blocks)
        blocks.clear()

    def record_events(self, events: messages.CacheEvents) -> bool:
        """Apply cache events; return False if they follow a gap.

        Batches that were already applied are ignored.
        """
        endpoint_id = events.endpoint_id
        if endpoint_id not in self._blocks:
            return True
        count = len(events.stored) + len(events.evicted)
        expected = self._next_sequence.get(endpoint_id)
        if expected is not None and events.first_sequence < expected:
            if not events.cleared:
                # The batch was already applied.
                return True
        has_gap = expected is not None and events.first_sequence > expected
        if has_gap or events.cleared:
            self.invalidate(endpoint_id)
        if events.cleared:
            # The engine chooses the sequence number of a snapshot freely, so
            # the next batch may start at any number.
            self._next_sequence.pop(endpoint_id, None)
        else:
            self._next_sequence[endpoint_id] = events.first_sequence + count
        for block in events.stored:
            self._store(endpoint_id, block, _CONFIRMED_WEIGHT)
        for block in events.evicted:
            self._evict(endpoint_id, block)
        return not has_gap

    def record_dispatch(
        self, endpoint_id: ids.EndpointId, hashes: Sequence[int]
    ) -> None:
        """Record the blocks that a request of this entry will store."""
        blocks = self._blocks.get(endpoint_id)
        if blocks is None:
            return
        for block in hashes:
            weight = blocks.get(block, self._presumed_weight)
            self._store(endpoint_id, block, weight)

    def holders(
        self, hashes: Sequence[int], count: int
    ) -> list[ids.EndpointId]:
        """Return up to ``count`` endpoints, longest matching prefix first."""
        endpoint_ids: dict[ids.EndpointId, None] = {}
        for block in reversed(hashes):
            endpoint_ids.update(self._holders.get(block, {}))
            if len(endpoint_ids) >= count:
                break
        return list(endpoint_ids)[:count]

    def last_held_block(self, hashes: Sequence[int]) -> int | None:
        """Return the last block of a prompt that any endpoint holds."""
        for block in reversed(hashes):
            if block in self._holders:
                return block
        return None

    def matched_blocks(
        self, endpoint_id: ids.EndpointId, hashes: Sequence[int]
    ) -> float:
        """Return the length of the prefix that an endpoint holds, in blocks.

        It is weighted by whether its last block is confirmed or presumed.
        """
        blocks = self._blocks.get(endpoint_id)
        if not blocks:
            return 0.0
        for index in range(len(hashes) - 1, -1, -1):
            weight = blocks.get(hashes[index])
            if weight is not None:
                return (index + 1) * weight
        return 0.0

    def _store(
        self, endpoint_id: ids.EndpointId, block: int, weight: float
    ) -> None:
        blocks = self._blocks[endpoint_id]
        if block in blocks:
            blocks.move_to_end(block)
            blocks[block] = weight
            return
        blocks[block] = weight
        self._block_count += 1
        self._holders.setdefault(block, {})[endpoint_id] = None
        max_per_endpoint = max(
            1, self._max_blocks // max(1, len(self._blocks))
        )
        while len(blocks) > max_per_endpoint:
            self._evict(endpoint_id, next(iter(blocks)))

    def _evict(self, endpoint_id: ids.EndpointId, block: int) -> None:
        if self._blocks[endpoint_id].pop(block, None) is None:
            return
        self._block_count -= 1
        self._drop_holder(block, endpoint_id)

    def _drop_holder(self, block: int, endpoint_id: ids.EndpointId) -> None:
        holders = self._holders[block]
        del holders[endpoint_id]
        if not holders:
            del self._holders[block]
