"""Tests of scaling with endpoint orders, against the stand-in platform."""

from __future__ import annotations

import random

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.routing.endpoint import Endpoint
from dogwoodpost.core.scaling import ScalingSettings
from dogwoodpost.observability import Metrics
from dogwoodpost.services.control.endpoint_autoscaler import EndpointAutoscaler
from dogwoodpost.services.control.order_controller import OrderController
from dogwoodpost.services.control.zone_loads import ZoneLoads
from dogwoodpost.standins.endpoint_orders import DirectEndpointOrders
from dogwoodpost.standins.endpoint_orders import EndpointOrdersState
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.virtual_clock import VirtualClock
from tests.fakes.lease import FakeLease

SHARD = ids.ShardName('orders/south/slate-lm')
SERVICE = ids.ServiceName('slate-lm')
NORTH = ids.AvailabilityZone('colonia-a')
SOUTH = ids.AvailabilityZone('minas-a')


class World:
    """Two zones whose endpoints report the load that a test sets."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.store = MemoryTableStore()
        self.lease = FakeLease(self.store, self.clock)
        self.book = EndpointOrdersState(
            self.clock.monotonic_s, start_up_s=10.0
        )
        self.running_count = 0

    async def do_nothing(self, endpoint_id: ids.EndpointId) -> None:
        """Drain or resume at once."""

    def loads(self) -> ZoneLoads:
        loads = ZoneLoads()
        for listed in self.book.endpoints(SERVICE):
            if listed.running:
                loads.upsert(endpoint(listed.endpoint_id), 0.0)
                loads.report_load(
                    messages.EndpointLoad(
                        endpoint_id=listed.endpoint_id,
                        running_count=self.running_count,
                        waiting_count=0,
                    ),
                    0.0,
                )
        return loads

    async def start_autoscaler(self) -> EndpointAutoscaler:
        guard = await self.lease.take()
        assert guard is not None
        self.guard = guard
        controller = OrderController(
            shard=SHARD,
            service=SERVICE,
            guard=guard,
            store=self.store,
            platform=DirectEndpointOrders(self.book),
            clock=self.clock,
            rng=random.Random(1),
            metrics=Metrics(),
            drain=self.do_nothing,
            resume=self.do_nothing,
        )
        autoscaler = EndpointAutoscaler(
            shard=SHARD,
            controller=controller,
            guard=guard,
            store=self.store,
            clock=self.clock,
            settings=ScalingSettings(
                endpoint_concurrency=10,
                min_endpoint_count=2,
                max_endpoint_count=6,
                start_up_s=10.0,
                down_delay_s=60.0,
            ),
            own_zones=[NORTH, SOUTH],
            observe=lambda: self.loads().loads(SERVICE, [NORTH, SOUTH]),
        )
        await autoscaler.open()
        return autoscaler

    async def run(
        self, autoscaler: EndpointAutoscaler, duration_s: int
    ) -> None:
        for _ in range(duration_s // 4):
            await autoscaler.run_once()
            await self.clock.advance(4.0)
            self.guard.renew()

    def count(self, zone: ids.AvailabilityZone) -> int:
        return sum(
            listed.availability_zone == zone
            for listed in self.book.endpoints(SERVICE)
        )


def endpoint(endpoint_id: ids.EndpointId) -> Endpoint:
    return Endpoint(
        endpoint_id=endpoint_id,
        service=SERVICE,
        host_id=ids.HostId('h'),
        availability_zone=NORTH if endpoint_id.endswith('1') else SOUTH,
        region=ids.Region('south'),
        agent_id=ids.ProcessId('agent'),
        agent_incarnation=ids.Incarnation('1'),
        agent_address='tcp://127.0.0.1:1',
    )


async def test_minimum_load_and_maximum_are_followed() -> None:
    """Guards against counts that ignore the service's limits or its load."""
    world = World()
    autoscaler = await world.start_autoscaler()
    await world.run(autoscaler, 20)
    assert (world.count(NORTH), world.count(SOUTH)) == (1, 1)
    world.running_count = 10
    await world.run(autoscaler, 60)
    assert world.count(NORTH) + world.count(SOUTH) == 6
    world.running_count = 0
    await world.run(autoscaler, 120)
    assert world.count(NORTH) + world.count(SOUTH) == 2
    await autoscaler.close()


async def test_zone_that_refused_an_order_gets_no_order_at_each_run() -> None:
    """Guards against a flood of orders to a lost zone."""
    world = World()
    world.book.lost_zones.add(SOUTH)
    autoscaler = await world.start_autoscaler()
    await world.run(autoscaler, 100)
    rows = [key for key in world.store.rows if key.startswith('order/')]
    assert world.count(NORTH) >= 1
    assert len(rows) <= 4
    await autoscaler.close()


async def test_successor_starts_from_the_saved_profile() -> None:
    """Guards against a takeover that loses the learnt daily load profile."""
    world = World()
    autoscaler = await world.start_autoscaler()
    autoscaler.save_interval_s = 60.0
    await world.run(autoscaler, 1200)
    world.lease.free_at_s = 0.0
    successor = await world.start_autoscaler()
    assert successor._scaler.profiles[NORTH].means[1] is not None
    await autoscaler.close()
    await successor.close()
