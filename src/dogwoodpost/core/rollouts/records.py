"""Stored rows and objects of steps and batches."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.rollouts import slot_bitmap
from dogwoodpost.ports.sample_dispatcher import TokenSegment

if TYPE_CHECKING:
    from collections.abc import Iterable


class StepStatus(Enum):
    """State of a step."""

    OPEN = 'open'
    COMPLETE = 'complete'
    EXPIRED = 'expired'


class StepRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Row of a step.

    ``number`` counts the steps of a trainer. ``digest`` identifies the
    specification, which is stored as an object. ``claims`` has one bit per
    slot. ``remaining_s`` is the time to the deadline as of the last write; an
    absolute time would not hold because hosts do not share a clock.
    """

    step_id: ids.StepId
    number: int
    digest: str
    slot_count: int
    claims: bytes
    remaining_s: float
    status: StepStatus = StepStatus.OPEN

    def with_claims(
        self, slots: Iterable[int], *, claimed: bool
    ) -> StepRecord:
        """Return the row with slots claimed or released."""
        claims = slot_bitmap.with_slots(self.claims, slots, claimed=claimed)
        status = self.status
        if status is not StepStatus.EXPIRED:
            count = sum(1 for _ in slot_bitmap.claimed_slots(claims))
            is_complete = count == self.slot_count
            status = StepStatus.COMPLETE if is_complete else StepStatus.OPEN
        return msgspec.structs.replace(self, claims=claims, status=status)


class BatchState(Enum):
    """State of a batch.

    A batch becomes ISSUED before its first byte is sent. A VOID batch was
    replaced and is never sent again; its row stays until the settled sequence
    has passed it, so that its sequence number is not reused.
    """

    READY = 'ready'
    ISSUED = 'issued'
    ACKNOWLEDGED = 'acknowledged'
    VOID = 'void'


class BatchRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Row of a batch; its samples are in the object ``object_name``."""

    batch_id: ids.BatchId
    sequence: int
    step_id: ids.StepId
    slots: tuple[int, ...]
    object_name: str
    state: BatchState = BatchState.READY


class CursorRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Row of a trainer, which belongs to one client account.

    All batches up to ``settled_sequence`` are removed.
    ``acknowledged_sequence`` is the last of them that the trainer
    acknowledged.
    """

    client_account_id: ids.ClientAccountId
    settled_sequence: int = 0
    acknowledged_sequence: int = 0


class DeliveredSample(msgspec.Struct, frozen=True, kw_only=True):
    """A scored sample as delivered to a trainer."""

    sample_id: ids.SampleId
    group: int
    index: int
    prompt: str
    completion: str
    segments: tuple[TokenSegment, ...]
    score: float


class BatchBody(msgspec.Struct, frozen=True, kw_only=True):
    """Stored object with the samples of a batch."""

    samples: tuple[DeliveredSample, ...]


def step_prefix(trainer_id: ids.TrainerId) -> str:
    """Return the key prefix of a trainer's steps."""
    return f'rollout/{trainer_id}/step/'


def step_key(trainer_id: ids.TrainerId, step_id: ids.StepId) -> str:
    """Return the key of a step's row."""
    return f'{step_prefix(trainer_id)}{step_id}'


def batch_prefix(trainer_id: ids.TrainerId) -> str:
    """Return the key prefix of a trainer's batches."""
    return f'rollout/{trainer_id}/batch/'


def batch_key(trainer_id: ids.TrainerId, sequence: int) -> str:
    """Return the key of a batch's row; keys sort by sequence number."""
    return f'{batch_prefix(trainer_id)}{sequence:012d}'


def cursor_key(trainer_id: ids.TrainerId) -> str:
    """Return the key of a trainer's cursor row."""
    return f'rollout/{trainer_id}/cursor'


def spec_object(
    trainer_id: ids.TrainerId, step_id: ids.StepId, digest: str
) -> str:
    """Return the name of the object that holds a specification."""
    return f'rollout/{trainer_id}/{step_id}/spec-{digest}'
