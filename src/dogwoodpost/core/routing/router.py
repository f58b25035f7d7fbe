"""Selects the endpoint for each attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.routing.available_endpoint import AvailableEndpoint
from dogwoodpost.core.routing.cache_index import CacheIndex
from dogwoodpost.core.routing.candidate_filter import CandidateFilter
from dogwoodpost.core.routing.candidate_filter import current_loads
from dogwoodpost.core.routing.candidate_sampler import CandidateSampler
from dogwoodpost.core.routing.endpoint_costs import EndpointCosts
from dogwoodpost.core.routing.endpoint_pool import EndpointPool
from dogwoodpost.core.routing.endpoint_snapshot import EndpointSnapshot
from dogwoodpost.core.routing.outlier_detector import Health
from dogwoodpost.core.routing.settings import OutlierSettings
from dogwoodpost.core.routing.settings import RouterSettings
from dogwoodpost.core.routing.waiting_policy import WaitingPolicy

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dogwoodpost.core import ids
    from dogwoodpost.core import messages
    from dogwoodpost.core.cold_starts import ColdStartLimiter
    from dogwoodpost.core.routing.endpoint import Endpoint
    from dogwoodpost.core.routing.route_query import AttemptResult
    from dogwoodpost.core.routing.route_query import RouteQuery

    HealthListener = Callable[[ids.EndpointId, Health, AttemptResult], None]
    LoadListener = Callable[[ids.EndpointId], None]


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
        self._filter = CandidateFilter(
            self._sampler, self._costs, self._waiting_policy
        )
        self._on_health_change: HealthListener | None = None
        self._on_own_load_change: LoadListener | None = None

    def listen_to_health(self, listener: HealthListener) -> None:
        """Call ``listener`` when an endpoint is ejected or is used again."""
        self._on_health_change = listener

    def listen_to_own_loads(self, listener: LoadListener | None) -> None:
        """Call ``listener`` when an own attempt begins or ends."""
        self._on_own_load_change = listener

    def limit_cold_starts(self, limiter: ColdStartLimiter) -> None:
        """Limit what is sent to endpoints that may be cold from now on."""
        self._filter.cold_starts = limiter

    def needed_services(self, now_s: float) -> tuple[ids.ServiceName, ...]:
        """Return the services to announce before sending to cold endpoints."""
        if self._filter.cold_starts is None:
            return ()
        return self._filter.cold_starts.needed_services(now_s)

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
        limiter = self._filter.limiter(query.service)
        if limiter is None or pool is None:
            return None
        allowed = (
            pool.endpoints[endpoint_id]
            for endpoint_ids in pool.eligible().values()
            for endpoint_id in endpoint_ids
            if self._filter.is_allowed(pool, query, endpoint_id)
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
        allowed = self._filter.allowed(pool, query, now_s)
        probe_id = self._filter.probe(pool, query, allowed, now_s)
        if probe_id and not self._filter.should_wait_nearby(
            pool, query, [probe_id], now_s
        ):
            return pool.endpoints[probe_id]
        candidates = self._filter.in_rotation(pool, allowed, now_s)
        if not candidates:
            return None
        loads = current_loads(pool, candidates, now_s)
        scores = {
            endpoint_id: self._costs.score_s(
                pool, query, endpoint_id, loads, now_s
            )
            for endpoint_id in candidates
        }
        available_ids = self._filter.available(
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
        if self._filter.should_wait_nearby(pool, query, available_ids, now_s):
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
        allowed = self._filter.allowed(pool, query, now_s)
        probe_id = self._filter.probe(pool, query, allowed, now_s)
        if probe_id:
            candidates = [probe_id]
        else:
            candidates = self._filter.in_rotation(pool, allowed, now_s)
        loads = current_loads(pool, candidates, now_s)
        available_ids = self._filter.available(
            pool, candidates, loads, query, now_s
        )
        return [
            AvailableEndpoint(pool.endpoints[endpoint_id], loads[endpoint_id])
            for endpoint_id in available_ids
        ]

    def endpoint_snapshots(
        self, query: RouteQuery, now_s: float
    ) -> tuple[EndpointSnapshot, ...]:
        """Return the state of all endpoints of the query's service.

        Neither regions nor versions are considered.
        """
        pool = self._pools.get(query.service)
        if pool is None:
            return ()
        return tuple(
            EndpointSnapshot(
                endpoint_id=endpoint_id,
                availability_zone=endpoint.availability_zone,
                is_ready=endpoint.ready and not endpoint.draining,
                in_use=endpoint.ready
                and not endpoint.draining
                and pool.outliers.health(endpoint_id, now_s) is Health.HEALTHY,
                slot_count=self._costs.capacity(pool, endpoint_id, query),
                load_count=pool.loads[endpoint_id].count(now_s),
            )
            for endpoint_id, endpoint in pool.endpoints.items()
        )

    def endpoint(self, endpoint_id: ids.EndpointId) -> Endpoint | None:
        """Return an endpoint by its id, or None if it is unknown."""
        service = self._service_by_endpoint.get(endpoint_id)
        if service is None:
            return None
        return self._pools[service].endpoints.get(endpoint_id)

    def healthy_slot_count(
        self, service: ids.ServiceName, concurrency: int, now_s: float
    ) -> int:
        """Return the slots of the ready and healthy endpoints of a service.

        :param concurrency: slots of an endpoint that reports no capacity.
        """
        pool = self._pools.get(service)
        if pool is None:
            return 0
        return sum(
            pool.endpoints[endpoint_id].capacity_count or concurrency
            for endpoint_ids in pool.eligible().values()
            for endpoint_id in endpoint_ids
            if pool.outliers.health(endpoint_id, now_s) is Health.HEALTHY
        )

    def slot_count(self, service: ids.ServiceName) -> int:
        """Return how many requests a service's endpoints run at once.

        Endpoints that drain or are not ready don't count.
        """
        pool = self._pools.get(service)
        return 0 if pool is None else pool.slot_count()

    def own_loads(self) -> dict[ids.EndpointId, int]:
        """Return the number of own attempts in flight, by endpoint."""
        return {
            endpoint_id: load.own_count
            for pool in self._pools.values()
            for endpoint_id, load in pool.loads.items()
            if load.own_count
        }

    def is_engine(self, endpoint_id: ids.EndpointId) -> bool:
        """Return whether an endpoint is known to hold weights."""
        endpoint = self.endpoint(endpoint_id)
        return endpoint is not None and bool(endpoint.weight_versions)

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
        if self._on_own_load_change is not None:
            self._on_own_load_change(endpoint_id)
        endpoint = pool.endpoints.get(endpoint_id)
        if self._filter.cold_starts is not None and endpoint is not None:
            self._filter.cold_starts.record_send(endpoint, now_s)
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
        if self._on_own_load_change is not None:
            self._on_own_load_change(endpoint_id)
        pool.drop_idle_load(endpoint_id)
        if not result.conclusive:
            pool.outliers.abandon(endpoint_id, attempt_id)
            return
        if self._filter.cold_starts is not None:
            self._filter.cold_starts.record_result(
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
