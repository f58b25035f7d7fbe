"""Sums up the requests in flight by availability zone."""

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
    """Return the load of each zone, also of those without endpoints.

    :param endpoints: of one service.
    :param loads: requests in flight by endpoint.
    """
    return [_zone_load(zone, endpoints, loads) for zone in sorted(zones)]


def _zone_load(
    zone: ids.AvailabilityZone,
    endpoints: Sequence[Endpoint],
    loads: Mapping[ids.EndpointId, int],
) -> ZoneLoad:
    in_zone = [one for one in endpoints if one.availability_zone == zone]
    return ZoneLoad(
        availability_zone=zone,
        running_count=sum(loads.get(one.endpoint_id, 0) for one in in_zone),
        waiting_count=0,
        live_endpoint_count=sum(not one.draining for one in in_zone),
    )
