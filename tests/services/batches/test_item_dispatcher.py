"""Assignment of endpoint slots to batch items."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches.endpoint_pace import EndpointEventPace
from dogwoodpost.core.batches.move_decision import MoveOutcome
from dogwoodpost.core.batches.placement import ItemPlacement
from dogwoodpost.core.batches.running_item import RunningItem
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


def placement_request() -> PlacementRequest:
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


async def test_blocked_endpoint_on_probation_delays_no_items(
    router: Router, dispatcher: ItemDispatcher, clock: VirtualClock
) -> None:
    """Guards against items that wait for one endpoint while others are free.

    An endpoint on probation was the only candidate for all items even while
    the dispatcher had blocked it because it had just refused an item.
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
        slot = await dispatcher.acquire(placement_request())
    assert slot.endpoint.endpoint_id != BAD


async def test_blocked_endpoint_is_used_again(
    router: Router, dispatcher: ItemDispatcher, clock: VirtualClock
) -> None:
    """Guards against endpoints that stay blocked after one refusal."""
    for number in (1, 2):
        router.remove(ids.EndpointId(f'e{number}'), 0.0)
    dispatcher.block(BAD, MODEL, 0.25)
    waiting = asyncio.create_task(dispatcher.acquire(placement_request()))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    await clock.advance(0.3)
    async with asyncio.timeout(1.0):
        slot = await waiting
    assert slot.endpoint.endpoint_id == BAD


async def test_item_prefers_other_endpoints_after_an_interruption(
    router: Router, dispatcher: ItemDispatcher
) -> None:
    """Guards against waits for another endpoint after a chance interruption.

    The endpoint of the interrupted run is used again if it is the only one.
    """
    interrupted = msgspec.structs.replace(
        placement_request(), interrupted_endpoint_id=BAD
    )
    slots = [await dispatcher.acquire(interrupted) for _ in range(4)]
    assert BAD not in {slot.endpoint.endpoint_id for slot in slots}
    for number in (1, 2):
        router.remove(ids.EndpointId(f'e{number}'), 0.0)
    async with asyncio.timeout(1.0):
        slot = await dispatcher.acquire(interrupted)
    assert slot.endpoint.endpoint_id == BAD


async def test_item_avoids_the_endpoint_that_failed_it(
    router: Router, dispatcher: ItemDispatcher, clock: VirtualClock
) -> None:
    """Guards against items that return to the endpoint that failed them.

    Other items still run there. The item returns once the avoidance time has
    passed if no other endpoint is left.
    """
    avoiding = msgspec.structs.replace(
        placement_request(),
        avoided_endpoint_ids=frozenset({BAD}),
        avoided_until_s=1.0,
    )
    slots = [await dispatcher.acquire(avoiding) for _ in range(4)]
    assert BAD not in {slot.endpoint.endpoint_id for slot in slots}
    other = await dispatcher.acquire(placement_request())
    assert other.endpoint.endpoint_id == BAD
    for number in (1, 2):
        router.remove(ids.EndpointId(f'e{number}'), 0.0)
    waiting = asyncio.create_task(dispatcher.acquire(avoiding))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    await clock.advance(1.1)
    async with asyncio.timeout(1.0):
        assert (await waiting).endpoint.endpoint_id == BAD


async def test_items_wait_for_slots_at_endpoints_that_do_not_load(
    dispatcher: ItemDispatcher, loads: LoadingEndpoints, clock: VirtualClock
) -> None:
    """Guards against items that are refused by endpoints that load weights.

    A step starts while two of three endpoints load its model. Its longest
    items get the free slots, whichever item asked first, and the others start
    when a load ends.
    """
    loads.begin(ids.EndpointId('e0'), MODEL, 0.0)
    loads.begin(ids.EndpointId('e1'), MODEL, 0.0)
    loads.begin(ids.EndpointId('e2'), ids.ModelName('another'), 0.0)
    lengths = (10, 300, 20, 100, 200)
    waiting = {
        length: asyncio.ensure_future(
            dispatcher.acquire(
                msgspec.structs.replace(
                    placement_request(), expected_token_count=length
                )
            )
        )
        for length in lengths
    }
    await asyncio.sleep(0.1)
    started = {
        length for length, acquisition in waiting.items() if acquisition.done()
    }
    # The router fills endpoints slightly beyond their capacity of 2.
    assert started == {300, 200, 100}
    assert all(
        waiting[length].result().endpoint.endpoint_id == 'e2'
        for length in started
    )
    loads.end(ids.EndpointId('e0'), MODEL)
    await asyncio.sleep(0.1)
    assert all(acquisition.done() for acquisition in waiting.values())


def test_load_without_an_end_expires(
    loads: LoadingEndpoints,
) -> None:
    """Guards against endpoints that stay excluded after a director is lost.

    A director that stops before it reports the end of a load must not keep
    the endpoint from getting items.
    """
    loads.begin(BAD, MODEL, 0.0)
    assert loads.of_model(MODEL, MAX_LOAD_S - 0.1) == {BAD}
    assert loads.of_model(MODEL, MAX_LOAD_S) == set()


async def test_items_do_not_move_while_others_wait(
    router: Router, dispatcher: ItemDispatcher
) -> None:
    """Guards against moves that take the slot of a waiting item."""
    item = RunningItem(
        event_count=60.0, run_duration_s=1.0, move_count=0, move_cost_s=0.15
    )
    slot = await dispatcher.acquire(placement_request())
    decision = dispatcher.decide_move(slot, placement_request(), item)
    assert decision.outcome is MoveOutcome.SMALL_GAIN
    for number in range(3):
        router.remove(ids.EndpointId(f'e{number}'), 0.0)
    waiting = asyncio.create_task(dispatcher.acquire(placement_request()))
    await asyncio.sleep(0.0)
    decision = dispatcher.decide_move(slot, placement_request(), item)
    assert decision.outcome is MoveOutcome.ITEMS_WAIT
    waiting.cancel()
