"""Planning of a service's endpoint count in each availability zone."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.scaling.daily_profile import DailyProfile
from dogwoodpost.core.scaling.spread import clamp_total
from dogwoodpost.core.scaling.spread import redistribute_lost_demand

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence


class ScalingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Scaling parameters of a service and its endpoints.

    :param endpoint_concurrency: concurrent requests that one endpoint serves.
    :param min_endpoint_count: lower limit over all zones; lost zones do not
        count towards it.
    :param max_endpoint_count: upper limit over all zones.
    :param start_up_s: from an order until a new endpoint serves.
    :param target_utilisation: share of an endpoint's concurrency that the
        forecast may fill.
    :param utilisation_without_history: share of an endpoint's concurrency
        that the current demand may fill at times of day that were never
        observed.
    :param deviation_count: how many usual deviations the forecast adds to
        the mean demand.
    :param down_delay_s: how long a smaller number of endpoints must have
        been sufficient before endpoints are stopped. The smaller number must
        also be sufficient for the start-up time and this long after it, so
        that no endpoint is stopped shortly before it is needed.
    :param lost_after_s: how long a zone that should have endpoints has none
        that is live before it counts as lost.
    """

    endpoint_concurrency: int
    min_endpoint_count: int
    max_endpoint_count: int
    start_up_s: float
    target_utilisation: float = 0.95
    utilisation_without_history: float = 0.5
    deviation_count: float = 1.0
    down_delay_s: float = 300.0
    lost_after_s: float = 15.0


class ZoneLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a service in one availability zone.

    :param running_count: requests in progress at endpoints.
    :param waiting_count: queued requests.
    """

    availability_zone: ids.AvailabilityZone
    running_count: int
    waiting_count: int
    live_endpoint_count: int


class _ZoneState:
    """Scaling state of one zone.

    ``surplus_since_s`` is since when the zone has had more endpoints than it
    needs; None if it has no surplus.
    """

    def __init__(self, profile: DailyProfile) -> None:
        self.profile = profile
        self.demand = 0.0
        self.last_live_s: float | None = None
        self.is_lost = False
        self.wanted_count = 0
        self.surplus_since_s: float | None = None


# The ratio follows the demand of about the last minute. The reserve that the
# target utilisation leaves absorbs shorter fluctuations.
_RATIO_TIME_CONSTANT_S = 60.0
_DEMAND_RATIO_RANGE = (0.5, 2.0)


class Scaler:
    """Scaling state of one service over all availability zones.

    The lease holder of each region runs a scaler over the zones of all
    regions and orders endpoints only for the zones of its own region. If a
    zone is lost, the other regions therefore add endpoints as well.
    """

    def __init__(
        self,
        settings: ScalingSettings,
        profiles: Mapping[ids.AvailabilityZone, DailyProfile],
    ) -> None:
        self._settings = settings
        self._zones = {
            zone: _ZoneState(profile) for zone, profile in profiles.items()
        }
        self._demand_ratio = 1.0
        self._observed_s: float | None = None

    @property
    def profiles(self) -> dict[ids.AvailabilityZone, DailyProfile]:
        """Return the profiles, from which a later lease holder starts."""
        return {zone: state.profile for zone, state in self._zones.items()}

    @property
    def lost_zones(self) -> set[ids.AvailabilityZone]:
        """Return the zones that have lost all their endpoints."""
        return {zone for zone, state in self._zones.items() if state.is_lost}

    def observe(
        self, loads: Sequence[ZoneLoad], now_s: float, wall_s: float
    ) -> None:
        """Update the state from the loads of all zones.

        :param now_s: monotonic time.
        :param wall_s: wall-clock time, for the time of day.
        """
        for load in loads:
            state = self._zones.setdefault(
                load.availability_zone, _ZoneState(DailyProfile())
            )
            state.demand = float(load.running_count + load.waiting_count)
            self._update_zone(state, load, now_s)
        # While a zone is lost, callers are moved to other zones, which would
        # distort the profiles.
        if not self.lost_zones:
            for state in self._zones.values():
                state.profile.observe(wall_s, state.demand)
        self._update_demand_ratio(now_s, wall_s)

    def plan(
        self,
        current: Mapping[ids.AvailabilityZone, int],
        now_s: float,
        wall_s: float,
    ) -> dict[ids.AvailabilityZone, int]:
        """Return the wanted endpoint count of each zone.

        :param current: number of running and starting endpoints per zone.
        :param now_s: monotonic time.
        :param wall_s: wall-clock time, for the time of day.
        """
        lead_s = self._settings.start_up_s
        needed = self._needed_counts(wall_s, wall_s + lead_s)
        needed_later = self._needed_counts(
            wall_s, wall_s + lead_s + self._settings.down_delay_s
        )
        wanted = {
            zone: self._delay_scale_down(
                state,
                current.get(zone, 0),
                needed[zone],
                needed_later[zone],
                now_s,
            )
            for zone, state in self._zones.items()
        }
        clamped = clamp_total(
            wanted,
            self._settings.min_endpoint_count,
            self._settings.max_endpoint_count,
            self.lost_zones,
        )
        for zone, count in clamped.items():
            self._zones[zone].wanted_count = count
        return clamped

    def _needed_counts(
        self, from_s: float, to_s: float
    ) -> dict[ids.AvailabilityZone, int]:
        """Return the endpoint count that each zone needs in a time range."""
        slots = {
            zone: self._needed_slots(state, from_s, to_s)
            for zone, state in self._zones.items()
        }
        carried = redistribute_lost_demand(slots, self.lost_zones)
        concurrency = self._settings.endpoint_concurrency
        return {
            zone: math.ceil(
                max(needed, self._zones[zone].demand) / concurrency
            )
            for zone, needed in carried.items()
        }

    def _needed_slots(
        self, state: _ZoneState, from_s: float, to_s: float
    ) -> float:
        """Return the concurrency that the forecast requires.

        Without a forecast, the current demand decides.
        """
        settings = self._settings
        expected = state.profile.expected(
            from_s, to_s, settings.deviation_count
        )
        if expected is None:
            return state.demand / settings.utilisation_without_history
        return self._demand_ratio * expected / settings.target_utilisation

    def _delay_scale_down(
        self,
        state: _ZoneState,
        current: int,
        needed: int,
        needed_later: int,
        now_s: float,
    ) -> int:
        """Scale up at once, and down only after a lasting surplus."""
        if needed >= current or needed_later >= current:
            state.surplus_since_s = None
            return max(needed, current)
        if state.surplus_since_s is None:
            state.surplus_since_s = now_s
        if now_s - state.surplus_since_s < self._settings.down_delay_s:
            return current
        return needed_later

    def _update_zone(
        self, state: _ZoneState, load: ZoneLoad, now_s: float
    ) -> None:
        if load.live_endpoint_count > 0:
            state.last_live_s = now_s
            state.is_lost = False
        elif state.wanted_count == 0:
            # The zone's endpoints were stopped by plan.
            state.last_live_s = None
            state.is_lost = False
        elif state.last_live_s is not None:
            silence_s = now_s - state.last_live_s
            state.is_lost = silence_s >= self._settings.lost_after_s

    def _update_demand_ratio(self, now_s: float, wall_s: float) -> None:
        """Update the ratio of today's demand to that of earlier days.

        The ratio covers the whole service and is smoothed exponentially.
        """
        usual = [
            state.profile.expected(wall_s, wall_s)
            for state in self._zones.values()
        ]
        observed = [mean for mean in usual if mean is not None]
        if len(observed) < len(usual) or sum(observed) <= 0.0:
            return
        demand = sum(state.demand for state in self._zones.values())
        ratio = demand / sum(observed)
        gap_s = now_s - (self._observed_s or now_s)
        self._observed_s = now_s
        weight = 1.0 - math.exp(-gap_s / _RATIO_TIME_CONSTANT_S)
        smoothed_ratio = self._demand_ratio + weight * (
            ratio - self._demand_ratio
        )
        self._demand_ratio = min(
            max(smoothed_ratio, _DEMAND_RATIO_RANGE[0]), _DEMAND_RATIO_RANGE[1]
        )
