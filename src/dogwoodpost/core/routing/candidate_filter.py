"""Which endpoints an attempt may be sent to now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.routing.endpoint_pool import Distance
from dogwoodpost.core.routing.outlier_detector import Health

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core.cold_starts import ColdStartLimiter
    from dogwoodpost.core.routing.candidate_sampler import CandidateSampler
    from dogwoodpost.core.routing.endpoint_costs import EndpointCosts
    from dogwoodpost.core.routing.endpoint_pool import EndpointPool
    from dogwoodpost.core.routing.route_query import RouteQuery
    from dogwoodpost.core.routing.waiting_policy import WaitingPolicy


class CandidateFilter:
    """Leaves out endpoints by region, version, health, load and cold start."""

    def __init__(
        self,
        sampler: CandidateSampler,
        costs: EndpointCosts,
        waiting_policy: WaitingPolicy,
    ) -> None:
        self._sampler = sampler
        self._costs = costs
        self._waiting_policy = waiting_policy
        self.cold_starts: ColdStartLimiter | None = None

    def allowed(
        self, pool: EndpointPool, query: RouteQuery, now_s: float
    ) -> list[ids.EndpointId]:
        """Return the sampled endpoints that may get the attempt now.

        Cold endpoints are left out while this process has used its share of
        what they bear.
        """
        allowed = [
            endpoint_id
            for endpoint_id in self._sampler.sample(pool, query)
            if self.is_allowed(pool, query, endpoint_id)
        ]
        limiter = self.limiter(query.service)
        if limiter is None:
            return allowed
        if not query.may_use_cold:
            return [
                endpoint_id
                for endpoint_id in allowed
                if not limiter.is_cold(pool.endpoints[endpoint_id], now_s)
            ]
        limiter.note_need(query.service, now_s)
        return [
            endpoint_id
            for endpoint_id in allowed
            if limiter.may_send(pool.endpoints[endpoint_id], now_s)
        ]

    def available(
        self,
        pool: EndpointPool,
        candidates: Sequence[ids.EndpointId],
        loads: dict[ids.EndpointId, int],
        query: RouteQuery,
        now_s: float,
    ) -> list[ids.EndpointId]:
        """Return the candidates with free slots, only warm ones if there are.

        While warm endpoints have places, cold ones are left to warm up.
        """
        available_ids = self._with_free_slots(pool, candidates, loads, query)
        limiter = self.limiter(query.service)
        if limiter is None:
            return available_ids
        warm_ids = [
            endpoint_id
            for endpoint_id in available_ids
            if not limiter.is_cold(pool.endpoints[endpoint_id], now_s)
        ]
        return warm_ids or available_ids

    def limiter(self, service: ids.ServiceName) -> ColdStartLimiter | None:
        """Return the limiter of cold endpoints, None if it has no effect."""
        limiter = self.cold_starts
        if limiter is None or not limiter.limits(service):
            return None
        return limiter

    def probe(
        self,
        pool: EndpointPool,
        query: RouteQuery,
        allowed: Sequence[ids.EndpointId],
        now_s: float,
    ) -> ids.EndpointId | None:
        """Return an ejected endpoint that the attempt can probe, if any.

        A probe takes precedence over the comparison by score; otherwise an
        endpoint with bad results would never be tried again. Only endpoints
        with a free slot are probed: no other attempt is placed until the
        probe has been sent, so a full endpoint would hold up the queue.
        """
        if not query.may_probe:
            return None
        probe_ids = [
            endpoint_id
            for endpoint_id in allowed
            if pool.outliers.needs_probe(endpoint_id, now_s)
        ]
        loads = current_loads(pool, probe_ids, now_s)
        available_ids = self._with_free_slots(pool, probe_ids, loads, query)
        return min(
            available_ids,
            key=lambda available_id: (
                pool.distance(pool.endpoints[available_id]).value
            ),
            default=None,
        )

    def in_rotation(
        self,
        pool: EndpointPool,
        allowed: Sequence[ids.EndpointId],
        now_s: float,
    ) -> list[ids.EndpointId]:
        """Return the healthy endpoints, or all if none is healthy.

        If all endpoints have been ejected, an attempt at one of them may
        still succeed, whereas a refusal fails for certain.
        """
        healthy = [
            endpoint_id
            for endpoint_id in allowed
            if pool.outliers.health(endpoint_id, now_s) is Health.HEALTHY
        ]
        return healthy or list(allowed)

    def is_allowed(
        self,
        pool: EndpointPool,
        query: RouteQuery,
        endpoint_id: ids.EndpointId,
    ) -> bool:
        """Return whether an endpoint may serve the attempt, now or later."""
        if endpoint_id in query.excluded:
            return False
        endpoint = pool.endpoints.get(endpoint_id)
        if endpoint is None or endpoint.draining or not endpoint.ready:
            return False
        if not query.allowed_regions.permits(endpoint.region):
            return False
        needed = query.min_weight_version
        if needed is None:
            return True
        version = endpoint.version_of(query.model)
        return version is not None and version >= needed

    def _with_free_slots(
        self,
        pool: EndpointPool,
        candidates: Sequence[ids.EndpointId],
        loads: dict[ids.EndpointId, int],
        query: RouteQuery,
    ) -> list[ids.EndpointId]:
        if not query.requires_free_slot:
            return list(candidates)
        return [
            endpoint_id
            for endpoint_id in candidates
            if loads[endpoint_id]
            < self._costs.request_limit(pool, endpoint_id, query)
        ]

    def should_wait_nearby(
        self,
        pool: EndpointPool,
        query: RouteQuery,
        available_ids: Sequence[ids.EndpointId],
        now_s: float,
    ) -> bool:
        """Return whether to wait because only other regions have free slots.

        Unhealthy and cold endpoints of this region are not waited for: they
        take little work, however many free slots they have.
        """
        if not self._waiting_policy.is_remote(pool, query, available_ids):
            return False
        limiter = self.limiter(query.service)
        eligible = pool.eligible()
        near_ids = [
            endpoint_id
            for endpoint_id in (
                eligible[Distance.ZONE] + eligible[Distance.REGION]
            )
            if self.is_allowed(pool, query, endpoint_id)
            and pool.outliers.health(endpoint_id, now_s) is Health.HEALTHY
            and not (
                limiter and limiter.is_cold(pool.endpoints[endpoint_id], now_s)
            )
        ]
        return self._waiting_policy.prefers_nearby(pool, query, near_ids)


def current_loads(
    pool: EndpointPool, endpoint_ids: Sequence[ids.EndpointId], now_s: float
) -> dict[ids.EndpointId, int]:
    """Return the estimated number of requests at each endpoint."""
    return {
        endpoint_id: pool.loads[endpoint_id].count(now_s)
        for endpoint_id in endpoint_ids
    }
