"""Rendezvous (highest random weight) hashing."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids

_MAX_CACHED_RANKINGS = 4_096


class Rendezvous:
    """Ranks endpoints for a key and caches the results of recent keys.

    Ranking hashes every endpoint, so results are cached until the set of
    endpoints changes.
    """

    def __init__(self) -> None:
        self._cache: OrderedDict[
            tuple[str, int, int], tuple[ids.EndpointId, ...]
        ] = OrderedDict()

    def clear(self) -> None:
        """Drop all cached rankings after a change of the endpoints."""
        self._cache.clear()

    def top(
        self,
        pool_name: str,
        key: int,
        endpoint_ids: Sequence[ids.EndpointId],
        count: int,
    ) -> tuple[ids.EndpointId, ...]:
        """Return up to ``count`` endpoints of highest rank, best first.

        :param pool_name: identifies the set ``endpoint_ids`` in the cache.
        """
        cache_key = (pool_name, key, count)
        cached = self._cache.get(cache_key)
        if cached is not None:
            self._cache.move_to_end(cache_key)
            return cached
        ranked = heapq.nlargest(
            count,
            endpoint_ids,
            key=lambda endpoint_id: xxhash.xxh3_64_intdigest(
                endpoint_id.encode(), seed=key
            ),
        )
        result = tuple(ranked)
        self._cache[cache_key] = result
        if len(self._cache) > _MAX_CACHED_RANKINGS:
            self._cache.popitem(last=False)
        return result
