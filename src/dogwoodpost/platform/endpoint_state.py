"""What a process knows of the endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.cold_starts import ColdTracker
from dogwoodpost.core.cold_starts import DoubtReason
from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
from dogwoodpost.core.routing import Router
from dogwoodpost.core.routing import RouterSettings
from dogwoodpost.platform.endpoint_notices import EndpointNotices

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dogwoodpost.core import ids
    from dogwoodpost.core.configuration import ColdStart
    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.observability import Metrics

# Endpoints refuse requests that they have no slot for, so the router sends
# them no more than that. The longest items determine when a training step
# ends, so many endpoints are compared to place them.
_ROUTER_SETTINGS = RouterSettings(
    overcommit_factor=1.0,
    underserved_overcommit_factor=1.0,
    compare_all_count=48,
    random_count=8,
    remote_count=8,
)


class EndpointState:
    """Router, registry and cold starts of a process.

    :param zone: availability zone of the process.
    :param region: region of the process.
    :param current_configuration: returns the configuration in force.
    """

    def __init__(
        self,
        zone: ids.AvailabilityZone,
        region: ids.Region,
        rng: random.Random,
        metrics: Metrics,
        current_configuration: Callable[[], Configuration],
    ) -> None:
        self.router = Router(zone, region, rng, _ROUTER_SETTINGS)
        self.registry = EndpointRegistry(self.router)
        self.cold_tracker = ColdTracker(self._note_doubt)
        self._current_configuration = current_configuration
        self._notices = EndpointNotices(metrics)
        self.router.listen_to_health(self._notices.note_health)

    def set_evacuated_zones(
        self, zones: frozenset[ids.AvailabilityZone], now_s: float
    ) -> None:
        """Apply evacuations; endpoints may be cold after the end of one."""
        released_ids = self.registry.set_evacuated_zones(zones, now_s)
        self.cold_tracker.doubt(
            released_ids, DoubtReason.EVACUATION_ENDED, now_s
        )

    def cold_start_of(self, service: ids.ServiceName) -> ColdStart | None:
        """Return how endpoints of a service start, None without limits."""
        configured = self._current_configuration().services.get(service)
        return configured.cold_start if configured is not None else None

    def _note_doubt(
        self, endpoint_id: ids.EndpointId, reason: DoubtReason
    ) -> None:
        endpoint = self.registry.get(endpoint_id)
        can_be_cold = (
            endpoint is not None
            and self.cold_start_of(endpoint.service) is not None
        )
        self._notices.note_doubt(endpoint_id, reason, can_be_cold=can_be_cold)
