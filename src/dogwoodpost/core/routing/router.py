"""Selects the endpoint for each attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.routing.available_endpoint import AvailableEndpoint
from dogwoodpost.core.routing.cache_index import CacheIndex
from dogwoodpost.core.routing.candidate_sampler import CandidateSampler
from dogwoodpost.core.routing.endpoint_costs import EndpointCosts
from dogwoodpost.core.routing.endpoint_pool import Distance
from dogwoodpost.core.routing.endpoint_pool import EndpointPool
from dogwoodpost.core.routing.outlier_detector import Health
from dogwoodpost.core.routing.settings import OutlierSettings
from dogwoodpost.core.routing.settings import RouterSettings
from dogwoodpost.core.routing.waiting_policy import WaitingPolicy

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core import messages
    from dogwoodpost.core.cold_starts import ColdStartLimiter
    from dogwoodpost.core.routing.endpoint import Endpoint
    from dogwoodpost.core.routing.route_query import AttemptResult
    from dogwoodpost.core.routing.route_query import RouteQuery

    HealthListener = Callable[[ids.EndpointId, Health, AttemptResult], None]


class Router:
    """Selects endpoints by load, distance and cached prompt prefix.

    Implements ``EndpointListener`` to follow the state of the endpoints.
    """

    def __init__(
        self,
        availability_zone: ids.AvailabilityZone,
        region: ids.Region,
        rng: random.Random,
        settings: RouterSettings | None = None,
        outlier_settings: OutlierSettings | None = None,
    ) -> None:
        self._availability_zone = availability_zone
        self._region = region
        self._settings = settings or RouterSettings()
        self._outlier_settings = outlier_settings or OutlierSettings()
        self._pools: dict[ids.ServiceName, EndpointPool] = {}
        self._service_by_endpoint: dict[ids.EndpointId, ids.ServiceName] = {}
        self._index = CacheIndex(
            self._settings.max_index_blocks, self._settings.presumed_weight
        )
        self._costs = EndpointCosts(self._settings, self._index)
        self._waiting_policy = WaitingPolicy(self._settings, self._costs)
        self._sampler = CandidateSampler(self._settings, self._index, rng)
        self._cold_starts: ColdStartLimiter | None = None
        self._on_health_change: HealthListener | None = None

    def listen_to_health(self, listener: HealthListener) -> None:
        """Call ``listener`` when an endpoint is ejected or is used again."""
        self._on_health_change = listener

    def limit_cold_starts(self, limiter: ColdStartLimiter) -> None:
        """Limit what is sent to endpoints that may be cold from now on."""
        self._cold_starts = limiter

    def needed_services(self, now_s: float) -> tuple[ids.ServiceName, ...]:
        """Return the services to announce before sending to cold endpoints."""
        if self._cold_starts is None:
            return ()
        return self._cold_starts.needed_services(now_s)

    def upsert(self, endpoint: Endpoint, now_s: float) -> None:
        """Add an endpoint or replace its description."""
        endpoint_id = endpoint.endpoint_id
        service = self._service_by_endpoint.get(endpoint_id)
        if service is not None and service != endpoint.service:
            self.remove(endpoint_id, now_s)
        pool = self._pool(endpoint.service)
        previous = pool.endpoints.get(endpoint_id)
        if not pool.upsert(endpoint):
            return
        self._service_by_endpoint[endpoint_id] = endpoint.service
        self._index.add(endpoint_id)
        self._sampler.clear()
        if previous is None:
            return
        if previous.agent_incarnation != endpoint.agent_incarnation:
            self._index.invalidate(endpoint_id)

    def remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        """Remove an endpoint; an unknown id has no effect."""
        service = self._service_by_endpoint.pop(endpoint_id, None)
        if service is None:
            return
        self._pools[service].remove(endpoint_id)
        self._index.remove(endpoint_id)
        self._sampler.clear()

    def report_load(self, load: messages.EndpointLoad, now_s: float) -> None:
        """Apply a load report, which describes the state ``age_ms`` ago."""
        service = self._service_by_endpoint.get(load.endpoint_id)
        if service is not None:
            self._pools[service].loads[load.endpoint_id].report(load, now_s)

    def record_cache_events(
        self, events: messages.CacheEvents, now_s: float
    ) -> None:
        """Apply cache events; after a gap, earlier blocks are dropped."""
        self._index.record_events(events)

    def has_endpoint(self, query: RouteQuery) -> bool:
        """Return whether any endpoint in an allowed region is in use.

        Endpoints that drain or are not ready are not in use. Load, health and
        weight versions, which change soon, are not considered.
        """
        pool = self._pools.get(query.service)
        if pool is None:
            return False
        return any(
            query.allowed_regions.permits(pool.endpoints[endpoint_id].region)
            for endpoint_ids in pool.eligible().values()
            for endpoint_id in endpoint_ids
        )

    def cold_wait_s(
        self, query: RouteQuery, waiting_count: int, now_s: float
    ) -> float | None:
        """Return how long a request waits at most if all endpoints are cold.

        :param waiting_count: requests of the service that wait already.
        :returns: None if a warm endpoint may serve the request.
        """
        pool = self._pools.get(query.service)
        limiter = self._limiter(query.service)
        if limiter is None or pool is None:
            return None
        allowed = (
            pool.endpoints[endpoint_id]
            for endpoint_ids in pool.eligible().values()
            for endpoint_id in endpoint_ids
            if self._is_allowed(pool, query, endpoint_id)
        )
        return limiter.wait_s(query.service, allowed, waiting_count, now_s)

    def mean_duration_s(self, service: ids.ServiceName) -> float:
        """Return the mean duration of a service's attempts, in seconds."""
        return self._pool(service).mean_duration_s

    def choose(self, query: RouteQuery, now_s: float) -> Endpoint | None:
        """Return the endpoint for an attempt, or None if it has to wait.

        None is also returned if no endpoint may serve the attempt at all.
        """
        pool = self._pools.get(query.service)
        if pool is None:
            return None
        allowed = self._allowed_candidates(pool, query, now_s)
        probe_id = self._probe_candidate(pool, query, allowed, now_s)
        if probe_id and not self._should_wait_nearby(
            pool, query, [probe_id], now_s
        ):
            return pool.endpoints[probe_id]
        candidates = self._in_rotation(pool, allowed, now_s)
        if not candidates:
            return None
        loads = _loads(pool, candidates, now_s)
        scores = {
            endpoint_id: self._costs.score_s(
                pool, query, endpoint_id, loads, now_s
            )
            for endpoint_id in candidates
        }
        available_ids = self._available_ids(
            pool, candidates, loads, query, now_s
        )
        if not available_ids:
            return None
        best_id = min(
            available_ids, key=lambda available_id: scores[available_id]
        )
        if self._waiting_policy.prefers_full_endpoint(
            pool, query, scores, loads, best_id
        ):
            return None
        if self._should_wait_nearby(pool, query, available_ids, now_s):
            return None
        return pool.endpoints[best_id]

    def available_endpoints(
        self, query: RouteQuery, now_s: float
    ) -> list[AvailableEndpoint]:
        """Return the endpoints that may take an attempt now, with loads.

        Used by callers that choose among them by a policy of their own.
        """
        pool = self._pools.get(query.service)
        if pool is None:
            return []
        allowed = self._allowed_candidates(pool, query, now_s)
        probe_id = self._probe_candidate(pool, query, allowed, now_s)
        if probe_id:
            candidates = [probe_id]
        else:
            candidates = self._in_rotation(pool, allowed, now_s)
        loads = _loads(pool, candidates, now_s)
        available_ids = self._available_ids(
            pool, candidates, loads, query, now_s
        )
        return [
            AvailableEndpoint(pool.endpoints[endpoint_id], loads[endpoint_id])
            for endpoint_id in available_ids
        ]

    def endpoint(self, endpoint_id: ids.EndpointId) -> Endpoint | None:
        """Return an endpoint by its id, or None if it is unknown."""
        service = self._service_by_endpoint.get(endpoint_id)
        if service is None:
            return None
        return self._pools[service].endpoints.get(endpoint_id)

    def own_loads(self) -> dict[ids.EndpointId, int]:
        """Return the number of own attempts in flight, by endpoint."""
        return {
            endpoint_id: load.own_count
            for pool in self._pools.values()
            for endpoint_id, load in pool.loads.items()
            if load.own_count
        }

    def begin(
        self,
        endpoint_id: ids.EndpointId,
        attempt_id: ids.AttemptId,
        query: RouteQuery,
        now_s: float,
    ) -> None:
        """Record that an attempt is sent to an endpoint."""
        pool = self._pool(query.service)
        load = pool.loads.get(endpoint_id)
        if load is None:
            return
        load.begin(attempt_id, now_s)
        endpoint = pool.endpoints.get(endpoint_id)
        if self._cold_starts is not None and endpoint is not None:
            self._cold_starts.record_send(endpoint, now_s)
        pool.outliers.begin(endpoint_id, attempt_id, now_s)
        self._index.record_dispatch(endpoint_id, query.prefix)

    def finish(
        self,
        service: ids.ServiceName,
        endpoint_id: ids.EndpointId,
        attempt_id: ids.AttemptId,
        result: AttemptResult,
        now_s: float,
    ) -> None:
        """Record the end of an attempt and its result."""
        pool = self._pool(service)
        load = pool.loads.get(endpoint_id)
        if load is None:
            return
        load.finish(attempt_id, now_s)
        pool.drop_idle_load(endpoint_id)
        if not result.conclusive:
            pool.outliers.abandon(endpoint_id, attempt_id)
            return
        if self._cold_starts is not None:
            self._cold_starts.record_result(
                endpoint_id, failed=result.failed, now_s=now_s
            )
        s_per_unit = None
        if not result.failed:
            pool.observe(result.duration_s, result.work_units)
            if result.work_units > 0:
                s_per_unit = result.duration_s / result.work_units
        health = pool.outliers.record(
            endpoint_id,
            attempt_id,
            failed=result.failed,
            timed_out=result.timed_out,
            s_per_unit=s_per_unit,
            now_s=now_s,
        )
        if health is not None and self._on_health_change is not None:
            self._on_health_change(endpoint_id, health, result)

    def health(self, endpoint_id: ids.EndpointId, now_s: float) -> Health:
        """Return the health of an endpoint.

        :raises KeyError: the endpoint is unknown.
        """
        service = self._service_by_endpoint[endpoint_id]
        return self._pools[service].outliers.health(endpoint_id, now_s)

    def _pool(self, service: ids.ServiceName) -> EndpointPool:
        pool = self._pools.get(service)
        if pool is None:
            pool = EndpointPool(
                self._availability_zone, self._region, self._outlier_settings
            )
            self._pools[service] = pool
        return pool

    def _allowed_candidates(
        self, pool: EndpointPool, query: RouteQuery, now_s: float
    ) -> list[ids.EndpointId]:
        """Return the sampled endpoints that may get the attempt now.

        Cold endpoints are left out while this process has used its share of
        what they bear.
        """
        allowed = [
            endpoint_id
            for endpoint_id in self._sampler.sample(pool, query)
            if self._is_allowed(pool, query, endpoint_id)
        ]
        limiter = self._limiter(query.service)
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

    def _available_ids(
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
        limiter = self._limiter(query.service)
        if limiter is None:
            return available_ids
        warm_ids = [
            endpoint_id
            for endpoint_id in available_ids
            if not limiter.is_cold(pool.endpoints[endpoint_id], now_s)
        ]
        return warm_ids or available_ids

    def _limiter(self, service: ids.ServiceName) -> ColdStartLimiter | None:
        """Return the limiter of cold endpoints, None if it has no effect."""
        limiter = self._cold_starts
        if limiter is None or not limiter.limits(service):
            return None
        return limiter

    def _probe_candidate(
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
        loads = _loads(pool, probe_ids, now_s)
        available_ids = self._with_free_slots(pool, probe_ids, loads, query)
        return min(
            available_ids,
            key=lambda available_id: (
                pool.distance(pool.endpoints[available_id]).value
            ),
            default=None,
        )

    def _in_rotation(
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

    def _is_allowed(
        self,
        pool: EndpointPool,
        query: RouteQuery,
        endpoint_id: ids.EndpointId,
    ) -> bool:
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

    def _should_wait_nearby(
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
        limiter = self._limiter(query.service)
        eligible = pool.eligible()
        near_ids = [
            endpoint_id
            for endpoint_id in (
                eligible[Distance.ZONE] + eligible[Distance.REGION]
            )
            if self._is_allowed(pool, query, endpoint_id)
            and pool.outliers.health(endpoint_id, now_s) is Health.HEALTHY
            and not (
                limiter and limiter.is_cold(pool.endpoints[endpoint_id], now_s)
            )
        ]
        return self._waiting_policy.prefers_nearby(pool, query, near_ids)


def _loads(
    pool: EndpointPool, endpoint_ids: Sequence[ids.EndpointId], now_s: float
) -> dict[ids.EndpointId, int]:
    return {
        endpoint_id: pool.loads[endpoint_id].count(now_s)
        for endpoint_id in endpoint_ids
    }
