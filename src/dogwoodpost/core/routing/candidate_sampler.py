"""Picks the endpoints that are compared for an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.routing.rendezvous import Rendezvous
from dogwoodpost.core.routing.service_group import Distance

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core.routing.cache_index import CacheIndex
    from dogwoodpost.core.routing.route_query import RouteQuery
    from dogwoodpost.core.routing.service_group import ServiceGroup
    from dogwoodpost.core.routing.settings import RouterSettings

# Depth of the prefix that decides on a home while nobody is known to hold
# any of it; entries that have seen nothing yet agree on it.
_COLD_KEY_BLOCK = 3


class CandidateSampler:
    """Combines known holders, rendezvous hashing and random draws."""

    def __init__(
        self, settings: RouterSettings, index: CacheIndex, rng: random.Random
    ) -> None:
        self._settings = settings
        self._index = index
        self._rng = rng
        self._rendezvous = Rendezvous()

    def clear(self) -> None:
        """Forget all ranks, after a change of the endpoints."""
        self._rendezvous.clear()

    def sample(
        self, group: ServiceGroup, query: RouteQuery
    ) -> Iterable[ids.EndpointId]:
        """Return the endpoints to compare; not all may be allowed."""
        eligible = group.eligible()
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
            if endpoint_id in group.endpoints
        )
        near = True
        for distance, members in eligible.items():
            if not members:
                continue
            count = settings.random_count if near else settings.remote_count
            sample.update(dict.fromkeys(self._draw(members, count)))
            if near and query.prefix:
                group_name = f'{query.service}/{distance.value}'
                sample.update(
                    dict.fromkeys(self._homes(group_name, query, members))
                )
            near = False
        return sample

    def _homes(
        self,
        group_name: str,
        query: RouteQuery,
        members: Sequence[ids.EndpointId],
    ) -> tuple[ids.EndpointId, ...]:
        return self._rendezvous.top(
            group_name,
            self._affinity_key(query.prefix),
            members,
            self._settings.rendezvous_count,
        )

    def _affinity_key(self, prefix: Sequence[int]) -> int:
        known = self._index.deepest_known(prefix)
        if known is not None:
            return known
        return prefix[min(_COLD_KEY_BLOCK, len(prefix) - 1)]

    def _draw(
        self, members: Sequence[ids.EndpointId], count: int
    ) -> list[ids.EndpointId]:
        return self._rng.sample(members, min(count, len(members)))
