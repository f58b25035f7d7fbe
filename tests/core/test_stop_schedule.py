"""Stages of a planned stop."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies

from dogwoodpost.core.stop_schedule import BALANCER_NOTICE_S
from dogwoodpost.core.stop_schedule import StopSchedule

TIMES_S = strategies.floats(0.0, 60.0)


@given(start_s=TIMES_S, grace_s=TIMES_S)
def test_stages_follow_each_other_within_the_grace_period(
    start_s: float, grace_s: float
) -> None:
    """Guards against a process that is killed while it still works."""
    schedule = StopSchedule(start_s=start_s, grace_s=grace_s)
    ends_s = [
        start_s,
        schedule.items_end_s,
        schedule.requests_end_s,
        schedule.exit_s,
        start_s + grace_s,
    ]
    assert ends_s == sorted(ends_s)
    assert start_s <= schedule.notice_end_s <= schedule.requests_end_s


@given(
    after_s=strategies.floats(0.0, 20.0),
    grace_s=strategies.floats(4.0, 20.0),
    limit_s=strategies.floats(0.001, 20.0),
)
def test_late_request_is_taken_only_if_it_can_end(
    after_s: float, grace_s: float, limit_s: float
) -> None:
    """Guards against a request that the end of the stop cuts."""
    schedule = StopSchedule(start_s=100.0, grace_s=grace_s)
    now_s = 100.0 + after_s
    is_taken = schedule.may_take(limit_s, now_s)
    if after_s <= BALANCER_NOTICE_S:
        assert is_taken
    elif after_s > BALANCER_NOTICE_S + 0.3:
        assert is_taken == (now_s + limit_s <= schedule.requests_end_s)


@given(grace_s=strategies.floats(0.1, 60.0))
def test_running_requests_have_five_sixths_of_the_grace(
    grace_s: float,
) -> None:
    """Guards against requests that a stop with a short grace period cuts.

    A request that was sent right after the signal may be cut only in the last
    sixth of the grace period.
    """
    schedule = StopSchedule(start_s=0.0, grace_s=grace_s)
    assert schedule.requests_end_s >= grace_s * 5 / 6
    assert not schedule.may_take(0.01, schedule.requests_end_s)
