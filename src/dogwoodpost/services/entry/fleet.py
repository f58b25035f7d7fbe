"""Queries over all endpoints that an entry knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core.configuration import ServiceKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodpost.core.routing.endpoint import Endpoint
    from dogwoodpost.ports.configuration_source import ConfigurationSource
    from dogwoodpost.services.entry.agent_directory import AgentDirectory


class Fleet:
    """Looks up endpoints of the agent directory by service."""

    def __init__(
        self, directory: AgentDirectory, configuration: ConfigurationSource
    ) -> None:
        self._directory = directory
        self._configuration = configuration

    def endpoints(self, service: ids.ServiceName) -> Iterator[Endpoint]:
        """Yield the endpoints of a service that agents have reported."""
        for agent in self._directory.agents():
            for endpoint in agent.endpoints.values():
                if endpoint.service == service:
                    yield endpoint

    def newest_version(self, service: ids.ServiceName) -> ids.WeightVersion:
        """Return the newest weight version that an endpoint has loaded.

        The version is 0 if no endpoint has reported one.
        """
        versions = [
            endpoint.weight_version
            for endpoint in self.endpoints(service)
            if endpoint.weight_version is not None
        ]
        return max(versions, default=ids.WeightVersion(0))

    def sample_capacity(self) -> int:
        """Return how many samples the ready engines can run concurrently."""
        capacity = 0
        for service in self._configuration.current().services.values():
            if service.kind is not ServiceKind.ENGINE:
                continue
            ready_count = sum(
                endpoint.ready and not endpoint.draining
                for endpoint in self.endpoints(service.name)
            )
            capacity += ready_count * service.endpoint_concurrency
        return capacity
