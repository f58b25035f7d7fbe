"""Tests of weight load orders and of what is published about them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.weights.load_duration import LoadDuration
from dogwoodpost.core.weights.load_duration import POLL_INTERVAL_S
from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.endpoint_gateway import EngineReport
from dogwoodpost.ports.endpoint_gateway import OrderOutcome
from dogwoodpost.ports.endpoint_gateway import SwitchMode
from dogwoodpost.services.control.announced_versions import AnnouncedVersions
from dogwoodpost.services.control.endpoint_versions import EndpointVersions
from dogwoodpost.services.control.endpoint_versions import TABLE
from dogwoodpost.services.control.weight_load_controller import (
    WeightLoadController,
)
from dogwoodpost.standins.memory_row_store import MemoryRowStore
from dogwoodpost.standins.virtual_clock import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.ports.endpoint_gateway import VersionOrder

MODEL = ids.ModelName('model')
ENDPOINTS = [ids.EndpointId(f'engine-{number}') for number in range(4)]


class FakeGuard:
    """Guard of a lease that is always held."""

    def fencing_number(self) -> ids.FencingNumber:
        return ids.FencingNumber(1)


class FakeEngines:
    """Engines that answer each order with an outcome that a test sets."""

    def __init__(self) -> None:
        self.versions = dict.fromkeys(ENDPOINTS, 1)
        self.orders: list[ids.EndpointId] = []
        self.outcome = OrderOutcome.ACCEPTED

    async def report(self, endpoint: Endpoint) -> EngineReport:
        version = self.versions[endpoint.endpoint_id]
        return EngineReport(
            order_sequence=0,
            is_busy=False,
            weight_versions={MODEL: ids.WeightVersion(version)},
        )

    async def order(
        self,
        endpoint: Endpoint,
        order: VersionOrder,
        before_send: Callable[[], ids.FencingNumber],
    ) -> OrderOutcome:
        before_send()
        self.orders.append(endpoint.endpoint_id)
        return self.outcome


class OtherProcess:
    """Another process, which only reads the published rows."""

    def __init__(self) -> None:
        self.loads = LoadingEndpoints()
        self.registry = EndpointRegistry(FakeListener())
        self.versions = EndpointVersions(
            self.registry, MemoryRowStore(), self.loads
        )

    async def read(self, rows: MemoryRowStore) -> None:
        page = await rows.read(TABLE, '')
        self.versions.apply(page.rows, 0.0)

    def loading(self) -> frozenset[ids.EndpointId]:
        return self.loads.of_model(MODEL, 0.0)


class FakeListener:
    """Listener that ignores all endpoints."""

    def upsert(self, endpoint: Endpoint, now_s: float) -> None:
        """Ignore the endpoint."""

    def remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        """Ignore the removal."""


def add_endpoints(registry: EndpointRegistry) -> None:
    for endpoint_id in ENDPOINTS:
        endpoint = Endpoint(
            endpoint_id=endpoint_id,
            service=ids.ServiceName('engines'),
            availability_zone=ids.AvailabilityZone('zone-a'),
            region=ids.Region('region-a'),
            agent_incarnation=ids.Incarnation('1'),
            weight_versions={MODEL: ids.WeightVersion(1)},
        )
        registry.upsert(endpoint, 0.0)


@pytest.fixture
def clock() -> VirtualClock:
    return VirtualClock()


@pytest.fixture
def engines() -> FakeEngines:
    return FakeEngines()


@pytest.fixture
def rows() -> MemoryRowStore:
    return MemoryRowStore()


@pytest.fixture
def announced(clock: VirtualClock) -> AnnouncedVersions:
    return AnnouncedVersions(clock)


@pytest.fixture
def other() -> OtherProcess:
    other = OtherProcess()
    add_endpoints(other.registry)
    return other


@pytest.fixture
def controller(
    clock: VirtualClock,
    engines: FakeEngines,
    rows: MemoryRowStore,
    announced: AnnouncedVersions,
) -> WeightLoadController:
    registry = EndpointRegistry(FakeListener())
    add_endpoints(registry)
    return WeightLoadController(
        guard=FakeGuard(),
        gateway=engines,
        registry=registry,
        versions=EndpointVersions(registry, rows, LoadingEndpoints()),
        announced_versions=announced,
        switch_mode=lambda: SwitchMode.CONTINUE,
        clock=clock,
        metrics=Metrics(),
    )


async def settle() -> None:
    for _ in range(20):
        await asyncio.sleep(0)


async def test_items_of_a_step_are_placed_before_its_loads_start(
    controller: WeightLoadController,
    clock: VirtualClock,
    engines: FakeEngines,
    announced: AnnouncedVersions,
) -> None:
    """Guards against a step whose first items find only loading endpoints.

    The version and the step arrive together, the step's items within tenths
    of a second.
    """
    announced.record(MODEL, ids.WeightVersion(2))
    await controller.run_once()
    await settle()
    assert engines.orders == []
    await clock.advance(0.3)
    await controller.run_once()
    await settle()
    assert engines.orders == ENDPOINTS[:1]
    await controller.close()


async def test_endpoints_that_are_too_old_for_a_step_load_at_once(
    controller: WeightLoadController,
    clock: VirtualClock,
    engines: FakeEngines,
    announced: AnnouncedVersions,
) -> None:
    """Guards against delayed loads of endpoints that cannot serve a step.

    They can take none of its items before they have loaded.
    """
    announced.record(MODEL, ids.WeightVersion(3))
    await controller.run_once()
    await settle()
    assert len(engines.orders) == 2
    assert len(set(engines.orders) & set(ENDPOINTS)) == 2
    await controller.close()


async def test_other_processes_learn_which_endpoints_load(
    controller: WeightLoadController,
    clock: VirtualClock,
    engines: FakeEngines,
    announced: AnnouncedVersions,
    rows: MemoryRowStore,
    other: OtherProcess,
) -> None:
    """Guards against items that are sent to loading endpoints."""
    announced.record(MODEL, ids.WeightVersion(2))
    await clock.advance(0.3)
    await controller.run_once()
    await settle()
    await other.read(rows)
    assert other.loading() == {ENDPOINTS[0]}
    engines.versions[ENDPOINTS[0]] = 2
    for _ in range(20):
        await clock.advance(0.1)
    await other.read(rows)
    assert other.loading() == set()
    loaded = other.registry.get(ENDPOINTS[0])
    assert loaded is not None
    assert loaded.version_of(MODEL) == 2
    await controller.close()


@pytest.mark.parametrize(
    'outcome', [OrderOutcome.CONFLICT, OrderOutcome.REFUSED]
)
async def test_an_order_that_is_not_accepted_excludes_no_endpoint(
    controller: WeightLoadController,
    clock: VirtualClock,
    engines: FakeEngines,
    announced: AnnouncedVersions,
    rows: MemoryRowStore,
    other: OtherProcess,
    outcome: OrderOutcome,
) -> None:
    """Guards against idle endpoints that are still published as loading."""
    engines.outcome = outcome
    announced.record(MODEL, ids.WeightVersion(2))
    await clock.advance(0.3)
    await controller.run_once()
    await settle()
    await other.read(rows)
    assert engines.orders == ENDPOINTS[:1]
    assert other.loading() == set()
    await controller.close()


async def test_a_row_of_an_earlier_incarnation_is_ignored(
    rows: MemoryRowStore, other: OtherProcess
) -> None:
    """Guards against a restarted engine that still counts as loading."""
    endpoint = other.registry.get(ENDPOINTS[0])
    assert endpoint is not None
    writer = EndpointVersions(other.registry, rows, LoadingEndpoints())
    await writer.publish(
        endpoint, endpoint.weight_versions, 0.0, loading=(MODEL,)
    )
    restarted = Endpoint(
        endpoint_id=endpoint.endpoint_id,
        service=endpoint.service,
        availability_zone=endpoint.availability_zone,
        region=endpoint.region,
        agent_incarnation=ids.Incarnation('2'),
        weight_versions=endpoint.weight_versions,
    )
    other.registry.upsert(restarted, 0.0)
    await other.read(rows)
    assert other.loading() == set()


@pytest.mark.parametrize('load_s', [0.3, 0.9, 3.0])
def test_looks_come_close_to_the_end_of_a_load(load_s: float) -> None:
    """Guards against looks that come late, or long before a load is done."""
    duration = LoadDuration()
    for _ in range(12):
        look_s = duration.first_poll_delay_s
        poll_count = 1
        while look_s < load_s:
            look_s += POLL_INTERVAL_S
            poll_count += 1
        duration.observe(look_s, poll_count)
    assert look_s - load_s <= POLL_INTERVAL_S
    assert poll_count <= 3
