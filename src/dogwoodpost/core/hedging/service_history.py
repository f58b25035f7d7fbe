"""Endpoints that a service had recently."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from dogwoodpost.core.hedging.hedge_refusal import HedgeRefusal

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.hedging.service_state import ServiceState

_Key = TypeVar('_Key')
HISTORY_S = 30.0
# At most one in three endpoints may be lost or ejected.
_MIN_ENDPOINTS_PER_LOST = 3
# Bounds the work on services with many endpoints and requests.
_OBSERVE_INTERVAL_S = 0.5


class ServiceHistory:
    """Detects lost availability zones and many lost or ejected endpoints."""

    def __init__(self) -> None:
        self._endpoint_seen_s: dict[ids.EndpointId, float] = {}
        self._zone_seen_s: dict[ids.AvailabilityZone, float] = {}
        self._observed_s: float | None = None

    def is_due(self, now_s: float) -> bool:
        """Return whether the service is to be observed again."""
        if self._observed_s is None:
            return True
        return now_s - self._observed_s >= _OBSERVE_INTERVAL_S

    def observe(self, state: ServiceState, now_s: float) -> None:
        """Record the endpoints that the service has now."""
        self._observed_s = now_s
        for endpoint in state.endpoints:
            if endpoint.is_ready:
                self._endpoint_seen_s[endpoint.endpoint_id] = now_s
                self._zone_seen_s[endpoint.availability_zone] = now_s
        _drop_old(self._endpoint_seen_s, now_s)
        _drop_old(self._zone_seen_s, now_s)

    def refusal(
        self, state: ServiceState, now_s: float
    ) -> HedgeRefusal | None:
        """Return what forbids hedging, None if nothing does."""
        self.observe(state, now_s)
        ready_zones = {
            endpoint.availability_zone
            for endpoint in state.endpoints
            if endpoint.is_ready
        }
        if self._zone_seen_s.keys() - ready_zones:
            return HedgeRefusal.ZONE_LOST
        in_use = {
            endpoint.endpoint_id
            for endpoint in state.endpoints
            if endpoint.in_use
        }
        lost_count = len(self._endpoint_seen_s.keys() - in_use)
        if lost_count * _MIN_ENDPOINTS_PER_LOST > len(self._endpoint_seen_s):
            return HedgeRefusal.ENDPOINTS_LOST
        return None


def _drop_old(seen_s: dict[_Key, float], now_s: float) -> None:
    """Drop what was last seen before the history begins."""
    old = [key for key, at_s in seen_s.items() if at_s <= now_s - HISTORY_S]
    for key in old:
        del seen_s[key]
