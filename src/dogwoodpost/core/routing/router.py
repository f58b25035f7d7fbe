"""Chooses the endpoint for an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.routing.available_endpoint import AvailableEndpoint
from dogwoodpost.core.routing.cache_index import CacheIndex
from dogwoodpost.core.routing.candidate_sampler import CandidateSampler
from dogwoodpost.core.routing.outlier_detector import Health
from dogwoodpost.core.routing.prefix import BLOCK_TOKENS
from dogwoodpost.core.routing.service_group import Distance
from dogwoodpost.core.routing.service_group import ServiceGroup
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
    """Implements ``EndpointListener`` and chooses among the endpoints."""

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
        self._groups: dict[ids.ServiceName, ServiceGroup] = {}
        self._service_by_endpoint: dict[ids.EndpointId, ids.ServiceName] = {}
        self._index = CacheIndex(
            self._settings.max_index_blocks, self._settings.presumed_weight
        )
        self._sampler = CandidateSampler(self._settings, self._index, rng)

    def upsert(self, endpoint: Endpoint, now_s: float) -> None:
        """Add an endpoint, or replace what is known of it."""
        endpoint_id = endpoint.endpoint_id
        service = self._service_by_endpoint.get(endpoint_id)
        if service is not None and service != endpoint.service:
            self.remove(endpoint_id, now_s)
        group = self._group(endpoint.service)
        known = group.endpoints.get(endpoint_id)
        if not group.upsert(endpoint):
            return
        self._service_by_endpoint[endpoint_id] = endpoint.service
        self._index.add(endpoint_id)
        self._sampler.clear()
        if known is None:
            return
        if known.agent_incarnation != endpoint.agent_incarnation:
            self._index.void(endpoint_id)

    def remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        """Forget an endpoint; an unknown id has no effect."""
        service = self._service_by_endpoint.pop(endpoint_id, None)
        if service is None:
            return
        self._groups[service].remove(endpoint_id)
        self._index.remove(endpoint_id)
        self._sampler.clear()

    def report_load(self, load: messages.EndpointLoad, now_s: float) -> None:
        """Take a load report, which lags by ``age_ms``."""
        service = self._service_by_endpoint.get(load.endpoint_id)
        if service is not None:
            self._groups[service].loads[load.endpoint_id].report(load, now_s)

    def record_cache_events(
        self, events: messages.CacheEvents, now_s: float
    ) -> None:
        """Take cache events; a gap makes the index of that endpoint void."""
        self._index.record_events(events)

    def has_endpoint(self, service: ids.ServiceName) -> bool:
        """Return whether any endpoint of a service may get work."""
        group = self._groups.get(service)
        return group is not None and any(group.eligible().values())

    def mean_duration_s(self, service: ids.ServiceName) -> float:
        """Return the mean duration of a service's attempts, in seconds."""
        return self._group(service).duration_s

    def choose(self, query: RouteQuery, now_s: float) -> Endpoint | None:
        """Return the endpoint for an attempt, or None if it has to wait.

        None is also returned if no endpoint is eligible at all.
        """
        group = self._groups.get(query.service)
        if group is None:
            return None
        allowed = self._allowed(group, query)
        probe_id = self._probe(group, query, allowed, now_s)
        if probe_id and not self._should_wait_nearby(
            group, query, [probe_id], now_s
        ):
            return group.endpoints[probe_id]
        candidates = self._in_rotation(group, allowed, now_s)
        if not candidates:
            return None
        loads = _loads(group, candidates, now_s)
        scores = {
            endpoint_id: self._score_s(group, query, endpoint_id, loads, now_s)
            for endpoint_id in candidates
        }
        open_ids = self._with_room(group, candidates, loads, query)
        if not open_ids:
            return None
        best_id = min(open_ids, key=lambda one: scores[one])
        if self._should_wait(group, query, scores, loads, best_id):
            return None
        if self._should_wait_nearby(group, query, open_ids, now_s):
            return None
        return group.endpoints[best_id]

    def available_endpoints(
        self, query: RouteQuery, now_s: float
    ) -> list[AvailableEndpoint]:
        """Return the endpoints that may take an attempt now, with loads.

        For callers with a policy of their own among them.
        """
        group = self._groups.get(query.service)
        if group is None:
            return []
        allowed = self._allowed(group, query)
        probe_id = self._probe(group, query, allowed, now_s)
        if probe_id:
            candidates = [probe_id]
        else:
            candidates = self._in_rotation(group, allowed, now_s)
        loads = _loads(group, candidates, now_s)
        return [
            AvailableEndpoint(group.endpoints[endpoint_id], loads[endpoint_id])
            for endpoint_id in self._with_room(group, candidates, loads, query)
        ]

    def endpoint(self, endpoint_id: ids.EndpointId) -> Endpoint | None:
        """Return what is known of an endpoint."""
        service = self._service_by_endpoint.get(endpoint_id)
        if service is None:
            return None
        return self._groups[service].endpoints.get(endpoint_id)

    def own_loads(self) -> dict[ids.EndpointId, int]:
        """Return the own attempts in flight, by endpoint."""
        return {
            endpoint_id: load.own_count
            for group in self._groups.values()
            for endpoint_id, load in group.loads.items()
            if load.own_count
        }

    def begin(
        self,
        endpoint_id: ids.EndpointId,
        attempt_id: ids.AttemptId,
        query: RouteQuery,
        now_s: float,
    ) -> None:
        """Note that an attempt is sent to an endpoint."""
        group = self._group(query.service)
        load = group.loads.get(endpoint_id)
        if load is None:
            return
        load.begin(attempt_id, now_s)
        group.outliers.begin(endpoint_id, attempt_id, now_s)
        self._index.presume(endpoint_id, query.prefix)

    def finish(
        self,
        service: ids.ServiceName,
        endpoint_id: ids.EndpointId,
        attempt_id: ids.AttemptId,
        result: AttemptResult,
        now_s: float,
    ) -> None:
        """Note the end of an attempt and what it tells of its endpoint."""
        group = self._group(service)
        load = group.loads.get(endpoint_id)
        if load is None:
            return
        load.finish(attempt_id, now_s)
        group.drop_idle_load(endpoint_id)
        if not result.conclusive:
            group.outliers.abandon(endpoint_id, attempt_id)
            return
        s_per_unit = None
        if not result.failed:
            group.observe(result.duration_s, result.work_units)
            if result.work_units > 0:
                s_per_unit = result.duration_s / result.work_units
        group.outliers.record(
            endpoint_id,
            attempt_id,
            failed=result.failed,
            s_per_unit=s_per_unit,
            now_s=now_s,
        )

    def health(self, endpoint_id: ids.EndpointId, now_s: float) -> Health:
        """Return the state of an endpoint in the rotation."""
        service = self._service_by_endpoint[endpoint_id]
        return self._groups[service].outliers.health(endpoint_id, now_s)

    def _group(self, service: ids.ServiceName) -> ServiceGroup:
        group = self._groups.get(service)
        if group is None:
            group = ServiceGroup(
                self._availability_zone, self._region, self._outlier_settings
            )
            self._groups[service] = group
        return group

    def _allowed(
        self, group: ServiceGroup, query: RouteQuery
    ) -> list[ids.EndpointId]:
        """Return the endpoints to compare that may get the attempt at all."""
        return [
            endpoint_id
            for endpoint_id in self._sampler.sample(group, query)
            if self._is_allowed(group, query, endpoint_id)
        ]

    def _probe(
        self,
        group: ServiceGroup,
        query: RouteQuery,
        allowed: Sequence[ids.EndpointId],
        now_s: float,
    ) -> ids.EndpointId | None:
        """Return an endpoint whose recovery the attempt can try.

        A probe goes ahead of any comparison, or an endpoint whose record is
        bad would never be tried again. It must be able to start now: nothing
        else is placed before it is under way.
        """
        if not query.may_probe:
            return None
        wanting = [
            endpoint_id
            for endpoint_id in allowed
            if group.outliers.wants_probe(endpoint_id, now_s)
        ]
        loads = _loads(group, wanting, now_s)
        open_ids = self._with_room(group, wanting, loads, query)
        return min(
            open_ids,
            key=lambda one: group.distance(group.endpoints[one]).value,
            default=None,
        )

    def _in_rotation(
        self,
        group: ServiceGroup,
        allowed: Sequence[ids.EndpointId],
        now_s: float,
    ) -> list[ids.EndpointId]:
        """Return the healthy endpoints, all if there are none.

        If all that is left has been ejected, trying beats refusing.
        """
        healthy = [
            endpoint_id
            for endpoint_id in allowed
            if group.outliers.health(endpoint_id, now_s) is Health.HEALTHY
        ]
        return healthy or list(allowed)

    def _is_allowed(
        self,
        group: ServiceGroup,
        query: RouteQuery,
        endpoint_id: ids.EndpointId,
    ) -> bool:
        if endpoint_id in query.excluded:
            return False
        endpoint = group.endpoints.get(endpoint_id)
        if endpoint is None or endpoint.draining or not endpoint.ready:
            return False
        needed = query.min_weight_version
        if needed is None:
            return True
        version = endpoint.version_of(query.model)
        return version is not None and version >= needed

    def _with_room(
        self,
        group: ServiceGroup,
        candidates: Sequence[ids.EndpointId],
        loads: dict[ids.EndpointId, int],
        query: RouteQuery,
    ) -> list[ids.EndpointId]:
        if not query.requires_free_slot:
            return list(candidates)
        return [
            endpoint_id
            for endpoint_id in candidates
            if loads[endpoint_id] < self._room(group, endpoint_id, query)
        ]

    def _room(
        self,
        group: ServiceGroup,
        endpoint_id: ids.EndpointId,
        query: RouteQuery,
    ) -> float:
        """Return how many requests an endpoint may hold."""
        settings = self._settings
        share = settings.overcommit_factor
        if query.account_underserved:
            share = settings.underserved_overcommit_factor
        return self._capacity(group, endpoint_id, query) * share

    def _capacity(
        self,
        group: ServiceGroup,
        endpoint_id: ids.EndpointId,
        query: RouteQuery,
    ) -> int:
        known = group.endpoints[endpoint_id].capacity_count
        return known or query.concurrency

    def _score_s(
        self,
        group: ServiceGroup,
        query: RouteQuery,
        endpoint_id: ids.EndpointId,
        loads: dict[ids.EndpointId, int],
        now_s: float,
    ) -> float:
        """Return the expected time at an endpoint, with the charge."""
        slowness = max(group.outliers.slowness(endpoint_id, now_s), 0.5)
        capacity = self._capacity(group, endpoint_id, query)
        load_share = (loads[endpoint_id] + 1) / capacity
        work_s = group.duration_s * load_share * slowness
        matched = 0.0
        if loads[endpoint_id] <= self._bound(loads):
            matched = self._index.matched_blocks(endpoint_id, query.prefix)
        uncached_tokens = max(
            0.0, query.prompt_tokens - matched * BLOCK_TOKENS
        )
        prefill_units = uncached_tokens * self._settings.prompt_token_units
        prefill_s = prefill_units * group.s_per_unit
        distance = group.distance(group.endpoints[endpoint_id])
        return (
            work_s + prefill_s * slowness + self._distance_s(distance, query)
        )

    def _bound(self, loads: dict[ids.EndpointId, int]) -> float:
        """Return the load above which cached prefixes no longer count."""
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
        group: ServiceGroup,
        query: RouteQuery,
        scores: dict[ids.EndpointId, float],
        loads: dict[ids.EndpointId, int],
        best_id: ids.EndpointId,
    ) -> bool:
        """Return whether a full endpoint is worth waiting for.

        The request waits no longer than it would gain, so that at worst it
        loses as much again.
        """
        patience_s = self._settings.max_patience_s
        if not query.requires_free_slot or query.passed_over_s >= patience_s:
            return False
        # Whether to leave the region is decided by the whole queue's wait.
        distance = group.distance(group.endpoints[best_id])
        best_s = scores[best_id] - self._distance_s(distance, query)
        for endpoint_id, score_s in scores.items():
            room = self._room(group, endpoint_id, query)
            excess_count = loads[endpoint_id] - room + 1
            if excess_count <= 0:
                continue
            capacity = self._capacity(group, endpoint_id, query)
            slot_s = group.duration_s / capacity
            gain_s = best_s - score_s
            wait_s = max(query.passed_over_s, slot_s * excess_count)
            if wait_s < gain_s:
                return True
        return False

    def _should_wait_nearby(
        self,
        group: ServiceGroup,
        query: RouteQuery,
        open_ids: Sequence[ids.EndpointId],
        now_s: float,
    ) -> bool:
        """Return whether to wait, because only other regions have room.

        It is so if an endpoint nearby frees up before it pays to go there.
        Those out of rotation take nothing, however free they are.
        """
        if not query.requires_free_slot:
            return False
        for endpoint_id in open_ids:
            endpoint = group.endpoints[endpoint_id]
            if group.distance(endpoint) is not Distance.REMOTE:
                return False
        eligible = group.eligible()
        near = eligible[Distance.ZONE] + eligible[Distance.REGION]
        slot_count = sum(
            self._capacity(group, endpoint_id, query)
            for endpoint_id in near
            if self._is_allowed(group, query, endpoint_id)
            and group.outliers.health(endpoint_id, now_s) is Health.HEALTHY
        )
        if not slot_count:
            return False
        near_wait_s = group.duration_s * (query.waiting_count + 1) / slot_count
        return near_wait_s < self._distance_s(Distance.REMOTE, query)


def _loads(
    group: ServiceGroup, endpoint_ids: Sequence[ids.EndpointId], now_s: float
) -> dict[ids.EndpointId, int]:
    return {
        endpoint_id: group.loads[endpoint_id].count(now_s)
        for endpoint_id in endpoint_ids
    }
