"""Settings of the scheduler, which measurements compare."""

from __future__ import annotations

import msgspec


class SchedulingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How samples are ordered, split into dispatches and claimed.

    The first dispatch of a sample generates at most ``first_slice_tokens``.
    A partial sample resumes for at most as many tokens as it already has, up
    to ``max_slice_tokens``. If ``first_slice_tokens`` is None, a dispatch runs
    to the sample's end. ``long_first`` orders samples by expected remaining
    length; otherwise they run in order of submission. ``avoid_slow`` keeps
    resumed samples away from slow endpoints. A batch is claimed once it has
    ``batch_sample_count`` samples, its oldest group has been complete for
    ``flush_after_s``, or all other samples are claimed. Dispatching pauses at
    ``max_claimable_count`` unclaimed samples in complete groups.
    ``retry_base_s`` and ``retry_cap_s`` bound the delay after a failed
    dispatch.
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
