"""Fake engines with weight versions, crashes and slowness."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.errors import RequestError
from dogwoodpost.ports.sample_dispatcher import SampleDispatcher
from dogwoodpost.ports.sample_dispatcher import SampleRequest
from dogwoodpost.ports.sample_dispatcher import SampleResult
from dogwoodpost.ports.sample_dispatcher import TokenSegment

if TYPE_CHECKING:
    from measurements.rollouts.workload import Case
    from measurements.rollouts.workload import Workload

# An agent that has gone silent is noticed after this time.
CRASH_NOTICE_S = 3.0


class Sampler(msgspec.Struct, kw_only=True):
    """One fake engine; ``switches`` holds the times of its versions."""

    endpoint_id: ids.EndpointId
    tokens_per_s: float
    free_count: int
    switches: list[tuple[float, ids.WeightVersion]]
    crashed_at_s: float | None = None
    running: set[asyncio.Future[None]] = msgspec.field(default_factory=set)
    failed_swap_at_s: float = -1.0

    @property
    def version(self) -> ids.WeightVersion:
        """Return the version in use."""
        return self.switches[-1][1]

    def segments(
        self, begun_s: float, token_count: int
    ) -> tuple[TokenSegment, ...]:
        """Return which versions produced tokens from a time on."""
        found: list[TokenSegment] = []
        done = 0
        ends = [time for time, _ in self.switches[1:]] + [float('inf')]
        for (_, version), end_s in zip(self.switches, ends, strict=True):
            if end_s <= begun_s:
                continue
            upto = token_count
            if end_s != float('inf'):
                upto = int((end_s - begun_s) * self.tokens_per_s)
            count = min(token_count, upto) - done
            if count > 0:
                found.append(
                    TokenSegment(weight_version=version, token_count=count)
                )
                done += count
        return tuple(found)


class Truth(msgspec.Struct):
    """What really produced a sample."""

    begun_s: float
    segments: list[TokenSegment]


class FakeEngines(SampleDispatcher):
    """Places each sample at the sampler with most free places."""

    def __init__(self, workload: Workload, case: Case, seed: int) -> None:
        self.workload = workload
        self.case = case
        self.generated_tokens = 0
        self.resumed_tokens = 0
        self.truth: dict[str, Truth] = {}
        self._seed = seed
        self._rng = random.Random(seed)
        self._waiting: list[asyncio.Future[None]] = []
        slow_count = round(case.slow_share * workload.sampler_count)
        self.samplers = [
            Sampler(
                endpoint_id=ids.EndpointId(f'sampler-{number}'),
                tokens_per_s=workload.tokens_per_s
                * (case.slow_factor if number < slow_count else 1.0),
                free_count=workload.sampler_concurrency,
                switches=[(0.0, ids.WeightVersion(1))],
            )
            for number in range(workload.sampler_count)
        ]

    @property
    def live(self) -> list[Sampler]:
        """Return the samplers that have not crashed."""
        return [item for item in self.samplers if item.crashed_at_s is None]

    def capacity(self) -> int:
        """Return how many samples may run at once."""
        return len(self.live) * self.workload.sampler_concurrency

    def crash(self, count: int) -> None:
        """Crash the last samplers."""
        loop = asyncio.get_running_loop()
        for sampler in self.live[-count:] if count else []:
            sampler.crashed_at_s = loop.time()
            for running in sampler.running:
                loop.call_later(CRASH_NOTICE_S, _settle, running)

    async def generate(self, request: SampleRequest) -> SampleResult:
        """Run a sample until its end or its time limit."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + request.timeout_s
        sampler = await self._place(request)
        try:
            return await self._run(sampler, request, deadline_s)
        finally:
            sampler.free_count += 1
            self.wake()

    async def cancel(self, sample_id: ids.SampleId) -> None:
        """Do nothing; no measured policy cancels."""

    async def _place(self, request: SampleRequest) -> Sampler:
        while True:
            wanted = request.min_weight_version or 0
            free = [
                item
                for item in self.live
                if item.free_count > 0 and item.version >= wanted
            ]
            if free:
                chosen = max(
                    free,
                    key=lambda item: (
                        item.endpoint_id not in request.avoid,
                        item.free_count,
                    ),
                )
                chosen.free_count -= 1
                return chosen
            waiter = asyncio.get_running_loop().create_future()
            self._waiting.append(waiter)
            await waiter

    def wake(self) -> None:
        """Let waiting samples look for a free place again."""
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            if not waiter.done():
                waiter.set_result(None)

    async def _run(
        self, sampler: Sampler, request: SampleRequest, deadline_s: float
    ) -> SampleResult:
        loop = asyncio.get_running_loop()
        sample_id = request.sample_id.rpartition('/')[0]
        done = len(request.resume_text)
        truth = self._truth(sample_id, loop.time())
        prefill = self.workload.prompt_tokens + done
        self.resumed_tokens += done
        placed_s = loop.time()
        begun_s = placed_s + prefill / self.workload.prefill_tokens_per_s
        length = self.workload.length_tokens(
            self._seed, request.prompt, sample_id
        )
        wanted = min(length - done, request.max_tokens)
        end_s = begun_s + wanted / sampler.tokens_per_s
        stop_s = max(min(end_s, deadline_s), begun_s)
        running = loop.create_future()
        sampler.running.add(running)
        loop.call_at(stop_s, _settle, running)
        await running
        sampler.running.discard(running)
        self._fail_if_crashed(sampler, begun_s)
        if end_s > stop_s:
            count = int((stop_s - begun_s) * sampler.tokens_per_s)
            self.generated_tokens += count
            message = 'the time limit has passed'
            raise RequestError('deadline_passed', message, status=504)
        count = wanted
        self.generated_tokens += count
        segments = sampler.segments(begun_s, count)
        truth.segments.extend(segments)
        is_unsure = placed_s <= sampler.failed_swap_at_s
        if is_unsure and self._rng.random() < self.case.uncertain_share:
            segments = ()
        return SampleResult(
            sample_id=request.sample_id,
            endpoint_id=sampler.endpoint_id,
            completion='x' * count,
            segments=segments,
            finished=done + count == length,
        )

    def _truth(self, sample_id: str, now_s: float) -> Truth:
        if sample_id not in self.truth:
            self.truth[sample_id] = Truth(now_s, [])
        return self.truth[sample_id]

    def _fail_if_crashed(self, sampler: Sampler, begun_s: float) -> None:
        if sampler.crashed_at_s is None:
            return
        lost_s = max(0.0, sampler.crashed_at_s - begun_s)
        self.generated_tokens += int(lost_s * sampler.tokens_per_s)
        raise RequestError('endpoint_failed', 'sampler crashed', status=502)


def _settle(running: asyncio.Future[None]) -> None:
    if not running.done():
        running.set_result(None)
