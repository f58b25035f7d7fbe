"""Runs the rollout service against fake engines on a virtual clock."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.rollouts.step_spec import StepSpec
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.lease_guard import LeaseGuard
from dogwoodpost.ports.scorer import Scorer
from dogwoodpost.ports.table_store import Check
from dogwoodpost.services.rollouts.rollout_service import RolloutService
from dogwoodpost.standins.memory_store import MemoryObjectStore
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.memory_store import StoreFaults
from dogwoodpost.standins.virtual_time import HostClock
from dogwoodpost.standins.virtual_time import run_virtual
from measurements.rollouts.engines import FakeEngines
from measurements.rollouts.lower_bound import StepRun
from measurements.rollouts.weight_swaps import WeightSwaps

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core.rollouts.scheduling_policy import SchedulingPolicy
    from dogwoodpost.core.rollouts.trainer_api import BatchView
    from dogwoodpost.ports.sample_dispatcher import TokenSegment
    from dogwoodpost.services.rollouts.trainer_rollouts import TrainerRollouts
    from measurements.rollouts.workload import Case
    from measurements.rollouts.workload import Workload

ACCOUNT = ids.ClientAccountId('research')
SERVICE = ids.ServiceName('slate-lm')
STORE_LATENCY_S = 0.005
SCORE_S = 0.5


class Outcome(msgspec.Struct, kw_only=True):
    """Figures of one run of a case."""

    runs: list[StepRun]
    capacity_at: list[tuple[float, float]]
    lost_count: int = 0
    duplicate_count: int = 0
    over_bound_count: int = 0
    mislabelled_count: int = 0
    generated_tokens: int = 0
    resumed_tokens: int = 0
    delivered_tokens: int = 0
    table_write_count: int = 0
    table_read_count: int = 0
    discarded: dict[str, int] = msgspec.field(default_factory=dict)


class HeldLease(LeaseGuard):
    """A lease that is always held."""

    def fencing_number(self) -> ids.FencingNumber:
        """Return the only fencing number."""
        return ids.FencingNumber(1)

    def fence_check(self) -> Check:
        """Return a check of a row that never exists."""
        return Check('lease/rollout/fence', 0)


class FakeScorer(Scorer):
    """Scores each sample after a fixed time."""

    async def score(
        self, sample_id: ids.SampleId, prompt: str, completion: str
    ) -> float:
        """Return the length as the score."""
        await asyncio.sleep(SCORE_S)
        return float(len(completion))


class Simulation:
    """One case with one policy and one seed."""

    def __init__(
        self,
        workload: Workload,
        case: Case,
        policy: SchedulingPolicy,
        seed: int,
    ) -> None:
        self._workload = workload
        self._case = case
        self._clock = HostClock()
        self._faults = StoreFaults(self._clock)
        self._faults.latency_s = STORE_LATENCY_S
        self._table = MemoryTableStore(self._faults)
        self._engines = FakeEngines(workload, case, seed)
        self._swaps = WeightSwaps(self._engines, random.Random(seed))
        self._metrics = Metrics()
        self._service = RolloutService(
            table=self._table,
            objects=MemoryObjectStore(self._faults),
            dispatcher=self._engines,
            scorer=FakeScorer(),
            clock=self._clock,
            rng=random.Random(seed),
            metrics=self._metrics,
            acquire=_acquire_lease,
            current_version=lambda _: self._swaps.announced_version,
            capacity=self._engines.capacity,
            policy=policy,
        )
        self._outcome = Outcome(runs=[], capacity_at=[])

    def run(self) -> Outcome:
        """Run all trainers until they have finished their steps."""
        return run_virtual(self._run())

    async def _run(self) -> Outcome:
        start_s = self._clock.monotonic_s()
        self._record_capacity(start_s)
        async with self._service:
            helpers = [
                asyncio.ensure_future(self._inject_faults()),
                asyncio.ensure_future(self._swaps.run()),
            ]
            await asyncio.gather(
                *map(self._train, range(self._workload.trainer_count))
            )
            for helper in helpers:
                helper.cancel()
            await asyncio.gather(*helpers, return_exceptions=True)
        outcome = self._outcome
        outcome.generated_tokens = self._engines.generated_tokens
        outcome.resumed_tokens = self._engines.resumed_tokens
        outcome.table_write_count = self._table.write_count
        outcome.table_read_count = self._table.read_count
        for metric in self._metrics.discarded_samples.collect():
            for sample in metric.samples:
                if sample.name.endswith('_total'):
                    reason = sample.labels['reason']
                    outcome.discarded[reason] = int(sample.value)
        return outcome

    def _record_capacity(self, now_s: float) -> None:
        rate = sum(item.tokens_per_s for item in self._engines.live)
        capacity = rate * self._workload.sampler_concurrency
        self._outcome.capacity_at.append((now_s, capacity))

    async def _inject_faults(self) -> None:
        case = self._case
        await self._clock.sleep(case.fault_at_s)
        self._engines.crash(case.crashed_count)
        self._record_capacity(self._clock.monotonic_s())
        if case.outage_s:
            self._faults.down = True
            await self._clock.sleep(case.outage_s)
            self._faults.down = False

    async def _train(self, number: int) -> None:
        # The starts are staggered: trainers that start together would stay
        # synchronised during the whole run.
        load = self._workload
        await self._clock.sleep(number * load.training_s / load.trainer_count)
        trainer_id = ids.TrainerId(f'trainer-{number}')
        trainer = await self._service.trainer(trainer_id)
        cursor = 0
        for step in range(load.step_count):
            spec = self._step_spec(trainer_id, number, step)
            submitted_s = self._clock.monotonic_s()
            await trainer.submit(spec)
            batches: list[BatchView] = []
            while True:
                view = trainer.step_view(ACCOUNT, spec.step_id)
                if view.is_finished and int(view.last_cursor) <= cursor:
                    break
                batch = await trainer.fetch(
                    ACCOUNT, cursor, ids.WeightVersion(0)
                )
                if batch is None:
                    await trainer.wait_for_batch(1.0)
                    continue
                cursor = int(batch.cursor)
                await self._receive_batch(trainer, batch)
                batches.append(batch)
            self._record_step(number, spec, submitted_s, batches)
            await self._clock.sleep(load.training_s)

    async def _receive_batch(
        self, trainer: TrainerRollouts, batch: BatchView
    ) -> None:
        now_s = self._clock.monotonic_s()
        for sample in batch.samples or ():
            ground_truth = self._engines.ground_truth[sample.sample_id]
            if merge_segments(ground_truth.segments) != merge_segments(
                sample.segments
            ):
                self._outcome.mislabelled_count += 1
            oldest = min(part.weight_version for part in ground_truth.segments)
            lag = self._swaps.announced_version - oldest
            age_s = now_s - ground_truth.begun_s
            load = self._workload
            if lag > load.max_version_lag or age_s > load.max_age_s:
                self._outcome.over_bound_count += 1
        await trainer.acknowledge(
            ACCOUNT, batch.batch_id, received=batch.samples is not None
        )

    def _step_spec(
        self, trainer_id: ids.TrainerId, number: int, step: int
    ) -> StepSpec:
        load = self._workload
        return StepSpec(
            step_id=ids.StepId(f'step-{step}'),
            trainer_id=trainer_id,
            client_account_id=ACCOUNT,
            service=SERVICE,
            prompts=tuple(
                f'{number}-{step % load.epoch_step_count}-{group}'
                for group in range(load.group_counts[number])
            ),
            samples_per_group=load.samples_per_group,
            max_tokens=load.max_tokens,
            max_version_lag=load.max_version_lag,
            max_age_s=load.max_age_s,
            deadline_s=load.deadline_s,
        )

    def _record_step(
        self,
        number: int,
        spec: StepSpec,
        submitted_s: float,
        batches: list[BatchView],
    ) -> None:
        samples = [item for batch in batches for item in batch.samples or ()]
        slots = {(item.group, item.index) for item in samples}
        lengths = [
            sum(part.token_count for part in item.segments) for item in samples
        ]
        outcome = self._outcome
        outcome.duplicate_count += len(samples) - len(slots)
        outcome.lost_count += spec.slot_count - len(slots)
        outcome.delivered_tokens += sum(lengths)
        outcome.runs.append(
            StepRun(
                trainer=number,
                submitted_s=submitted_s,
                ended_s=self._clock.monotonic_s(),
                work_tokens=sum(lengths),
                longest_s=max(lengths, default=0)
                / self._workload.tokens_per_s,
            )
        )


async def _acquire_lease(_: ids.TrainerId) -> LeaseGuard:
    return HeldLease()


def merge_segments(segments: Sequence[TokenSegment]) -> list[tuple[int, int]]:
    """Return (version, token count), merging adjacent equal versions."""
    result: list[tuple[int, int]] = []
    for segment in segments:
        version = segment.weight_version
        count = segment.token_count
        if result and result[-1][0] == version:
            count += result.pop()[1]
        result.append((version, count))
    return result
