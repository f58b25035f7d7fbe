"""Cost of scaling against service over days with a morning peak."""

from __future__ import annotations

import bisect
import itertools
import math
import random
from collections import deque
from typing import Protocol
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.scaling import Scaler
from dogwoodpost.core.scaling import ScalingSettings
from dogwoodpost.core.scaling import ZoneLoad
from measurements.control.workers import open_workers

if TYPE_CHECKING:
    from collections.abc import Callable

DAY_S = 86_400
STEP_S = 15.0
SERVICE_TIME_S = 20.0
LONGEST_WAIT_S = 15.0
# Share of requests that start within the longest wait, in the worst hour. A
# share of the whole day would hide the morning peak, which is what endpoints
# are ordered ahead for.
SERVICE_TARGET = 0.99
REQUIRED_SAVING = 0.15
LEARNT_DAY_COUNT = 5
SEEDS = (1, 2)

Zone = ids.AvailabilityZone
NIGHT_SHARE = 0.2
MORNING_S = 8 * 3600.0


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """A service whose scaling is measured."""

    name: str
    zone_peaks: dict[Zone, float]
    start_up_s: float
    ramp_s: float
    endpoint_concurrency: int = 32
    is_gated: bool = False


_TARGET_SIZE = {Zone(f'zone-{n}'): 1800.0 + 200.0 * n for n in range(3)}
SITES = (
    Site(
        name='target size, morning burst',
        zone_peaks=_TARGET_SIZE,
        start_up_s=300.0,
        ramp_s=600.0,
        is_gated=True,
    ),
    # Demand rises little during a start-up, so reacting is nearly enough: the
    # work itself is 80% of the cost of the tuned threshold.
    Site(
        name='target size, slow morning',
        zone_peaks=_TARGET_SIZE,
        start_up_s=240.0,
        ramp_s=1200.0,
    ),
    # A few endpoints per zone: whole endpoints decide the cost.
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


class Policy(Protocol):
    """Says how many endpoints each zone should have."""

    def plan(
        self,
        loads: list[ZoneLoad],
        current: dict[Zone, int],
        time_s: float,
    ) -> dict[Zone, int]:
        """Return the wanted endpoint count of each zone."""


class FixedPolicy:
    """The same number of endpoints all day."""

    def __init__(self, counts: dict[Zone, int]) -> None:
        self._counts = counts

    def plan(
        self, loads: list[ZoneLoad], current: dict[Zone, int], time_s: float
    ) -> dict[Zone, int]:
        """Return the fixed counts."""
        return self._counts


class ReactivePolicy:
    """Keeps the utilisation below a threshold, down after a delay."""

    def __init__(
        self, concurrency: int, threshold: float, down_delay_s: float
    ) -> None:
        self._slots = concurrency * threshold
        self._down_delay_s = down_delay_s
        self._enough_since_s: dict[Zone, float] = {}

    def plan(
        self, loads: list[ZoneLoad], current: dict[Zone, int], time_s: float
    ) -> dict[Zone, int]:
        """Return what the present load needs."""
        wanted = {}
        for load in loads:
            zone = load.availability_zone
            demand = load.running_count + load.waiting_count
            needed = max(1, math.ceil(demand / self._slots))
            if needed >= current[zone]:
                self._enough_since_s.pop(zone, None)
                wanted[zone] = needed
                continue
            since_s = self._enough_since_s.setdefault(zone, time_s)
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
        """Observe, then plan."""
        self._scaler.observe(loads, time_s, time_s)
        return self._scaler.plan(current, time_s, time_s)


class SimulatedZone:
    """Endpoints and requests of one zone, in steps of time."""

    def __init__(self, site: Site, first_count: int) -> None:
        self._concurrency = site.endpoint_concurrency
        self._start_up_s = site.start_up_s
        self._ready_at_s = [0.0] * first_count
        self._stopped_at_s: deque[float] = deque()
        self._running = 0.0
        self._waiting: deque[tuple[float, float]] = deque()
        self.endpoint_s = 0.0
        self.requests = [0.0] * 24
        self.late = [0.0] * 24

    @property
    def endpoint_count(self) -> int:
        """Return the endpoints that run or start."""
        return len(self._ready_at_s)

    def load(self, zone: Zone, time_s: float) -> ZoneLoad:
        """Return what the agents report."""
        return ZoneLoad(
            availability_zone=zone,
            running_count=round(self._running),
            waiting_count=round(sum(count for _, count in self._waiting)),
            live_endpoint_count=self._ready_count(time_s),
        )

    def order(self, wanted: int, time_s: float) -> None:
        """Start or stop endpoints; those that start are stopped first."""
        while len(self._ready_at_s) < wanted:
            self._ready_at_s.append(time_s + self._start_up_s)
        while len(self._ready_at_s) > wanted:
            if self._ready_at_s.pop() <= time_s:
                self._stopped_at_s.append(time_s + SERVICE_TIME_S)

    def step(self, arrivals: float, time_s: float) -> None:
        """Let one step of time pass."""
        while self._stopped_at_s and self._stopped_at_s[0] <= time_s:
            self._stopped_at_s.popleft()
        billed = len(self._ready_at_s) + len(self._stopped_at_s)
        self.endpoint_s += billed * STEP_S
        self._running *= 1.0 - STEP_S / SERVICE_TIME_S
        if arrivals > 0:
            self._waiting.append((time_s, arrivals))
            self.requests[_hour(time_s)] += arrivals
        slots = self._ready_count(time_s) * self._concurrency
        self._admit(max(0.0, slots - self._running), time_s)

    def finish(self) -> None:
        """Count what still waits as late."""
        for arrived_s, count in self._waiting:
            self.late[_hour(arrived_s)] += count

    def reset_counts(self) -> None:
        """Begin to measure."""
        self.endpoint_s = 0.0
        self.requests = [0.0] * 24
        self.late = [0.0] * 24

    def _ready_count(self, time_s: float) -> int:
        return bisect.bisect_right(self._ready_at_s, time_s)

    def _admit(self, free: float, time_s: float) -> None:
        while self._waiting and free > 0.0:
            arrived_s, count = self._waiting.popleft()
            admitted = min(count, free)
            free -= admitted
            self._running += admitted
            if time_s - arrived_s > LONGEST_WAIT_S:
                self.late[_hour(arrived_s)] += admitted
            if count > admitted:
                self._waiting.appendleft((arrived_s, count - admitted))


class Day(msgspec.Struct, frozen=True):
    """Arrivals of one day, per step and zone."""

    arrivals: list[dict[Zone, float]]


def draw_day(site: Site, rng: random.Random) -> Day:
    """Return a day whose level and peak differ a little from others."""
    level = rng.uniform(0.93, 1.07)
    shift_s = rng.uniform(-300.0, 300.0)
    swing = 0.0
    shape = _day_shape(site.ramp_s)
    arrivals = []
    for step in range(int(DAY_S / STEP_S)):
        swing = 0.98 * swing + rng.gauss(0.0, 0.01)
        share = _share_at(shape, (step * STEP_S + shift_s) % DAY_S)
        rate = share * level * max(0.0, 1.0 + swing) * STEP_S / SERVICE_TIME_S
        arrivals.append(
            {
                zone: _draw_count(rng, peak * rate)
                for zone, peak in site.zone_peaks.items()
            }
        )
    return Day(arrivals)


def _draw_count(rng: random.Random, mean: float) -> float:
    """Return a count close to a Poisson distribution."""
    return float(max(0, round(rng.gauss(mean, math.sqrt(mean)))))


def _hour(time_s: float) -> int:
    return int(time_s % DAY_S // 3600.0)


def _day_shape(ramp_s: float) -> list[tuple[float, float]]:
    """Return times of day in s with shares of the peak; linear in between."""
    return [
        (0.0, NIGHT_SHARE),
        (6 * 3600.0, NIGHT_SHARE),
        (MORNING_S, 0.3),
        (MORNING_S + ramp_s, 1.0),
        (9.5 * 3600.0, 0.95),
        (12 * 3600.0, 0.6),
        (17 * 3600.0, 0.5),
        (20 * 3600.0, 0.3),
        (float(DAY_S), NIGHT_SHARE),
    ]


def _share_at(shape: list[tuple[float, float]], time_s: float) -> float:
    for (start_s, low), (end_s, high) in itertools.pairwise(shape):
        if start_s <= time_s <= end_s:
            return low + (high - low) * (time_s - start_s) / (end_s - start_s)
    return NIGHT_SHARE


class Outcome(msgspec.Struct, frozen=True):
    """Cost of the last day, and its service in time."""

    endpoint_hours: float
    worst_hour_share: float
    day_share: float

    @property
    def meets_target(self) -> bool:
        """Return whether the service target is reached."""
        return self.worst_hour_share >= SERVICE_TARGET


def simulate(
    site: Site,
    make_policy: Callable[[], Policy],
    days_by_seed: list[list[Day]],
) -> Outcome:
    """Return the outcome of the last day, over all seeds and zones."""
    zones = [
        zone
        for days in days_by_seed
        for zone in _simulate_days(site, make_policy(), days)
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
            zones[zone].order(wanted, time_s)


def tune(
    evaluate: Callable[[float], Outcome], settings: list[float]
) -> tuple[float, Outcome]:
    """Return the cheapest setting that reaches the service target.

    :param settings: from the best service to the lowest cost.
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
            [draw_day(site, rng) for _ in range(LEARNT_DAY_COUNT + 1)]
        )
    # A baseline learns nothing, so the day before suffices to warm it up.
    last_days = [days[-2:] for days in days_by_seed]
    fixed = _tune_fixed(site, last_days)
    reactive = _tune_reactive(site, last_days)
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
