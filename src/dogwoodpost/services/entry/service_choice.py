"""Chooses the service that takes a request of a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.core.configuration import Route
    from dogwoodpost.core.configuration import Service


def chosen_service(
    configuration: Configuration, route: Route, request_id: ids.RequestId
) -> Service | None:
    """Return the service by weight, the same one for the same request."""
    name = route.service
    total = sum(one.weight for one in route.weighted_services)
    if total > 0:
        point = xxhash.xxh3_64_intdigest(request_id) % total
        for one in route.weighted_services:
            name = one.service
            point -= one.weight
            if point < 0:
                break
    return configuration.services.get(name)
