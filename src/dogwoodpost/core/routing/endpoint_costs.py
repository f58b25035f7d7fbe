"""What an attempt is expected to cost at each endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.routing.endpoint_pool import Distance
from dogwoodpost.core.routing.prefix import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.routing.cache_index import CacheIndex
    from dogwoodpost.core.routing.endpoint_pool import EndpointPool
    from dogwoodpost.core.routing.route_query import RouteQuery
    from dogwoodpost.core.routing.settings import RouterSettings

_BYTES_PER_MIB = 1024 * 1024
_MIN_SLOWNESS = 0.5


class EndpointCosts:
    """Estimates the time of an attempt by load, prefix and distance."""

    def __init__(self, settings: RouterSettings, index: CacheIndex) -> None:
        self._settings = settings
        self._index = index

    def request_limit(
        self,
        pool: EndpointPool,
        endpoint_id: ids.EndpointId,
        query: RouteQuery,
    ) -> float:
        """Return how many requests an endpoint may hold at once.

        This is its capacity multiplied by the overcommit factor.
        """
        settings = self._settings
        factor = settings.overcommit_factor
        if query.account_underserved:
            factor = settings.underserved_overcommit_factor
        return self.capacity(pool, endpoint_id, query) * factor

    def capacity(
        self,
        pool: EndpointPool,
        endpoint_id: ids.EndpointId,
        query: RouteQuery,
    ) -> int:
        """Return how many requests an endpoint runs at once."""
        reported_count = pool.endpoints[endpoint_id].capacity_count
        return reported_count or query.concurrency

    def score_s(
        self,
        pool: EndpointPool,
        query: RouteQuery,
        endpoint_id: ids.EndpointId,
        loads: Mapping[ids.EndpointId, int],
        now_s: float,
    ) -> float:
        """Return the expected time of the attempt at an endpoint.

        The sum of work, prefill and network delay, in seconds, plus the
        charge for traffic between regions expressed as seconds, plus the time
        that is lost if the endpoint lets the attempt time out like the last.
        """
        slowness = max(
            pool.outliers.slowness(endpoint_id, now_s), _MIN_SLOWNESS
        )
        capacity = self.capacity(pool, endpoint_id, query)
        load_share = (loads[endpoint_id] + 1) / capacity
        work_s = pool.mean_duration_s * load_share * slowness
        matched = 0.0
        if loads[endpoint_id] <= self._affinity_load_limit(loads):
            matched = self._index.matched_blocks(endpoint_id, query.prefix)
        uncached_tokens = max(
            0.0, query.prompt_tokens - matched * BLOCK_TOKENS
        )
        prefill_units = uncached_tokens * self._settings.prompt_token_units
        prefill_s = prefill_units * pool.mean_s_per_unit
        distance = pool.distance(pool.endpoints[endpoint_id])
        score_s = work_s + prefill_s * slowness
        if pool.outliers.timed_out_lately(endpoint_id, now_s):
            score_s += self._settings.timeout_cost_s
        return score_s + self.distance_s(distance, query)

    def distance_s(self, distance: Distance, query: RouteQuery) -> float:
        """Return the delay and the charge of a distance, in seconds."""
        settings = self._settings
        if distance is Distance.ZONE:
            return 0.0
        if distance is Distance.REGION:
            return settings.zone_delay_s
        volume_mib = query.volume_bytes / _BYTES_PER_MIB
        charge_s = volume_mib * settings.region_charge_s_per_mib
        return settings.region_delay_s + charge_s

    def _affinity_load_limit(
        self, loads: Mapping[ids.EndpointId, int]
    ) -> float:
        """Return the load above which cached prefixes are ignored."""
        mean = sum(loads.values()) / len(loads)
        return self._settings.load_bound * (mean + 1.0)
