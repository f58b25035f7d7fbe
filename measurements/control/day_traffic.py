"""Simulated arrivals of requests over a day with a morning peak."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids

if TYPE_CHECKING:
    import random

DAY_S = 86_400
STEP_S = 15.0
SERVICE_TIME_S = 20.0
NIGHT_LOAD_SHARE = 0.2
MORNING_START_S = 8 * 3600.0

Zone = ids.AvailabilityZone


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """A service whose scaling is measured.

    :param zone_peaks: peak number of concurrent requests by zone.
    :param start_up_s: time until a new endpoint is ready.
    :param ramp_s: duration of the morning rise to the peak.
    :param is_gated: whether the saving must reach its target.
    """

    name: str
    zone_peaks: dict[Zone, float]
    start_up_s: float
    ramp_s: float
    endpoint_concurrency: int = 32
    is_gated: bool = False


class Day(msgspec.Struct, frozen=True):
    """Arrivals of one day, per step and zone."""

    arrivals: list[dict[Zone, float]]


def draw_day(site: Site, rng: random.Random) -> Day:
    """Return a day with a random level, time of peak and noise."""
    level = rng.uniform(0.93, 1.07)
    shift_s = rng.uniform(-300.0, 300.0)
    deviation = 0.0
    shape = _day_shape(site.ramp_s)
    arrivals = []
    for step in range(int(DAY_S / STEP_S)):
        deviation = 0.98 * deviation + rng.gauss(0.0, 0.01)
        share = _share_at(shape, (step * STEP_S + shift_s) % DAY_S)
        rate = (
            share * level * max(0.0, 1.0 + deviation) * STEP_S / SERVICE_TIME_S
        )
        arrivals.append(
            {
                zone: _draw_count(rng, peak * rate)
                for zone, peak in site.zone_peaks.items()
            }
        )
    return Day(arrivals)


def _draw_count(rng: random.Random, mean: float) -> float:
    """Return a random count, approximately Poisson distributed."""
    return float(max(0, round(rng.gauss(mean, math.sqrt(mean)))))


def _day_shape(ramp_s: float) -> list[tuple[float, float]]:
    """Return (time of day in s, share of the peak), linear in between."""
    return [
        (0.0, NIGHT_LOAD_SHARE),
        (6 * 3600.0, NIGHT_LOAD_SHARE),
        (MORNING_START_S, 0.3),
        (MORNING_START_S + ramp_s, 1.0),
        (9.5 * 3600.0, 0.95),
        (12 * 3600.0, 0.6),
        (17 * 3600.0, 0.5),
        (20 * 3600.0, 0.3),
        (float(DAY_S), NIGHT_LOAD_SHARE),
    ]


def _share_at(shape: list[tuple[float, float]], time_s: float) -> float:
    for (start_s, low), (end_s, high) in itertools.pairwise(shape):
        if start_s <= time_s <= end_s:
            return low + (high - low) * (time_s - start_s) / (end_s - start_s)
    return NIGHT_LOAD_SHARE
