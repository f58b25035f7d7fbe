"""Choice of the endpoints that load a version."""

from __future__ import annotations

from dogwoodpost.core import ids
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.weights.staggered_loads import loads_for

MODEL = ids.ModelName('model')


def endpoint(number: int, version: int) -> Endpoint:
    return Endpoint(
        endpoint_id=ids.EndpointId(f'engine-{number}'),
        service=ids.ServiceName('engines'),
        availability_zone=ids.AvailabilityZone('zone-a'),
        region=ids.Region('region-a'),
        weight_versions={MODEL: ids.WeightVersion(version)},
    )


def test_each_version_leaves_endpoints_that_serve_its_step() -> None:
    """Guards against steps that wait until all endpoints have loaded.

    A step of version k takes tokens of k - 1 and newer.
    """
    versions = [1] * 5
    loads = []
    for version in range(2, 12):
        fleet = [endpoint(one, known) for one, known in enumerate(versions)]
        chosen = loads_for(MODEL, ids.WeightVersion(version), fleet)
        numbers = [int(one.endpoint_id[-1]) for one in chosen]
        serving = [
            one
            for one, known in enumerate(versions)
            if known >= version - 1 and one not in numbers
        ]
        assert len(serving) >= 2
        loads.append(len(numbers))
        for number in numbers:
            versions[number] = version
    assert max(loads) <= 3
    assert sum(loads) / len(loads) <= 2.5


def test_outdated_endpoints_come_first_and_draining_ones_never() -> None:
    """Guards against loads on endpoints that leave."""
    fleet = [endpoint(0, 3), endpoint(1, 1), endpoint(2, 2)]
    chosen = loads_for(MODEL, ids.WeightVersion(4), fleet)
    assert [one.endpoint_id for one in chosen] == ['engine-1', 'engine-2']
    one = endpoint(5, 1)
    leaving = Endpoint(
        endpoint_id=one.endpoint_id,
        service=one.service,
        availability_zone=one.availability_zone,
        region=one.region,
        weight_versions=one.weight_versions,
        draining=True,
    )
    assert loads_for(MODEL, ids.WeightVersion(4), [leaving]) == []
