"""Choice of the endpoints that load a version."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.weights.staggered_loads import max_parallel_loads
from dogwoodpost.core.weights.staggered_loads import plan_loads

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
        planned = plan_loads({MODEL: ids.WeightVersion(version)}, fleet)
        numbers = [int(one.endpoint.endpoint_id[-1]) for one in planned]
        serving = [
            one
            for one, known in enumerate(versions)
            if known >= version - 1 and one not in numbers
        ]
        assert len(serving) >= 2
        loads.append(len(numbers))
        for number in numbers:
            versions[number] = version
    assert max(loads) <= 2


def test_outdated_endpoints_come_first_and_draining_ones_never() -> None:
    """Guards against loads on endpoints that leave."""
    fleet = [
        endpoint(0, 3),
        endpoint(1, 1),
        endpoint(2, 2),
        endpoint(3, 3),
        msgspec.structs.replace(endpoint(4, 1), draining=True),
    ]
    planned = plan_loads({MODEL: ids.WeightVersion(4)}, fleet)
    names = [one.endpoint.endpoint_id for one in planned]
    assert names == ['engine-1', 'engine-2']


def test_a_model_that_nobody_serves_goes_first() -> None:
    """Guards against quick models that hold up the steps of the others.

    Seen on trouble-2 of Pizarra: two models were loaded time and again, the
    third one was left at version 1 while version 6 was named.
    """
    third = ids.ModelName('slow-model')
    fleet = [
        msgspec.structs.replace(
            endpoint(one, 7),
            weight_versions={
                MODEL: ids.WeightVersion(7),
                third: ids.WeightVersion(1),
            },
        )
        for one in range(5)
    ]
    named = {MODEL: ids.WeightVersion(8), third: ids.WeightVersion(6)}
    planned = plan_loads(named, fleet)
    assert [one.model for one in planned][:2] == [third, third]
    assert {one.model for one in planned} == {MODEL, third}


def test_loads_stay_within_each_models_share() -> None:
    """Guards against loads that are paid for and serve nobody."""
    models = [ids.ModelName(f'model-{one}') for one in range(4)]
    fleet = [
        msgspec.structs.replace(
            endpoint(one, 1),
            weight_versions=dict.fromkeys(models, ids.WeightVersion(1)),
        )
        for one in range(23)
    ]
    named = dict.fromkeys(models, ids.WeightVersion(2))
    planned = plan_loads(named, fleet)
    assert len(planned) == 4 * 6
    assert max_parallel_loads(23) == 9
    assert max_parallel_loads(5) == 2
