"""Samples of a step that wait to be dispatched."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core.rollouts.group_lengths import GroupLengths
    from dogwoodpost.core.rollouts.sample import Sample


class WaitingSamples:
    """Queues of new samples by group, resumed samples and delayed samples.

    With ``long_first``, the sample with the longest expected remainder is
    first; otherwise resumed samples precede new ones in order of groups.
    """

    def __init__(
        self, group_count: int, lengths: GroupLengths, *, long_first: bool
    ) -> None:
        self._lengths = lengths
        self._long_first = long_first
        self._new: list[list[Sample]] = [[] for _ in range(group_count)]
        self._open_groups = set(range(group_count))
        self._resumed: list[tuple[float, int, Sample]] = []
        self._delayed: list[tuple[float, int, Sample]] = []
        self._push_number = itertools.count()

    def push(self, sample: Sample) -> None:
        """Add a sample that may be dispatched at once."""
        if not sample.token_count:
            self._new[sample.group].append(sample)
            self._open_groups.add(sample.group)
            return
        rank = 0.0
        if self._long_first:
            rank = -self._lengths.remaining_tokens(sample)
        heapq.heappush(self._resumed, (rank, next(self._push_number), sample))

    def push_delayed(self, sample: Sample, ready_s: float) -> None:
        """Add a sample that may be dispatched from ``ready_s`` on."""
        item = (ready_s, next(self._push_number), sample)
        heapq.heappush(self._delayed, item)

    def peek(self, now_s: float) -> Sample | None:
        """Return the sample to dispatch next, or None."""
        while self._delayed and self._delayed[0][0] <= now_s:
            self.push(heapq.heappop(self._delayed)[2])
        resumed = self._resumed[0][2] if self._resumed else None
        if not self._open_groups:
            return resumed
        if not self._long_first:
            return resumed or self._new[min(self._open_groups)][0]
        group = max(self._open_groups, key=self._lengths.rank)
        if resumed is not None:
            remaining = self._lengths.remaining_tokens(resumed)
            if remaining >= self._lengths.expected_tokens(group):
                return resumed
        return self._new[group][0]

    def pop(self, sample: Sample) -> None:
        """Remove the sample that :meth:`peek` returned."""
        if self._resumed and self._resumed[0][2] is sample:
            heapq.heappop(self._resumed)
            return
        group = sample.group
        self._new[group].pop(0)
        if not self._new[group]:
            self._open_groups.remove(group)
