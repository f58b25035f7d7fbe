"""Description of an endpoint, as known to an entry."""

from __future__ import annotations

from typing import Protocol

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core import messages


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint and, unless it is called directly, its agent.

    :param agent_id: process of the agent; empty if there is none.
    :param agent_incarnation: incarnation of the agent, or of the endpoint
        itself if it is called directly.
    :param address: host and port for direct calls.
    :param capacity_count: requests that the endpoint runs at once; 0 if
        unknown.
    :param weight_versions: weight versions by model, for engines that serve
        several models.
    :param weight_version: weight version of an endpoint with one model.
    :param weights_url: URL at which other agents fetch weights from the
        endpoint's agent.
    """

    endpoint_id: ids.EndpointId
    service: ids.ServiceName
    host_id: ids.HostId = ids.HostId('')
    availability_zone: ids.AvailabilityZone
    region: ids.Region
    agent_id: ids.ProcessId = ids.ProcessId('')
    agent_incarnation: ids.Incarnation = ids.Incarnation('')
    agent_address: str = ''
    address: str = ''
    capacity_count: int = 0
    weight_versions: dict[ids.ModelName, ids.WeightVersion] = msgspec.field(
        default_factory=dict
    )
    weight_version: ids.WeightVersion | None = None
    ready: bool = True
    draining: bool = False
    weights_url: str = ''

    def version_of(
        self, model: ids.ModelName | None
    ) -> ids.WeightVersion | None:
        """Return the weight version of a model, or None if unknown.

        :param model: None for an endpoint that has only one model.
        """
        if model is None:
            return self.weight_version
        return self.weight_versions.get(model)


class EndpointListener(Protocol):
    """Receives the changes, load reports and cache events of endpoints."""

    def upsert(self, endpoint: Endpoint, now_s: float) -> None:
        """Add an endpoint or replace its description."""

    def remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        """Remove an endpoint; an unknown id has no effect."""

    def report_load(self, load: messages.EndpointLoad, now_s: float) -> None:
        """Apply a load report, which describes the state ``age_ms`` ago."""

    def record_cache_events(
        self, events: messages.CacheEvents, now_s: float
    ) -> None:
        """Apply cache events; after a gap, earlier blocks are dropped."""
