"""Steps of one trainer on the entry that owns them."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core.rollouts import slot_bitmap
from dogwoodpost.core.rollouts.batch_log import FetchDecision
from dogwoodpost.core.rollouts.batch_log import SampleFacts
from dogwoodpost.core.rollouts.records import BatchBody
from dogwoodpost.core.rollouts.records import BatchState
from dogwoodpost.core.rollouts.records import StepStatus
from dogwoodpost.core.rollouts.step_state import StepState
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import RequestError
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.services.rollouts.delivery import batch_view
from dogwoodpost.services.rollouts.delivery import delivered_sample
from dogwoodpost.services.rollouts.delivery import find_batch
from dogwoodpost.services.rollouts.delivery import restored_sample
from dogwoodpost.services.rollouts.delivery import settlement_conflict
from dogwoodpost.services.rollouts.delivery import step_view

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from dogwoodpost.core.rollouts.batch_log import BatchEntry
    from dogwoodpost.core.rollouts.rollout_scheduler import RolloutScheduler
    from dogwoodpost.core.rollouts.step_spec import StepSpec
    from dogwoodpost.core.rollouts.trainer_api import BatchView
    from dogwoodpost.core.rollouts.trainer_api import StepView
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.lease_guard import LeaseGuard
    from dogwoodpost.services.rollouts.trainer_repository import (
        TrainerRepository,
    )


class TrainerRollouts:
    """Submits steps and claims, delivers and settles batches under a lease."""

    def __init__(
        self,
        repository: TrainerRepository,
        scheduler: RolloutScheduler,
        clock: Clock,
        metrics: Metrics,
        current_version: Callable[[ids.ServiceName], ids.WeightVersion],
        acquire: Callable[[ids.TrainerId], Awaitable[LeaseGuard]],
    ) -> None:
        self.trainer_id = repository.trainer_id
        self.steps: dict[ids.StepId, StepState] = {}
        self._batch_added = asyncio.Event()
        self.on_work_added: Callable[[], None] = lambda: None
        self._repository = repository
        self._scheduler = scheduler
        self._clock = clock
        self._metrics = metrics
        self._current_version = current_version
        self._acquire = acquire
        self._trainer_version = ids.WeightVersion(0)
        self._lock = asyncio.Lock()

    async def start(self) -> None:
        """Load the trainer's stored steps and batches."""
        async with self._lock:
            await self._ensure_current()

    def close(self) -> None:
        """Stop running the trainer's samples."""
        for step_id in list(self.steps):
            self._remove_step(step_id)

    async def submit(self, spec: StepSpec) -> StepView:
        """Create a step; a repeated submission returns the existing step.

        :raises RequestError: the step exists with another specification.
        """
        async with self._lock:
            await self._ensure_current()
            self._authorize(spec.client_account_id)
            existing = self._repository.steps.get(spec.step_id)
            if existing is None:
                await self._apply(lambda: self._repository.create_step(spec))
                self._step_state(spec.step_id)
                self.on_work_added()
            elif existing.record.digest != spec.digest:
                raise RequestError(
                    'step_conflict',
                    f'step {spec.step_id} exists with other content',
                    status=409,
                )
            return self._step_view(spec.step_id)

    def step_view(
        self, client_account_id: ids.ClientAccountId, step_id: ids.StepId
    ) -> StepView:
        """Return the state of a step.

        :raises RequestError: there is no such step.
        """
        self._authorize(client_account_id)
        if step_id not in self._repository.steps:
            message = f'step {step_id} does not exist'
            raise RequestError('unknown_step', message, status=404)
        return self._step_view(step_id)

    async def fetch(
        self,
        client_account_id: ids.ClientAccountId,
        cursor: int,
        trainer_version: ids.WeightVersion,
        *,
        resumed: bool = False,
    ) -> BatchView | None:
        """Return the first deliverable batch after a cursor.

        A trainer that resumes after a crash has stored all batches up to the
        cursor. Those whose acknowledgement was lost in the crash are
        acknowledged here.

        :raises RequestError: a batch after the cursor was acknowledged, or the
            trainer belongs to another client account.
        """
        async with self._lock:
            await self._ensure_current()
            self._authorize(client_account_id)
            self._check_cursor(cursor)
            self._trainer_version = max(self._trainer_version, trainer_version)
            self._batch_added.clear()
            if resumed:
                await self._acknowledge_up_to(cursor)
            while (
                entry := self._repository.log.next_after(cursor)
            ) is not None:
                stale = self._stale_slots(entry)
                decision = self._repository.log.decide_fetch(
                    entry, bool(stale)
                )
                if decision is FetchDecision.REPLACE:
                    await self._replace(entry, stale)
                    continue
                if decision is FetchDecision.ASK_TRAINER:
                    return batch_view(entry)
                return await self._issue(entry)
            return None

    async def wait_for_batch(self, timeout_s: float) -> None:
        """Wait until a batch may have been added, or until a timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._batch_added.wait()

    async def acknowledge(
        self,
        client_account_id: ids.ClientAccountId,
        batch_id: ids.BatchId,
        *,
        received: bool,
    ) -> None:
        """Settle a batch; replace a batch that was not received.

        :raises RequestError: the batch is unknown or was settled differently.
        """
        async with self._lock:
            await self._ensure_current()
            self._authorize(client_account_id)
            entry = find_batch(
                self._repository.log, self._repository.cursor, batch_id
            )
            if entry is None:
                return
            state = entry.record.state
            if state is BatchState.VOID:
                if received:
                    raise settlement_conflict(batch_id)
            elif state is BatchState.ACKNOWLEDGED:
                if not received:
                    raise settlement_conflict(batch_id)
            elif received:
                await self._apply(lambda: self._repository.acknowledge(entry))
            else:
                await self._replace(entry, self._stale_slots(entry))

    async def claim_ready(self) -> bool:
        """Claim one batch of each step that is due; return if any was."""
        async with self._lock:
            # Detects a lost lease even if there is nothing to claim.
            await self._ensure_current()
        claimed = False
        now_s = self._clock.monotonic_s()
        for step_id, step in list(self.steps.items()):
            step.current_version = self._version_for(step.spec)
            if step.discard_stale(now_s):
                self.on_work_added()
            if not step.plan_batch(now_s) and step.deadline_s > now_s:
                continue
            async with self._lock:
                await self._ensure_current()
                claimed |= await self._claim(step_id)
                await self._expire(step_id)
        return claimed

    async def _claim(self, step_id: ids.StepId) -> bool:
        step = self.steps.get(step_id)
        if step is None:
            return False
        now_s = self._clock.monotonic_s()
        samples = step.plan_batch(now_s)
        if not samples:
            return False
        body = BatchBody(
            samples=tuple(delivered_sample(step, sample) for sample in samples)
        )
        facts = [
            SampleFacts(
                slot=sample.slot,
                oldest_version=sample.oldest_version,
                begun_s=sample.begun_s,
            )
            for sample in samples
        ]
        remaining_s = max(step.deadline_s - now_s, 0.0)
        await self._apply(
            lambda: self._repository.claim(step_id, body, facts, remaining_s)
        )
        step.mark_claimed(sample.slot for sample in samples)
        if (
            self._repository.steps[step_id].record.status
            is StepStatus.COMPLETE
        ):
            self._remove_step(step_id)
        self._batch_added.set()
        return True

    async def _expire(self, step_id: ids.StepId) -> None:
        step = self.steps.get(step_id)
        if step is None or step.deadline_s > self._clock.monotonic_s():
            return
        if step.plan_batch(self._clock.monotonic_s()):
            return
        if self._repository.steps[step_id].record.status is StepStatus.OPEN:
            await self._apply(lambda: self._repository.expire(step_id))
        self._remove_step(step_id)
        self._batch_added.set()

    async def _acknowledge_up_to(self, cursor: int) -> None:
        while (entry := self._repository.log.next_after(0)) is not None:
            if entry.record.sequence > cursor:
                return
            acknowledge = functools.partial(
                self._repository.acknowledge, entry
            )
            await self._apply(acknowledge)

    async def _issue(self, entry: BatchEntry) -> BatchView:
        body = await self._repository.body(entry.record)
        await self._apply(lambda: self._repository.issue(entry))
        # During a slow store call the samples may have become stale, or
        # another owner may have taken over.
        if self._stale_slots(entry):
            return batch_view(entry)
        self._repository.guard.fencing_number()
        bound = self._repository.steps[
            entry.record.step_id
        ].spec.staleness_bound
        valid_for_s = entry.valid_for_s(bound, self._clock.monotonic_s())
        return batch_view(entry, body, valid_for_s)

    async def _replace(self, entry: BatchEntry, stale: dict[int, str]) -> None:
        body = await self._repository.body(entry.record)
        step = self._step_state(entry.record.step_id)
        await self._apply(lambda: self._repository.void(entry))
        now_s = self._clock.monotonic_s()
        for fact, delivered in zip(entry.facts, body.samples, strict=True):
            reason = stale.get(fact.slot)
            sample = None
            if reason is None:
                sample = restored_sample(fact.slot, fact.begun_s, delivered)
            else:
                self._count_discard(reason)
            step.release(fact.slot, sample, now_s)
        self.on_work_added()

    def _stale_slots(self, entry: BatchEntry) -> dict[int, str]:
        spec = self._repository.steps[entry.record.step_id].spec
        return entry.stale_slots(
            spec.staleness_bound,
            self._version_for(spec),
            self._clock.monotonic_s(),
        )

    async def _apply(self, change: Callable[[], Awaitable[object]]) -> None:
        """Apply one change to the repository.

        :raises RequestError: another owner has changed the rows.
        """
        try:
            await change()
        except StoreConflictError as error:
            self._metrics.events.labels('rollout_conflict').inc()
            fence = self._repository.guard.fence_check().key
            if fence in error.keys:
                self._repository.guard = await self._acquire(self.trainer_id)
            raise RequestError(
                'ownership_changed',
                'another owner has changed the steps of the trainer',
                status=503,
                retry_after_s=1.0,
            ) from None

    async def _ensure_current(self) -> None:
        """Acquire the lease if it is not held, and reload outdated rows.

        :raises LeaseLostError: another entry owns the trainer.
        """
        lease = self._repository.guard
        if not _is_held(lease):
            lease = await self._acquire(self.trainer_id)
        if lease is self._repository.guard and self._repository.is_current:
            return
        self._repository.guard = lease
        await self._repository.load()
        self._reconcile()

    def _reconcile(self) -> None:
        """Apply the stored claims, including those of other owners."""
        records = {
            step_id: entry.record
            for step_id, entry in self._repository.steps.items()
            if entry.record.status is StepStatus.OPEN
        }
        for step_id in set(self.steps) - set(records):
            self._remove_step(step_id)
        now_s = self._clock.monotonic_s()
        for step_id, record in records.items():
            step = self._step_state(step_id)
            claimed = set(slot_bitmap.claimed_slots(record.claims))
            for slot in range(record.slot_count):
                if slot not in claimed:
                    step.release(slot, None, now_s)
            step.mark_claimed(claimed)
        self._batch_added.set()
        self.on_work_added()

    def _step_state(self, step_id: ids.StepId) -> StepState:
        """Return the state of a step; create it if it does not exist."""
        if step_id in self.steps:
            return self.steps[step_id]
        entry = self._repository.steps[step_id]
        now_s = self._clock.monotonic_s()
        step = StepState(
            entry.spec,
            fencing_number=self._repository.guard.fencing_number(),
            now_s=now_s,
            deadline_s=now_s + entry.record.remaining_s,
            policy=self._scheduler.policy,
            prompt_lengths=self._scheduler.prompt_lengths(self.trainer_id),
            on_discard=self._count_discard,
            sample_numbers=self._scheduler.sample_numbers,
        )
        step.current_version = self._version_for(entry.spec)
        step.mark_claimed(slot_bitmap.claimed_slots(entry.record.claims))
        self.steps[step_id] = step
        self._scheduler.add_step(step)
        return step

    def _count_discard(self, reason: str) -> None:
        self._metrics.discarded_samples.labels(reason).inc()

    def _remove_step(self, step_id: ids.StepId) -> None:
        now_s = self._clock.monotonic_s()
        self._scheduler.remove_step(self.steps.pop(step_id), now_s)

    def _version_for(self, spec: StepSpec) -> ids.WeightVersion:
        current = self._current_version(spec.service)
        return max(current, self._trainer_version)

    def _authorize(self, client_account_id: ids.ClientAccountId) -> None:
        cursor = self._repository.cursor
        if cursor and cursor.client_account_id != client_account_id:
            raise RequestError(
                'forbidden_trainer',
                'the trainer belongs to another client account',
                status=403,
                not_run=True,
            )

    def _check_cursor(self, cursor: int) -> None:
        record = self._repository.cursor
        if record and cursor < record.acknowledged_sequence:
            raise RequestError(
                'cursor_expired',
                f'batches up to {record.acknowledged_sequence} were '
                'acknowledged and removed',
                status=410,
            )

    def _step_view(self, step_id: ids.StepId) -> StepView:
        return step_view(
            self._repository.steps[step_id].record,
            self._repository.log,
            is_active=step_id in self.steps,
        )


def _is_held(guard: LeaseGuard) -> bool:
    try:
        guard.fencing_number()
    except LeaseLostError:
        return False
    return True
