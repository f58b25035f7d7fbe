"""Expected tokens of the running items of one process, by endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from dogwoodpost.core import ids

# A short item also takes a turn of each of its endpoint's steps.
_TOKEN_SHARE = 0.7


class _Load(msgspec.Struct):
    item_count: int = 0
    token_count: int = 0


class TokenLoads:
    """Tells by how much endpoints are fuller than their items' number says.

    Long items fill an endpoint's memory, which slows all of its items and in
    the end evicts the newest. Several of them at one endpoint end later than
    the same ones at several.
    """

    def __init__(self) -> None:
        self._loads: dict[ids.EndpointId, _Load] = {}
        self._total = _Load()

    def add(self, endpoint_id: ids.EndpointId, token_count: int) -> None:
        """Note that an item starts."""
        load = self._loads.setdefault(endpoint_id, _Load())
        for one in (load, self._total):
            one.item_count += 1
            one.token_count += token_count

    def remove(self, endpoint_id: ids.EndpointId, token_count: int) -> None:
        """Note the end of an item that was added."""
        load = self._loads[endpoint_id]
        for one in (load, self._total):
            one.item_count -= 1
            one.token_count -= token_count
        if not load.item_count:
            del self._loads[endpoint_id]

    def excess(self, endpoint_id: ids.EndpointId) -> float:
        """Return what to add to an endpoint's number of items.

        In items of the mean length; negative where the items are short.
        """
        load = self._loads.get(endpoint_id)
        if load is None or self._total.token_count <= 0:
            return 0.0
        mean_tokens = self._total.token_count / self._total.item_count
        equivalent_count = load.token_count / mean_tokens
        return _TOKEN_SHARE * (equivalent_count - load.item_count)
