"""Endpoints of one service, grouped by distance from this entry."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from dogwoodpost.core.routing.load_estimate import LoadEstimate
from dogwoodpost.core.routing.outlier_detector import OutlierDetector

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.routing.endpoint import Endpoint
    from dogwoodpost.core.routing.settings import OutlierSettings

# Weight of a new sample in the exponential moving averages.
_EMA_WEIGHT = 0.05
_INITIAL_DURATION_S = 0.1
_INITIAL_S_PER_UNIT = 0.01


class Distance(Enum):
    """How far an endpoint is from this entry."""

    ZONE = 0
    REGION = 1
    REMOTE = 2


class EndpointPool:
    """Endpoints of one service with their loads, health and mean durations.

    ``mean_duration_s`` is the mean duration of an attempt and
    ``mean_s_per_unit`` the mean time per unit of work, both in seconds.
    """

    def __init__(
        self,
        availability_zone: ids.AvailabilityZone,
        region: ids.Region,
        outlier_settings: OutlierSettings,
    ) -> None:
        self._availability_zone = availability_zone
        self._region = region
        self.endpoints: dict[ids.EndpointId, Endpoint] = {}
        self.loads: dict[ids.EndpointId, LoadEstimate] = {}
        self.outliers = OutlierDetector(outlier_settings)
        self.mean_duration_s = _INITIAL_DURATION_S
        self.mean_s_per_unit = _INITIAL_S_PER_UNIT
        self._eligible: dict[Distance, list[ids.EndpointId]] | None = None

    def upsert(self, endpoint: Endpoint) -> bool:
        """Add or replace an endpoint; return whether anything changed."""
        previous = self.endpoints.get(endpoint.endpoint_id)
        if previous == endpoint:
            return False
        self.endpoints[endpoint.endpoint_id] = endpoint
        self.loads.setdefault(endpoint.endpoint_id, LoadEstimate())
        self.outliers.add(endpoint.endpoint_id)
        self._eligible = None
        return True

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Remove an endpoint; its load is kept while own attempts run."""
        self.endpoints.pop(endpoint_id, None)
        self.drop_idle_load(endpoint_id)
        self.outliers.remove(endpoint_id)
        self._eligible = None

    def drop_idle_load(self, endpoint_id: ids.EndpointId) -> None:
        """Drop the load of a removed endpoint once no own attempt runs.

        Until then the load is kept, because the endpoint may be registered
        again while its attempts still run.
        """
        load = self.loads.get(endpoint_id)
        is_idle = load is not None and not load.own_count
        if is_idle and endpoint_id not in self.endpoints:
            del self.loads[endpoint_id]

    def distance(self, endpoint: Endpoint) -> Distance:
        """Return the distance of an endpoint from this entry."""
        if endpoint.availability_zone == self._availability_zone:
            return Distance.ZONE
        if endpoint.region == self._region:
            return Distance.REGION
        return Distance.REMOTE

    def eligible(self) -> dict[Distance, list[ids.EndpointId]]:
        """Return the ready endpoints that are not draining, by distance."""
        if self._eligible is None:
            self._eligible = {distance: [] for distance in Distance}
            for endpoint_id, endpoint in self.endpoints.items():
                if endpoint.ready and not endpoint.draining:
                    distance = self.distance(endpoint)
                    self._eligible[distance].append(endpoint_id)
        return self._eligible

    def slot_count(self) -> int:
        """Return how many requests the eligible endpoints run at once."""
        return sum(
            self.endpoints[endpoint_id].capacity_count
            for endpoint_ids in self.eligible().values()
            for endpoint_id in endpoint_ids
        )

    def observe(self, duration_s: float, work_units: float) -> None:
        """Add a completed attempt to the moving averages."""
        self.mean_duration_s += _EMA_WEIGHT * (
            duration_s - self.mean_duration_s
        )
        if work_units > 0.0:
            s_per_unit = duration_s / work_units
            self.mean_s_per_unit += _EMA_WEIGHT * (
                s_per_unit - self.mean_s_per_unit
            )
