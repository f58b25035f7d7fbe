"""Views of steps, batches and samples that trainers receive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.rollouts import slot_bitmap
from dogwoodpost.core.rollouts.batch_log import DELIVERABLE_STATES
from dogwoodpost.core.rollouts.records import DeliveredSample
from dogwoodpost.core.rollouts.records import StepStatus
from dogwoodpost.core.rollouts.sample import Sample
from dogwoodpost.core.rollouts.trainer_api import BatchView
from dogwoodpost.core.rollouts.trainer_api import StepView
from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.rollouts.batch_log import BatchEntry
    from dogwoodpost.core.rollouts.batch_log import BatchLog
    from dogwoodpost.core.rollouts.records import BatchBody
    from dogwoodpost.core.rollouts.records import CursorRecord
    from dogwoodpost.core.rollouts.records import StepRecord
    from dogwoodpost.core.rollouts.step_state import StepState


def step_view(
    record: StepRecord, log: BatchLog, *, is_active: bool
) -> StepView:
    """Return the state of a step.

    :param is_active: the owner still runs the step, which may get batches.
    """
    sequences = [
        entry.record.sequence
        for entry in log.entries()
        if entry.record.step_id == record.step_id
        and entry.record.state in DELIVERABLE_STATES
    ]
    claimed_count = sum(1 for _ in slot_bitmap.claimed_slots(record.claims))
    is_open = record.status is StepStatus.OPEN or is_active
    return StepView(
        step_id=record.step_id,
        status=record.status,
        slot_count=record.slot_count,
        claimed_count=claimed_count,
        is_finished=not is_open,
        last_cursor=str(max(sequences, default=0)),
    )


def find_batch(
    log: BatchLog, cursor: CursorRecord | None, batch_id: ids.BatchId
) -> BatchEntry | None:
    """Return a batch, or None if it was settled and removed.

    :raises RequestError: no such batch was ever created.
    """
    step_id, _, number = batch_id.rpartition('.')
    sequence = int(number) if number.isdecimal() else 0
    entry = log.get(sequence)
    if entry is not None and entry.record.step_id == step_id:
        return entry
    settled_sequence = cursor.settled_sequence if cursor else 0
    if entry is None and 0 < sequence <= settled_sequence:
        return None
    message = f'batch {batch_id} does not exist'
    raise RequestError('unknown_batch', message, status=404)


def settlement_conflict(batch_id: ids.BatchId) -> RequestError:
    """Return the error for contradictory acknowledgements of a batch."""
    message = f'batch {batch_id} was already settled differently'
    return RequestError('batch_settled', message, status=409)


def delivered_sample(step: StepState, sample: Sample) -> DeliveredSample:
    """Return a scored sample as delivered to a trainer."""
    assert sample.score is not None
    return DeliveredSample(
        sample_id=sample.sample_id,
        group=sample.group,
        index=sample.slot % step.spec.samples_per_group,
        prompt=step.prompt(sample),
        completion=sample.completion,
        segments=sample.segments,
        score=sample.score,
    )


def restored_sample(
    slot: int, begun_s: float | None, delivered: DeliveredSample
) -> Sample:
    """Return a sample of a voided batch, to be claimed again."""
    return Sample(
        sample_id=delivered.sample_id,
        slot=slot,
        group=delivered.group,
        completion=delivered.completion,
        segments=delivered.segments,
        token_count=sum(segment.token_count for segment in delivered.segments),
        begun_s=begun_s,
        score=delivered.score,
    )


def batch_view(
    entry: BatchEntry,
    body: BatchBody | None = None,
    valid_for_s: float | None = None,
) -> BatchView:
    """Return a batch as delivered to a trainer.

    Without a body, the view asks the trainer whether it received the batch.
    """
    return BatchView(
        batch_id=entry.record.batch_id,
        cursor=str(entry.record.sequence),
        step_id=entry.record.step_id,
        samples=body.samples if body is not None else None,
        valid_for_s=valid_for_s,
    )
