"""Runs the steps of all trainers that this entry owns."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import mode
import structlog

from dogwoodpost.core.rollouts.rollout_scheduler import RolloutScheduler
from dogwoodpost.core.rollouts.step_state import ResultOutcome
from dogwoodpost.errors import DogwoodpostError
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import RequestError
from dogwoodpost.services.rollouts.store_retrier import StoreRetrier
from dogwoodpost.services.rollouts.trainer_ledger import TrainerLedger
from dogwoodpost.services.rollouts.trainer_rollouts import TrainerRollouts

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine

    from dogwoodpost.core import ids
    from dogwoodpost.core.rollouts.rollout_scheduler import Dispatch
    from dogwoodpost.core.rollouts.scheduling_policy import SchedulingPolicy
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.lease_guard import LeaseGuard
    from dogwoodpost.ports.object_store import ObjectStore
    from dogwoodpost.ports.sample_dispatcher import SampleDispatcher
    from dogwoodpost.ports.scorer import Scorer
    from dogwoodpost.ports.table_store import TableStore

_LOG = structlog.get_logger()

SCORE_RETRY_BASE_S = 0.2
SCORE_RETRY_CAP_S = 10.0
CLAIM_INTERVAL_S = 1.0


class RolloutService(mode.Service):
    """Schedules, scores and claims samples.

    :param acquire: returns the guard of the lease ``rollout/{trainer}``, or
        raises ``LeaseLostError`` while another entry holds it.
    :param current_version: the newest announced weight version of a service.
    :param capacity: how many samples may run at once.
    """

    def __init__(
        self,
        *,
        table: TableStore,
        objects: ObjectStore,
        dispatcher: SampleDispatcher,
        scorer: Scorer,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        acquire: Callable[[ids.TrainerId], Awaitable[LeaseGuard]],
        current_version: Callable[[ids.ServiceName], ids.WeightVersion],
        capacity: Callable[[], int],
        policy: SchedulingPolicy | None = None,
    ) -> None:
        super().__init__()
        self.scheduler = RolloutScheduler(policy)
        self._table = table
        self._objects = objects
        self._dispatcher = dispatcher
        self._scorer = scorer
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._acquire = acquire
        self._current_version = current_version
        self._capacity = capacity
        self._retrier = StoreRetrier(clock, rng, metrics)
        self._trainers: dict[ids.TrainerId, TrainerRollouts] = {}
        self._opening: dict[ids.TrainerId, asyncio.Task[TrainerRollouts]] = {}
        self._work = asyncio.Event()
        self._claimable = asyncio.Event()
        self._claiming: set[ids.TrainerId] = set()
        self._running_count = 0
        self._jobs: set[asyncio.Task[None]] = set()

    async def trainer(self, trainer_id: ids.TrainerId) -> TrainerRollouts:
        """Return the steps of a trainer; take them over if they are free.

        :raises LeaseLostError: another entry owns the trainer.
        """
        if trainer_id in self._trainers:
            return self._trainers[trainer_id]
        # One task opens a trainer for all callers, and goes on when a caller
        # gives up, because it repeats its store calls until they succeed.
        if trainer_id not in self._opening:
            task = asyncio.ensure_future(self._open(trainer_id))
            self._opening[trainer_id] = task
            task.add_done_callback(lambda _: self._opening.pop(trainer_id))
        return await asyncio.shield(self._opening[trainer_id])

    async def _open(self, trainer_id: ids.TrainerId) -> TrainerRollouts:
        guard = await self._acquire(trainer_id)
        ledger = TrainerLedger(
            trainer_id, self._table, self._objects, self._retrier, guard
        )
        trainer = TrainerRollouts(
            ledger,
            self.scheduler,
            self._clock,
            self._metrics,
            self._current_version,
            self._acquire,
        )
        trainer.work_added = self._work.set
        await trainer.start()
        self._trainers[trainer_id] = trainer
        return trainer

    def release(self, trainer_id: ids.TrainerId) -> None:
        """Stop running a trainer's steps at this entry."""
        trainer = self._trainers.pop(trainer_id, None)
        if trainer is not None:
            trainer.close()

    async def on_stop(self) -> None:
        """Cancel running samples; the next owner generates them again."""
        jobs = [*self._jobs, *self._opening.values()]
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)

    @mode.Service.task
    async def _dispatch_loop(self) -> None:
        while not self.should_stop:
            self._work.clear()
            self._start_dispatches()
            await _wait(self._work, CLAIM_INTERVAL_S)

    @mode.Service.task
    async def _claim_loop(self) -> None:
        while not self.should_stop:
            self._claimable.clear()
            for trainer_id in self._trainers.keys() - self._claiming:
                self._claiming.add(trainer_id)
                self._spawn(self._claim(self._trainers[trainer_id]))
            await _wait(self._claimable, CLAIM_INTERVAL_S)

    def _start_dispatches(self) -> None:
        self.scheduler.slot_count = max(1, self._capacity())
        while self._running_count < self.scheduler.slot_count:
            dispatch = self.scheduler.next_dispatch(self._clock.monotonic_s())
            if dispatch is None:
                return
            self._running_count += 1
            self._spawn(self._run(dispatch))

    def _spawn(self, job: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(job)
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)

    async def _run(self, dispatch: Dispatch) -> None:
        begun_s = self._clock.monotonic_s()
        step, sample = dispatch.step, dispatch.sample
        outcome = ResultOutcome.LATE
        try:
            result = await self._dispatcher.generate(dispatch.request)
        except DogwoodpostError as error:
            code = error.code if isinstance(error, RequestError) else 'other'
            self._metrics.retries.labels(f'sample_{code}').inc()
            step.record_failure(
                sample,
                dispatch.request.sample_id,
                self._clock.monotonic_s(),
                self._rng,
            )
        else:
            duration_s = self._clock.monotonic_s() - begun_s
            token_count = sum(part.token_count for part in result.segments)
            self.scheduler.pace.record(
                result.endpoint_id, token_count, duration_s
            )
            outcome = step.record_result(sample, result)
        finally:
            self._running_count -= 1
            self._work.set()
        if outcome is ResultOutcome.FINISHED:
            await self._score(dispatch)

    async def _score(self, dispatch: Dispatch) -> None:
        step, sample = dispatch.step, dispatch.sample
        attempt = 0
        while step.is_current(sample):
            try:
                score = await self._scorer.score(
                    sample.sample_id, step.prompt(sample), sample.completion
                )
            except PlatformError:
                self._metrics.retries.labels('score').inc()
                limit_s = SCORE_RETRY_BASE_S * 2**attempt
                limit_s = min(limit_s, SCORE_RETRY_CAP_S)
                attempt = min(attempt + 1, 16)
                await self._clock.sleep(self._rng.uniform(0.0, limit_s))
                continue
            step.record_score(sample, score, self._clock.monotonic_s())
            self._claimable.set()
            return

    async def _claim(self, trainer: TrainerRollouts) -> None:
        try:
            while await trainer.claim_ready():
                pass
        except LeaseLostError:
            _LOG.info('rollout_lease_lost', trainer_id=trainer.trainer_id)
            self.release(trainer.trainer_id)
        except DogwoodpostError as error:
            _LOG.warning(
                'rollout_claim_failed',
                trainer_id=trainer.trainer_id,
                error=str(error),
            )
        finally:
            self._claiming.discard(trainer.trainer_id)


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    """Wait for an event or for the time at which delayed work may be due."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
