"""Snapshot of a service, as the router of this process knows it."""

from __future__ import annotations

import msgspec

from dogwoodpost.core.routing.endpoint_snapshot import EndpointSnapshot


class ServiceState(msgspec.Struct, frozen=True):
    """All known endpoints of a service, and the requests that wait."""

    endpoints: tuple[EndpointSnapshot, ...]
    waiting_count: int = 0

    @property
    def utilization(self) -> float:
        """Return the load as a share of the slots of endpoints in use.

        The load of ejected endpoints counts, because their requests come back
        to the others as retries. Without slots the result is 1.0.
        """
        slot_count = sum(
            endpoint.slot_count
            for endpoint in self.endpoints
            if endpoint.in_use
        )
        if not slot_count:
            return 1.0
        load_count = sum(endpoint.load_count for endpoint in self.endpoints)
        return load_count / slot_count
