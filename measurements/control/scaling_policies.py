"""Scaling policies that the measurement compares."""

from __future__ import annotations

import math
from typing import Protocol
from typing import TYPE_CHECKING

from dogwoodpost.core.scaling import Scaler
from dogwoodpost.core.scaling import ScalingSettings
from dogwoodpost.core.scaling import ZoneLoad

if TYPE_CHECKING:
    from measurements.control.day_traffic import Site
    from measurements.control.day_traffic import Zone


class Policy(Protocol):
    """Plans how many endpoints each zone should have."""

    def plan(
        self,
        loads: list[ZoneLoad],
        current: dict[Zone, int],
        time_s: float,
    ) -> dict[Zone, int]:
        """Return the wanted endpoint count of each zone."""


class FixedPolicy:
    """Keeps the same number of endpoints all day."""

    def __init__(self, counts: dict[Zone, int]) -> None:
        self._counts = counts

    def plan(
        self, loads: list[ZoneLoad], current: dict[Zone, int], time_s: float
    ) -> dict[Zone, int]:
        """Return the fixed counts."""
        return self._counts


class ReactivePolicy:
    """Keeps the utilisation below a threshold.

    Scales up without delay, and down once the lower count has been enough for
    ``down_delay_s``.
    """

    def __init__(
        self, concurrency: int, threshold: float, down_delay_s: float
    ) -> None:
        self._target_concurrency = concurrency * threshold
        self._down_delay_s = down_delay_s
        self._surplus_since_s: dict[Zone, float] = {}

    def plan(
        self, loads: list[ZoneLoad], current: dict[Zone, int], time_s: float
    ) -> dict[Zone, int]:
        """Return the counts that the present load needs."""
        wanted = {}
        for load in loads:
            zone = load.availability_zone
            demand = load.running_count + load.waiting_count
            needed = max(1, math.ceil(demand / self._target_concurrency))
            if needed >= current[zone]:
                self._surplus_since_s.pop(zone, None)
                wanted[zone] = needed
                continue
            since_s = self._surplus_since_s.setdefault(zone, time_s)
            is_due = time_s - since_s >= self._down_delay_s
            wanted[zone] = needed if is_due else current[zone]
        return wanted


class ForecastPolicy:
    """The project's scaler with its default settings."""

    def __init__(self, site: Site) -> None:
        settings = ScalingSettings(
            endpoint_concurrency=site.endpoint_concurrency,
            min_endpoint_count=len(site.zone_peaks),
            max_endpoint_count=100_000,
            start_up_s=site.start_up_s,
        )
        self._scaler = Scaler(settings, {})

    def plan(
        self, loads: list[ZoneLoad], current: dict[Zone, int], time_s: float
    ) -> dict[Zone, int]:
        """Record the loads, then return the planned counts."""
        self._scaler.observe(loads, time_s, time_s)
        return self._scaler.plan(current, time_s, time_s)
