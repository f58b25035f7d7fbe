"""Lookup of routes in the current configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.configuration import RouteIndex

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.allowed_regions import AllowedRegions
    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.core.configuration import Route
    from dogwoodpost.ports.configuration_source import ConfigurationSource


class RouteFinder:
    """Finds routes by host and path; rebuilds its index per revision."""

    def __init__(self, source: ConfigurationSource) -> None:
        self._source = source
        self._indexed_configuration: Configuration | None = None
        self._index = RouteIndex(())

    @property
    def configuration(self) -> Configuration:
        """Return the current configuration."""
        return self._source.current()

    def find(self, host: str, raw_path: str) -> Route | None:
        """Return the route of a host and path, None if there is none."""
        configuration = self._source.current()
        if configuration is not self._indexed_configuration:
            self._index = RouteIndex(configuration.routes.values())
            self._indexed_configuration = configuration
        return self._index.find(host, raw_path)

    def allowed_regions(
        self,
        route_name: ids.RouteName,
        client_account_id: ids.ClientAccountId | None,
    ) -> AllowedRegions:
        """Return where work of a route and an account may be served now."""
        return self._source.current().allowed_regions(
            route_name, client_account_id
        )
