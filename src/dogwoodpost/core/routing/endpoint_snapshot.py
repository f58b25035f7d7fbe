"""Snapshot of one endpoint, as the router of this process knows it."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids


class EndpointSnapshot(msgspec.Struct, frozen=True):
    """Availability, slots and estimated load of an endpoint.

    :param in_use: ready, not draining, and neither ejected nor on probation.
    :param is_ready: ready and not draining.
    """

    endpoint_id: ids.EndpointId
    availability_zone: ids.AvailabilityZone
    is_ready: bool
    in_use: bool
    slot_count: int
    load_count: int
