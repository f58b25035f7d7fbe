"""Retries store calls until their result is known."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from dogwoodpost.core import ids
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable

    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock

_Result = TypeVar('_Result')

RETRY_BASE_S = 0.2
RETRY_CAP_S = 5.0


class StoreRetrier:
    """Retries with full jitter and no limit; callers set a timeout."""

    def __init__(
        self, clock: Clock, rng: random.Random, metrics: Metrics
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._metrics = metrics

    def new_operation_id(self) -> ids.OperationId:
        """Return an id to use for all attempts of one call."""
        return ids.OperationId(f'rollouts-{self._rng.getrandbits(128):032x}')

    async def run(
        self, operation: str, call: Callable[[], Awaitable[_Result]]
    ) -> _Result:
        """Retry a call while the store is down or its response is lost."""
        attempt = 0
        while True:
            try:
                result = await call()
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                name = type(error).__name__
                self._metrics.store_calls.labels(operation, name).inc()
            else:
                self._metrics.store_calls.labels(operation, 'ok').inc()
                return result
            limit_s = min(RETRY_CAP_S, RETRY_BASE_S * 2**attempt)
            attempt = min(attempt + 1, 16)
            await self._clock.sleep(self._rng.uniform(0.0, limit_s))
