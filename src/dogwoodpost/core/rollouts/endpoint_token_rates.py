"""Token rates of endpoints."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids

_SMOOTHING_FACTOR = 0.3
_MIN_TOKEN_COUNT = 8


class EndpointTokenRates:
    """Moving average of the tokens per second of a sample, by endpoint."""

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
        """Record the token count and the duration of one dispatch."""
        if token_count < _MIN_TOKEN_COUNT or duration_s <= 0.0:
            return
        rate = token_count / duration_s
        previous = self._rates.get(endpoint_id, rate)
        self._rates[endpoint_id] = previous + _SMOOTHING_FACTOR * (
            rate - previous
        )

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Remove the rate of an endpoint."""
        self._rates.pop(endpoint_id, None)

    def median_rate(self, default: float) -> float:
        """Return the median of all endpoints' rates, in tokens per second.

        :param default: returned while no rate is recorded.
        """
        if not self._rates:
            return default
        return statistics.median(self._rates.values())

    def slow_endpoints(self) -> tuple[ids.EndpointId, ...]:
        """Return the endpoints far below the median rate, slowest first.

        At most ``max_slow_share`` of all endpoints are returned.
        """
        if len(self._rates) < 2:
            return ()
        limit = self._slow_ratio * self.median_rate(0.0)
        slow = [key for key, rate in self._rates.items() if rate < limit]
        slow.sort(key=lambda key: self._rates[key])
        return tuple(slow[: int(len(self._rates) * self._max_slow_share)])
