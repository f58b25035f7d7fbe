"""Tests of scaling by endpoint counts per availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.configuration import Configuration
from dogwoodpost.core.configuration import Service
from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.core.configuration import ZoneScale
from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import PlatformOutcomeUnknownError
from dogwoodpost.ports.zone_orders import ZoneOrder
from dogwoodpost.ports.zone_orders import ZoneOrders
from dogwoodpost.services.control.zone_count_autoscaler import (
    ZoneCountAutoscaler,
)
from dogwoodpost.services.control.zone_loads import ZoneLoads
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.virtual_clock import VirtualClock
from tests.fakes.lease import FakeLease

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.fakes.lease import FakeGuard

SERVICE = ids.ServiceName('slate-lm')
NORTH = ids.AvailabilityZone('north')
SOUTH = ids.AvailabilityZone('south')
CAPACITY = 10


class FakeOrders(ZoneOrders):
    """Records orders; raises the errors that a test has set."""

    def __init__(self) -> None:
        self.submitted: list[ZoneOrder] = []
        self.errors: list[PlatformError] = []

    async def submit(
        self,
        order: ZoneOrder,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        if before_send is not None:
            before_send()
        self.submitted.append(order)
        if self.errors:
            raise self.errors.pop()

    def pop_counts(self) -> dict[str, int]:
        """Return the ordered count by zone and forget the orders."""
        orders, self.submitted = self.submitted, []
        return {one.availability_zone: one.endpoint_count for one in orders}


class FixedConfiguration:
    """Configuration with one service that is scaled and one that is not."""

    def __init__(self) -> None:
        scale = ZoneScale(
            min_endpoint_count=1, max_endpoint_count=4, start_up_s=2.0
        )
        services = [
            Service(name=SERVICE, kind=ServiceKind.ENGINE, zone_scale=scale),
            Service(name=ids.ServiceName('app'), kind=ServiceKind.PLAIN),
        ]
        self._current = Configuration(
            revision=ids.Revision(1),
            services={service.name: service for service in services},
        )

    def current(self) -> Configuration:
        return self._current


class World:
    """Autoscaler of a service with one endpoint in each of two zones."""

    def __init__(self, guard: FakeGuard, clock: VirtualClock) -> None:
        self.clock = clock
        self.orders = FakeOrders()
        self.loads: dict[ids.EndpointId, int] = {}
        self.registry = EndpointRegistry(ZoneLoads())
        for zone in (NORTH, SOUTH):
            self.add(zone, 0)
        self.registry.upsert(endpoint('app', 0, 'app'), 0.0)
        self.autoscaler = ZoneCountAutoscaler(
            guard=guard,
            orders=self.orders,
            configuration=FixedConfiguration(),  # type: ignore[arg-type]
            registry=self.registry,
            loads=lambda: self.loads,
            clock=clock,
        )

    def add(self, zone: str, number: int) -> None:
        self.registry.upsert(endpoint(zone, number), 0.0)

    def load(self, zone: str, number: int, count: int) -> None:
        self.loads[ids.EndpointId(f'{zone}-{number}')] = count


def endpoint(zone: str, number: int, service: str = SERVICE) -> Endpoint:
    return Endpoint(
        endpoint_id=ids.EndpointId(f'{zone}-{number}'),
        service=ids.ServiceName(service),
        availability_zone=ids.AvailabilityZone(zone),
        region=ids.Region('r'),
        capacity_count=CAPACITY,
    )


@pytest.fixture
async def world() -> World:
    clock = VirtualClock()
    guard = await FakeLease(MemoryTableStore(), clock).take()
    assert guard is not None
    return World(guard, clock)


async def test_orders_follow_the_load_within_the_limits(world: World) -> None:
    """Guards against zones that stay too small, or grow without a limit."""
    await world.autoscaler.run_once()
    assert world.orders.pop_counts() == {NORTH: 1, SOUTH: 1}
    world.load(NORTH, 0, CAPACITY)
    await world.autoscaler.run_once()
    assert world.orders.pop_counts() == {NORTH: 2}
    world.load(NORTH, 0, 10 * CAPACITY)
    await world.autoscaler.run_once()
    assert world.orders.pop_counts() == {NORTH: 4}


async def test_endpoints_that_are_starting_are_not_cancelled(
    world: World,
) -> None:
    """Guards against orders that go up and down while endpoints start."""
    world.load(NORTH, 0, 2 * CAPACITY)
    await world.autoscaler.run_once()
    assert world.orders.pop_counts()[NORTH] == 3
    world.load(NORTH, 0, CAPACITY)
    await world.autoscaler.run_once()
    assert world.orders.pop_counts() == {}


@pytest.mark.parametrize(
    'error',
    [
        PlatformOutcomeUnknownError('the answer was lost'),
        PlatformError('status 400'),
    ],
)
async def test_a_failed_order_is_repeated_and_blocks_no_other(
    world: World, error: PlatformError
) -> None:
    """Guards against failed orders that count as carried out.

    Also guards against one zone whose failing orders block all other zones.
    """
    world.orders.errors = [error]
    await world.autoscaler.run_once()
    assert world.orders.pop_counts() == {NORTH: 1, SOUTH: 1}
    await world.autoscaler.run_once()
    assert world.orders.pop_counts() == {NORTH: 1}
    await world.autoscaler.run_once()
    assert world.orders.pop_counts() == {}


async def test_other_zones_take_over_the_load_of_a_lost_zone(
    world: World,
) -> None:
    """Guards against too few endpoints for the clients of a lost zone."""
    for zone in (NORTH, SOUTH):
        world.load(zone, 0, CAPACITY // 2)
    await world.autoscaler.run_once()
    world.orders.pop_counts()
    world.registry.remove(ids.EndpointId('north-0'), 0.0)
    world.loads.pop(ids.EndpointId('north-0'))
    world.load(SOUTH, 0, CAPACITY)
    await world.autoscaler.run_once()
    assert world.orders.pop_counts()[SOUTH] == 2


async def test_nothing_is_ordered_without_the_lease(world: World) -> None:
    """Guards against orders of a process that has lost the lease."""
    await world.clock.advance(11.0)
    with pytest.raises(LeaseLostError):
        await world.autoscaler.run_once()
    assert world.orders.submitted == []
