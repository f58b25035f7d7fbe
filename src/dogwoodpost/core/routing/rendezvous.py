"""Rendezvous hashing."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids

_MAX_MEMO_COUNT = 4_096


class Rendezvous:
    """Ranks endpoints for a key; remembers the ranks of recent keys.

    Ranking hashes every endpoint, so results are kept until the set of
    endpoints changes.
    """

    def __init__(self) -> None:
        self._memo: OrderedDict[
            tuple[str, int, int], tuple[ids.EndpointId, ...]
        ] = OrderedDict()

    def clear(self) -> None:
        """Forget all ranks, after a change of the endpoints."""
        self._memo.clear()

    def top(
        self,
        group: str,
        key: int,
        endpoint_ids: Sequence[ids.EndpointId],
        count: int,
    ) -> tuple[ids.EndpointId, ...]:
        """Return the endpoints of highest rank, best first.

        ``group`` names the set ``endpoint_ids``.
        """
        memo_key = (group, key, count)
        found = self._memo.get(memo_key)
        if found is not None:
            self._memo.move_to_end(memo_key)
            return found
        ranked = heapq.nlargest(
            count,
            endpoint_ids,
            key=lambda endpoint_id: xxhash.xxh3_64_intdigest(
                endpoint_id.encode(), seed=key
            ),
        )
        result = tuple(ranked)
        self._memo[memo_key] = result
        if len(self._memo) > _MAX_MEMO_COUNT:
            self._memo.popitem(last=False)
        return result
