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

LONGEST_WAIT_S = 15.0


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


def _hour(time_s: float) -> int:
    return int(time_s % DAY_S // 3600.0)
