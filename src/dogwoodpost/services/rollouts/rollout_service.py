"""Runs the steps of the trainers that this entry owns."""

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
from dogwoodpost.services.rollouts.trainer_repository import TrainerRepository
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
# The loops wait at most this long, as retries and flushes fall due without an
# event.
MAX_LOOP_WAIT_S = 1.0


class RolloutService(mode.Service):
    """Schedules and scores samples and claims them in batches.

    :param acquire: returns the guard of the lease ``rollout/{trainer}``, or
        raises ``LeaseLostError`` while another entry holds it.
    :param current_version: returns the newest announced weight version of a
        service.
    :param capacity: returns how many samples may run at once.
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
        self._opening_tasks: dict[
            ids.TrainerId, asyncio.Task[TrainerRollouts]
        ] = {}
        self._work_available = asyncio.Event()
        self._sample_scored = asyncio.Event()
        self._claiming_trainers: set[ids.TrainerId] = set()
        self._running_count = 0
        self._background_tasks: set[asyncio.Task[None]] = set()

    async def trainer(self, trainer_id: ids.TrainerId) -> TrainerRollouts:
        """Return the steps of a trainer; acquire their lease if it is free.

        :raises LeaseLostError: another entry owns the trainer.
        """
        if trainer_id in self._trainers:
            return self._trainers[trainer_id]
        # All callers share one task per trainer. It repeats its store calls
        # until they succeed, so it continues when a caller is cancelled.
        if trainer_id not in self._opening_tasks:
            task = asyncio.ensure_future(self._open_trainer(trainer_id))
            self._opening_tasks[trainer_id] = task
            task.add_done_callback(
                lambda _: self._opening_tasks.pop(trainer_id)
            )
        return await asyncio.shield(self._opening_tasks[trainer_id])

    async def _open_trainer(
        self, trainer_id: ids.TrainerId
    ) -> TrainerRollouts:
        guard = await self._acquire(trainer_id)
        repository = TrainerRepository(
            trainer_id, self._table, self._objects, self._retrier, guard
        )
        trainer = TrainerRollouts(
            repository,
            self.scheduler,
            self._clock,
            self._metrics,
            self._current_version,
            self._acquire,
        )
        trainer.on_work_added = self._work_available.set
        await trainer.start()
        self._trainers[trainer_id] = trainer
        return trainer

    def release(self, trainer_id: ids.TrainerId) -> None:
        """Stop running a trainer's steps on this entry."""
        trainer = self._trainers.pop(trainer_id, None)
        if trainer is not None:
            trainer.close()

    async def on_stop(self) -> None:
        """Cancel running samples, which the next owner generates again."""
        cancelled_tasks = [
            *self._background_tasks,
            *self._opening_tasks.values(),
        ]
        for cancelled_task in cancelled_tasks:
            cancelled_task.cancel()
        await asyncio.gather(*cancelled_tasks, return_exceptions=True)

    @mode.Service.task
    async def _dispatch_loop(self) -> None:
        while not self.should_stop:
            self._work_available.clear()
            self._start_dispatches()
            await _wait_for(self._work_available, MAX_LOOP_WAIT_S)

    @mode.Service.task
    async def _claim_loop(self) -> None:
        while not self.should_stop:
            self._sample_scored.clear()
            for trainer_id in self._trainers.keys() - self._claiming_trainers:
                self._claiming_trainers.add(trainer_id)
                self._spawn(self._claim_batches(self._trainers[trainer_id]))
            await _wait_for(self._sample_scored, MAX_LOOP_WAIT_S)

    def _start_dispatches(self) -> None:
        self.scheduler.max_running_count = max(1, self._capacity())
        while self._running_count < self.scheduler.max_running_count:
            dispatch = self.scheduler.next_dispatch(self._clock.monotonic_s())
            if dispatch is None:
                return
            self._running_count += 1
            self._spawn(self._run_dispatch(dispatch))

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _run_dispatch(self, dispatch: Dispatch) -> None:
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
            self.scheduler.token_rates.record(
                result.endpoint_id, token_count, duration_s
            )
            outcome = step.record_result(sample, result)
        finally:
            self._running_count -= 1
            self._work_available.set()
        if outcome is ResultOutcome.FINISHED:
            await self._score_sample(dispatch)

    async def _score_sample(self, dispatch: Dispatch) -> None:
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
            self._sample_scored.set()
            return

    async def _claim_batches(self, trainer: TrainerRollouts) -> None:
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
            self._claiming_trainers.discard(trainer.trainer_id)


async def _wait_for(event: asyncio.Event, timeout_s: float) -> None:
    """Wait until an event is set, but no longer than a timeout."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
