"""Results that were read or written here; they never change."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches import ItemResult

_MAX_BYTES = 8 * 1024 * 1024
_MAX_PAGE_BYTES = 700_000
# Ids, versions and score beside the text.
_RESULT_OVERHEAD_BYTES = 300


class ResultCache:
    """Bounded memory of results by job and position."""

    def __init__(self, max_bytes: int = _MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._results: OrderedDict[tuple[ids.JobId, int], ItemResult]
        self._results = OrderedDict()
        self._size_bytes = 0

    def add(
        self, job_id: ids.JobId, first: int, results: Sequence[ItemResult]
    ) -> None:
        """Remember results from a position on."""
        for position, result in enumerate(results, first):
            key = (job_id, position)
            if key not in self._results:
                self._results[key] = result
                self._size_bytes += size_bytes(result)
        while self._size_bytes > self._max_bytes:
            _, dropped = self._results.popitem(last=False)
            self._size_bytes -= size_bytes(dropped)

    def page(self, job_id: ids.JobId, first: int) -> list[ItemResult]:
        """Return known results without a gap, up to the size of a page."""
        found: list[ItemResult] = []
        total_bytes = 0
        position = first
        while (result := self._results.get((job_id, position))) is not None:
            total_bytes += size_bytes(result)
            if found and total_bytes > _MAX_PAGE_BYTES:
                break
            found.append(result)
            position += 1
        return found


def size_bytes(result: ItemResult) -> int:
    """Return the approximate size of a result."""
    return len(result.text) + _RESULT_OVERHEAD_BYTES
