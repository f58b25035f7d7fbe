"""Tests of the order controller against the stand-in platform."""

from __future__ import annotations

import asyncio
import random

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.orders import decode_intent
from dogwoodpost.core.orders import intent_prefix
from dogwoodpost.core.orders import IntentState
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.observability import Metrics
from dogwoodpost.services.control.order_controller import OrderController
from dogwoodpost.standins.endpoint_orders import DirectEndpointOrders
from dogwoodpost.standins.endpoint_orders import EndpointOrdersState
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.memory_store import StoreFaults
from dogwoodpost.standins.virtual_clock import VirtualClock
from tests.fakes.lease import DURATION_S
from tests.fakes.lease import FakeLease

SHARD = ids.ShardName('orders/south/slate-lm')
SERVICE = ids.ServiceName('slate-lm')
ZONE = ids.AvailabilityZone('minas-a')


class PausableOrders(DirectEndpointOrders):
    """Client that a test can pause between connecting and sending."""

    def __init__(self, book: EndpointOrdersState) -> None:
        super().__init__(book)
        self.gate = asyncio.Event()
        self.gate.set()

    async def connect(self) -> None:
        await self.gate.wait()


class World:
    """Store, lease, platform and drains of one shard."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.store = MemoryTableStore()
        self.lease = FakeLease(self.store, self.clock)
        self.book = EndpointOrdersState(self.clock.monotonic_s, start_up_s=5.0)
        self.drained: list[ids.EndpointId] = []
        self.resumed: list[ids.EndpointId] = []
        self.drain_error: Exception | None = None
        self.platform = PausableOrders(self.book)
        self.drain_gate = asyncio.Event()
        self.drain_gate.set()

    async def drain(self, endpoint_id: ids.EndpointId) -> None:
        await self.drain_gate.wait()
        if self.drain_error is not None:
            raise self.drain_error
        self.drained.append(endpoint_id)

    async def resume(self, endpoint_id: ids.EndpointId) -> None:
        self.resumed.append(endpoint_id)

    async def controller(self) -> OrderController:
        guard = await self.lease.take()
        assert guard is not None
        self.guard = guard
        controller = OrderController(
            shard=SHARD,
            service=SERVICE,
            guard=guard,
            store=self.store,
            platform=self.platform,
            clock=self.clock,
            rng=random.Random(1),
            metrics=Metrics(),
            drain=self.drain,
            resume=self.resume,
        )
        await controller.take_over()
        return controller

    async def controller_after_takeover(self) -> OrderController:
        await self.clock.advance(DURATION_S)
        return await self.controller()

    def states(self) -> list[IntentState]:
        return [
            decode_intent(row.value).state
            for key, row in sorted(self.store.rows.items())
            if key.startswith(intent_prefix(SHARD))
        ]

    def count(self) -> int:
        return len(self.book.endpoints(SERVICE))


@pytest.mark.parametrize(
    ('fault', 'state', 'endpoint_count'),
    [
        ('', IntentState.DONE, 1),
        ('refused_count', IntentState.REFUSED, 0),
        ('is_down', IntentState.REFUSED, 0),
        ('lost_response_count', IntentState.OPEN, 1),
    ],
)
async def test_start_leaves_its_outcome_in_the_table(
    fault: str, state: IntentState, endpoint_count: int
) -> None:
    """Guards against an order whose result a successor cannot determine."""
    world = World()
    controller = await world.controller()
    if fault:
        setattr(world.book, fault, 1)
    await controller.start([ZONE])
    assert world.states() == [state]
    assert world.count() == endpoint_count


async def test_lost_response_is_settled_by_listing() -> None:
    """Guards against a resend of an order that took effect."""
    world = World()
    controller = await world.controller()
    world.book.lost_response_count = 1
    await controller.start([ZONE])
    assert not controller.accepts_orders
    await controller.start([ZONE])
    await controller.reconcile()
    assert world.states() == [IntentState.DONE]
    assert world.count() == 1


async def test_successor_settles_open_intents_first() -> None:
    """Guards against new orders while an old one may still be on its way."""
    world = World()
    controller = await world.controller()
    world.book.lost_response_count = 1
    await controller.start([ZONE])
    world.book.lose_zone(ZONE)
    successor = await world.controller_after_takeover()
    other_zone = ids.AvailabilityZone('colonia-a')
    for _ in range(4):
        await successor.reconcile()
        await successor.start([other_zone])
        assert len(world.book.received) == 1
        await world.clock.advance(OrderController.settlement_s / 4)
        world.guard.renew()
    await successor.reconcile()
    assert world.states() == [IntentState.ABANDONED]
    await successor.start([other_zone])
    assert len(world.book.received) == 2


async def test_nothing_is_sent_after_the_lease_is_lost() -> None:
    """Guards against orders from a process that was paused for a takeover."""
    world = World()
    controller = await world.controller()
    await world.controller_after_takeover()
    with pytest.raises(LeaseLostError):
        await controller.start([ZONE])
    assert world.book.received == []


async def test_nothing_is_sent_if_the_lease_passes_while_connecting() -> None:
    """Guards against two senders if one is paused after connecting."""
    world = World()
    controller = await world.controller()
    world.platform.gate.clear()
    start = asyncio.create_task(controller.start([ZONE]))
    await world.clock.settle()
    assert world.states() == [IntentState.OPEN]
    await world.controller_after_takeover()
    world.platform.gate.set()
    with pytest.raises(LeaseLostError):
        await start
    assert world.book.received == []


async def test_no_intent_is_written_after_a_takeover() -> None:
    """Guards against an intent that the successor has not read."""
    world = World()
    controller = await world.controller()
    slow = StoreFaults(world.clock)
    slow.latency_s = 2 * DURATION_S
    world.store.faults = slow
    start = asyncio.create_task(controller.start([ZONE]))
    await world.clock.settle()
    world.store.faults = StoreFaults()
    await world.controller_after_takeover()
    await world.clock.advance(DURATION_S)
    with pytest.raises(LeaseLostError):
        await start
    assert world.states() == []


async def test_stop_is_sent_only_after_the_drain() -> None:
    """Guards against a planned stop that cuts off requests."""
    world = World()
    controller = await world.controller()
    await controller.start([ZONE, ZONE])
    listing = await controller.reconcile()
    world.drain_gate.clear()
    await controller.stop(listing[:1])
    await world.clock.settle()
    await controller.reconcile()
    assert world.count() == 2
    assert world.states()[-1] is IntentState.DRAINING
    world.drain_gate.set()
    await world.clock.settle()
    await controller.reconcile()
    assert world.count() == 1
    assert world.drained == [listing[0].endpoint_id]
    assert world.states()[-1] is IntentState.DONE


async def test_failed_drain_cancels_the_stop() -> None:
    """Guards against stopping an endpoint that an entry still uses."""
    world = World()
    controller = await world.controller()
    await controller.start([ZONE])
    listing = await controller.reconcile()
    world.drain_error = EndpointError('an entry has not confirmed')
    await controller.stop(listing)
    await world.clock.settle()
    await controller.reconcile()
    assert world.count() == 1
    assert world.resumed == [listing[0].endpoint_id]
    assert controller.leaving == set()


async def test_successor_repeats_an_interrupted_drain() -> None:
    """Guards against drained endpoints that are paid for but never stopped."""
    world = World()
    controller = await world.controller()
    await controller.start([ZONE])
    listing = await controller.reconcile()
    world.drain_gate.clear()
    await controller.stop(listing)
    await world.clock.settle()
    await controller.close()
    world.drain_gate.set()
    successor = await world.controller_after_takeover()
    await successor.reconcile()
    await world.clock.settle()
    await successor.reconcile()
    assert world.count() == 0


async def test_refused_stop_is_ordered_again_and_never_resumed() -> None:
    """Guards against routing to an endpoint that a late stop may still end."""
    world = World()
    controller = await world.controller()
    await controller.start([ZONE])
    listing = await controller.reconcile()
    await controller.stop(listing)
    await world.clock.settle()
    world.book.refused_count = 1
    await controller.reconcile()
    assert world.states()[-1] is IntentState.REFUSED
    for _ in range(2):
        await controller.reconcile()
        await world.clock.settle()
    assert world.count() == 0
    assert world.resumed == []
    assert len({order.order_id for order in world.book.received}) == 2


async def test_failed_drain_after_a_refused_stop_resumes_nothing() -> None:
    """Guards against routing to an endpoint that its first stop may end."""
    world = World()
    controller = await world.controller()
    await controller.start([ZONE])
    listing = await controller.reconcile()
    await controller.stop(listing)
    await world.clock.settle()
    world.book.refused_count = 1
    world.drain_error = EndpointError('an entry has not confirmed')
    for _ in range(4):
        await controller.reconcile()
        await world.clock.settle()
    assert world.count() == 1
    assert world.resumed == []
    assert controller.leaving == {listing[0].endpoint_id}
    await controller.close()
