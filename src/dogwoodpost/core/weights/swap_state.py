"""State of the weight swap of one endpoint."""

from __future__ import annotations

from enum import Enum

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.routing.endpoint import Endpoint


class SwapPhase(Enum):
    """Phase of a weight swap."""

    IDLE = 'idle'
    LOADING = 'loading'
    SWITCHING = 'switching'


class SwapState(msgspec.Struct, kw_only=True):
    """Weight versions of one endpoint and the retry state of its swap.

    :param loaded_version: version loaded beside the serving one, not yet
        switched to.
    :param failed_version: version whose swap failed last. While it is the
        target version, the endpoint is out of rotation.
    :param failure_count: failures since the last success or new target.
    :param retry_at_s: time before which no order is sent.
    :param switched_at_s: time of the last switch.
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
