"""Endpoints and requests of one availability zone in simulated time."""

from __future__ import annotations

import bisect
from collections import deque

from dogwoodpost.core.scaling import ZoneLoad
from measurements.control.day_traffic import DAY_S
from measurements.control.day_traffic import SERVICE_TIME_S
from measurements.control.day_traffic import Site
from measurements.control.day_traffic import STEP_S
from measurements.control.day_traffic import Zone

MAX_WAIT_S = 15.0


class SimulatedZone:
    """Simulates endpoints and requests of a zone in fixed time steps."""

    def __init__(self, site: Site, initial_count: int) -> None:
        self._concurrency = site.endpoint_concurrency
        self._start_up_s = site.start_up_s
        self._ready_at_s = [0.0] * initial_count
        self._stopped_at_s: deque[float] = deque()
        self._running = 0.0
        self._waiting: deque[tuple[float, float]] = deque()
        self.endpoint_s = 0.0
        self.requests = [0.0] * 24
        self.late = [0.0] * 24

    @property
    def endpoint_count(self) -> int:
        """Return the number of endpoints that run or start up."""
        return len(self._ready_at_s)

    def load(self, zone: Zone, time_s: float) -> ZoneLoad:
        """Return the load that the agents of the zone report."""
        return ZoneLoad(
            availability_zone=zone,
            running_count=round(self._running),
            waiting_count=round(sum(count for _, count in self._waiting)),
            live_endpoint_count=self._ready_count(time_s),
        )

    def set_endpoint_count(self, wanted: int, time_s: float) -> None:
        """Start or stop endpoints; the last started are stopped first."""
        while len(self._ready_at_s) < wanted:
            self._ready_at_s.append(time_s + self._start_up_s)
        while len(self._ready_at_s) > wanted:
            if self._ready_at_s.pop() <= time_s:
                self._stopped_at_s.append(time_s + SERVICE_TIME_S)

    def step(self, arrivals: float, time_s: float) -> None:
        """Advance the simulation by one time step."""
        while self._stopped_at_s and self._stopped_at_s[0] <= time_s:
            self._stopped_at_s.popleft()
        billed_count = len(self._ready_at_s) + len(self._stopped_at_s)
        self.endpoint_s += billed_count * STEP_S
        self._running *= 1.0 - STEP_S / SERVICE_TIME_S
        if arrivals > 0:
            self._waiting.append((time_s, arrivals))
            self.requests[_hour(time_s)] += arrivals
        slots = self._ready_count(time_s) * self._concurrency
        self._admit(max(0.0, slots - self._running), time_s)

    def finish(self) -> None:
        """Count the requests that are still waiting as late."""
        for arrived_s, count in self._waiting:
            self.late[_hour(arrived_s)] += count

    def reset_counts(self) -> None:
        """Reset the counters, at the start of the measured day."""
        self.endpoint_s = 0.0
        self.requests = [0.0] * 24
        self.late = [0.0] * 24

    def _ready_count(self, time_s: float) -> int:
        return bisect.bisect_right(self._ready_at_s, time_s)

    def _admit(self, free_slots: float, time_s: float) -> None:
        while self._waiting and free_slots > 0.0:
            arrived_s, count = self._waiting.popleft()
            admitted = min(count, free_slots)
            free_slots -= admitted
            self._running += admitted
            if time_s - arrived_s > MAX_WAIT_S:
                self.late[_hour(arrived_s)] += admitted
            if count > admitted:
                self._waiting.appendleft((arrived_s, count - admitted))


def _hour(time_s: float) -> int:
    return int(time_s % DAY_S // 3600.0)
