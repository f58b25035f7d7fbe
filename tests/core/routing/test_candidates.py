"""Which endpoints of a service are compared."""

from __future__ import annotations

import random

from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.core.routing import Router
from dogwoodpost.core.routing import RouterSettings

SERVICE = 'slate-lm'
ENDPOINT_COUNT = 26


def router(settings: RouterSettings) -> Router:
    result = Router('a', 'near', random.Random(2), settings)
    for number in range(ENDPOINT_COUNT):
        far = number % 3
        result.upsert(
            Endpoint(
                endpoint_id=f'e{number}',
                service=SERVICE,
                availability_zone='z' if far else 'a',
                region='far' if far else 'near',
                capacity_count=6,
            ),
            0.0,
        )
    return result


def open_ids(one: Router, count: int) -> set[str]:
    found: set[str] = set()
    for _ in range(count):
        opened = one.available_endpoints(RouteQuery(service=SERVICE), 0.0)
        found |= {item.endpoint.endpoint_id for item in opened}
    return found


def test_items_are_compared_over_the_whole_fleet() -> None:
    """Guards against long items at slow endpoints while fast ones are open.

    Load: scale-1 of the grown site of Pizarra, 26 engines of which eight
    are slow or dark; with four candidates by chance, all of them often were.
    """
    wide = router(RouterSettings(compare_all_count=48))
    assert len(open_ids(wide, 1)) == ENDPOINT_COUNT
    drawn = router(RouterSettings())
    assert len(open_ids(drawn, 1)) == 4


def test_larger_fleets_are_drawn_from() -> None:
    """Guards against choices that cost time in proportion to the fleet."""
    one = router(
        RouterSettings(compare_all_count=8, random_count=5, remote_count=3)
    )
    assert len(open_ids(one, 1)) == 8
    assert len(open_ids(one, 60)) == ENDPOINT_COUNT
