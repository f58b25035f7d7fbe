"""How fast each endpoint generates."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids

_SMOOTHING = 0.3
_MIN_TOKENS = 8


class EndpointPace:
    """Moving average of tokens per second and sample, by endpoint."""

    def __init__(
        self, *, slow_ratio: float = 0.6, max_slow_share: float = 0.34
    ) -> None:
        self._slow_ratio = slow_ratio
        self._max_slow_share = max_slow_share
        self._rates: dict[ids.EndpointId, float] = {}

    def record(
        self,
        endpoint_id: ids.EndpointId,
        token_count: int,
        duration_s: float,
    ) -> None:
        """Take the tokens of one dispatch and how long it took."""
        if token_count < _MIN_TOKENS or duration_s <= 0.0:
            return
        rate = token_count / duration_s
        old = self._rates.get(endpoint_id, rate)
        self._rates[endpoint_id] = old + _SMOOTHING * (rate - old)

    def forget(self, endpoint_id: ids.EndpointId) -> None:
        """Drop what is known of an endpoint."""
        self._rates.pop(endpoint_id, None)

    def typical_rate(self, default: float) -> float:
        """Return the median rate in tokens per second."""
        if not self._rates:
            return default
        return statistics.median(self._rates.values())

    def slow_endpoints(self) -> tuple[ids.EndpointId, ...]:
        """Return the slowest endpoints, at most a share of all."""
        if len(self._rates) < 2:
            return ()
        limit = self._slow_ratio * self.typical_rate(0.0)
        slow = [key for key, rate in self._rates.items() if rate < limit]
        slow.sort(key=lambda key: self._rates[key])
        return tuple(slow[: int(len(self._rates) * self._max_slow_share)])
