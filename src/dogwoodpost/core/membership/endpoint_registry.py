"""Endpoints as they register themselves, across outages of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.core.routing import EndpointListener

# Entries that expired during an outage come back within about two seconds of
# its end, if their endpoint lives.
REREGISTRATION_GRACE_S = 2.0
# Longer gaps between two reads count as an outage.
_MAX_GAP_S = 1.5


class EndpointRegistry:
    """Passes endpoints on to a listener and delays some removals.

    An entry that disappears while the store is away, or just after, stays in
    use until the endpoint has had the time to come back.
    """

    def __init__(self, listener: EndpointListener) -> None:
        self._listener = listener
        self._endpoints: dict[ids.EndpointId, Endpoint] = {}
        self._remove_at_s: dict[ids.EndpointId, float] = {}
        # Kept after the entry is gone: an older one may still be read.
        self._leaving: set[tuple[ids.EndpointId, ids.Incarnation]] = set()
        self._contact_s: float | None = None
        self._grace_until_s = float('-inf')

    def note_contact(self, now_s: float) -> None:
        """Note that the entries are known as of now."""
        last_s = self._contact_s
        self._contact_s = now_s
        if last_s is not None and now_s - last_s > _MAX_GAP_S:
            self._grace_until_s = now_s + REREGISTRATION_GRACE_S
        self.remove_expired(now_s)

    def upsert(self, endpoint: Endpoint, now_s: float) -> None:
        """Add an endpoint, or replace what is known of it."""
        self._remove_at_s.pop(endpoint.endpoint_id, None)
        known = self._endpoints.get(endpoint.endpoint_id)
        if known and known.agent_incarnation == endpoint.agent_incarnation:
            endpoint = _with_versions(endpoint, known.weight_versions)
        if self._is_leaving(endpoint):
            endpoint = msgspec.structs.replace(endpoint, draining=True)
        self._endpoints[endpoint.endpoint_id] = endpoint
        self._listener.upsert(endpoint, now_s)

    def note_versions(
        self,
        endpoint_id: ids.EndpointId,
        incarnation: ids.Incarnation,
        versions: Mapping[ids.ModelName, ids.WeightVersion],
        now_s: float,
    ) -> None:
        """Take weight versions that were seen before the entry tells them."""
        known = self._endpoints.get(endpoint_id)
        if known is None or known.agent_incarnation != incarnation:
            return
        endpoint = _with_versions(known, versions)
        if endpoint != known:
            self._endpoints[endpoint_id] = endpoint
            self._listener.upsert(endpoint, now_s)

    def note_leaving(self, endpoint: Endpoint, now_s: float) -> bool:
        """Note that an endpoint itself says that it leaves.

        Entries that still call this incarnation ready have no effect then.

        :returns: whether that is news.
        """
        if self._is_leaving(endpoint):
            return False
        self._leaving.add((endpoint.endpoint_id, endpoint.agent_incarnation))
        known = self._endpoints.get(endpoint.endpoint_id)
        if known and known.agent_incarnation == endpoint.agent_incarnation:
            draining = msgspec.structs.replace(known, draining=True)
            self._endpoints[endpoint.endpoint_id] = draining
            self._listener.upsert(draining, now_s)
        return True

    def at_address(self, address: str) -> list[Endpoint]:
        """Return the endpoints in use that have an address."""
        return [
            one for one in self._endpoints.values() if one.address == address
        ]

    def remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        """Note that an entry is gone."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        if now_s < self._grace_until_s and not endpoint.draining:
            self._remove_at_s.setdefault(endpoint_id, self._grace_until_s)
            return
        self._drop(endpoint_id, now_s)

    def remove_all_except(
        self, known: frozenset[ids.EndpointId], now_s: float
    ) -> None:
        """Note a whole list of entries."""
        for endpoint_id in self._endpoints.keys() - known:
            self.remove(endpoint_id, now_s)

    def remove_expired(self, now_s: float) -> None:
        """Drop the endpoints that have not come back in time."""
        for endpoint_id, at_s in list(self._remove_at_s.items()):
            if now_s >= at_s:
                self._drop(endpoint_id, now_s)

    def endpoints(self) -> list[Endpoint]:
        """Return the endpoints in use."""
        return list(self._endpoints.values())

    def get(self, endpoint_id: ids.EndpointId) -> Endpoint | None:
        """Return an endpoint in use."""
        return self._endpoints.get(endpoint_id)

    def _is_leaving(self, endpoint: Endpoint) -> bool:
        key = (endpoint.endpoint_id, endpoint.agent_incarnation)
        return key in self._leaving

    def _drop(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        self._remove_at_s.pop(endpoint_id, None)
        self._endpoints.pop(endpoint_id, None)
        self._listener.remove(endpoint_id, now_s)


def _with_versions(
    endpoint: Endpoint, versions: Mapping[ids.ModelName, ids.WeightVersion]
) -> Endpoint:
    """Return an endpoint with the newer one of two versions per model."""
    merged = dict(endpoint.weight_versions)
    for model, version in versions.items():
        if version > merged.get(model, 0):
            merged[model] = version
    return msgspec.structs.replace(endpoint, weight_versions=merged)
