"""Finds routes by virtual host and path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core.configuration.model import Route


class RouteIndex:
    """Routes by host, the longest path prefix first; built per revision."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for members in self._by_host.values():
            members.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, raw_path: str) -> Route | None:
        """Return the route with the longest matching prefix.

        :param host: with or without a port.
        :param raw_path: as received, with or without the query.
        """
        path = raw_path.partition('?')[0]
        name = host.partition(':')[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
