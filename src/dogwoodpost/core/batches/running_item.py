"""State of a running item that may move to another endpoint."""

from __future__ import annotations

import msgspec


class RunningItem(msgspec.Struct, frozen=True, kw_only=True):
    """What a decision about a move needs to know of an item.

    :param event_count: expected number of events left; 0.0 if unknown.
    :param run_duration_s: time since the run began.
    :param move_count: number of earlier moves.
    :param move_cost_s: expected cost of a move.
    """

    event_count: float
    run_duration_s: float
    move_count: int
    move_cost_s: float
