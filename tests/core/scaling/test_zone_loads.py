"""Load of availability zones, some of them evacuated."""

from __future__ import annotations

from dogwoodpost.core import ids
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.scaling import zone_loads

ZONES = tuple(ids.AvailabilityZone(name) for name in 'abc')


def endpoint(zone: str, *, ready: bool = True) -> Endpoint:
    return Endpoint(
        endpoint_id=ids.EndpointId(f'e-{zone}'),
        service=ids.ServiceName('s'),
        availability_zone=ids.AvailabilityZone(zone),
        region=ids.Region('r'),
        ready=ready,
    )


def test_other_zones_get_the_load_of_an_evacuated_zone() -> None:
    """Guards against zones that are scaled up only once work has moved."""
    endpoints = [endpoint('a', ready=False), endpoint('b'), endpoint('c')]
    loads = {ids.EndpointId('e-a'): 5, ids.EndpointId('e-b'): 2}
    found = zone_loads(endpoints, loads, ZONES)
    assert [load.running_count for load in found] == [0, 5, 3]
    assert [load.live_endpoint_count for load in found] == [0, 1, 1]


def test_zone_without_endpoints_is_not_evacuated() -> None:
    """Guards against load that a zone without endpoints never gets."""
    loads = {ids.EndpointId('e-b'): 2}
    found = zone_loads([endpoint('b')], loads, ZONES)
    assert [load.running_count for load in found] == [0, 2, 0]
