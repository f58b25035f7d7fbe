"""Keeps services at the sizes that their load needs, zone by zone."""

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
# Leaves room for what arrives while more endpoints start.
_UTILISATION = 0.7
_DOWN_DELAY_S = 20.0
# An order may have been lost with its holder, so each is said again.
_REPEAT_S = 10.0
# Above any number that a zone's own limits allow.
_NO_TOTAL_LIMIT = 1_000_000

_Subject = tuple['ids.ServiceName', 'ids.AvailabilityZone']


class ZoneCountAutoscaler:
    """Orders endpoints for one holding of the lease.

    :param loads: requests in flight by endpoint, of all processes.
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
        self._ordered: dict[_Subject, tuple[int, float]] = {}

    async def run_once(self) -> None:
        """Order what the present load needs.

        :raises LeaseLostError: the lease is lost.
        """
        self._guard.fencing_number()
        for service in self._configuration.current().services.values():
            if service.zone_scale is not None:
                await self._scale(service, service.zone_scale)

    async def _scale(self, service: Service, scale: ZoneScale) -> None:
        endpoints = [
            one
            for one in self._registry.endpoints()
            if one.service == service.name
        ]
        zones = self._zones.setdefault(service.name, set())
        zones.update(one.availability_zone for one in endpoints)
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
            if self._is_due((service.name, zone), count, now_s):
                await self._order(service.name, zone, current[zone], count)

    def _current_count(self, service: ids.ServiceName, load: ZoneLoad) -> int:
        """Return the endpoints of a zone, with those that still start."""
        ordered = self._ordered.get((service, load.availability_zone))
        return load.live_endpoint_count if ordered is None else ordered[0]

    def _is_due(self, subject: _Subject, count: int, now_s: float) -> bool:
        ordered_count, ordered_s = self._ordered.get(subject, (None, 0.0))
        return ordered_count != count or now_s - ordered_s >= _REPEAT_S

    async def _order(
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
            # It may have been carried out, and is said again in any case.
            self._ordered.pop((service, zone), None)
            _log.warning(
                'endpoints_not_ordered',
                service=service,
                availability_zone=zone,
                wanted_endpoints=count,
                error=str(error),
            )
            return
        self._ordered[service, zone] = (count, self._clock.monotonic_s())
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
        concurrency = max((one.capacity_count for one in endpoints), default=0)
        known = self._settings.get(service)
        if not concurrency and known is not None:
            concurrency = known.endpoint_concurrency
        settings = ScalingSettings(
            endpoint_concurrency=max(concurrency, 1),
            min_endpoint_count=0,
            max_endpoint_count=_NO_TOTAL_LIMIT,
            start_up_s=scale.start_up_s,
            utilisation_without_history=_UTILISATION,
            target_utilisation=_UTILISATION,
            down_delay_s=_DOWN_DELAY_S,
        )
        if settings != known:
            self._settings[service] = settings
            self._scalers[service] = Scaler(settings, {})
        return self._scalers[service]
