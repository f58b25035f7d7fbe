"""Batch that the client delivers to a trainer."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.rollouts.records import DeliveredSample


class Batch(msgspec.Struct, frozen=True, kw_only=True):
    """Scored samples of complete groups of one step."""

    batch_id: ids.BatchId
    cursor: str
    step_id: ids.StepId
    samples: tuple[DeliveredSample, ...]
