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

    Work that still runs in zones where no endpoint is ready, such as evacuated
    ones, counts in equal parts as load of the other zones: they get the work
    that follows.

    :param endpoints: endpoints of one service.
    :param loads: number of requests in flight by endpoint.
    """
    by_zone = {
        zone: [
            endpoint
            for endpoint in endpoints
            if endpoint.availability_zone == zone
        ]
        for zone in sorted(zones)
    }
    unused = {
        zone
        for zone, in_zone in by_zone.items()
        if in_zone and not any(endpoint.ready for endpoint in in_zone)
    }
    moved_count = sum(_running_count(by_zone[zone], loads) for zone in unused)
    other_count = len(by_zone) - len(unused)
    share = -(-moved_count // other_count) if other_count else 0
    return [
        ZoneLoad(
            availability_zone=zone,
            running_count=(
                0 if zone in unused else _running_count(in_zone, loads) + share
            ),
            waiting_count=0,
            live_endpoint_count=sum(
                endpoint.ready and not endpoint.draining
                for endpoint in in_zone
            ),
        )
        for zone, in_zone in by_zone.items()
    ]


def _running_count(
    endpoints: Sequence[Endpoint], loads: Mapping[ids.EndpointId, int]
) -> int:
    return sum(loads.get(endpoint.endpoint_id, 0) for endpoint in endpoints)
