"""Time limits of the runs of one item."""

from __future__ import annotations

from dogwoodpost.core.batches.run_limits import RunLimits


def test_only_repeated_silence_gives_more_time() -> None:
    """Guards against slow streams that are cut at each run, without an end.

    One silent endpoint must not make the next one's loss cost more.
    """
    limits = RunLimits()
    first_s = limits.silence_s
    limits.note_break(is_silent=True, brought_events=False)
    assert limits.silence_s == first_s
    limits.note_break(is_silent=True, brought_events=False)
    assert limits.silence_s == 2 * first_s
    for _ in range(20):
        limits.note_break(is_silent=True, brought_events=False)
    assert limits.silence_s == 8 * first_s
    assert limits.head_timeout_s > limits.silence_s


def test_repeats_without_events_slow_down() -> None:
    """Guards against busy loops while all endpoints break off."""
    limits = RunLimits()
    pauses = [
        limits.note_break(is_silent=False, brought_events=False)
        for _ in range(20)
    ]
    assert pauses[0] == 0.0
    assert pauses == sorted(pauses)
    assert pauses[-1] == 1.0
    assert limits.note_break(is_silent=False, brought_events=True) == 0.0
