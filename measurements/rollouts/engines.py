"""Simulated engines with weight versions, crashes and slowness."""

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

# Time until the crash of an agent is detected.
CRASH_DETECTION_S = 3.0


class Sampler(msgspec.Struct, kw_only=True):
    """One simulated engine.

    :param switches: (time in s, version) of each change of weights, in order.
    """

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
        """Return the versions that generated tokens since a time."""
        segment_list: list[TokenSegment] = []
        done = 0
        ends = [time for time, _ in self.switches[1:]] + [float('inf')]
        for (_, version), end_s in zip(self.switches, ends, strict=True):
            if end_s <= begun_s:
                continue
            end_count = token_count
            if end_s != float('inf'):
                end_count = int((end_s - begun_s) * self.tokens_per_s)
            count = min(token_count, end_count) - done
            if count > 0:
                segment_list.append(
                    TokenSegment(weight_version=version, token_count=count)
                )
                done += count
        return tuple(segment_list)


class GroundTruth(msgspec.Struct):
    """When and with which versions a sample was really generated."""

    begun_s: float
    segments: list[TokenSegment]


class FakeEngines(SampleDispatcher):
    """Places each sample at the sampler with the most free places."""

    def __init__(self, workload: Workload, case: Case, seed: int) -> None:
        self.workload = workload
        self.case = case
        self.generated_tokens = 0
        self.resumed_tokens = 0
        self.ground_truth: dict[str, GroundTruth] = {}
        self._seed = seed
        self._rng = random.Random(seed)
        self._place_waiters: list[asyncio.Future[None]] = []
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
        """Crash the last ``count`` live samplers."""
        loop = asyncio.get_running_loop()
        for sampler in self.live[-count:] if count else []:
            sampler.crashed_at_s = loop.time()
            for running in sampler.running:
                loop.call_later(CRASH_DETECTION_S, _complete, running)

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
        """Do nothing; no measured policy cancels samples."""

    async def _place(self, request: SampleRequest) -> Sampler:
        while True:
            min_version = request.min_weight_version or 0
            free = [
                item
                for item in self.live
                if item.free_count > 0 and item.version >= min_version
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
            self._place_waiters.append(waiter)
            await waiter

    def wake(self) -> None:
        """Wake up waiting samples so that they retry their placement."""
        waiting, self._place_waiters = self._place_waiters, []
        for waiter in waiting:
            if not waiter.done():
                waiter.set_result(None)

    async def _run(
        self, sampler: Sampler, request: SampleRequest, deadline_s: float
    ) -> SampleResult:
        loop = asyncio.get_running_loop()
        sample_id = request.sample_id.rpartition('/')[0]
        done = len(request.resume_text)
        ground_truth = self._ground_truth(sample_id, loop.time())
        prefill = self.workload.prompt_tokens + done
        self.resumed_tokens += done
        placed_s = loop.time()
        begun_s = placed_s + prefill / self.workload.prefill_tokens_per_s
        length = self.workload.length_tokens(
            self._seed, request.prompt, sample_id
        )
        wanted_tokens = min(length - done, request.max_tokens)
        end_s = begun_s + wanted_tokens / sampler.tokens_per_s
        stop_s = max(min(end_s, deadline_s), begun_s)
        running = loop.create_future()
        sampler.running.add(running)
        loop.call_at(stop_s, _complete, running)
        await running
        sampler.running.discard(running)
        self._fail_if_crashed(sampler, begun_s)
        if end_s > stop_s:
            count = int((stop_s - begun_s) * sampler.tokens_per_s)
            self.generated_tokens += count
            message = 'time limit of the sample has passed'
            raise RequestError('deadline_passed', message, status=504)
        count = wanted_tokens
        self.generated_tokens += count
        segments = sampler.segments(begun_s, count)
        ground_truth.segments.extend(segments)
        is_version_uncertain = placed_s <= sampler.failed_swap_at_s
        if (
            is_version_uncertain
            and self._rng.random() < self.case.uncertain_share
        ):
            segments = ()
        return SampleResult(
            sample_id=request.sample_id,
            endpoint_id=sampler.endpoint_id,
            completion='x' * count,
            segments=segments,
            finished=done + count == length,
        )

    def _ground_truth(self, sample_id: str, now_s: float) -> GroundTruth:
        if sample_id not in self.ground_truth:
            self.ground_truth[sample_id] = GroundTruth(now_s, [])
        return self.ground_truth[sample_id]

    def _fail_if_crashed(self, sampler: Sampler, begun_s: float) -> None:
        if sampler.crashed_at_s is None:
            return
        lost_s = max(0.0, sampler.crashed_at_s - begun_s)
        self.generated_tokens += int(lost_s * sampler.tokens_per_s)
        raise RequestError('endpoint_failed', 'sampler crashed', status=502)


def _complete(running: asyncio.Future[None]) -> None:
    if not running.done():
        running.set_result(None)
