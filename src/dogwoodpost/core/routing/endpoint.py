"""An endpoint as an entry sees it."""

from __future__ import annotations

from typing import Protocol

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core import messages


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint, and the agent that it is reached through, if any.

    ``weights_url`` is where other agents fetch weights from its agent.

    :param agent_incarnation: of the agent, or of the endpoint itself where it
        is called directly.
    :param address: host and port for direct calls.
    :param capacity_count: requests that it runs at once; 0 if unknown.
    :param weight_versions: by model, for engines that serve several.
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
        """Return the version of a model's weights, None if unknown."""
        if model is None:
            return self.weight_version
        return self.weight_versions.get(model)


class EndpointListener(Protocol):
    """Is told what is known of endpoints."""

    def upsert(self, endpoint: Endpoint, now_s: float) -> None:
        """Add an endpoint, or replace what is known of it."""

    def remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        """Forget an endpoint; an unknown id has no effect."""

    def report_load(self, load: messages.EndpointLoad, now_s: float) -> None:
        """Take a load report, which lags by ``age_ms``."""

    def record_cache_events(
        self, events: messages.CacheEvents, now_s: float
    ) -> None:
        """Take cache events; a gap makes the index of that endpoint void."""
