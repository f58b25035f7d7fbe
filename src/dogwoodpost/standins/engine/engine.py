"""One stand-in engine and the loop that generates its tokens."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from dogwoodpost.standins.engine.batch import Batch
from dogwoodpost.standins.engine.engine_refusal import EngineRefusal
from dogwoodpost.standins.engine.engine_state import EngineState
from dogwoodpost.standins.engine.faults import EngineFaults
from dogwoodpost.standins.engine.generation import Generation
from dogwoodpost.standins.engine.kv_store import KvExport
from dogwoodpost.standins.engine.kv_store import KvStore
from dogwoodpost.standins.engine.kv_store import make_kv_export
from dogwoodpost.standins.engine.prefix_cache import PrefixCache
from dogwoodpost.standins.engine.request_counters import CounterValues

if TYPE_CHECKING:
    from dogwoodpost.standins.engine.completion_request import (
        CompletionRequest,
    )
    from dogwoodpost.standins.engine.settings import EngineSettings

CANCELLED = 'cancelled'
CRASHED = 'crashed'
DEADLINE_PASSED = 'deadline_passed'


class Engine:
    """Generates completions and carries out orders."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.faults = EngineFaults()
        self.counters = CounterValues()
        self.state = EngineState(settings)
        self.cache = PrefixCache(
            settings.cache_block_count,
            settings.max_cache_event_count,
            self.faults,
            # A restarted process starts above its earlier sequence numbers,
            # so that its readers request a snapshot.
            first_sequence=time.time_ns() // 1000,
        )
        self.batch = Batch(settings, self.cache)
        self.kv_store = KvStore(settings.retained_kv_count)
        self.crash_count = 0
        # Cleared while a hang fault forbids sending.
        self.responsive = asyncio.Event()
        self.responsive.set()
        self._has_work = asyncio.Event()

    def start(self, request: CompletionRequest) -> Generation:
        """Add a request to the batch.

        :raises EngineRefusal: the model is not loaded, or the weight version
            is older than the request allows.
        """
        self.state.check_model(request.model)
        min_version = request.min_weight_version
        if min_version is not None and self.state.weight_version < min_version:
            # 503, so that the caller may try an engine that has switched.
            raise EngineRefusal(
                503,
                'weight_version_too_old',
                f'version {self.state.weight_version} is in use',
            )
        max_tokens = request.max_tokens or self.settings.default_max_tokens
        generation = Generation(request, max_tokens)
        self.counters.started_count += 1
        self.counters.executions[request.request_id] += 1
        self.batch.add(generation)
        self._has_work.set()
        return generation

    def finish(self, generation: Generation) -> None:
        """Remove a request and keep its KV cache; cancel it if unfinished."""
        generation.fail(CANCELLED)
        self.batch.remove_finished()
        if generation.finish_reason is not None:
            self.counters.completed_count += 1
        elif generation.failure == CANCELLED:
            self.counters.cancelled_count += 1
        self.kv_store.add(
            make_kv_export(generation, self.state.weight_version)
        )

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return whether it was running or waiting."""
        generations = self._find_generations(request_id)
        for generation in generations:
            generation.fail(CANCELLED)
        self.batch.remove_finished()
        return bool(generations)

    def export_kv(self, request_id: str) -> KvExport | None:
        """Return the KV cache of a running or a recent request."""
        for generation in self._find_generations(request_id):
            return make_kv_export(generation, self.state.weight_version)
        return self.kv_store.get(request_id)

    def import_kv(self, export: KvExport) -> None:
        """Store the blocks that another engine exported.

        :raises EngineRefusal: another weight version computed them.
        """
        if export.weight_version != self.state.weight_version:
            raise EngineRefusal(
                409,
                'other_weight_version',
                f'version {self.state.weight_version} is in use',
            )
        self.cache.store(export.hashes)
        self.kv_store.add(export)

    def switch_weights(self, version: int) -> None:
        """Use a loaded weight version and drop the KV blocks of the old one.

        :raises EngineRefusal: the version is not loaded.
        """
        if self.state.switch(version):
            self.batch.weight_version = version
            self.cache.clear()
            self.kv_store.clear()

    def set_faults(self, faults: EngineFaults) -> None:
        """Replace all faults; a new ``crashed`` simulates a crash."""
        if faults.crashed and not self.faults.crashed:
            self._crash()
        self.faults = faults
        self.cache.faults = faults
        if faults.hang and not faults.crashed:
            self.responsive.clear()
        else:
            self.responsive.set()

    async def run(self) -> None:
        """Generate tokens until cancelled."""
        last_s = time.monotonic()
        while True:
            if self.batch.running_count == 0:
                self._has_work.clear()
                await self._has_work.wait()
                last_s = time.monotonic()
            await asyncio.sleep(self.settings.tick_s)
            now_s = time.monotonic()
            if not self.faults.hang:
                rate = self.settings.token_rate_per_s / self.faults.slow_factor
                self.batch.advance((now_s - last_s) * rate)
            last_s = now_s

    def _crash(self) -> None:
        """Drop the state that a restart of the engine process loses.

        The fencing number is kept, because engines that check it must refuse
        lower numbers even after a crash.
        """
        self.crash_count += 1
        for generation in self.batch:
            generation.fail(CRASHED)
        self.batch.remove_finished()
        self.cache.clear()
        self.kv_store.clear()
        fencing_number = self.state.highest_fencing_number
        self.state = EngineState(self.settings)
        self.state.highest_fencing_number = fencing_number
        self.batch.role = self.state.role
        self.batch.weight_version = self.state.weight_version

    def _find_generations(self, request_id: str) -> list[Generation]:
        return [
            generation
            for generation in self.batch
            if generation.request.request_id == request_id
        ]
