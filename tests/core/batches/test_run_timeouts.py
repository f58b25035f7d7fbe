"""Timeouts of the runs of one batch item."""

from __future__ import annotations

from dogwoodpost.core.batches.run_timeouts import RunTimeouts


def test_only_repeated_silence_extends_the_timeouts() -> None:
    """Guards against slow streams that are interrupted in every run.

    A single silent endpoint must not extend the timeout for the next one.
    """
    timeouts = RunTimeouts()
    first_s = timeouts.idle_timeout_s
    timeouts.record_interruption(is_silent=True, has_new_events=False)
    assert timeouts.idle_timeout_s == first_s
    timeouts.record_interruption(is_silent=True, has_new_events=False)
    assert timeouts.idle_timeout_s == 2 * first_s
    for _ in range(20):
        timeouts.record_interruption(is_silent=True, has_new_events=False)
    assert timeouts.idle_timeout_s == 8 * first_s
    assert timeouts.head_timeout_s > timeouts.idle_timeout_s


def test_connections_for_a_run_after_a_silent_one_are_limited() -> None:
    """Guards against retries on a connection that may be silent too."""
    timeouts = RunTimeouts()
    assert timeouts.max_idle_s is None
    for _ in range(9):
        silence_s = timeouts.idle_timeout_s
        timeouts.record_interruption(is_silent=True, has_new_events=False)
        assert timeouts.max_idle_s is not None
        assert 0.0 < timeouts.max_idle_s <= min(silence_s / 2, 1.0)
    timeouts.record_interruption(is_silent=False, has_new_events=True)
    assert timeouts.max_idle_s is None


def test_pauses_grow_between_runs_without_events() -> None:
    """Guards against busy loops while all endpoints fail."""
    timeouts = RunTimeouts()
    pauses = [
        timeouts.record_interruption(is_silent=False, has_new_events=False)
        for _ in range(20)
    ]
    assert pauses[0] == 0.0
    assert pauses == sorted(pauses)
    assert pauses[-1] == 1.0
    assert (
        timeouts.record_interruption(is_silent=False, has_new_events=True)
        == 0.0
    )
