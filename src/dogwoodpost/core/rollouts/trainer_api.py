"""JSON bodies of the HTTP interface for trainers."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.rollouts.records import DeliveredSample
from dogwoodpost.core.rollouts.records import StepStatus

PATH_PREFIX = '/rollouts/v1'


class StepSubmission(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a submission; repeating it with the same content is safe."""

    step_id: ids.StepId
    service: ids.ServiceName
    prompts: tuple[str, ...]
    samples_per_group: int
    max_tokens: int
    max_version_lag: int
    deadline_s: float
    max_age_s: float | None = None


class StepView(msgspec.Struct, frozen=True, kw_only=True):
    """State of a step.

    ``claimed_count`` is the number of samples that are in batches.
    ``is_finished`` is true if no batch will follow ``last_cursor``.
    """

    step_id: ids.StepId
    status: StepStatus
    slot_count: int
    claimed_count: int
    is_finished: bool
    last_cursor: str


class BatchView(msgspec.Struct, frozen=True, kw_only=True):
    """A batch as delivered to a trainer.

    ``samples`` is None if the batch was sent before and has become stale
    since. The trainer then states in its acknowledgement whether it received
    the batch. ``valid_for_s`` is for how long the samples stay within their
    age bound.
    """

    batch_id: ids.BatchId
    cursor: str
    step_id: ids.StepId
    samples: tuple[DeliveredSample, ...] | None
    valid_for_s: float | None = None


class FetchReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a fetch; ``held_s`` is how long the server waited."""

    batch: BatchView | None
    held_s: float = 0.0


class Acknowledgement(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an acknowledgement; a batch not received is replaced."""

    received: bool = True


class ErrorDetail(msgspec.Struct, frozen=True, kw_only=True):
    """Details of an error response."""

    code: str
    message: str
    not_run: bool = False
    retry_after_s: float | None = None


class ErrorReply(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an error response."""

    error: ErrorDetail
