"""Whether an attempt waits although some endpoint has a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.routing.endpoint_pool import Distance

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core.routing.endpoint_costs import EndpointCosts
    from dogwoodpost.core.routing.endpoint_pool import EndpointPool
    from dogwoodpost.core.routing.route_query import RouteQuery
    from dogwoodpost.core.routing.settings import RouterSettings


class WaitingPolicy:
    """Weighs a wait for a better endpoint against a free slot now."""

    def __init__(self, settings: RouterSettings, costs: EndpointCosts) -> None:
        self._settings = settings
        self._costs = costs

    def prefers_full_endpoint(
        self,
        pool: EndpointPool,
        query: RouteQuery,
        scores: Mapping[ids.EndpointId, float],
        loads: Mapping[ids.EndpointId, int],
        best_id: ids.EndpointId,
    ) -> bool:
        """Return whether a full endpoint is worth waiting for.

        The wait for a full endpoint never exceeds the time that the endpoint
        would save. So if its slot is not freed in time, the request loses at
        most the time that it could have gained.

        :param scores: expected time of the attempt by endpoint.
        :param best_id: endpoint with a free slot that takes least time.
        """
        max_wait_s = self._settings.max_prefix_wait_s
        if not query.requires_free_slot or query.passed_over_s >= max_wait_s:
            return False
        # Delay and charge of another region are left out here: whether to
        # leave the region depends on the wait of the whole queue, see
        # prefers_nearby.
        distance = pool.distance(pool.endpoints[best_id])
        best_s = scores[best_id] - self._costs.distance_s(distance, query)
        for endpoint_id, score_s in scores.items():
            request_limit = self._costs.request_limit(pool, endpoint_id, query)
            excess_count = loads[endpoint_id] - request_limit + 1
            if excess_count <= 0:
                continue
            capacity = self._costs.capacity(pool, endpoint_id, query)
            slot_s = pool.mean_duration_s / capacity
            gain_s = best_s - score_s
            wait_s = max(query.passed_over_s, slot_s * excess_count)
            if wait_s < gain_s:
                return True
        return False

    def is_remote(
        self,
        pool: EndpointPool,
        query: RouteQuery,
        available_ids: Sequence[ids.EndpointId],
    ) -> bool:
        """Return whether an attempt that may wait has to leave the region."""
        return query.requires_free_slot and all(
            pool.distance(pool.endpoints[endpoint_id]) is Distance.REMOTE
            for endpoint_id in available_ids
        )

    def prefers_nearby(
        self,
        pool: EndpointPool,
        query: RouteQuery,
        near_ids: Sequence[ids.EndpointId],
    ) -> bool:
        """Return whether to wait for a slot in this region.

        This is so if a slot is expected to become free in less time than
        another region costs in delay and charge.

        :param near_ids: endpoints of this region that take work.
        """
        slot_count = sum(
            self._costs.capacity(pool, endpoint_id, query)
            for endpoint_id in near_ids
        )
        if not slot_count:
            return False
        near_wait_s = (
            pool.mean_duration_s * (query.waiting_count + 1) / slot_count
        )
        return near_wait_s < self._costs.distance_s(Distance.REMOTE, query)
