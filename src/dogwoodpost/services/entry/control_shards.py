"""Builds the control work of each shard that the configuration implies."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core.scaling import ScalingSettings
from dogwoodpost.services.control.endpoint_autoscaler import EndpointAutoscaler
from dogwoodpost.services.control.endpoint_drainer import EndpointDrainer
from dogwoodpost.services.control.order_controller import OrderController
from dogwoodpost.services.control.usage_reporter import UsageReporter
from dogwoodpost.services.process import running
from dogwoodpost.services.rollouts.weight_rollout import WeightRollout

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator

    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.core.configuration import Service
    from dogwoodpost.core.scaling import ZoneLoad
    from dogwoodpost.ports.endpoint_orders import EndpointOrders
    from dogwoodpost.ports.usage_reports import UsageReports
    from dogwoodpost.ports.weight_store import WeightStore
    from dogwoodpost.services.control.lease_manager import ManagedLeaseGuard
    from dogwoodpost.services.control.shard_runner import OpenWork
    from dogwoodpost.services.control.shard_runner import RunOnce
    from dogwoodpost.services.entry.control_context import ControlContext

USAGE_SHARD = ids.ShardName('usage')


def configured_shards(
    context: ControlContext, configuration: Configuration
) -> Iterator[tuple[ids.ShardName, Service | None, OpenWork]]:
    """Yield the name, the service and the work of each control shard.

    The service is None for work that serves no single service. The work is a
    context manager factory, called with the lease guard of the shard.
    """
    platform = context.platform
    if platform.usage_reports is not None:
        yield (
            USAGE_SHARD,
            None,
            partial(_usage_work, context, platform.usage_reports),
        )
    for service in configuration.services.values():
        if platform.weight_store is not None and service.model is not None:
            yield (
                ids.ShardName(f'weights/{service.model}'),
                service,
                partial(_weight_work, context, platform.weight_store, service),
            )
        if platform.endpoint_orders is not None:
            region = context.settings.region
            yield (
                ids.ShardName(f'orders/{region}/{service.name}'),
                service,
                partial(
                    _order_work, context, platform.endpoint_orders, service
                ),
            )


@asynccontextmanager
async def _usage_work(
    context: ControlContext,
    platform: UsageReports,
    guard: ManagedLeaseGuard,
) -> AsyncIterator[RunOnce]:
    reporter = UsageReporter(
        guard=guard,
        store=context.platform.unretried_tables,
        platform=platform,
        clock=context.clock,
        rng=context.rng,
        metrics=context.metrics,
        window_s=context.settings.usage_window_s,
    )
    yield reporter.run_once


@asynccontextmanager
async def _weight_work(
    context: ControlContext,
    store: WeightStore,
    service: Service,
    guard: ManagedLeaseGuard,
) -> AsyncIterator[RunOnce]:
    assert service.model is not None
    rollout = WeightRollout(
        model=service.model,
        store=store,
        commander=context.routing.commander,
        guard=guard,
        endpoints=lambda: list(context.routing.fleet.endpoints(service.name)),
        clock=context.clock,
        rng=context.rng,
        metrics=context.metrics,
    )

    async def check_lease() -> None:
        guard.fencing_number()

    async with running(rollout):
        yield check_lease


@asynccontextmanager
async def _order_work(
    context: ControlContext,
    platform: EndpointOrders,
    service: Service,
    guard: ManagedLeaseGuard,
) -> AsyncIterator[RunOnce]:
    loads = context.routing.zone_loads
    region = ids.Region(context.settings.region)
    own_zone = ids.AvailabilityZone(context.settings.availability_zone)
    own_zones = loads.zones(region) | {own_zone}
    drainer = EndpointDrainer(
        shard=guard.shard,
        guard=guard,
        commander=context.routing.commander,
        clock=context.clock,
        longest_request_s=partial(_longest_request_s, context, service.name),
        find_endpoint=loads.endpoint,
        last_load=loads.last_load,
    )
    controller = OrderController(
        shard=guard.shard,
        service=service.name,
        guard=guard,
        store=context.platform.unretried_tables,
        platform=platform,
        clock=context.clock,
        rng=context.rng,
        metrics=context.metrics,
        drain=drainer.drain,
        resume=drainer.resume,
    )

    def observe() -> list[ZoneLoad]:
        return loads.loads(
            service.name,
            own_zones,
            context.admission.waiting_count(service.name),
        )

    autoscaler = EndpointAutoscaler(
        shard=guard.shard,
        controller=controller,
        guard=guard,
        store=context.platform.unretried_tables,
        clock=context.clock,
        settings=_scaling_settings(context, service),
        own_zones=own_zones,
        observe=observe,
    )
    try:
        await autoscaler.open()
        yield autoscaler.run_once
    finally:
        await autoscaler.close()


def _longest_request_s(
    context: ControlContext, service: ids.ServiceName
) -> float:
    routes = context.configuration.current().routes.values()
    timeouts_ms = [
        route.timeout_ms for route in routes if route.service == service
    ]
    return max(timeouts_ms, default=0) / 1000


def _scaling_settings(
    context: ControlContext, service: Service
) -> ScalingSettings:
    return ScalingSettings(
        endpoint_concurrency=service.endpoint_concurrency,
        min_endpoint_count=service.min_endpoint_count,
        max_endpoint_count=service.max_endpoint_count,
        start_up_s=context.settings.endpoint_start_up_s,
    )
