"""Selection of the candidate endpoints of a service."""

from __future__ import annotations

import random

from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.core.routing import Router
from dogwoodpost.core.routing import RouterSettings

SERVICE = 'slate-lm'
ENDPOINT_COUNT = 26


def make_router(settings: RouterSettings) -> Router:
    new_router = Router('a', 'near', random.Random(2), settings)
    for number in range(ENDPOINT_COUNT):
        far = number % 3
        new_router.upsert(
            Endpoint(
                endpoint_id=f'e{number}',
                service=SERVICE,
                availability_zone='z' if far else 'a',
                region='far' if far else 'near',
                capacity_count=6,
            ),
            0.0,
        )
    return new_router


def available_ids(router: Router, count: int) -> set[str]:
    endpoint_ids: set[str] = set()
    for _ in range(count):
        available = router.available_endpoints(
            RouteQuery(service=SERVICE), 0.0
        )
        endpoint_ids |= {item.endpoint.endpoint_id for item in available}
    return endpoint_ids


def test_small_services_are_compared_as_a_whole() -> None:
    """Guards against long items on slow endpoints while fast ones are free.

    With four random candidates, often all of them were slow or unreachable.
    Load: scenario scale-1 of the enlarged Pizarra site, 26 engines, eight of
    them slow or unreachable.
    """
    exhaustive_router = make_router(RouterSettings(compare_all_count=48))
    assert len(available_ids(exhaustive_router, 1)) == ENDPOINT_COUNT
    sampling_router = make_router(RouterSettings())
    assert len(available_ids(sampling_router, 1)) == 4


def test_large_services_are_sampled() -> None:
    """Guards against selection time that grows with the service."""
    router = make_router(
        RouterSettings(compare_all_count=8, random_count=5, remote_count=3)
    )
    assert len(available_ids(router, 1)) == 8
    assert len(available_ids(router, 60)) == ENDPOINT_COUNT
