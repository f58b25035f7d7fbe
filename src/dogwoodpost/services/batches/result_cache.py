"""Cache of the results that this process has read or written."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.batches import ItemResult
from dogwoodpost.core.memory_budget import MemoryReservation
from dogwoodpost.errors import MemoryExceededError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core.memory_budget import MemoryBudget

_MAX_BYTES = 8 * 1024 * 1024
# A response holds at most 1 MB of JSON.
_MAX_PAGE_BYTES = 700_000
# Estimate for ids, versions and score, which are stored with the text.
_RESULT_OVERHEAD_BYTES = 300


class _CachedResult(msgspec.Struct, frozen=True):
    result: ItemResult
    size_bytes: int


class ResultCache:
    """Caches immutable results by job and position, up to a total size.

    :param budget: memory for all work; cached results give way to other uses.
    """

    def __init__(
        self, budget: MemoryBudget, max_bytes: int = _MAX_BYTES
    ) -> None:
        self._max_bytes = max_bytes
        self._memory = MemoryReservation(budget)
        budget.add_reclaimer(self._drop_oldest)
        self._results: OrderedDict[tuple[ids.JobId, int], _CachedResult]
        self._results = OrderedDict()

    def add(
        self,
        job_id: ids.JobId,
        first_position: int,
        results: Sequence[ItemResult],
    ) -> None:
        """Cache consecutive results from a position on.

        The results added first are dropped if the cache is full.
        """
        for position, result in enumerate(results, first_position):
            key = (job_id, position)
            if key not in self._results:
                self._add(key, result)
        self._drop_oldest(self._memory.size_bytes - self._max_bytes)

    def _add(self, key: tuple[ids.JobId, int], result: ItemResult) -> None:
        """Add a result unless there is no memory for it."""
        cached = _CachedResult(result, _result_size_bytes(result))
        try:
            self._memory.grow(cached.size_bytes)
        except MemoryExceededError:
            return
        self._results[key] = cached

    def _drop_oldest(self, excess_bytes: int) -> None:
        """Drop the results added first until the bytes are free."""
        size_bytes = self._memory.size_bytes
        while self._results and excess_bytes > 0:
            _, dropped = self._results.popitem(last=False)
            excess_bytes -= dropped.size_bytes
            size_bytes -= dropped.size_bytes
        self._memory.resize(size_bytes)

    def page(self, job_id: ids.JobId, first_position: int) -> list[ItemResult]:
        """Return consecutive cached results, up to the size of a page."""
        page_results: list[ItemResult] = []
        page_bytes = 0
        position = first_position
        while (cached := self._results.get((job_id, position))) is not None:
            page_bytes += cached.size_bytes
            if page_results and page_bytes > _MAX_PAGE_BYTES:
                break
            page_results.append(cached.result)
            position += 1
        return page_results


def _result_size_bytes(result: ItemResult) -> int:
    """Return the approximate size of a result in JSON, in bytes."""
    return len(msgspec.json.encode(result.text)) + _RESULT_OVERHEAD_BYTES
