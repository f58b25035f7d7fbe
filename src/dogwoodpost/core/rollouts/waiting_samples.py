"""The samples of a step that wait for a dispatch."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core.rollouts.sample import Sample


class WaitingSamples:
    """Three queues: delayed, new and resumed samples.

    New samples go before resumed ones, so that the long samples of a step
    are found early; a sample that was cut off is known to be long.
    """

    def __init__(self) -> None:
        self._new: list[tuple[float, int, Sample]] = []
        self._resumed: list[tuple[float, int, Sample]] = []
        self._delayed: list[tuple[float, int, float, Sample]] = []
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._new) + len(self._resumed) + len(self._delayed)

    def push(self, sample: Sample, rank: float) -> None:
        """Add a sample; the lowest rank goes first."""
        queue = self._resumed if sample.token_count else self._new
        heapq.heappush(queue, (rank, next(self._order), sample))

    def push_delayed(
        self, sample: Sample, rank: float, ready_s: float
    ) -> None:
        """Add a sample that is not to be dispatched before a time."""
        item = (ready_s, next(self._order), rank, sample)
        heapq.heappush(self._delayed, item)

    def next_ready_s(self) -> float | None:
        """Return when the first delayed sample is due."""
        return self._delayed[0][0] if self._delayed else None

    def pop(self, now_s: float) -> Sample | None:
        """Remove and return the sample to be dispatched next."""
        while self._delayed and self._delayed[0][0] <= now_s:
            _, _, rank, sample = heapq.heappop(self._delayed)
            self.push(sample, rank)
        for queue in (self._new, self._resumed):
            if queue:
                return heapq.heappop(queue)[2]
        return None
