"""Selects the endpoint for each attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.routing.available_endpoint import AvailableEndpoint
from dogwoodpost.core.routing.cache_index import CacheIndex
from dogwoodpost.core.routing.candidate_sampler import CandidateSampler
from dogwoodpost.core.routing.endpoint_pool import Distance
from dogwoodpost.core.routing.endpoint_pool import EndpointPool
from dogwoodpost.core.routing.outlier_detector import Health
from dogwoodpost.core.routing.prefix import BLOCK_TOKENS
from dogwoodpost.core.routing.settings import OutlierSettings
from dogwoodpost.core.routing.settings import RouterSettings

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core import messages
    from dogwoodpost.core.routing.endpoint import Endpoint
    from dogwoodpost.core.routing.route_query import AttemptResult
    from dogwoodpost.core.routing.route_query import RouteQuery

_BYTES_PER_MIB = 1024 * 1024


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
        self._sampler = CandidateSampler(self._settings, self._index, rng)

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
        allowed = self._allowed_candidates(pool, query)
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
            endpoint_id: self._score_s(pool, query, endpoint_id, loads, now_s)
            for endpoint_id in candidates
        }
        available_ids = self._with_free_slots(pool, candidates, loads, query)
        if not available_ids:
            return None
        best_id = min(
            available_ids, key=lambda available_id: scores[available_id]
        )
        if self._should_wait(pool, query, scores, loads, best_id):
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
        allowed = self._allowed_candidates(pool, query)
        probe_id = self._probe_candidate(pool, query, allowed, now_s)
        if probe_id:
            candidates = [probe_id]
        else:
            candidates = self._in_rotation(pool, allowed, now_s)
        loads = _loads(pool, candidates, now_s)
        return [
            AvailableEndpoint(pool.endpoints[endpoint_id], loads[endpoint_id])
            for endpoint_id in self._with_free_slots(
                pool, candidates, loads, query
            )
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
        s_per_unit = None
        if not result.failed:
            pool.observe(result.duration_s, result.work_units)
            if result.work_units > 0:
                s_per_unit = result.duration_s / result.work_units
        pool.outliers.record(
            endpoint_id,
            attempt_id,
            failed=result.failed,
            s_per_unit=s_per_unit,
            now_s=now_s,
        )

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
        self, pool: EndpointPool, query: RouteQuery
    ) -> list[ids.EndpointId]:
        """Return the sampled endpoints that may serve the attempt."""
        return [
            endpoint_id
            for endpoint_id in self._sampler.sample(pool, query)
            if self._is_allowed(pool, query, endpoint_id)
        ]

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
            < self._request_limit(pool, endpoint_id, query)
        ]

    def _request_limit(
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
        return self._capacity(pool, endpoint_id, query) * factor

    def _capacity(
        self,
        pool: EndpointPool,
        endpoint_id: ids.EndpointId,
        query: RouteQuery,
    ) -> int:
        reported_count = pool.endpoints[endpoint_id].capacity_count
        return reported_count or query.concurrency

    def _score_s(
        self,
        pool: EndpointPool,
        query: RouteQuery,
        endpoint_id: ids.EndpointId,
        loads: dict[ids.EndpointId, int],
        now_s: float,
    ) -> float:
        """Return the expected time of the attempt at an endpoint.

        The sum of work, prefill and network delay, in seconds, plus the
        charge for traffic between regions expressed as seconds.
        """
        slowness = max(pool.outliers.slowness(endpoint_id, now_s), 0.5)
        capacity = self._capacity(pool, endpoint_id, query)
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
        return (
            work_s + prefill_s * slowness + self._distance_s(distance, query)
        )

    def _affinity_load_limit(self, loads: dict[ids.EndpointId, int]) -> float:
        """Return the load above which cached prefixes are ignored."""
        mean = sum(loads.values()) / len(loads)
        return self._settings.load_bound * (mean + 1.0)

    def _distance_s(self, distance: Distance, query: RouteQuery) -> float:
        settings = self._settings
        if distance is Distance.ZONE:
            return 0.0
        if distance is Distance.REGION:
            return settings.zone_delay_s
        volume_mib = query.volume_bytes / _BYTES_PER_MIB
        charge_s = volume_mib * settings.region_charge_s_per_mib
        return settings.region_delay_s + charge_s

    def _should_wait(
        self,
        pool: EndpointPool,
        query: RouteQuery,
        scores: dict[ids.EndpointId, float],
        loads: dict[ids.EndpointId, int],
        best_id: ids.EndpointId,
    ) -> bool:
        """Return whether a full endpoint is worth waiting for.

        The wait for a full endpoint never exceeds the time that the endpoint
        would save. So if its slot is not freed in time, the request loses at
        most the time that it could have gained.
        """
        max_wait_s = self._settings.max_prefix_wait_s
        if not query.requires_free_slot or query.passed_over_s >= max_wait_s:
            return False
        # Delay and charge of another region are left out here: whether to
        # leave the region depends on the wait of the whole queue, see
        # _should_wait_nearby.
        distance = pool.distance(pool.endpoints[best_id])
        best_s = scores[best_id] - self._distance_s(distance, query)
        for endpoint_id, score_s in scores.items():
            request_limit = self._request_limit(pool, endpoint_id, query)
            excess_count = loads[endpoint_id] - request_limit + 1
            if excess_count <= 0:
                continue
            capacity = self._capacity(pool, endpoint_id, query)
            slot_s = pool.mean_duration_s / capacity
            gain_s = best_s - score_s
            wait_s = max(query.passed_over_s, slot_s * excess_count)
            if wait_s < gain_s:
                return True
        return False

    def _should_wait_nearby(
        self,
        pool: EndpointPool,
        query: RouteQuery,
        available_ids: Sequence[ids.EndpointId],
        now_s: float,
    ) -> bool:
        """Return whether to wait because only other regions have free slots.

        This is so if a slot of an endpoint in this region is expected to
        become free in less time than another region costs in delay and
        charge. Unhealthy endpoints are not counted: they take no work,
        however many free slots they have.
        """
        if not query.requires_free_slot:
            return False
        for endpoint_id in available_ids:
            endpoint = pool.endpoints[endpoint_id]
            if pool.distance(endpoint) is not Distance.REMOTE:
                return False
        eligible = pool.eligible()
        near = eligible[Distance.ZONE] + eligible[Distance.REGION]
        slot_count = sum(
            self._capacity(pool, endpoint_id, query)
            for endpoint_id in near
            if self._is_allowed(pool, query, endpoint_id)
            and pool.outliers.health(endpoint_id, now_s) is Health.HEALTHY
        )
        if not slot_count:
            return False
        near_wait_s = (
            pool.mean_duration_s * (query.waiting_count + 1) / slot_count
        )
        return near_wait_s < self._distance_s(Distance.REMOTE, query)


def _loads(
    pool: EndpointPool, endpoint_ids: Sequence[ids.EndpointId], now_s: float
) -> dict[ids.EndpointId, int]:
    return {
        endpoint_id: pool.loads[endpoint_id].count(now_s)
        for endpoint_id in endpoint_ids
    }
