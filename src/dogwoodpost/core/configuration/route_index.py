"""Finds routes by virtual host and path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core.configuration.model import Route


class RouteIndex:
    """Index of one revision's routes; the longest path prefix wins."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, raw_path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None.

        :param host: host name with or without a port.
        :param raw_path: path as received, with or without a query string.
        """
        path = raw_path.partition('?')[0]
        name = host.partition(':')[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
