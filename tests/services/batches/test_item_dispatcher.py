"""Places for batch items at endpoints."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches.endpoint_pace import EndpointEventPace
from dogwoodpost.core.batches.placement import ItemPlacement
from dogwoodpost.core.batches.waiting_items import PlaceRequest
from dogwoodpost.core.routing import AttemptResult
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import Router
from dogwoodpost.services.batches.item_dispatcher import ItemDispatcher
from dogwoodpost.standins.virtual_clock import VirtualClock

SERVICE = ids.ServiceName('slate-lm')
MODEL = ids.ModelName('m')
BAD = ids.EndpointId('e0')


def endpoint(number: int) -> Endpoint:
    return Endpoint(
        endpoint_id=ids.EndpointId(f'e{number}'),
        service=SERVICE,
        availability_zone=ids.AvailabilityZone('a'),
        region=ids.Region('r'),
        capacity_count=2,
        weight_versions={MODEL: ids.WeightVersion(1)},
    )


def item() -> PlaceRequest:
    return PlaceRequest(
        service=SERVICE,
        model=MODEL,
        min_version=ids.WeightVersion(1),
        due_s=10.0,
        expected_token_count=40,
    )


@pytest.fixture
def clock() -> VirtualClock:
    return VirtualClock()


@pytest.fixture
def router() -> Router:
    router = Router('a', 'r', random.Random(3))
    for number in range(3):
        router.upsert(endpoint(number), 0.0)
    return router


@pytest.fixture
def dispatcher(router: Router, clock: VirtualClock) -> ItemDispatcher:
    return ItemDispatcher(router, ItemPlacement(EndpointEventPace()), clock)


async def test_blocked_endpoint_on_probation_stops_nothing(
    router: Router, dispatcher: ItemDispatcher, clock: VirtualClock
) -> None:
    """Guards against items that wait for one endpoint while others are free.

    An endpoint on probation was the only candidate of all items, also while
    the dispatcher sent it none because it had just refused one.
    """
    for number in range(3):
        router.finish(
            SERVICE,
            BAD,
            ids.AttemptId(f'bad-{number}'),
            AttemptResult(failed=True),
            0.0,
        )
    await clock.advance(3.0)
    dispatcher.block(BAD, MODEL, 60.0)
    async with asyncio.timeout(1.0):
        place = await dispatcher.acquire(item())
    assert place.endpoint.endpoint_id != BAD


async def test_blocked_endpoint_is_used_again(
    router: Router, dispatcher: ItemDispatcher, clock: VirtualClock
) -> None:
    """Guards against endpoints that stay out after one refusal."""
    for number in (1, 2):
        router.remove(ids.EndpointId(f'e{number}'), 0.0)
    dispatcher.block(BAD, MODEL, 0.25)
    waiting = asyncio.create_task(dispatcher.acquire(item()))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    await clock.advance(0.3)
    async with asyncio.timeout(1.0):
        place = await waiting
    assert place.endpoint.endpoint_id == BAD


async def test_item_leaves_the_endpoint_where_it_broke_off(
    router: Router, dispatcher: ItemDispatcher
) -> None:
    """Guards against waits for other endpoints after a run broke by chance."""
    broken = msgspec.structs.replace(item(), last_broken=BAD)
    places = [await dispatcher.acquire(broken) for _ in range(4)]
    assert BAD not in {place.endpoint.endpoint_id for place in places}
    for number in (1, 2):
        router.remove(ids.EndpointId(f'e{number}'), 0.0)
    async with asyncio.timeout(1.0):
        place = await dispatcher.acquire(broken)
    assert place.endpoint.endpoint_id == BAD


async def test_item_goes_elsewhere_after_a_failure(
    router: Router, dispatcher: ItemDispatcher, clock: VirtualClock
) -> None:
    """Guards against items that come back to the endpoint that failed them.

    The others go on there, and so does the item if nothing else is left.
    """
    avoiding = msgspec.structs.replace(
        item(), avoided=frozenset({BAD}), avoided_until_s=1.0
    )
    places = [await dispatcher.acquire(avoiding) for _ in range(4)]
    assert BAD not in {place.endpoint.endpoint_id for place in places}
    other = await dispatcher.acquire(item())
    assert other.endpoint.endpoint_id == BAD
    for number in (1, 2):
        router.remove(ids.EndpointId(f'e{number}'), 0.0)
    waiting = asyncio.create_task(dispatcher.acquire(avoiding))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    await clock.advance(1.1)
    async with asyncio.timeout(1.0):
        assert (await waiting).endpoint.endpoint_id == BAD
