"""Time limits of the runs of one item."""

from __future__ import annotations

from dogwoodpost.core.batches.run_timeouts import RunTimeouts


def test_only_repeated_silence_gives_more_time() -> None:
    """Guards against slow streams that are cut at each run, without an end.

    One silent endpoint must not make the next one's loss cost more.
    """
    limits = RunTimeouts()
    first_s = limits.idle_timeout_s
    limits.record_interruption(is_silent=True, has_new_events=False)
    assert limits.idle_timeout_s == first_s
    limits.record_interruption(is_silent=True, has_new_events=False)
    assert limits.idle_timeout_s == 2 * first_s
    for _ in range(20):
        limits.record_interruption(is_silent=True, has_new_events=False)
    assert limits.idle_timeout_s == 8 * first_s
    assert limits.head_timeout_s > limits.idle_timeout_s


def test_repeats_without_events_slow_down() -> None:
    """Guards against busy loops while all endpoints break off."""
    limits = RunTimeouts()
    pauses = [
        limits.record_interruption(is_silent=False, has_new_events=False)
        for _ in range(20)
    ]
    assert pauses[0] == 0.0
    assert pauses == sorted(pauses)
    assert pauses[-1] == 1.0
    assert (
        limits.record_interruption(is_silent=False, has_new_events=True) == 0.0
    )
