"""Choices of the scheduler, so that measurements can compare them."""

from __future__ import annotations

import msgspec


class SchedulingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How samples are ordered and cut into dispatches.

    A dispatch of a new sample is limited to ``first_slice_tokens``. A sample
    that is cut off continues for as many tokens again as it has, at most
    ``max_slice_tokens``. Without a limit a dispatch runs to the sample's end.
    ``long_first`` orders by expected remaining length, otherwise samples run
    in order. ``avoid_slow`` keeps resumed samples from slow endpoints.
    """

    first_slice_tokens: int | None = 250
    max_slice_tokens: int = 3_000
    long_first: bool = True
    avoid_slow: bool = True
    batch_sample_count: int = 64
    flush_after_s: float = 10.0
    max_claimable_count: int = 4_096
    retry_base_s: float = 0.5
    retry_cap_s: float = 15.0


FIFO = SchedulingPolicy(
    first_slice_tokens=None,
    long_first=False,
    avoid_slow=False,
)
