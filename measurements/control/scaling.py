"""Compares scaling policies by cost at equal service."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import msgspec

from measurements.control.day_traffic import Day
from measurements.control.day_traffic import DAY_S
from measurements.control.day_traffic import draw_day
from measurements.control.day_traffic import Site
from measurements.control.day_traffic import STEP_S
from measurements.control.day_traffic import Zone
from measurements.control.scaling_policies import FixedPolicy
from measurements.control.scaling_policies import ForecastPolicy
from measurements.control.scaling_policies import Policy
from measurements.control.scaling_policies import ReactivePolicy
from measurements.control.simulated_zone import SimulatedZone
from measurements.control.workers import open_workers

if TYPE_CHECKING:
    from collections.abc import Callable

# Share of requests that start within the longest wait, in the worst hour. The
# share over the whole day would hide the morning peak, for which endpoints
# must be started ahead of time.
SERVICE_TARGET = 0.99
REQUIRED_SAVING = 0.15
TRAINING_DAY_COUNT = 5
SEEDS = (1, 2)

_TARGET_SIZE_PEAKS = {Zone(f'zone-{n}'): 1800.0 + 200.0 * n for n in range(3)}
SITES = (
    Site(
        name='target size, morning burst',
        zone_peaks=_TARGET_SIZE_PEAKS,
        start_up_s=300.0,
        ramp_s=600.0,
        is_gated=True,
    ),
    # Demand rises little during a start-up, so that reacting is nearly enough:
    # the work itself is 80% of the cost of the tuned threshold policy.
    Site(
        name='target size, slow morning',
        zone_peaks=_TARGET_SIZE_PEAKS,
        start_up_s=240.0,
        ramp_s=1200.0,
    ),
    # With a few endpoints per zone, rounding to whole endpoints dominates the
    # cost.
    Site(
        name='pizarra slate-lm',
        zone_peaks={
            Zone('montevideo-a'): 56.0,
            Zone('minas-a'): 50.0,
            Zone('colonia-a'): 24.0,
        },
        start_up_s=300.0,
        ramp_s=600.0,
    ),
)


class ScalingResult(msgspec.Struct, frozen=True, kw_only=True):
    """Cost and service of one policy at one site, over all seeds."""

    site: str
    policy: str
    setting: str
    endpoint_hours: float
    worst_hour_share: float
    day_share: float
    meets_target: bool
    saving: float | None = None
    is_gated: bool = False


class Outcome(msgspec.Struct, frozen=True):
    """Cost of the last day, and its shares of requests in time."""

    endpoint_hours: float
    worst_hour_share: float
    day_share: float

    @property
    def meets_target(self) -> bool:
        """Return whether the service target is reached."""
        return self.worst_hour_share >= SERVICE_TARGET


def simulate(
    site: Site,
    create_policy: Callable[[], Policy],
    days_by_seed: list[list[Day]],
) -> Outcome:
    """Return the outcome of the last day, over all seeds and zones."""
    zones = [
        zone
        for days in days_by_seed
        for zone in _simulate_days(site, create_policy(), days)
    ]
    shares = []
    for hour in range(24):
        requests = sum(zone.requests[hour] for zone in zones)
        late = sum(zone.late[hour] for zone in zones)
        shares.append(1.0 - late / requests)
    requests = sum(sum(zone.requests) for zone in zones)
    late = sum(sum(zone.late) for zone in zones)
    hours = sum(zone.endpoint_s for zone in zones) / 3600.0
    return Outcome(
        hours / len(days_by_seed), min(shares), 1.0 - late / requests
    )


def _simulate_days(
    site: Site, policy: Policy, days: list[Day]
) -> list[SimulatedZone]:
    zones = {
        zone: SimulatedZone(site, math.ceil(peak / site.endpoint_concurrency))
        for zone, peak in site.zone_peaks.items()
    }
    for number, day in enumerate(days):
        if number == len(days) - 1:
            for simulated in zones.values():
                simulated.reset_counts()
        _simulate_day(zones, policy, day, number * DAY_S)
    for simulated in zones.values():
        simulated.finish()
    return list(zones.values())


def _simulate_day(
    zones: dict[Zone, SimulatedZone], policy: Policy, day: Day, start_s: float
) -> None:
    for step, arrivals in enumerate(day.arrivals):
        time_s = start_s + step * STEP_S
        for zone, simulated in zones.items():
            simulated.step(arrivals[zone], time_s)
        loads = [item.load(zone, time_s) for zone, item in zones.items()]
        current = {zone: item.endpoint_count for zone, item in zones.items()}
        for zone, wanted in policy.plan(loads, current, time_s).items():
            zones[zone].set_endpoint_count(wanted, time_s)


def tune(
    evaluate: Callable[[float], Outcome], settings: list[float]
) -> tuple[float, Outcome]:
    """Return the cheapest setting that reaches the service target.

    :param settings: settings in order from best service to lowest cost.
    """
    low, high = 0, len(settings) - 1
    best = (settings[0], evaluate(settings[0]))
    while low <= high:
        middle = (low + high) // 2
        outcome = evaluate(settings[middle])
        if outcome.meets_target:
            best = (settings[middle], outcome)
            low = middle + 1
        else:
            high = middle - 1
    return best


def run_site(site: Site) -> list[ScalingResult]:
    """Return the tuned baselines and the forecast policy at one site."""
    days_by_seed = []
    for seed in SEEDS:
        rng = random.Random(seed)
        days_by_seed.append(
            [draw_day(site, rng) for _ in range(TRAINING_DAY_COUNT + 1)]
        )
    # The baselines do not learn, so that one day suffices as their warm-up.
    baseline_days = [days[-2:] for days in days_by_seed]
    fixed = _tune_fixed(site, baseline_days)
    reactive = _tune_reactive(site, baseline_days)
    outcome = simulate(site, lambda: ForecastPolicy(site), days_by_seed)
    cheapest = min(fixed.endpoint_hours, reactive.endpoint_hours)
    forecast = _result(
        site,
        'forecast and queue',
        'defaults',
        outcome,
        saving=1.0 - outcome.endpoint_hours / cheapest,
    )
    return [fixed, reactive, forecast]


def _tune_fixed(site: Site, days_by_seed: list[list[Day]]) -> ScalingResult:
    def evaluate(share: float) -> Outcome:
        counts = {
            zone: math.ceil(peak * share / site.endpoint_concurrency)
            for zone, peak in site.zone_peaks.items()
        }
        return simulate(site, lambda: FixedPolicy(counts), days_by_seed)

    shares = [1.5 - 0.02 * step for step in range(45)]
    share, outcome = tune(evaluate, shares)
    return _result(site, 'fixed', f'{share:.2f} of peak', outcome)


def _tune_reactive(site: Site, days_by_seed: list[list[Day]]) -> ScalingResult:
    thresholds = [0.2 + 0.025 * step for step in range(32)]
    candidates = []
    for down_delay_s in (30.0, 120.0, 600.0):

        def evaluate(
            threshold: float, down_delay_s: float = down_delay_s
        ) -> Outcome:
            return simulate(
                site,
                lambda: ReactivePolicy(
                    site.endpoint_concurrency, threshold, down_delay_s
                ),
                days_by_seed,
            )

        threshold, outcome = tune(evaluate, thresholds)
        setting = f'{threshold:.3f}, down after {down_delay_s:.0f} s'
        candidates.append(
            _result(site, 'reactive threshold', setting, outcome)
        )
    eligible = [item for item in candidates if item.meets_target]
    return min(eligible or candidates, key=lambda item: item.endpoint_hours)


def _result(
    site: Site,
    policy: str,
    setting: str,
    outcome: Outcome,
    saving: float | None = None,
) -> ScalingResult:
    return ScalingResult(
        site=site.name,
        policy=policy,
        setting=setting,
        endpoint_hours=round(outcome.endpoint_hours, 1),
        worst_hour_share=round(outcome.worst_hour_share, 5),
        day_share=round(outcome.day_share, 5),
        meets_target=outcome.meets_target,
        saving=None if saving is None else round(saving, 4),
        is_gated=site.is_gated and saving is not None,
    )


def run_scaling_cases() -> list[ScalingResult]:
    """Return all results of all sites, one process per site."""
    with open_workers(len(SITES)) as executor:
        by_site = list(executor.map(run_site, SITES))
    return [result for results in by_site for result in results]
