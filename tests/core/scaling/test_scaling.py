"""Tests of scaling decisions."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.scaling import clamp_total
from dogwoodpost.core.scaling import DailyProfile
from dogwoodpost.core.scaling import redistribute_lost_demand
from dogwoodpost.core.scaling import Scaler
from dogwoodpost.core.scaling import ScalingSettings
from dogwoodpost.core.scaling import ZoneLoad

A = ids.AvailabilityZone('a')
B = ids.AvailabilityZone('b')
C = ids.AvailabilityZone('c')
DAY_S = 86_400
HOUR_S = 3600


def settings(**changes: float) -> ScalingSettings:
    defaults = {
        'endpoint_concurrency': 10,
        'min_endpoint_count': 1,
        'max_endpoint_count': 100,
        'start_up_s': 300.0,
        'target_utilisation': 1.0,
        'utilisation_without_history': 0.5,
        'down_delay_s': 600.0,
    }
    return ScalingSettings(**(defaults | changes))


def load(
    zone: ids.AvailabilityZone, running: int, waiting: int = 0, live: int = 1
) -> ZoneLoad:
    return ZoneLoad(
        availability_zone=zone,
        running_count=running,
        waiting_count=waiting,
        live_endpoint_count=live,
    )


def learnt_profile(day: float, peak: float) -> DailyProfile:
    """Return the profile of three days with a peak from 8 to 9 a.m."""
    profile = DailyProfile()
    for step in range(3 * DAY_S // 300):
        in_peak = 8 * HOUR_S <= step * 300 % DAY_S < 9 * HOUR_S
        profile.observe(step * 300.0, peak if in_peak else day)
    return profile


@pytest.mark.parametrize(
    ('wanted', 'minimum', 'maximum', 'expected'),
    [
        ({A: 2, B: 3}, 1, 10, {A: 2, B: 3}),
        ({A: 0, B: 0, C: 0}, 4, 10, {A: 2, B: 1, C: 1}),
        ({A: 5, B: 0}, 6, 10, {A: 5, B: 1}),
        ({A: 30, B: 10}, 1, 20, {A: 15, B: 5}),
        ({A: 3, B: 3, C: 3}, 1, 7, {A: 3, B: 2, C: 2}),
        ({A: 3, B: 3}, 0, 0, {A: 0, B: 0}),
        ({}, 1, 5, {}),
    ],
)
def test_total_stays_within_limits(
    wanted: dict[ids.AvailabilityZone, int],
    minimum: int,
    maximum: int,
    expected: dict[ids.AvailabilityZone, int],
) -> None:
    """Guards against counts outside the service's limits."""
    assert clamp_total(wanted, minimum, maximum) == expected


def test_lost_zone_does_not_count_towards_the_minimum() -> None:
    """Guards against counting endpoints of a lost zone as available."""
    assert clamp_total({A: 1, B: 1, C: 1}, 3, 10, {C}) == {A: 2, B: 1, C: 1}
    assert clamp_total({A: 0}, 2, 10, {A}) == {A: 0}


@pytest.mark.parametrize(
    ('demands', 'lost', 'expected'),
    [
        ({A: 10.0, B: 30.0}, set(), {A: 10.0, B: 30.0}),
        ({A: 10.0, B: 30.0, C: 20.0}, {C}, {A: 15.0, B: 45.0, C: 20.0}),
        ({A: 0.0, B: 0.0, C: 20.0}, {C}, {A: 10.0, B: 10.0, C: 20.0}),
        ({A: 10.0}, {A}, {A: 10.0}),
    ],
)
def test_lost_share_goes_to_the_other_zones(
    demands: dict[ids.AvailabilityZone, float],
    lost: set[ids.AvailabilityZone],
    expected: dict[ids.AvailabilityZone, float],
) -> None:
    """Guards against demand of a lost zone that no other zone serves."""
    assert redistribute_lost_demand(demands, lost) == expected


@pytest.mark.parametrize(
    ('time_s', 'running', 'waiting', 'expected'),
    [
        # At night the forecast and the load agree.
        (4 * HOUR_S, 20, 0, 2),
        # The peak begins within the start-up time.
        (8 * HOUR_S - 290, 20, 0, 10),
        # Queued requests count at any time of day.
        (4 * HOUR_S, 20, 35, 6),
        # The peak is over.
        (10 * HOUR_S, 20, 0, 2),
    ],
)
def test_forecast_and_queue(
    time_s: float, running: int, waiting: int, expected: int
) -> None:
    """Guards against starting endpoints only when requests already wait."""
    scaler = Scaler(settings(), {A: learnt_profile(20.0, 100.0)})
    wall_s = 3 * DAY_S + time_s
    scaler.observe([load(A, running, waiting)], 0.0, wall_s)
    assert scaler.plan({A: 0}, 0.0, wall_s) == {A: expected}


def test_time_without_history_reserves_more() -> None:
    """Guards against a first day without reserve capacity."""
    scaler = Scaler(settings(), {})
    scaler.observe([load(A, 20)], 0.0, 0.0)
    assert scaler.plan({A: 0}, 0.0, 0.0) == {A: 4}


def test_endpoints_stop_only_after_a_lasting_surplus() -> None:
    """Guards against endpoints that are stopped and started in turn."""
    scaler = Scaler(settings(), {A: learnt_profile(20.0, 100.0)})
    counts = []
    for step in range(12):
        now_s = step * 100.0
        wall_s = 3 * DAY_S + 10 * HOUR_S + now_s
        scaler.observe([load(A, 20)], now_s, wall_s)
        counts.append(scaler.plan({A: 5}, now_s, wall_s)[A])
    assert counts == [5] * 6 + [2] * 6


def test_no_endpoint_stops_shortly_before_the_peak() -> None:
    """Guards against stopping an endpoint that is needed minutes later."""
    scaler = Scaler(settings(), {A: learnt_profile(20.0, 100.0)})
    for step in range(10):
        wall_s = 3 * DAY_S + 8 * HOUR_S - 890 + step * 10.0
        scaler.observe([load(A, 20)], step * 100.0, wall_s)
        assert scaler.plan({A: 8}, step * 100.0, wall_s) == {A: 8}


def test_lost_zone_is_made_up_for_and_comes_back() -> None:
    """Guards against a lost zone that is not replaced or never restored."""
    profiles = {zone: learnt_profile(20.0, 20.0) for zone in (A, B, C)}
    scaler = Scaler(settings(), profiles)
    current = {A: 2, B: 2, C: 2}
    wanted = []
    for step, live in enumerate([1, 0, 0, 0, 1]):
        now_s = step * 10.0
        wall_s = 3 * DAY_S + 4 * HOUR_S + now_s
        loads = [load(A, 20), load(B, 20), load(C, 20 * live, live=live)]
        scaler.observe(loads, now_s, wall_s)
        wanted.append(scaler.plan(current, now_s, wall_s))
    assert wanted[1] == current
    assert wanted[3] == {A: 3, B: 3, C: 2}
    assert scaler.lost_zones == set()
    assert wanted[4] == current


def test_zone_without_demand_is_not_lost() -> None:
    """Guards against treating a planned stop of all endpoints as a loss."""
    scaler = Scaler(settings(min_endpoint_count=0), {A: DailyProfile()})
    for step, live in enumerate([1] * 80 + [0] * 10):
        now_s = step * 10.0
        scaler.observe([load(A, 0, live=live)], now_s, now_s)
        wanted = scaler.plan({A: live}, now_s, now_s)
    assert wanted == {A: 0}
    assert scaler.lost_zones == set()


def test_forecast_follows_a_busier_day() -> None:
    """Guards against a forecast that ignores today's higher demand."""
    scaler = Scaler(settings(), {A: learnt_profile(20.0, 100.0)})
    for step in range(60):
        wall_s = 3 * DAY_S + 7 * HOUR_S + 51 * 60 + step * 5.0
        scaler.observe([load(A, 30)], step * 5.0, wall_s)
    assert scaler.plan({A: 0}, 300.0, wall_s)[A] == 15
