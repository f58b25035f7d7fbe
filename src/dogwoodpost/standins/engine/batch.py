"""Continuous batching with a token rate that all requests share."""

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

    Waiting requests are admitted by priority, then in order of arrival, and
    are removed once finished. Running requests are scheduled round-robin,
    one token of work at a time.
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
        """Return the number of requests that wait for admission."""
        return len(self._waiting)

    @property
    def running_tokens(self) -> int:
        """Return the number of prompt and generated tokens in the batch."""
        return sum(
            item.prompt_tokens + len(item.tokens) for item in self._running
        )

    def __iter__(self) -> Iterator[Generation]:
        yield from self._running
        yield from (item for _, _, item in self._waiting)

    def add(self, generation: Generation) -> None:
        """Queue a request and admit it if there is capacity."""
        entry = (
            -generation.request.priority,
            self._arrival_count,
            generation,
        )
        self._arrival_count += 1
        heapq.heappush(self._waiting, entry)
        self._admit()

    def remove_finished(self) -> None:
        """Remove requests that ended otherwise, such as cancelled ones."""
        waiting = [
            entry for entry in self._waiting if not entry[2].is_finished
        ]
        if len(waiting) != len(self._waiting):
            heapq.heapify(waiting)
            self._waiting = waiting
        self._running = deque(
            item for item in self._running if not item.is_finished
        )
        self._admit()

    def advance(self, work_tokens: float) -> None:
        """Spend a budget of token work on the running requests."""
        self.remove_finished()
        self._budget += work_tokens
        while self._running and self._budget >= 1.0:
            self._budget -= 1.0
            generation = self._running.popleft()
            self._process_token(generation)
            if generation.is_finished:
                self._admit()
            else:
                self._running.append(generation)
        if not self._running:
            # Capacity that was idle must not be used later.
            self._budget = 0.0

    def _process_token(self, generation: Generation) -> None:
        generation.computing_versions.add(self.weight_version)
        if generation.remaining_prefill_tokens > 0:
            generation.remaining_prefill_tokens -= (
                self._prefill_tokens_per_unit()
            )
            if generation.remaining_prefill_tokens > 0:
                return
            self._cache_blocks(generation, generation.hashes)
            if self.role == 'prefill':
                generation.finish_reason = 'prefilled'
        else:
            generation.generate_token(
                self.weight_version, self._settings.mean_completion_tokens
            )
            if generation.is_finished:
                self._cache_blocks(generation, generation.sequence_hashes())
        generation.changed.set()

    def _cache_blocks(
        self, generation: Generation, hashes: Sequence[int]
    ) -> None:
        """Cache blocks unless other weight versions computed part of them."""
        if generation.computing_versions == {self.weight_version}:
            self._cache.store(hashes)

    def _prefill_tokens_per_unit(self) -> int:
        cost = self._settings.prefill_cost
        return max(1, int(1 / cost)) if cost > 0 else 1_000_000

    def _admit(self) -> None:
        limit = self._settings.max_running_count
        while self._waiting and len(self._running) < limit:
            generation = heapq.heappop(self._waiting)[2]
            generation.apply_cached_blocks(
                self._cache.matched_count(generation.hashes), BLOCK_BYTES
            )
            if generation.cached_tokens:
                generation.computing_versions.add(self.weight_version)
            self._running.append(generation)
