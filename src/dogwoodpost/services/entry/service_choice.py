"""Weighted choice among the services of a route."""

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
    """Return the service that runs a request, chosen by weight.

    The choice depends only on the request's id and the route, so it is the
    same for each call. A route without weights has one service. The result is
    None if the chosen service is not configured.
    """
    name = route.service
    total_weight = sum(weighted.weight for weighted in route.weighted_services)
    if total_weight > 0:
        point = xxhash.xxh3_64_intdigest(request_id) % total_weight
        for weighted in route.weighted_services:
            name = weighted.service
            point -= weighted.weight
            if point < 0:
                break
    return configuration.services.get(name)
