"""Choice of the endpoint of a second attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core.routing import AvailableEndpoint
    from dogwoodpost.core.routing import Endpoint


def second_endpoint(
    available: Iterable[AvailableEndpoint],
    first: Endpoint,
    default_slot_count: int,
) -> Endpoint | None:
    """Return an endpoint that is unlikely to be slow for the same reason.

    Another host matters most, then another availability zone, then the same
    region; among equal endpoints the one with the lowest load is chosen.
    Endpoints without a free slot are left out; a queue at an endpoint would
    cost the time that the second attempt is to save.

    :param first: endpoint of the first attempt.
    :param default_slot_count: slots of endpoints that report no number.
    """
    candidates = []
    for candidate in available:
        endpoint = candidate.endpoint
        slot_count = endpoint.capacity_count or default_slot_count
        if candidate.load_count >= slot_count:
            continue
        same_host = bool(first.host_id) and endpoint.host_id == first.host_id
        same_zone = endpoint.availability_zone == first.availability_zone
        rank = (
            same_host,
            same_zone,
            endpoint.region != first.region,
            candidate.load_count / slot_count,
            endpoint.endpoint_id,
        )
        candidates.append((rank, endpoint))
    if not candidates:
        return None
    return min(candidates, key=lambda ranked: ranked[0])[1]
