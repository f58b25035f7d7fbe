"""Loads of services by availability zone, as reported by the agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.scaling import ZoneLoad

if TYPE_CHECKING:
    from collections.abc import Collection

    from dogwoodpost.core import ids
    from dogwoodpost.core import messages
    from dogwoodpost.core.routing.endpoint import Endpoint


class ZoneLoads:
    """Keeps the last load of each endpoint, as an ``EndpointListener``."""

    def __init__(self) -> None:
        self._endpoints: dict[ids.EndpointId, Endpoint] = {}
        self._loads: dict[ids.EndpointId, messages.EndpointLoad] = {}
        self._received_s: dict[ids.EndpointId, float] = {}

    def upsert(self, endpoint: Endpoint, now_s: float) -> None:
        """Add an endpoint, or replace what is known of it."""
        self._endpoints[endpoint.endpoint_id] = endpoint

    def remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        """Forget an endpoint; an unknown id has no effect."""
        self._endpoints.pop(endpoint_id, None)
        self._loads.pop(endpoint_id, None)
        self._received_s.pop(endpoint_id, None)

    def report_load(self, load: messages.EndpointLoad, now_s: float) -> None:
        """Record a load report; those of unknown endpoints are ignored."""
        if load.endpoint_id in self._endpoints:
            self._loads[load.endpoint_id] = load
            self._received_s[load.endpoint_id] = now_s

    def endpoint(self, endpoint_id: ids.EndpointId) -> Endpoint | None:
        """Return an endpoint, or None if no live agent reports it."""
        return self._endpoints.get(endpoint_id)

    def last_load(
        self, endpoint_id: ids.EndpointId
    ) -> tuple[messages.EndpointLoad, float] | None:
        """Return the last load report and its time of receipt, in seconds."""
        load = self._loads.get(endpoint_id)
        if load is None:
            return None
        return load, self._received_s[endpoint_id]

    def zones(self, region: ids.Region) -> set[ids.AvailabilityZone]:
        """Return the availability zones of a region that have endpoints."""
        return {
            endpoint.availability_zone
            for endpoint in self._endpoints.values()
            if endpoint.region == region
        }

    def record_cache_events(
        self, events: messages.CacheEvents, now_s: float
    ) -> None:
        """Ignore cache events, which scaling does not use."""

    def loads(
        self,
        service: ids.ServiceName,
        zones: Collection[ids.AvailabilityZone],
        queued_count: int = 0,
    ) -> list[ZoneLoad]:
        """Return the load of a service in each availability zone.

        :param zones: availability zones to include without endpoints.
        :param queued_count: requests queued at all entries together. They are
            attributed to the zones in proportion to the running requests, or
            evenly if none is running.
        """
        endpoints = [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.service == service
        ]
        all_zones = {*zones, *(item.availability_zone for item in endpoints)}
        totals = [self._total(zone, endpoints) for zone in sorted(all_zones)]
        running = sum(total.running_count for total in totals)
        return [
            ZoneLoad(
                availability_zone=total.availability_zone,
                running_count=total.running_count,
                waiting_count=total.waiting_count
                + round(
                    queued_count * total.running_count / running
                    if running
                    else queued_count / len(totals)
                ),
                live_endpoint_count=total.live_endpoint_count,
            )
            for total in totals
        ]

    def _total(
        self, zone: ids.AvailabilityZone, endpoints: list[Endpoint]
    ) -> ZoneLoad:
        in_zone = [
            endpoint
            for endpoint in endpoints
            if endpoint.availability_zone == zone
        ]
        loads = [
            self._loads[endpoint.endpoint_id]
            for endpoint in in_zone
            if endpoint.endpoint_id in self._loads
        ]
        return ZoneLoad(
            availability_zone=zone,
            running_count=sum(load.running_count for load in loads),
            waiting_count=sum(load.waiting_count for load in loads),
            live_endpoint_count=sum(endpoint.ready for endpoint in in_zone),
        )
