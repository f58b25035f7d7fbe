"""Continuous batching at a shared token rate."""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING

from dogwoodpost.core.routing import BLOCK_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from dogwoodpost.standins.engine.generation import Generation
    from dogwoodpost.standins.engine.prefix_cache import PrefixCache
    from dogwoodpost.standins.engine.settings import EngineSettings


class Batch:
    """Running and waiting requests.

    Requests enter by priority, then in order of arrival, and leave when they
    are over. In each round every running request gets the work of one token.
    """

    def __init__(self, settings: EngineSettings, cache: PrefixCache) -> None:
        self._settings = settings
        self._cache = cache
        self._running: deque[Generation] = deque()
        self._waiting: list[tuple[int, int, Generation]] = []
        self._arrival_count = 0
        self._budget = 0.0
        self.role = settings.role
        self.weight_version = settings.weight_version

    @property
    def running_count(self) -> int:
        """Return the number of requests in the batch."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Return the number of requests that wait for a place."""
        return len(self._waiting)

    @property
    def running_tokens(self) -> int:
        """Return the tokens that the batch holds in memory."""
        return sum(
            item.prompt_tokens + len(item.tokens) for item in self._running
        )

    def __iter__(self) -> Iterator[Generation]:
        yield from self._running
        yield from (item for _, _, item in self._waiting)

    def add(self, generation: Generation) -> None:
        """Enter a request."""
        entry = (
            -generation.request.priority,
            self._arrival_count,
            generation,
        )
        self._arrival_count += 1
        heapq.heappush(self._waiting, entry)
        self._admit()

    def remove_over(self) -> None:
        """Drop requests that were ended from outside."""
        waiting = [entry for entry in self._waiting if not entry[2].is_over]
        if len(waiting) != len(self._waiting):
            heapq.heapify(waiting)
            self._waiting = waiting
        self._running = deque(
            item for item in self._running if not item.is_over
        )
        self._admit()

    def advance(self, work_tokens: float) -> None:
        """Do the work of a number of tokens."""
        self.remove_over()
        self._budget += work_tokens
        while self._running and self._budget >= 1.0:
            self._budget -= 1.0
            generation = self._running.popleft()
            self._work(generation)
            if generation.is_over:
                self._admit()
            else:
                self._running.append(generation)
        if not self._running:
            # Time without work can't be made up for later.
            self._budget = 0.0

    def _work(self, generation: Generation) -> None:
        generation.computed_by.add(self.weight_version)
        if generation.prefill_left > 0:
            generation.prefill_left -= self._prefill_tokens_per_turn()
            if generation.prefill_left > 0:
                return
            self._store(generation, generation.hashes)
            if self.role == 'prefill':
                generation.finish_reason = 'prefilled'
        else:
            generation.produce(
                self.weight_version, self._settings.mean_completion_tokens
            )
            if generation.is_over:
                self._store(generation, generation.full_hashes())
        generation.changed.set()

    def _store(self, generation: Generation, hashes: Sequence[int]) -> None:
        """Cache blocks unless other weights computed a part of them."""
        if generation.computed_by == {self.weight_version}:
            self._cache.store(hashes)

    def _prefill_tokens_per_turn(self) -> int:
        cost = self._settings.prefill_cost
        return max(1, int(1 / cost)) if cost > 0 else 1_000_000

    def _admit(self) -> None:
        limit = self._settings.max_running_count
        while self._waiting and len(self._running) < limit:
            generation = heapq.heappop(self._waiting)[2]
            generation.match_cache(
                self._cache.matched_count(generation.hashes), BLOCK_BYTES
            )
            if generation.cached_tokens:
                generation.computed_by.add(self.weight_version)
            self._running.append(generation)
