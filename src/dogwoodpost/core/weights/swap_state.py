"""Weights of one endpoint."""

from __future__ import annotations

from enum import Enum

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.routing.endpoint import Endpoint


class SwapPhase(Enum):
    """What an endpoint is doing about its weights."""

    IDLE = 'idle'
    LOADING = 'loading'
    SWITCHING = 'switching'


class SwapState(msgspec.Struct, kw_only=True):
    """Versions of one endpoint, and when to try again.

    ``failed_version`` is the version whose swap failed last; the endpoint is
    out of rotation for it until a swap succeeds.
    """

    endpoint: Endpoint
    phase: SwapPhase = SwapPhase.IDLE
    serving_version: ids.WeightVersion | None = None
    loaded_version: ids.WeightVersion | None = None
    failed_version: ids.WeightVersion | None = None
    failure_count: int = 0
    retry_at_s: float = 0.0
    switched_at_s: float = float('-inf')

    def holds(self, version: ids.WeightVersion) -> bool:
        """Return whether the endpoint's host has a version in memory."""
        return version in (self.serving_version, self.loaded_version)
