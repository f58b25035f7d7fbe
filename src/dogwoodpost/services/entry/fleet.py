"""What an entry knows of all endpoints together."""

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
    """Reads the agent directory by service."""

    def __init__(
        self, directory: AgentDirectory, configuration: ConfigurationSource
    ) -> None:
        self._directory = directory
        self._configuration = configuration

    def endpoints(self, service: ids.ServiceName) -> Iterator[Endpoint]:
        """Yield the known endpoints of a service."""
        for agent in self._directory.agents():
            for endpoint in agent.endpoints.values():
                if endpoint.service == service:
                    yield endpoint

    def newest_version(self, service: ids.ServiceName) -> ids.WeightVersion:
        """Return the newest weight version in use, 0 if none is known."""
        versions = [
            endpoint.weight_version
            for endpoint in self.endpoints(service)
            if endpoint.weight_version is not None
        ]
        return max(versions, default=ids.WeightVersion(0))

    def sample_capacity(self) -> int:
        """Return how many samples all ready engines may run at once."""
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
