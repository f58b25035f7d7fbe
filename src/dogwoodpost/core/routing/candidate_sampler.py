"""Selection of the candidate endpoints for an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.routing.endpoint_pool import Distance
from dogwoodpost.core.routing.rendezvous import Rendezvous

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core.routing.cache_index import CacheIndex
    from dogwoodpost.core.routing.endpoint_pool import EndpointPool
    from dogwoodpost.core.routing.route_query import RouteQuery
    from dogwoodpost.core.routing.settings import RouterSettings

# Index of the prefix block that is the key for rendezvous hashing while no
# endpoint is known to hold any of the prefix. The key depends on the prompt
# alone, so entries with empty indexes choose the same endpoints.
_COLD_PREFIX_BLOCK_INDEX = 3


class CandidateSampler:
    """Combines prefix holders, rendezvous hashing and random choices."""

    def __init__(
        self, settings: RouterSettings, index: CacheIndex, rng: random.Random
    ) -> None:
        self._settings = settings
        self._index = index
        self._rng = rng
        self._rendezvous = Rendezvous()

    def clear(self) -> None:
        """Drop all cached rankings after a change of the endpoints."""
        self._rendezvous.clear()

    def sample(
        self, pool: EndpointPool, query: RouteQuery
    ) -> Iterable[ids.EndpointId]:
        """Return candidates; some may not be allowed for the query."""
        eligible = pool.eligible()
        total_count = sum(len(members) for members in eligible.values())
        if total_count <= self._settings.compare_all_count:
            return [*eligible[Distance.ZONE], *eligible[Distance.REGION]] + (
                eligible[Distance.REMOTE]
            )
        settings = self._settings
        sample = dict.fromkeys(
            endpoint_id
            for endpoint_id in self._index.holders(
                query.prefix, settings.index_count
            )
            if endpoint_id in pool.endpoints
        )
        is_nearest = True
        for distance, members in eligible.items():
            if not members:
                continue
            count = (
                settings.random_count if is_nearest else settings.remote_count
            )
            sample.update(dict.fromkeys(self._random_choices(members, count)))
            if is_nearest and query.prefix:
                pool_name = f'{query.service}/{distance.value}'
                sample.update(
                    dict.fromkeys(
                        self._rendezvous_choices(pool_name, query, members)
                    )
                )
            is_nearest = False
        return sample

    def _rendezvous_choices(
        self,
        pool_name: str,
        query: RouteQuery,
        members: Sequence[ids.EndpointId],
    ) -> tuple[ids.EndpointId, ...]:
        return self._rendezvous.top(
            pool_name,
            self._affinity_key(query.prefix),
            members,
            self._settings.rendezvous_count,
        )

    def _affinity_key(self, prefix: Sequence[int]) -> int:
        held_block = self._index.last_held_block(prefix)
        if held_block is not None:
            return held_block
        return prefix[min(_COLD_PREFIX_BLOCK_INDEX, len(prefix) - 1)]

    def _random_choices(
        self, members: Sequence[ids.EndpointId], count: int
    ) -> list[ids.EndpointId]:
        return self._rng.sample(members, min(count, len(members)))
