"""Table store that retries failed commits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.table_store import TableStore

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.table_store import Check
    from dogwoodpost.ports.table_store import Row
    from dogwoodpost.ports.table_store import Write

FIRST_DELAY_S = 0.05
MAX_DELAY_S = 1.0
DEFAULT_LIMIT_S = 4.0


class RetryingTableStore(TableStore):
    """Retries commits with exponential backoff and full jitter.

    A commit is retried if the store is unavailable or its outcome is unknown;
    all attempts have the same operation id. Reads are not retried, because
    their callers poll.

    :param limit_s: seconds after the first attempt within which a retry may
        start.
    """

    def __init__(
        self,
        store: TableStore,
        clock: Clock,
        rng: random.Random,
        *,
        limit_s: float = DEFAULT_LIMIT_S,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._limit_s = limit_s

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist, read at one point in time."""
        return await self._store.read(keys)

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """Return rows with a prefix that follow ``after``, in key order."""
        return await self._store.scan(prefix, after=after, limit=limit)

    async def commit(
        self,
        operation_id: ids.OperationId,
        checks: Sequence[Check],
        writes: Sequence[Write],
    ) -> dict[str, int]:
        """Apply all writes if all checks hold; return the new versions."""
        last_start_s = self._clock.monotonic_s() + self._limit_s
        ceiling_s = FIRST_DELAY_S
        unknown: StoreOutcomeUnknownError | None = None
        while True:
            try:
                return await self._store.commit(operation_id, checks, writes)
            except StoreOutcomeUnknownError as error:
                unknown = error
                failure: Exception = error
            except StoreUnavailableError as error:
                # An earlier attempt may have been applied.
                failure = unknown or error
            delay_s = self._rng.uniform(0, ceiling_s)
            ceiling_s = min(ceiling_s * 2, MAX_DELAY_S)
            if self._clock.monotonic_s() + delay_s > last_start_s:
                raise failure
            await self._clock.sleep(delay_s)
