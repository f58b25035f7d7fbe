"""An endpoint that can take another attempt."""

from __future__ import annotations

import msgspec

from dogwoodpost.core.routing.endpoint import Endpoint


class AvailableEndpoint(msgspec.Struct, frozen=True):
    """An endpoint and the estimated number of requests at it."""

    endpoint: Endpoint
    load_count: int
