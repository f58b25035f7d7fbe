"""Decides whether a running item moves to another endpoint."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.batches.expected_gap import ExpectedGap

if TYPE_CHECKING:
    from dogwoodpost.core.batches.running_item import RunningItem

MAX_MOVE_COUNT = 4
_MIN_RUN_DURATION_S = 0.5
_MIN_GAIN_S = 0.3
_MIN_GAIN_SHARE = 0.2
# The gain of a shorter remainder is within the error of its estimate.
_SHORT_REMAINDER_S = 0.6


class MoveOutcome(Enum):
    """Outcome of a decision; values are parts of metric labels."""

    CHOSEN = 'chosen'
    MOVE_LIMIT = 'move_limit'
    EARLY = 'early'
    ITEMS_WAIT = 'items_wait'
    UNKNOWN_LENGTH = 'unknown_length'
    SHORT_REMAINDER = 'short_remainder'
    NO_ENDPOINT = 'no_endpoint'
    TEMPORARY = 'temporary'
    SMALL_GAIN = 'small_gain'


class MoveDecision(msgspec.Struct, frozen=True):
    """A decision, with the gap that it expects at the item's endpoint.

    :param own_gap: None if the item stays whatever the gap is.
    """

    outcome: MoveOutcome
    own_gap: ExpectedGap | None = None


def early_decline(
    item: RunningItem, *, items_wait: bool = False
) -> MoveOutcome | None:
    """Return why an item stays wherever it runs, None if it may move.

    :param items_wait: whether other items wait for a slot.
    """
    if item.move_count >= MAX_MOVE_COUNT:
        return MoveOutcome.MOVE_LIMIT
    if item.run_duration_s < _MIN_RUN_DURATION_S:
        return MoveOutcome.EARLY
    if items_wait:
        return MoveOutcome.ITEMS_WAIT
    if item.event_count <= 0.0:
        return MoveOutcome.UNKNOWN_LENGTH
    return None


def decide_move(
    item: RunningItem, own: ExpectedGap, other_end_s: float | None
) -> MoveOutcome:
    """Return whether an item that may move moves, or why it stays.

    :param own: gap at the endpoint where the item runs.
    :param other_end_s: expected time until its end at the best other endpoint
        without the cost of the move, None without one.
    """
    own_end_s = own.duration_s(item.event_count)
    if own_end_s < _SHORT_REMAINDER_S:
        return MoveOutcome.SHORT_REMAINDER
    if other_end_s is None:
        return MoveOutcome.NO_ENDPOINT
    gain_s = own_end_s - other_end_s - item.move_cost_s
    if gain_s < max(_MIN_GAIN_S, _MIN_GAIN_SHARE * own_end_s):
        return MoveOutcome.SMALL_GAIN
    if own.is_temporary_slowdown:
        return MoveOutcome.TEMPORARY
    return MoveOutcome.CHOSEN
