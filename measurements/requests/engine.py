"""Simulated engine, which also serves as a plain endpoint."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.routing.prefix import BLOCK_TOKENS

if TYPE_CHECKING:
    from measurements.requests.event_loop import EventLoop

# Rate of an engine, shared by its running requests.
TOKENS_PER_S = 1_200.0
# Highest rate of a single request.
MAX_TOKENS_PER_S_PER_REQUEST = 75.0
MAX_BATCH_COUNT = 32
CACHE_BLOCKS = 512
# Cost of prefilling an uncached prompt token, in generated tokens.
PREFILL_COST = 0.05


class Work(msgspec.Struct, kw_only=True, eq=False):
    """One attempt at an endpoint."""

    prefix: tuple[int, ...]
    prompt_tokens: int
    completion_tokens: int
    priority: int
    on_start: Callable[[], None]
    on_end: Callable[[bool, int], None]
    cancelled: bool = False
    running: bool = False
    finish_progress: float = 0.0
    cached_tokens: int = 0


class Engine:
    """Continuous batching with a shared token rate and a prefix cache.

    All running requests progress at the same rate, so one shared progress
    counter, in generated tokens, determines when each request finishes.
    """

    def __init__(
        self,
        name: str,
        loop: EventLoop,
        *,
        rate: float = TOKENS_PER_S,
        request_rate: float = MAX_TOKENS_PER_S_PER_REQUEST,
        batch_count: int = MAX_BATCH_COUNT,
        cache_blocks: int = CACHE_BLOCKS,
    ) -> None:
        self.name = name
        self.speed = 1.0
        self.up = True
        self.stored: list[int] = []
        self.evicted: list[int] = []
        self.cleared = False
        self.busy_work = 0.0
        self._loop = loop
        self._rate = rate
        self._request_rate = request_rate
        self._batch_count = batch_count
        self._cache_blocks = cache_blocks
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._waiting: deque[Work] = deque()
        self._running: list[tuple[float, int, Work]] = []
        self._running_count = 0
        self._sequence = itertools.count()
        self._progress = 0.0
        self._updated_s = 0.0
        self._timer_version = 0

    @property
    def running_count(self) -> int:
        """Return the size of the batch."""
        return self._running_count

    @property
    def waiting_count(self) -> int:
        """Return the number of requests that wait for the batch."""
        return sum(not work.cancelled for work in self._waiting)

    def submit(self, work: Work) -> None:
        """Queue a request, or fail it if the engine is down."""
        if not self.up:
            work.on_end(False, 0)
            return
        self._waiting.append(work)
        self._advance()
        self._fill()

    def cancel(self, work: Work) -> None:
        """Cancel a waiting or running request."""
        if work.cancelled:
            return
        work.cancelled = True
        if work.running:
            self._advance()
            self._running_count -= 1
            work.running = False
            self._fill()

    def crash(self) -> None:
        """Fail all requests and clear the cache."""
        self._advance()
        self.up = False
        works = [work for _, _, work in self._running] + list(self._waiting)
        self._running = []
        self._running_count = 0
        self._waiting.clear()
        self._cache.clear()
        self.stored, self.evicted, self.cleared = [], [], True
        self._timer_version += 1
        for work in works:
            if not work.cancelled:
                work.cancelled = True
                work.running = False
                work.on_end(False, 0)

    def set_speed(self, speed: float) -> None:
        """Change the speed of all work."""
        self._advance()
        self.speed = speed
        self._schedule()

    def _request_speed(self) -> float:
        shared = self._rate / max(1, self._running_count)
        return min(self._request_rate, shared) * self.speed

    def _advance(self) -> None:
        elapsed_s = self._loop.now_s - self._updated_s
        step = elapsed_s * self._request_speed()
        self._progress += step
        self.busy_work += step * self._running_count
        self._updated_s = self._loop.now_s

    def _fill(self) -> None:
        while self._waiting and self._running_count < self._batch_count:
            work = self._waiting.popleft()
            if work.cancelled:
                continue
            work.cached_tokens = self._use_cache(work)
            uncached_tokens = work.prompt_tokens - work.cached_tokens
            work_tokens = (
                work.completion_tokens + uncached_tokens * PREFILL_COST
            )
            work.finish_progress = self._progress + work_tokens
            work.running = True
            self._running_count += 1
            entry = (work.finish_progress, next(self._sequence), work)
            heapq.heappush(self._running, entry)
            work.on_start()
        self._schedule()

    def _schedule(self) -> None:
        self._timer_version += 1
        while self._running and not self._running[0][2].running:
            heapq.heappop(self._running)
        if not self._running:
            return
        version = self._timer_version
        left = self._running[0][0] - self._progress
        delay_s = max(left, 0.0) / self._request_speed()
        self._loop.after(delay_s, lambda: self._on_timer(version))

    def _on_timer(self, version: int) -> None:
        if version != self._timer_version:
            return
        self._advance()
        # The progress is not compared with that of the finish, because the
        # timer may fire early by a rounding error.
        work = heapq.heappop(self._running)[2]
        work.running = False
        work.cancelled = True
        self._running_count -= 1
        self._fill()
        work.on_end(True, work.cached_tokens)

    def _use_cache(self, work: Work) -> int:
        hit_count = 0
        for block in work.prefix:
            if block not in self._cache:
                break
            hit_count += 1
        for block in reversed(work.prefix):
            if block in self._cache:
                self._cache.move_to_end(block)
            else:
                self._cache[block] = None
                self.stored.append(block)
        while len(self._cache) > self._cache_blocks:
            block, _ = self._cache.popitem(last=False)
            self.evicted.append(block)
        return hit_count * BLOCK_TOKENS
