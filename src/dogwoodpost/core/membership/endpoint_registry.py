"""Registered endpoints, retained over short outages of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.core.routing import EndpointListener

# After a store outage, a live endpoint whose row expired registers again
# within about two seconds.
REREGISTRATION_GRACE_S = 2.0
# A longer gap between two reads of the store counts as an outage.
_MAX_READ_GAP_S = 1.5


class EndpointRegistry:
    """Passes endpoints on to a listener and delays some removals.

    If the row of an endpoint disappears during an outage of the store or
    shortly after it, the endpoint stays in use until the grace period for
    registering again is over. Endpoints in evacuated availability zones are
    not ready until the evacuation ends. Times are seconds of the caller's
    monotonic clock.
    """

    def __init__(self, listener: EndpointListener) -> None:
        self._listener = listener
        self._endpoints: dict[ids.EndpointId, Endpoint] = {}
        self._remove_at_s: dict[ids.EndpointId, float] = {}
        # Retained after the row is deleted, because an older version of the
        # row may still be read.
        self._leaving: set[tuple[ids.EndpointId, ids.Incarnation]] = set()
        self._evacuated_zones: frozenset[ids.AvailabilityZone] = frozenset()
        self._contact_s: float | None = None
        self._grace_until_s = float('-inf')

    def note_contact(self, now_s: float) -> None:
        """Record a successful read of all endpoint rows.

        If the last read is too long ago, rows that are missing from now on
        are removed only after a grace period.
        """
        last_s = self._contact_s
        self._contact_s = now_s
        if last_s is not None and now_s - last_s > _MAX_READ_GAP_S:
            self._grace_until_s = now_s + REREGISTRATION_GRACE_S
        self.remove_expired(now_s)

    def upsert(self, endpoint: Endpoint, now_s: float) -> None:
        """Add or replace an endpoint, and cancel its pending removal."""
        self._remove_at_s.pop(endpoint.endpoint_id, None)
        current = self._endpoints.get(endpoint.endpoint_id)
        if current and current.agent_incarnation == endpoint.agent_incarnation:
            endpoint = _merge_versions(endpoint, current.weight_versions)
        if self._is_leaving(endpoint):
            endpoint = msgspec.structs.replace(endpoint, draining=True)
        if endpoint.availability_zone in self._evacuated_zones:
            endpoint = msgspec.structs.replace(endpoint, ready=False)
        self._replace(endpoint, now_s)

    def note_versions(
        self,
        endpoint_id: ids.EndpointId,
        incarnation: ids.Incarnation,
        versions: Mapping[ids.ModelName, ids.WeightVersion],
        now_s: float,
    ) -> None:
        """Record weight versions that the endpoint's row does not show yet."""
        current = self._endpoints.get(endpoint_id)
        if current is None or current.agent_incarnation != incarnation:
            return
        endpoint = _merge_versions(current, versions)
        if endpoint != current:
            self._replace(endpoint, now_s)

    def note_leaving(self, endpoint: Endpoint, now_s: float) -> bool:
        """Record an endpoint's own notice that it is leaving.

        The incarnation is draining from then on, even if a row that is read
        later still reports it as ready.

        :returns: False if the notice was recorded before.
        """
        if self._is_leaving(endpoint):
            return False
        self._leaving.add((endpoint.endpoint_id, endpoint.agent_incarnation))
        current = self._endpoints.get(endpoint.endpoint_id)
        if current and current.agent_incarnation == endpoint.agent_incarnation:
            self._replace(
                msgspec.structs.replace(current, draining=True), now_s
            )
        return True

    def set_evacuated_zones(
        self, zones: frozenset[ids.AvailabilityZone], now_s: float
    ) -> list[ids.EndpointId]:
        """Replace the evacuated zones, whose endpoints get nothing new.

        :returns: the endpoints whose evacuation has ended.
        """
        changed_zones = self._evacuated_zones ^ zones
        self._evacuated_zones = zones
        released: list[ids.EndpointId] = []
        for endpoint in self.endpoints():
            zone = endpoint.availability_zone
            if zone not in changed_zones:
                continue
            is_released = zone not in zones
            self._replace(
                msgspec.structs.replace(endpoint, ready=is_released), now_s
            )
            if is_released:
                released.append(endpoint.endpoint_id)
        return released

    def at_address(self, address: str) -> list[Endpoint]:
        """Return the endpoints in use that have the given address."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.address == address
        ]

    def remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        """Record that an endpoint's row is gone.

        During the grace period after an outage the endpoint stays in use,
        unless it is draining.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        if now_s < self._grace_until_s and not endpoint.draining:
            self._remove_at_s.setdefault(endpoint_id, self._grace_until_s)
            return
        self._drop(endpoint_id, now_s)

    def remove_all_except(
        self, listed_ids: frozenset[ids.EndpointId], now_s: float
    ) -> None:
        """Record the complete list of endpoints that have a row."""
        for endpoint_id in self._endpoints.keys() - listed_ids:
            self.remove(endpoint_id, now_s)

    def remove_expired(self, now_s: float) -> None:
        """Drop the endpoints that did not register again in time."""
        for endpoint_id, at_s in list(self._remove_at_s.items()):
            if now_s >= at_s:
                self._drop(endpoint_id, now_s)

    def endpoints(self) -> list[Endpoint]:
        """Return the endpoints in use."""
        return list(self._endpoints.values())

    def get(self, endpoint_id: ids.EndpointId) -> Endpoint | None:
        """Return an endpoint in use, or None."""
        return self._endpoints.get(endpoint_id)

    def _replace(self, endpoint: Endpoint, now_s: float) -> None:
        self._endpoints[endpoint.endpoint_id] = endpoint
        self._listener.upsert(endpoint, now_s)

    def _is_leaving(self, endpoint: Endpoint) -> bool:
        key = (endpoint.endpoint_id, endpoint.agent_incarnation)
        return key in self._leaving

    def _drop(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        self._remove_at_s.pop(endpoint_id, None)
        self._endpoints.pop(endpoint_id, None)
        self._listener.remove(endpoint_id, now_s)


def _merge_versions(
    endpoint: Endpoint, versions: Mapping[ids.ModelName, ids.WeightVersion]
) -> Endpoint:
    """Return an endpoint with the newer of both versions of each model."""
    merged = dict(endpoint.weight_versions)
    for model, version in versions.items():
        if version > merged.get(model, 0):
            merged[model] = version
    return msgspec.structs.replace(endpoint, weight_versions=merged)
