"""Totals of the requests in flight by availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.scaling.scaler import ZoneLoad

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core.routing import Endpoint


def zone_loads(
    endpoints: Sequence[Endpoint],
    loads: Mapping[ids.EndpointId, int],
    zones: Collection[ids.AvailabilityZone],
) -> list[ZoneLoad]:
    """Return the load of each zone, including zones without endpoints.

    :param endpoints: endpoints of one service.
    :param loads: number of requests in flight by endpoint.
    """
    return [_zone_load(zone, endpoints, loads) for zone in sorted(zones)]


def _zone_load(
    zone: ids.AvailabilityZone,
    endpoints: Sequence[Endpoint],
    loads: Mapping[ids.EndpointId, int],
) -> ZoneLoad:
    in_zone = [
        endpoint
        for endpoint in endpoints
        if endpoint.availability_zone == zone
    ]
    return ZoneLoad(
        availability_zone=zone,
        running_count=sum(
            loads.get(endpoint.endpoint_id, 0) for endpoint in in_zone
        ),
        waiting_count=0,
        live_endpoint_count=sum(not endpoint.draining for endpoint in in_zone),
    )
