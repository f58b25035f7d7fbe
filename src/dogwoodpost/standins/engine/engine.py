"""The model engine stand-in without its HTTP interface."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from dogwoodpost.core.routing import prefix_hashes
from dogwoodpost.core.routing import TYPICAL_BYTES_PER_TOKEN
from dogwoodpost.core.routing.prefix import BLOCK_TOKENS
from dogwoodpost.standins.engine.block_cache import BlockCache
from dogwoodpost.standins.engine.generation import Generation
from dogwoodpost.standins.engine.settings import EngineFaults

if TYPE_CHECKING:
    from dogwoodpost.standins.engine.settings import EngineSettings


_HANG_POLL_S = 0.02


class OrderRefusedError(Exception):
    """The engine does not carry out an order."""


class Engine:
    """Continuous batching at a token rate shared by the running requests."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.faults = EngineFaults()
        self.cache = BlockCache(settings.cache_block_count)
        self.weight_version = settings.weight_version
        self.loaded_versions = [settings.weight_version]
        self.loaded_names: dict[str, list[str]] = {'adapter': [], 'model': []}
        self.role = 'mixed'
        self.highest_fencing_number = 0
        self.key_violation_count = 0
        self.executions: dict[str, int] = {}
        self._running: list[Generation] = []
        self._waiting: list[Generation] = []
        self._arrival = 0
        self._work = asyncio.Event()

    def submit(
        self,
        request_id: str,
        prompt: bytes,
        *,
        max_tokens: int,
        priority: int,
        resumed_tokens: int,
    ) -> Generation:
        """Queue a request."""
        self._arrival += 1
        self.executions[request_id] = self.executions.get(request_id, 0) + 1
        generation = Generation(
            request_id,
            prompt,
            prefix_hashes(prompt),
            max_tokens=max_tokens,
            priority=priority,
            first_index=resumed_tokens,
            arrival=self._arrival,
        )
        self._waiting.append(generation)
        self._waiting.sort(key=lambda waiting: waiting.order)
        self._work.set()
        return generation

    def cancel(self, request_id: str) -> None:
        """End a request at once."""
        for generation in [*self._running, *self._waiting]:
            if generation.request_id == request_id:
                self.drop(generation)

    def drop(self, generation: Generation) -> None:
        """Take a request out of the batch or the queue."""
        generation.finish('cancelled')
        for group in (self._running, self._waiting):
            if generation in group:
                group.remove(generation)

    def find(self, request_id: str) -> Generation | None:
        """Return a running request."""
        for generation in self._running:
            if generation.request_id == request_id:
                return generation
        return None

    def load(self) -> dict[str, Any]:
        """Return the load report."""
        return {
            'running_count': len(self._running),
            'waiting_count': len(self._waiting),
            'running_tokens': sum(
                generation.prompt_tokens + generation.made_count
                for generation in self._running
            ),
            'age_ms': self.settings.load_age_ms,
            'weight_version': self.weight_version,
        }

    def check_fencing(self, number: int) -> None:
        """Refuse an outdated order, if this engine checks the numbers.

        :raises OrderRefusedError: the number is lower than an earlier one.
        """
        if self.settings.checks_fencing:
            if number < self.highest_fencing_number:
                raise OrderRefusedError('outdated fencing number')
        self.highest_fencing_number = max(number, self.highest_fencing_number)

    async def load_weights(self, version: int) -> None:
        """Load a version beside the one in use.

        :raises OrderRefusedError: the swap is refused.
        """
        if self.faults.refuse_swap:
            raise OrderRefusedError('the swap failed')
        await asyncio.sleep(self.settings.swap_s)
        if version in self.loaded_versions:
            return
        for old in list(self.loaded_versions):
            full = (
                len(self.loaded_versions) >= self.settings.max_loaded_versions
            )
            if full and old != self.weight_version:
                self.loaded_versions.remove(old)
        self.loaded_versions.append(version)

    def switch_weights(self, version: int) -> None:
        """Use a loaded version from the next token on.

        :raises OrderRefusedError: the version is not loaded.
        """
        if self.faults.refuse_swap or version not in self.loaded_versions:
            raise OrderRefusedError(f'version {version} is not loaded')
        if version != self.weight_version:
            self.weight_version = version
            self.cache.clear()

    async def wait_while_hanging(self) -> None:
        """Wait until the engine answers again."""
        while True:
            if not self.faults.hanging:
                return
            await asyncio.sleep(_HANG_POLL_S)

    async def run(self) -> None:
        """Advance the batch until cancelled."""
        while True:
            await self._work.wait()
            if not self._running and not self._waiting:
                self._work.clear()
                continue
            await asyncio.sleep(self.settings.tick_s)
            self.cache.drop_events = self.faults.drop_events
            self._admit()
            self._advance()

    def _admit(self) -> None:
        limit = self.settings.max_running_count
        while self._waiting and len(self._running) < limit:
            generation = self._waiting.pop(0)
            prompt_tokens = -(
                -len(generation.prompt) // TYPICAL_BYTES_PER_TOKEN
            )
            matched = self.cache.match(generation.hashes)
            generation.prompt_tokens = prompt_tokens
            generation.cached_tokens = matched * BLOCK_TOKENS
            generation.prefill_tokens = float(
                max(prompt_tokens - generation.cached_tokens, 0)
            )
            self.cache.store(generation.hashes)
            self._running.append(generation)

    def _advance(self) -> None:
        if not self._running:
            return
        slow = self.faults.slow_factor
        budget = self.settings.tick_s / len(self._running) / slow
        for generation in list(self._running):
            share_s = budget
            if generation.prefill_tokens > 0:
                rate = self.settings.prefill_rate_per_s
                used_s = min(share_s, generation.prefill_tokens / rate)
                generation.prefill_tokens -= used_s * rate
                share_s -= used_s
            tokens = share_s * self.settings.token_rate_per_s
            generation.advance(tokens, self.weight_version)
            if generation.finish_reason is not None:
                self._running.remove(generation)
