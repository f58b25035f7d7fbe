"""Places for batch items at endpoints."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches.endpoint_pace import EndpointEventPace
from dogwoodpost.core.batches.placement import ItemPlacement
from dogwoodpost.core.batches.waiting_items import PlacementRequest
from dogwoodpost.core.routing import AttemptResult
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import Router
from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints
from dogwoodpost.core.weights.loading_endpoints import MAX_LOAD_S
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


def item() -> PlacementRequest:
    return PlacementRequest(
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
def loads() -> LoadingEndpoints:
    return LoadingEndpoints()


@pytest.fixture
def dispatcher(
    router: Router, clock: VirtualClock, loads: LoadingEndpoints
) -> ItemDispatcher:
    placement = ItemPlacement(EndpointEventPace())
    return ItemDispatcher(router, placement, clock, loads)


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
    broken = msgspec.structs.replace(item(), interrupted_endpoint_id=BAD)
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
        item(), avoided_endpoint_ids=frozenset({BAD}), avoided_until_s=1.0
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


async def test_items_wait_for_other_endpoints_than_those_that_load(
    dispatcher: ItemDispatcher, loads: LoadingEndpoints, clock: VirtualClock
) -> None:
    """Guards against items that lose their turn at endpoints that load.

    A step starts while two of three endpoints load: its longest items get
    the places that there are, whichever asked first, and the others follow
    after the loads.
    """
    loads.begin(ids.EndpointId('e0'), MODEL, 0.0)
    loads.begin(ids.EndpointId('e1'), MODEL, 0.0)
    loads.begin(ids.EndpointId('e2'), ids.ModelName('another'), 0.0)
    lengths = (10, 300, 20, 100, 200)
    waiting = {
        length: asyncio.ensure_future(
            dispatcher.acquire(
                msgspec.structs.replace(item(), expected_token_count=length)
            )
        )
        for length in lengths
    }
    await asyncio.sleep(0.1)
    started = {length for length, one in waiting.items() if one.done()}
    # An endpoint of this router takes half a request more than it runs.
    assert started == {300, 200, 100}
    assert all(
        waiting[length].result().endpoint.endpoint_id == 'e2'
        for length in started
    )
    loads.end(ids.EndpointId('e0'), MODEL)
    await asyncio.sleep(0.1)
    assert all(one.done() for one in waiting.values())


def test_a_load_that_nobody_ends_is_forgotten(
    loads: LoadingEndpoints,
) -> None:
    """Guards against endpoints that are left out after a lost director."""
    loads.begin(BAD, MODEL, 0.0)
    assert loads.of_model(MODEL, MAX_LOAD_S - 0.1) == {BAD}
    assert loads.of_model(MODEL, MAX_LOAD_S) == set()
