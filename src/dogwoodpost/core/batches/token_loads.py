"""Expected tokens of the items that one process runs, by endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from dogwoodpost.core import ids

# Less than 1.0, since a short item also takes part in each step of its
# endpoint.
_TOKEN_WEIGHT = 0.7


class _Load(msgspec.Struct):
    item_count: int = 0
    token_count: int = 0


class TokenLoads:
    """Corrects the item counts of endpoints by the length of their items.

    Long items fill an endpoint's memory, which slows down all of its items
    and finally evicts the newest. Several long items end later at a single
    endpoint than spread over several.
    """

    def __init__(self) -> None:
        self._loads: dict[ids.EndpointId, _Load] = {}
        self._total = _Load()

    def add(self, endpoint_id: ids.EndpointId, token_count: int) -> None:
        """Record that an item starts."""
        load = self._loads.setdefault(endpoint_id, _Load())
        for counts in (load, self._total):
            counts.item_count += 1
            counts.token_count += token_count

    def remove(self, endpoint_id: ids.EndpointId, token_count: int) -> None:
        """Record the end of an item that was added."""
        load = self._loads[endpoint_id]
        for counts in (load, self._total):
            counts.item_count -= 1
            counts.token_count -= token_count
        if not load.item_count:
            del self._loads[endpoint_id]

    def excess_item_count(self, endpoint_id: ids.EndpointId) -> float:
        """Return the number to add to an endpoint's item count.

        The unit is an item of the mean length. The number is negative if the
        endpoint's items are shorter than the mean.
        """
        load = self._loads.get(endpoint_id)
        if load is None or self._total.token_count <= 0:
            return 0.0
        mean_tokens = self._total.token_count / self._total.item_count
        equivalent_count = load.token_count / mean_tokens
        return _TOKEN_WEIGHT * (equivalent_count - load.item_count)
