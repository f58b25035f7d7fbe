"""Lower bound of the duration of a step."""

from __future__ import annotations

import msgspec


class StepRun(msgspec.Struct, kw_only=True):
    """Times and size of a completed step.

    :param longest_s: time to generate the longest sample at full rate.
    """

    trainer: int
    submitted_s: float
    ended_s: float
    work_tokens: int
    longest_s: float

    @property
    def duration_s(self) -> float:
        """Return how long the trainer waited for the step."""
        return self.ended_s - self.submitted_s


def fair_share_ends(
    runs: list[StepRun], capacity_at: list[tuple[float, float]]
) -> list[float]:
    """Return the end of each step if all steps share the capacity evenly.

    The capacity is divided without loss among the steps with remaining work.
    ``capacity_at`` lists (time, tokens per second) in order.
    """
    left_tokens = [float(run.work_tokens) for run in runs]
    ends = [0.0] * len(runs)
    arrivals = sorted(range(len(runs)), key=lambda n: runs[n].submitted_s)
    changes = [time for time, _ in capacity_at]
    active: set[int] = set()
    now_s = runs[arrivals[0]].submitted_s
    while arrivals or active:
        while arrivals and runs[arrivals[0]].submitted_s <= now_s:
            active.add(arrivals.pop(0))
        next_s = runs[arrivals[0]].submitted_s if arrivals else float('inf')
        next_s = min([next_s, *(time for time in changes if time > now_s)])
        if not active:
            now_s = next_s
            continue
        total = max(
            (entry for entry in capacity_at if entry[0] <= now_s),
            default=capacity_at[0],
        )[1]
        rate = total / len(active)
        end_s = now_s + min(left_tokens[n] for n in active) / rate
        step_s = min(end_s, next_s) - now_s
        now_s += step_s
        for n in list(active):
            left_tokens[n] -= rate * step_s
            if left_tokens[n] <= 1e-6:
                active.remove(n)
                ends[n] = now_s
    return ends
