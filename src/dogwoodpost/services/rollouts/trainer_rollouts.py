"""The steps of one trainer at the entry that owns them."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core.rollouts import slot_bits
from dogwoodpost.core.rollouts.batch_log import BatchVerdict
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
from dogwoodpost.services.rollouts.delivery import settled_otherwise
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
    from dogwoodpost.services.rollouts.trainer_ledger import TrainerLedger


class TrainerRollouts:
    """Submits, claims, delivers and settles under the trainer's lease."""

    def __init__(
        self,
        ledger: TrainerLedger,
        scheduler: RolloutScheduler,
        clock: Clock,
        metrics: Metrics,
        current_version: Callable[[ids.ServiceName], ids.WeightVersion],
        acquire: Callable[[ids.TrainerId], Awaitable[LeaseGuard]],
    ) -> None:
        self.trainer_id = ledger.trainer_id
        self.steps: dict[ids.StepId, StepState] = {}
        self._batch_added = asyncio.Event()
        self.work_added: Callable[[], None] = lambda: None
        self._ledger = ledger
        self._scheduler = scheduler
        self._clock = clock
        self._metrics = metrics
        self._current_version = current_version
        self._acquire = acquire
        self._trainer_version = ids.WeightVersion(0)
        self._lock = asyncio.Lock()

    async def start(self) -> None:
        """Take over what the table holds for the trainer."""
        async with self._lock:
            await self._ensure_current()

    def close(self) -> None:
        """Stop running the trainer's samples."""
        for step_id in list(self.steps):
            self._remove_state(step_id)

    async def submit(self, spec: StepSpec) -> StepView:
        """Create a step, or find the one that a repeat refers to.

        :raises RequestError: the step exists with another specification.
        """
        async with self._lock:
            await self._ensure_current()
            self._authorize(spec.client_account_id)
            known = self._ledger.steps.get(spec.step_id)
            if known is None:
                await self._change(lambda: self._ledger.create_step(spec))
                self._state(spec.step_id)
                self.work_added()
            elif known.record.digest != spec.digest:
                raise RequestError(
                    'step_conflict',
                    f'step {spec.step_id} exists with other content',
                    status=409,
                )
            return self._view(spec.step_id)

    def step_view(
        self, client_account_id: ids.ClientAccountId, step_id: ids.StepId
    ) -> StepView:
        """Return the state of a step.

        :raises RequestError: there is no such step.
        """
        self._authorize(client_account_id)
        if step_id not in self._ledger.steps:
            message = f'step {step_id} does not exist'
            raise RequestError('unknown_step', message, status=404)
        return self._view(step_id)

    async def fetch(
        self,
        client_account_id: ids.ClientAccountId,
        cursor: int,
        trainer_version: ids.WeightVersion,
        *,
        resumed: bool = False,
    ) -> BatchView | None:
        """Return the first batch after a cursor that may be delivered.

        A trainer that resumes has stored all batches up to the cursor; this
        acknowledges those whose acknowledgement was lost in its crash.

        :raises RequestError: the cursor is before an acknowledged batch.
        """
        async with self._lock:
            await self._ensure_current()
            self._authorize(client_account_id)
            self._check_cursor(cursor)
            self._trainer_version = max(self._trainer_version, trainer_version)
            self._batch_added.clear()
            if resumed:
                await self._acknowledge_up_to(cursor)
            while (entry := self._ledger.log.next_after(cursor)) is not None:
                stale = self._stale_slots(entry)
                verdict = self._ledger.log.verdict(entry, bool(stale))
                if verdict is BatchVerdict.REPLACE:
                    await self._replace(entry, stale)
                    continue
                if verdict is BatchVerdict.ASK_TRAINER:
                    return batch_view(entry)
                return await self._issue(entry)
            return None

    async def wait_for_batch(self, timeout_s: float) -> None:
        """Wait until a batch may have been added, or for a time."""
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
        """Settle a batch; one that was not received is replaced.

        :raises RequestError: unknown batch, or it is settled otherwise.
        """
        async with self._lock:
            await self._ensure_current()
            self._authorize(client_account_id)
            entry = find_batch(self._ledger.log, self._ledger.cursor, batch_id)
            if entry is None:
                return
            state = entry.record.state
            if state is BatchState.VOID:
                if received:
                    raise settled_otherwise(batch_id)
            elif state is BatchState.ACKNOWLEDGED:
                if not received:
                    raise settled_otherwise(batch_id)
            elif received:
                await self._change(lambda: self._ledger.acknowledge(entry))
            else:
                await self._replace(entry, self._stale_slots(entry))

    async def claim_ready(self) -> bool:
        """Claim one batch of each step that has one; return if any had."""
        async with self._lock:
            # Also without a claim, so that a lost lease is noticed.
            await self._ensure_current()
        claimed = False
        now_s = self._clock.monotonic_s()
        for step_id, step in list(self.steps.items()):
            step.current_version = self._version_for(step.spec)
            if step.discard_stale(now_s):
                self.work_added()
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
        await self._change(
            lambda: self._ledger.claim(step_id, body, facts, remaining_s)
        )
        step.mark_claimed(sample.slot for sample in samples)
        if self._ledger.steps[step_id].record.status is StepStatus.COMPLETE:
            self._remove_state(step_id)
        self._batch_added.set()
        return True

    async def _expire(self, step_id: ids.StepId) -> None:
        step = self.steps.get(step_id)
        if step is None or step.deadline_s > self._clock.monotonic_s():
            return
        if step.plan_batch(self._clock.monotonic_s()):
            return
        if self._ledger.steps[step_id].record.status is StepStatus.OPEN:
            await self._change(lambda: self._ledger.expire(step_id))
        self._remove_state(step_id)
        self._batch_added.set()

    async def _acknowledge_up_to(self, cursor: int) -> None:
        while (entry := self._ledger.log.next_after(0)) is not None:
            if entry.record.sequence > cursor:
                return
            acknowledge = functools.partial(self._ledger.acknowledge, entry)
            await self._change(acknowledge)

    async def _issue(self, entry: BatchEntry) -> BatchView:
        body = await self._ledger.body(entry.record)
        await self._change(lambda: self._ledger.issue(entry))
        # The store may have been slow, and another owner may have taken over.
        if self._stale_slots(entry):
            return batch_view(entry)
        self._ledger.guard.fencing_number()
        bound = self._ledger.steps[entry.record.step_id].spec.bound
        valid_for_s = entry.valid_for_s(bound, self._clock.monotonic_s())
        return batch_view(entry, body, valid_for_s)

    async def _replace(self, entry: BatchEntry, stale: dict[int, str]) -> None:
        body = await self._ledger.body(entry.record)
        step = self._state(entry.record.step_id)
        await self._change(lambda: self._ledger.void(entry))
        now_s = self._clock.monotonic_s()
        for fact, delivered in zip(entry.facts, body.samples, strict=True):
            reason = stale.get(fact.slot)
            sample = None
            if reason is None:
                sample = restored_sample(fact.slot, fact.begun_s, delivered)
            else:
                self._count_discard(reason)
            step.release(fact.slot, sample, now_s)
        self.work_added()

    def _stale_slots(self, entry: BatchEntry) -> dict[int, str]:
        spec = self._ledger.steps[entry.record.step_id].spec
        return entry.stale_slots(
            spec.bound, self._version_for(spec), self._clock.monotonic_s()
        )

    async def _change(self, change: Callable[[], Awaitable[object]]) -> None:
        """Apply one change of the ledger.

        :raises RequestError: the rows have changed under this owner.
        """
        try:
            await change()
        except StoreConflictError as error:
            self._metrics.events.labels('rollout_conflict').inc()
            fence = self._ledger.guard.fence_check().key
            if fence in error.keys:
                self._ledger.guard = await self._acquire(self.trainer_id)
            raise RequestError(
                'ownership_changed',
                'the steps of the trainer were changed by another owner',
                status=503,
                retry_after_s=1.0,
            ) from None

    async def _ensure_current(self) -> None:
        """Hold the lease, and read the rows unless memory mirrors them.

        :raises LeaseLostError: another entry owns the trainer.
        """
        held = self._ledger.guard
        if not _holds(held):
            held = await self._acquire(self.trainer_id)
        if held is self._ledger.guard and self._ledger.is_current:
            return
        self._ledger.guard = held
        await self._ledger.load()
        self._reconcile()

    def _reconcile(self) -> None:
        """Take over which slots are claimed, whoever claimed them."""
        records = {
            step_id: entry.record
            for step_id, entry in self._ledger.steps.items()
            if entry.record.status is StepStatus.OPEN
        }
        for step_id in set(self.steps) - set(records):
            self._remove_state(step_id)
        now_s = self._clock.monotonic_s()
        for step_id, record in records.items():
            step = self._state(step_id)
            claimed = set(slot_bits.claimed_slots(record.claims))
            for slot in range(record.slot_count):
                if slot not in claimed:
                    step.release(slot, None, now_s)
            step.mark_claimed(claimed)
        self._batch_added.set()
        self.work_added()

    def _state(self, step_id: ids.StepId) -> StepState:
        """Return the samples of a step; build them if they are not held."""
        if step_id in self.steps:
            return self.steps[step_id]
        entry = self._ledger.steps[step_id]
        now_s = self._clock.monotonic_s()
        step = StepState(
            entry.spec,
            fencing_number=self._ledger.guard.fencing_number(),
            now_s=now_s,
            deadline_s=now_s + entry.record.remaining_s,
            policy=self._scheduler.policy,
            history=self._scheduler.history(self.trainer_id),
            on_discard=self._count_discard,
            sample_numbers=self._scheduler.sample_numbers,
        )
        step.current_version = self._version_for(entry.spec)
        step.mark_claimed(slot_bits.claimed_slots(entry.record.claims))
        self.steps[step_id] = step
        self._scheduler.add_step(step)
        return step

    def _count_discard(self, reason: str) -> None:
        self._metrics.discarded_samples.labels(reason).inc()

    def _remove_state(self, step_id: ids.StepId) -> None:
        now_s = self._clock.monotonic_s()
        self._scheduler.remove_step(self.steps.pop(step_id), now_s)

    def _version_for(self, spec: StepSpec) -> ids.WeightVersion:
        current = self._current_version(spec.service)
        return max(current, self._trainer_version)

    def _authorize(self, client_account_id: ids.ClientAccountId) -> None:
        cursor = self._ledger.cursor
        if cursor and cursor.client_account_id != client_account_id:
            raise RequestError(
                'forbidden_trainer',
                'the trainer belongs to another client account',
                status=403,
                not_run=True,
            )

    def _check_cursor(self, cursor: int) -> None:
        record = self._ledger.cursor
        if record and cursor < record.acknowledged_sequence:
            raise RequestError(
                'cursor_expired',
                f'batches up to {record.acknowledged_sequence} were '
                'acknowledged and are removed',
                status=410,
            )

    def _view(self, step_id: ids.StepId) -> StepView:
        return step_view(
            self._ledger.steps[step_id].record,
            self._ledger.log,
            is_held=step_id in self.steps,
        )


def _holds(guard: LeaseGuard) -> bool:
    try:
        guard.fencing_number()
    except LeaseLostError:
        return False
    return True
