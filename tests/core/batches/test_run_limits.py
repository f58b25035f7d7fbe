"""Time limits of the runs of one item."""

from __future__ import annotations

from dogwoodpost.core.batches.run_limits import RunLimits


def test_only_repeated_silence_gives_more_time() -> None:
    """Guards against slow streams that are cut at each run, without an end.

    One silent endpoint must not make the next one's loss cost more.
    """
    limits = RunLimits()
    first_s = limits.silence_s
    limits.note_silence()
    assert limits.silence_s == first_s
    limits.note_silence()
    assert limits.silence_s == 2 * first_s
    for _ in range(20):
        limits.note_silence()
    assert limits.silence_s == 8 * first_s
    assert limits.head_timeout_s > limits.silence_s
