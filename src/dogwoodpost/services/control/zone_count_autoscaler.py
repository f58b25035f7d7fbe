"""Scales services by ordering endpoint counts per availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.scaling import clamp_each
from dogwoodpost.core.scaling import Scaler
from dogwoodpost.core.scaling import ScalingSettings
from dogwoodpost.core.scaling import zone_loads
from dogwoodpost.errors import PlatformError
from dogwoodpost.ports.zone_orders import ZoneOrder

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.configuration import Service
    from dogwoodpost.core.configuration import ZoneScale
    from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.core.scaling import ZoneLoad
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.configuration_source import ConfigurationSource
    from dogwoodpost.ports.lease_guard import LeaseGuard
    from dogwoodpost.ports.zone_orders import ZoneOrders

_log = structlog.get_logger(__name__)
# Leaves capacity for requests that arrive while more endpoints start.
_TARGET_UTILISATION = 0.7
_SCALE_DOWN_DELAY_S = 20.0
# Orders are repeated, since one may have been lost together with its sender.
_REPEAT_INTERVAL_S = 10.0
# Exceeds any sum of the limits per zone, so that only those apply.
_NO_TOTAL_LIMIT = 1_000_000

_ServiceZone = tuple['ids.ServiceName', 'ids.AvailabilityZone']


class ZoneCountAutoscaler:
    """Orders endpoint counts while this process holds the scaling lease.

    A new autoscaler is created each time the lease is acquired.

    :param loads: returns the requests in flight by endpoint, summed over all
        processes.
    """

    def __init__(
        self,
        *,
        guard: LeaseGuard,
        orders: ZoneOrders,
        configuration: ConfigurationSource,
        registry: EndpointRegistry,
        loads: Callable[[], Mapping[ids.EndpointId, int]],
        clock: Clock,
    ) -> None:
        self._guard = guard
        self._orders = orders
        self._configuration = configuration
        self._registry = registry
        self._loads = loads
        self._clock = clock
        self._scalers: dict[ids.ServiceName, Scaler] = {}
        self._settings: dict[ids.ServiceName, ScalingSettings] = {}
        self._zones: dict[ids.ServiceName, set[ids.AvailabilityZone]] = {}
        self._last_orders: dict[_ServiceZone, tuple[int, float]] = {}

    async def run_once(self) -> None:
        """Order the endpoint counts that the present load needs.

        :raises LeaseLostError: the lease was lost.
        """
        self._guard.fencing_number()
        for service in self._configuration.current().services.values():
            if service.zone_scale is not None:
                await self._scale(service, service.zone_scale)

    async def _scale(self, service: Service, scale: ZoneScale) -> None:
        endpoints = [
            candidate
            for candidate in self._registry.endpoints()
            if candidate.service == service.name
        ]
        zones = self._zones.setdefault(service.name, set())
        zones.update(item.availability_zone for item in endpoints)
        loads = zone_loads(endpoints, self._loads(), zones)
        now_s = self._clock.monotonic_s()
        wall_s = self._clock.wall_s()
        scaler = self._scaler(service.name, endpoints, scale)
        scaler.observe(loads, now_s, wall_s)
        current = {
            load.availability_zone: self._current_count(service.name, load)
            for load in loads
        }
        wanted = clamp_each(
            scaler.plan(current, now_s, wall_s),
            scale.min_endpoint_count,
            scale.max_endpoint_count,
        )
        for zone, count in wanted.items():
            if self._is_order_due((service.name, zone), count, now_s):
                await self._submit_order(
                    service.name, zone, current[zone], count
                )

    def _current_count(self, service: ids.ServiceName, load: ZoneLoad) -> int:
        """Return the last ordered count, or the live endpoints without one.

        The ordered count includes endpoints that are still starting.
        """
        ordered = self._last_orders.get((service, load.availability_zone))
        return load.live_endpoint_count if ordered is None else ordered[0]

    def _is_order_due(
        self, service_zone: _ServiceZone, count: int, now_s: float
    ) -> bool:
        ordered_count, ordered_s = self._last_orders.get(
            service_zone, (None, 0.0)
        )
        return (
            ordered_count != count or now_s - ordered_s >= _REPEAT_INTERVAL_S
        )

    async def _submit_order(
        self,
        service: ids.ServiceName,
        zone: ids.AvailabilityZone,
        current_count: int,
        count: int,
    ) -> None:
        order = ZoneOrder(
            service=service, availability_zone=zone, endpoint_count=count
        )
        try:
            await self._orders.submit(
                order, before_send=self._guard.fencing_number
            )
        except PlatformError as error:
            # The order may have taken effect. The next run repeats it.
            self._last_orders.pop((service, zone), None)
            _log.warning(
                'endpoints_not_ordered',
                service=service,
                availability_zone=zone,
                wanted_endpoints=count,
                error=str(error),
            )
            return
        self._last_orders[service, zone] = (count, self._clock.monotonic_s())
        _log.info(
            'endpoints_ordered',
            service=service,
            availability_zone=zone,
            current_endpoints=current_count,
            wanted_endpoints=count,
        )

    def _scaler(
        self,
        service: ids.ServiceName,
        endpoints: list[Endpoint],
        scale: ZoneScale,
    ) -> Scaler:
        """Return the service's scaler, a new one if its settings changed."""
        concurrency = max(
            (item.capacity_count for item in endpoints), default=0
        )
        previous_settings = self._settings.get(service)
        if not concurrency and previous_settings is not None:
            concurrency = previous_settings.endpoint_concurrency
        settings = ScalingSettings(
            endpoint_concurrency=max(concurrency, 1),
            min_endpoint_count=0,
            max_endpoint_count=_NO_TOTAL_LIMIT,
            start_up_s=scale.start_up_s,
            utilisation_without_history=_TARGET_UTILISATION,
            target_utilisation=_TARGET_UTILISATION,
            down_delay_s=_SCALE_DOWN_DELAY_S,
        )
        if settings != previous_settings:
            self._settings[service] = settings
            self._scalers[service] = Scaler(settings, {})
        return self._scalers[service]
