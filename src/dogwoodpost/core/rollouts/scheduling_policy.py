"""Choices of the scheduler, so that measurements can compare them."""

from __future__ import annotations

import msgspec


class SchedulingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How samples are ordered and cut into dispatches.

    A dispatch is limited to ``first_slice_s`` for a new sample and to
    ``later_slice_s`` for one that is resumed; None runs it to its end.
    ``long_first`` orders by expected remaining length, otherwise samples run
    in the order of their slots. ``avoid_slow`` keeps resumed samples from
    slow endpoints. ``fair_shares`` divides the engines between trainers,
    otherwise the oldest step goes first.
    """

    first_slice_s: float | None = 20.0
    later_slice_s: float | None = 60.0
    long_first: bool = True
    avoid_slow: bool = True
    fair_shares: bool = True
    batch_sample_count: int = 64
    flush_after_s: float = 10.0
    max_pending_count: int = 4_096
    retry_base_s: float = 0.5
    retry_cap_s: float = 15.0


FIFO = SchedulingPolicy(
    first_slice_s=None,
    later_slice_s=None,
    long_first=False,
    avoid_slow=False,
    fair_shares=False,
)
